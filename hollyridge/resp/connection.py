"""One connection of the platform's protocol, whoever is at its other end."""

from __future__ import annotations

import socket

from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.resp.proxy_view import ProxyView

NOT_JOINED = -1


class Connection:
    """The state of one connection.

    Attributes:
        number: Of the connection, never used twice.
        sock: Its socket, gevent's.
        address: Of the other end.
        zone: The zone that it joined for; -1 before joining.
        node: The number that the proxy gives itself; -1 for a collector.
        proxy: The proxy's index; -1 for a collector.
        view: What the proxy holds by what was written.
        planned_view: What it will hold once all that waits in the channel was written.
        unsent: Bytes that the other side has not taken yet.
        pending_update: What follows behind `unsent`, merged into one; None for nothing.
        unacknowledged_marks: Marks written here and not acknowledged, oldest first.
        closed: Why it was closed; empty while it is open.
        last_received_us: When bytes came last.
    """

    __slots__ = (
        "address",
        "closed",
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
        self.closed = ""
        self.last_received_us = now_us

    @property
    def joined(self) -> bool:
        """Whether a proxy or a collector has joined on it."""
        return self.zone > NOT_JOINED
