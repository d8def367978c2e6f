"""Tracker of the joined load balancers and of the streams that have to be closed.

A load balancer that receives pushes is joined from its registration on. One that polls is joined from its first poll on
and only while it continues to poll. Its poll interval is a third of the shorter of two limits, the drain grace and the
limit on empty tables. Once it has not polled for nine tenths of that shorter limit, it counts as left and its stream is
closed. Hence no drain ends while a joined load balancer holds an older table. A stream whose client leaves data unread
has the same timeout, since its table is as old. A load balancer that was only slow keeps its table, reconnects and gets
a new one.

A second stream of the same name takes over from the first, which may be half-open, so that the load balancer need not
wait for a table. After `MAX_TAKEOVERS` within the drain grace further streams are rejected until the grace has passed,
since two load balancers of one name would otherwise disconnect each other endlessly.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_TAKEOVERS = 4  # per name, within the drain grace
POLLS_PER_LIMIT = 3  # polls within the shorter limit, so that two of them may be lost
NOT_UNREAD = -1  # `unread_since_us` of a stream whose client has read all data


class SessionStarted(NamedTuple):
    """The outcome of the start of a stream.

    Attributes:
        joined: Whether the load balancer has joined on it.
        close: Number of the older stream that has to be closed, or -1.
        rejected: Whether the stream is rejected.
    """

    joined: bool
    close: int = -1
    rejected: bool = False


class StreamState:
    """The state of one stream.

    Attributes:
        uid: Name of the load balancer.
        push: Whether it receives pushes instead of polling.
        last_polled_us: Time of its last message, in microseconds.
        unread_since_us: Time since which its client has not read further although data waits, or -1.
        read_bytes: Number of bytes that the client has acknowledged.
    """

    __slots__ = ("last_polled_us", "push", "read_bytes", "uid", "unread_since_us")

    def __init__(self, uid: str, push: bool, now_us: int) -> None:
        self.uid = uid
        self.push = push
        self.last_polled_us = now_us
        self.unread_since_us = NOT_UNREAD
        self.read_bytes = 0


class SessionTracker:
    """Tracker of the streams of load balancers.

    >>> sessions = SessionTracker(drain_grace_us=3_000_000, empty_table_limit_us=5_000_000)
    >>> sessions.poll_interval_s
    1
    >>> sessions.start(0, 7, "gw-1", push=False)
    SessionStarted(joined=True, close=-1, rejected=False)
    >>> sessions.overdue(2_600_000), sessions.overdue(2_800_000)
    ([], [(7, 'no poll within the timeout')])

    Args:
        drain_grace_us: Time for which a draining or removed task may still be sent to, in microseconds.
        empty_table_limit_us: Time for which a load balancer may be without a usable table, in microseconds.

    Attributes:
        poll_interval_s: Poll interval, in whole seconds as the protocol requires.
        first_poll_wait_us: Maximum time that a first poll waits for its table, in microseconds.
        timeout_us: Time without a poll or with unread data after which a stream is closed, in microseconds.
        streams: State of the streams, by number.
        by_uid: Number of the stream of each joined load balancer.
        takeovers: Times of the recent takeovers by name, in microseconds.
    """

    def __init__(self, drain_grace_us: int, empty_table_limit_us: int) -> None:
        limit_us = min(drain_grace_us, empty_table_limit_us)
        self.drain_grace_us = drain_grace_us
        self.timeout_us = limit_us * 9 // 10
        self.poll_interval_s = max(1, limit_us // (POLLS_PER_LIMIT * 1_000_000))
        self.first_poll_wait_us = self.timeout_us // 4
        self.streams: dict[int, StreamState] = {}
        self.by_uid: dict[str, int] = {}
        self.takeovers: dict[str, deque[int]] = {}

    def start(self, now_us: int, number: int, uid: str, push: bool) -> SessionStarted:
        """Start a stream at its registration or first poll. A started stream may switch between pushes and polls."""
        known = self.streams.get(number)
        if known is not None:
            known.push = push
            known.last_polled_us = now_us
            return SessionStarted(False)
        older = self.by_uid.get(uid, -1)
        if older >= 0:
            if not self.may_take_over(now_us, uid):
                return SessionStarted(False, rejected=True)
            self.end(older)
        self.streams[number] = StreamState(uid, push, now_us)
        self.by_uid[uid] = number
        return SessionStarted(True, older)

    def may_take_over(self, now_us: int, uid: str) -> bool:
        """Return whether a newer stream may replace the one of this name, and count the takeover if so."""
        recent = self.takeovers.setdefault(uid, deque())
        while recent and recent[0] <= now_us - self.drain_grace_us:
            recent.popleft()
        if len(recent) >= MAX_TAKEOVERS:
            return False
        recent.append(now_us)
        return True

    def end(self, number: int) -> None:
        """Remove a stream that has ended. Its load balancer has left unless a newer stream has taken over."""
        stream = self.streams.pop(number, None)
        if stream is not None and self.by_uid.get(stream.uid) == number:
            del self.by_uid[stream.uid]

    def record_poll(self, now_us: int, number: int) -> None:
        """Record that a message has arrived on a stream."""
        if number in self.streams:
            self.streams[number].last_polled_us = now_us

    def check_backlog(self, now_us: int, number: int, read_bytes: int, unread: bool) -> None:
        """Record how far the client has read.

        Args:
            now_us: The time, in microseconds.
            number: Number of the stream.
            read_bytes: Number of bytes that the client has acknowledged so far.
            unread: Whether more bytes are outstanding.
        """
        stream = self.streams.get(number)
        if stream is None:
            return
        if not unread:
            stream.unread_since_us = NOT_UNREAD
        elif stream.unread_since_us < 0 or read_bytes > stream.read_bytes:
            stream.unread_since_us = now_us
        stream.read_bytes = read_bytes

    def overdue(self, now_us: int) -> list[tuple[int, str]]:
        """Return the streams that have to be closed, as (number, reason)."""
        found = []
        for number, stream in self.streams.items():
            if not stream.push and now_us - stream.last_polled_us > self.timeout_us:
                found.append((number, "no poll within the timeout"))
            elif stream.unread_since_us >= 0 and now_us - stream.unread_since_us > self.timeout_us:
                found.append((number, "updates left unread"))
        return found
