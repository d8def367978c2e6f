"""Limit on the number of large request bodies that are held at once, from their arrival to the end of their decoding.

A body that arrives slowly gives up its place for one that waits. Small bodies need no place.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
from gevent.lock import BoundedSemaphore

LARGE_BODY_BYTES = 16384  # larger bodies need a place
MAX_HELD_BYTES = 16 << 20  # of large bodies together
MAX_PLACES = 16
MAX_DECODED_AT_ONCE = 1  # a decoded body takes many times the memory of its bytes
MIN_READ_S = 0.5  # time that a body may take to arrive while others wait for its place
POLL_INTERVAL_S = 0.02


class LargeBody:
    """A large body that holds a place.

    Attributes:
        began_s: Time at which it got the place.
        abort: Function that breaks its connection.
        arriving: Whether it is still being read.
    """

    def __init__(self, began_s: float, abort: Callable[[], None]) -> None:
        self.began_s = began_s
        self.abort = abort
        self.arriving = True


class LargeBodies:
    """The places of large bodies.

    Args:
        max_body_bytes: Maximum size of one body.
        clock_s: Monotonic clock, in seconds.

    Attributes:
        places: Number of places.
        held: The bodies that hold a place, oldest first.
        decoding: Semaphore to hold from the decoding of a body until its data points are counted.
    """

    def __init__(self, max_body_bytes: int, clock_s: Callable[[], float]) -> None:
        self.places = max(1, min(MAX_PLACES, MAX_HELD_BYTES // max_body_bytes))
        self.clock_s = clock_s
        self.held: list[LargeBody] = []
        self.decoding = BoundedSemaphore(MAX_DECODED_AT_ONCE)
        self._waiting: deque[object] = deque()  # one ticket for each waiting body, oldest first

    @contextmanager
    def place(self, abort: Callable[[], None]) -> Iterator[LargeBody]:
        """Hold a place, after waiting for one; `abort` breaks the connection if others need it."""
        ticket = object()
        self._waiting.append(ticket)
        try:
            while self._waiting[0] is not ticket or len(self.held) >= self.places:
                self._abort_slow()
                gevent.sleep(POLL_INTERVAL_S)
        finally:
            self._waiting.remove(ticket)
        body = LargeBody(self.clock_s(), abort)
        self.held.append(body)
        try:
            yield body
        finally:
            self.held.remove(body)

    def _abort_slow(self) -> None:
        """Break the connection of the body that has been arriving for the longest time, if that is too long."""
        slow = next((body for body in self.held if body.arriving), None)
        if slow is not None and self.clock_s() - slow.began_s > MIN_READ_S:
            slow.arriving = False
            slow.abort()
