"""State of one SASP connection, which belongs to a load balancer, a member or an agent. No I/O."""

from __future__ import annotations

import socket
from collections import deque
from typing import NamedTuple

from gevent.event import Event

from hollyridge.limits.connection_limiter import TokenBucket
from hollyridge.sasp.codec import BalancerFlags
from hollyridge.sasp.ownership_extension import OwnershipRequest
from hollyridge.sasp.weight_advice import GroupWeights
from hollyridge.store.table_versions import EMPTY, Table


class PendingMark(NamedTuple):
    """Mark that the engine wants acknowledged and that no sent message covers yet, with the time of its decision."""

    mark: int
    decided_at_us: int


class SentMark(NamedTuple):
    """Mark that is acknowledged once the peer's TCP has acknowledged `sent_bytes` bytes of the connection."""

    sent_bytes: int
    mark: int
    decided_at_us: int


class SaspProxyView:
    """State of one group of one load balancer: the table that it should hold and the part that was sent.

    Attributes:
        weights: Weights that were sent, with their scale.
        table: Index of its table, -1 for none.
        current: Newest value of the table, None until the engine has bound a table.
        sent: Value of the table that was sent last.
        resend_whole: Whether the next message replaces the whole group.
    """

    __slots__ = ("current", "resend_whole", "sent", "table", "weights")

    def __init__(self) -> None:
        self.weights = GroupWeights()
        self.table = -1
        self.current: Table | None = None
        self.sent = EMPTY
        self.resend_whole = False

    @property
    def due(self) -> bool:
        """Return whether a message has to be sent for this group."""
        return self.current is not None and (self.resend_whole or self.current is not self.sent)


class Connection:
    """State of one connection.

    Attributes:
        number: Identity of the connection in this run of the server.
        address: Address of the peer as the socket returns it; the first two elements are host and port.
        replies: Encoded replies to requests that are not written yet.
        due: Event that wakes the writer.
        reply_bucket: Rate limit of the replies with weights.
        uid: UID of the load balancer; empty until it is known, and for members and agents.
        principal: Common name in the peer's certificate, empty without a certificate.
        proxy: Index of the proxy that joined on this connection, -1 for none.
        flags: `BalancerFlags` of the load balancer.
        views: State of each group of the load balancer, by group name in the order of registration.
        registers_members: Whether members were registered on this connection.
        weights_ready: Event that is set once the first table is bound.
        sent: Number of bytes handed to the socket so far.
        version: Number of the engine's decision behind the last update, used as message id of pushed messages.
        pending: Marks that the next message with weights will cover.
        sent_marks: Marks of sent messages that are not acknowledged yet.
        ownership_request: The load balancer's request to be owned, where assigners share the fleet.
        fence: Fencing token under which this assigner owns the load balancer, 0 for none.
        fence_unsent: Whether the fencing token still has to be sent.
        close_reason: Reason why the connection ends, empty while it is open.
    """

    def __init__(self, number: int, sock: socket.socket, address: tuple, reply_bucket: TokenBucket) -> None:
        self.number = number
        self.sock = sock
        self.address = address
        self.reply_bucket = reply_bucket
        self.uid = ""
        self.principal = ""
        self.proxy = -1
        self.flags = 0
        self.views: dict[str, SaspProxyView] = {}
        self.registers_members = False
        self.replies: deque[bytes] = deque()
        self.due = Event()
        self.weights_ready = Event()
        self.sent = 0
        self.version = 0
        self.pending: list[PendingMark] = []
        self.sent_marks: deque[SentMark] = deque()
        self.ownership_request = OwnershipRequest()
        self.fence = 0
        self.fence_unsent = False
        self.close_reason = ""

    @property
    def push(self) -> bool:
        """Return whether changes are pushed to the load balancer; otherwise it polls."""
        return bool(self.flags & BalancerFlags.PUSH)

    def reply(self, frame: bytes) -> None:
        """Queue the reply to a request."""
        self.replies.append(frame)
        self.due.set()
