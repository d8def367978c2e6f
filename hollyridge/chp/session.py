"""The state of one subscriber session at the CHP server. No I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from hollyridge.limits.connection_limiter import TokenBucket


class SentMark(NamedTuple):
    """An acknowledgement that the engine wants, covered once the proxy has applied these heads."""

    heads: dict[str, int]
    mark: int
    decided_at_us: int


class SubscriberSession:
    """One joined proxy.

    Attributes:
        uid: Name of the proxy.
        user: Name that its key stands for, empty without keys.
        number: Identity of the session in this run of the server.
        routing_id: Of its socket.
        repairs: Limits the snapshots that it may ask for again.
        proxy: Index of the proxy.
        home: The proxy's own subtree.
        applied: Sequence number of the newest head it has applied, by subtree.
        marks: Acknowledgements that wait until it has applied more.
        counted: Tables whose first snapshot the channel has counted already.
        waits_for_home: Whether its bindings were not sent yet.
        owed_snapshots: Subtrees whose snapshots it waits for, in order; the first is on its way.
        fence: Fencing token under which it is owned, 0 for none.
    """

    __slots__ = (
        "applied",
        "counted",
        "fence",
        "home",
        "marks",
        "number",
        "owed_snapshots",
        "proxy",
        "repairs",
        "routing_id",
        "uid",
        "user",
        "waits_for_home",
    )

    def __init__(self, uid: str, user: str, number: int, routing_id: bytes, repairs: TokenBucket) -> None:
        self.uid = uid
        self.user = user
        self.number = number
        self.routing_id = routing_id
        self.repairs = repairs
        self.proxy = -1
        self.home = f"/proxy/{uid}/"
        self.applied: dict[str, int] = {}
        self.marks: deque[SentMark] = deque()
        self.counted: set[str] = set()
        self.waits_for_home = True
        self.owed_snapshots: dict[str, None] = {}
        self.fence = 0

    def has_applied(self, heads: dict[str, int]) -> bool:
        """Whether it has applied these heads, or newer ones."""
        return all(self.applied.get(subtree, -1) >= seq for subtree, seq in heads.items())
