"""State of one subscriber session at the CHP server. No I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from hollyridge.limits.connection_limiter import TokenBucket


class SentMark(NamedTuple):
    """Mark that is acknowledged once the proxy has applied `heads`.

    Attributes:
        heads: Sequence number of the head, by subtree.
        mark: Mark that the engine wants acknowledged.
        decided_at_us: Time of the engine's decision, in microseconds.
    """

    heads: dict[str, int]
    mark: int
    decided_at_us: int


class SubscriberSession:
    """Session of one joined proxy.

    Attributes:
        uid: Name of the proxy.
        user: Name of the principal that the proxy's key belongs to, empty without keys.
        number: Identity of the session in this run of the server.
        routing_id: Routing id of the proxy's socket.
        snapshot_bucket: Rate limit of repeated snapshots.
        proxy: Index of the proxy.
        home: The proxy's own subtree.
        applied: Sequence number of the newest head that the proxy has applied, by subtree.
        sent_marks: Marks that the proxy has not acknowledged yet.
        charged_tables: Tables for whose first snapshot the channel was charged already.
        home_unsent: Whether the bindings of the proxy still have to be sent.
        queued_snapshots: Subtrees whose snapshots are queued, in order; the first is being sent.
        fence: Fencing token under which this assigner owns the proxy, 0 for none.
    """

    __slots__ = (
        "applied",
        "charged_tables",
        "fence",
        "home",
        "home_unsent",
        "number",
        "proxy",
        "queued_snapshots",
        "routing_id",
        "sent_marks",
        "snapshot_bucket",
        "uid",
        "user",
    )

    def __init__(self, uid: str, user: str, number: int, routing_id: bytes, snapshot_bucket: TokenBucket) -> None:
        self.uid = uid
        self.user = user
        self.number = number
        self.routing_id = routing_id
        self.snapshot_bucket = snapshot_bucket
        self.proxy = -1
        self.home = f"/proxy/{uid}/"
        self.applied: dict[str, int] = {}
        self.sent_marks: deque[SentMark] = deque()
        self.charged_tables: set[str] = set()
        self.home_unsent = True
        self.queued_snapshots: dict[str, None] = {}
        self.fence = 0

    def has_applied(self, heads: dict[str, int]) -> bool:
        """Return whether the proxy has applied these heads or newer ones."""
        return all(self.applied.get(subtree, -1) >= seq for subtree, seq in heads.items())
