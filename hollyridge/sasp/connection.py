"""The state of one SASP connection: of a load balancer, a member or an agent. No I/O."""

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
    """An acknowledgement that the engine wants, not yet covered by a message, and when it was decided."""

    mark: int
    decided_at_us: int


class SentMark(NamedTuple):
    """A mark that is covered once the other side has taken this many bytes of the connection."""

    sent_bytes: int
    mark: int
    decided_at_us: int


class SaspProxyView:
    """One group of one load balancer: what it should hold, and what of that was sent.

    Attributes:
        weights: The figures that were sent.
        table: Index of its table, -1 for none.
        current: The table's newest value, None until the engine has bound a table.
        sent: The value that was sent last.
        resend_whole: Whether the next message replaces the group.
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
        """Whether something is to be sent."""
        return self.current is not None and (self.resend_whole or self.current is not self.sent)


class Connection:
    """One connection.

    Attributes:
        number: Identity of the connection in this run of the server.
        replies: Frames that answer requests, not yet written.
        due: Set when the writer has something to do.
        answers: Limits the answers with weights that it may ask for.
        uid: Name of the load balancer, empty until it is known, and for members and agents.
        bearer: Name in its certificate, empty without one.
        proxy: Index of the proxy that it serves, -1 for none.
        flags: `BalancerFlags` of the load balancer.
        views: What it holds, by group in the order of registration.
        registers_members: Whether it has registered members.
        weights_ready: Set when the first table is there.
        sent: Bytes handed to the socket so far.
        version: The engine's decision behind the last update, the number of pushed messages.
        pending: Marks that the next message or answer will cover.
        sent_marks: Marks that wait until the other side has taken what covers them.
        ownership_request: What it asked of the assigners that share the fleet.
        fence: Fencing token under which it is owned, 0 for none.
        fence_unsent: Whether that token was not sent yet.
        closed: Why the connection ends, empty while it stands.
    """

    def __init__(self, number: int, sock: socket.socket, address: tuple, answers: TokenBucket) -> None:
        self.number = number
        self.sock = sock
        self.address = address
        self.answers = answers
        self.uid = ""
        self.bearer = ""
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
        self.closed = ""

    @property
    def push(self) -> bool:
        """Whether changes are pushed to it; else it asks for them."""
        return bool(self.flags & BalancerFlags.PUSH)

    def reply(self, frame: bytes) -> None:
        """Queue the answer to a request."""
        self.replies.append(frame)
        self.due.set()
