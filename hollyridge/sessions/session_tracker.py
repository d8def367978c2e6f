"""Decides which load balancers count as joined, and which of their streams are to be closed.

A load balancer that takes pushes is joined from its registration on. One that polls is joined from its first poll on
and only while it goes on polling: it is given a poll interval of a third of the drain grace or of the limit on empty
tables, whichever is shorter, and once it has not polled for nine tenths of that time it counts as left and its stream
is closed. So no drain finds a load balancer that is joined but holds an older table. A stream whose client leaves data
unread has the same timeout, for its table is as old. A load balancer that was merely slow keeps its table, reconnects
and is given a new one.

A second stream of the same name takes over from the first, which may be half-open, so that nobody waits for a table
meanwhile. After `MAX_TAKEOVERS` within the drain grace further streams are rejected until the grace has passed: two
load balancers of one name would otherwise disconnect each other for ever.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_TAKEOVERS = 4  # of one name within the drain grace
POLLS_PER_LIMIT = 3  # polls within the shorter limit, so that two may be lost
NOT_UNREAD = -1  # `unread_since_us` of a stream whose client has read everything


class SessionStarted(NamedTuple):
    """The outcome of a stream that starts.

    Attributes:
        joined: The load balancer has joined with it.
        close: The older stream that is to be closed for it; -1 for none.
        turned_away: It is rejected.
    """

    joined: bool
    close: int = -1
    turned_away: bool = False


class StreamState:
    """What is known of one stream."""

    __slots__ = ("last_polled_us", "push", "read_bytes", "uid", "unread_since_us")

    def __init__(self, uid: str, push: bool, now_us: int) -> None:
        self.uid = uid
        self.push = push
        self.last_polled_us = now_us
        self.unread_since_us = NOT_UNREAD
        self.read_bytes = 0


class SessionTracker:
    """The streams of load balancers, by number.

    >>> sessions = SessionTracker(drain_grace_us=3_000_000, empty_table_limit_us=5_000_000)
    >>> sessions.interval
    1
    >>> sessions.start(0, 7, "gw-1", push=False)
    SessionStarted(joined=True, close=-1, turned_away=False)
    >>> sessions.overdue(2_600_000), sessions.overdue(2_800_000)
    ([], [(7, 'asks no more')])

    Args:
        drain_grace_us: How long a draining or removed task may still be sent to.
        empty_table_limit_us: How long a load balancer may be left without a usable table.

    Attributes:
        interval: Poll interval in whole seconds, as the protocol has it.
        first_answer: Microseconds that a first poll may wait for its table.
        timeout_us: Without a poll, or with data unread, after which a stream is closed.
        by_uid: Number of the stream of each load balancer that is joined.
    """

    def __init__(self, drain_grace_us: int, empty_table_limit_us: int) -> None:
        limit_us = min(drain_grace_us, empty_table_limit_us)
        self.drain_grace_us = drain_grace_us
        self.timeout_us = limit_us * 9 // 10
        self.interval = max(1, limit_us // (POLLS_PER_LIMIT * 1_000_000))
        self.first_answer = self.timeout_us // 4
        self.streams: dict[int, StreamState] = {}
        self.by_uid: dict[str, int] = {}
        self.takeovers: dict[str, deque[int]] = {}  # their times in microseconds, by name

    def start(self, now_us: int, number: int, uid: str, push: bool) -> SessionStarted:
        """A stream has registered or polled first; one that has started already may change whether it takes pushes."""
        known = self.streams.get(number)
        if known is not None:
            known.push = push
            known.last_polled_us = now_us
            return SessionStarted(False)
        older = self.by_uid.get(uid, -1)
        if older >= 0:
            if not self.may_take_over(now_us, uid):
                return SessionStarted(False, turned_away=True)
            self.end(older)
        self.streams[number] = StreamState(uid, push, now_us)
        self.by_uid[uid] = number
        return SessionStarted(True, older)

    def may_take_over(self, now_us: int, uid: str) -> bool:
        """Whether a newer stream may replace the one of this name; counts the takeover if so."""
        recent = self.takeovers.setdefault(uid, deque())
        while recent and recent[0] <= now_us - self.drain_grace_us:
            recent.popleft()
        if len(recent) >= MAX_TAKEOVERS:
            return False
        recent.append(now_us)
        return True

    def end(self, number: int) -> None:
        """A stream has ended; its load balancer has left unless a newer stream has taken over."""
        stream = self.streams.pop(number, None)
        if stream is not None and self.by_uid.get(stream.uid) == number:
            del self.by_uid[stream.uid]

    def polled(self, now_us: int, number: int) -> None:
        """A message has arrived on a stream."""
        if number in self.streams:
            self.streams[number].last_polled_us = now_us

    def check_backlog(self, now_us: int, number: int, read_bytes: int, unread: bool) -> None:
        """Note how far the client has read: bytes acknowledged so far, and whether more are outstanding."""
        stream = self.streams.get(number)
        if stream is None:
            return
        if not unread:
            stream.unread_since_us = NOT_UNREAD
        elif stream.unread_since_us < 0 or read_bytes > stream.read_bytes:
            stream.unread_since_us = now_us
        stream.read_bytes = read_bytes

    def overdue(self, now_us: int) -> list[tuple[int, str]]:
        """Numbers of the streams that are to be closed, each with the reason."""
        found = []
        for number, stream in self.streams.items():
            if not stream.push and now_us - stream.last_polled_us > self.timeout_us:
                found.append((number, "asks no more"))
            elif stream.unread_since_us >= 0 and now_us - stream.unread_since_us > self.timeout_us:
                found.append((number, "leaves orders unread"))
        return found
