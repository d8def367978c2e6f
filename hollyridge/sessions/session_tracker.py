"""Which load balancers count as joined, and which streams are to be closed.

A load balancer that takes pushes is joined from its registration on. One that asks is joined from its first
question on, and only while it goes on asking: the interval it is told is a third of the shorter of the grace
for drains and the bare limit, and when it has not asked for nine tenths of that time it counts as left and its
stream is closed, so that no drain can find it still joined with an older table. The same time is given to a
stream whose bytes the other side leaves unread: what it holds is as old. Both may hurt a load balancer that was
merely slow; it keeps its table, comes back and is given a new one.

A second stream of the same name takes over from the first (the first may be a half-open relic, and nobody is to
wait for a table meanwhile), but after `TAKEOVERS` within the grace newcomers are turned away until that is past:
two of one name would otherwise throw each other out for ever.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

TAKEOVERS = 4


class SessionStarted(NamedTuple):
    """What a stream's coming means: `joined`, the older stream to be closed (-1: none), or `turned_away`."""

    joined: bool
    close: int = -1
    turned_away: bool = False


class Stream:
    __slots__ = ("uid", "push", "heard", "unread_since", "taken")

    def __init__(self, uid: str, push: bool, now: int) -> None:
        self.uid, self.push, self.heard = uid, push, now
        self.unread_since, self.taken = -1, 0


class SessionTracker:
    """Times in microseconds.

    >>> seen = SessionTracker(grace=3_000_000, bare=5_000_000)
    >>> seen.interval
    1
    >>> seen.start(0, 7, "gw-1", push=False)
    SessionStarted(joined=True, close=-1, turned_away=False)
    >>> seen.overdue(2_600_000), seen.overdue(2_800_000)
    ([], [(7, 'asks no more')])
    """

    def __init__(self, grace: int, bare: int) -> None:
        self.patience = min(grace, bare) * 9 // 10
        self.grace = grace
        self.interval = max(1, min(grace, bare) // 3_000_000)  # whole seconds, as the protocol has it
        self.first_answer = self.patience // 4  # how long a first question may wait for its table
        self.streams: dict[int, Stream] = {}
        self.by_uid: dict[str, int] = {}
        self.takeovers: dict[str, deque[int]] = {}

    def start(self, now: int, stream: int, uid: str, push: bool) -> SessionStarted:
        known = self.streams.get(stream)
        if known is not None:
            known.push, known.heard = push, now
            return SessionStarted(False)
        older = self.by_uid.get(uid, -1)
        if older >= 0:
            recent = self.takeovers.setdefault(uid, deque())
            while recent and recent[0] <= now - self.grace:
                recent.popleft()
            if len(recent) >= TAKEOVERS:
                return SessionStarted(False, turned_away=True)
            recent.append(now)
            self.end(older)
        self.streams[stream] = Stream(uid, push, now)
        self.by_uid[uid] = stream
        return SessionStarted(True, older)

    def end(self, stream: int) -> None:
        gone = self.streams.pop(stream, None)
        if gone is not None and self.by_uid.get(gone.uid) == stream:
            del self.by_uid[gone.uid]

    def polled(self, now: int, stream: int) -> None:
        if stream in self.streams:
            self.streams[stream].heard = now

    def check_backlog(self, now: int, stream: int, taken: int, waits: bool) -> None:
        """`taken`: bytes the other side has acknowledged so far; `waits`: whether more are on their way."""
        row = self.streams.get(stream)
        if row is None:
            return
        if not waits:
            row.unread_since = -1
        elif row.unread_since < 0 or taken > row.taken:
            row.unread_since = now
        row.taken = taken

    def overdue(self, now: int) -> list[tuple[int, str]]:
        """Streams to be closed, each with the reason."""
        found = []
        for stream, row in self.streams.items():
            if not row.push and now - row.heard > self.patience:
                found.append((stream, "asks no more"))
            elif row.unread_since >= 0 and now - row.unread_since > self.patience:
                found.append((stream, "leaves orders unread"))
        return found
