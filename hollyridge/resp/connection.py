"""Connection of a proxy or collector to the platform's protocol server."""

from __future__ import annotations

import socket

from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.resp.proxy_view import ProxyView

NOT_JOINED = -1


class Connection:
    """State of one connection.

    Attributes:
        number: Number of the connection, never reused.
        sock: The gevent socket.
        address: Address of the peer as the socket returns it; the first two elements are host and port.
        zone: Index of the zone of the proxy or collector; -1 before it has joined.
        node: Number by which the proxy identifies itself; -1 for a collector.
        proxy: Index of the proxy; -1 for a collector.
        view: State of the proxy after all updates written so far.
        planned_view: State of the proxy after the updates that are still queued in the channel.
        unsent: Bytes that the socket has not accepted yet.
        pending_update: Merged updates to send after `unsent`; None if there are none.
        unacknowledged_marks: Marks sent on this connection and not acknowledged yet, oldest first.
        close_reason: Reason for closing the connection; empty while it is open.
        last_received_us: Time at which bytes were last received, in microseconds.
    """

    __slots__ = (
        "address",
        "close_reason",
        "last_received_us",
        "node",
        "number",
        "pending_update",
        "planned_view",
        "proxy",
        "sock",
        "unacknowledged_marks",
        "unsent",
        "view",
        "zone",
    )

    def __init__(self, number: int, sock: socket.socket, address: tuple, now_us: int) -> None:
        self.number = number
        self.sock = sock
        self.address = address
        self.zone = NOT_JOINED
        self.node = NOT_JOINED
        self.proxy = NOT_JOINED
        self.view = ProxyView()
        self.planned_view = ProxyView()
        self.unsent = b""
        self.pending_update: ProxyUpdate | None = None
        self.unacknowledged_marks: dict[int, None] = {}
        self.close_reason = ""
        self.last_received_us = now_us

    @property
    def joined(self) -> bool:
        """Return whether a proxy or collector has joined on this connection."""
        return self.zone > NOT_JOINED
