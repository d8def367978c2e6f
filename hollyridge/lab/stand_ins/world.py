"""Clock and scheduler of stand-ins: real (gevent) or simulated (see `hollyridge.lab.environment.World`).

The simulated world runs everything in one process, as fast as possible: it has a heap of scheduled calls, and greenlets
that wait for them. Calls that are due at the same time run in the order in which they were scheduled; with `ties` they
are shuffled by a seeded generator instead, to show whether a result depends on that order.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import gevent
import gevent.event
import gevent.lock
from greenlet import getcurrent, greenlet

from hollyridge.lab.reports.record import now_us

US_PER_S = 1e6


class LiveWorld:
    """World in real time, a wrapper of gevent."""

    def now(self) -> int:
        """Return the monotonic time in microseconds."""
        return now_us()

    def sleep(self, seconds: float) -> None:
        """Suspend the greenlet."""
        gevent.sleep(max(0.0, seconds))

    def spawn(self, call: Callable, *arguments: object) -> gevent.Greenlet:
        """Run `call` in its own greenlet."""
        return gevent.spawn(call, *arguments)

    def spawn_later(self, seconds: float, call: Callable, *arguments: object) -> None:
        """Run `call` in its own greenlet after a delay."""
        gevent.spawn_later(seconds, call, *arguments)

    def result(self) -> LiveResult:
        """Return a result that greenlets can wait for."""
        return LiveResult()

    def semaphore(self, count: int) -> gevent.lock.BoundedSemaphore:
        """Return a semaphore."""
        return gevent.lock.BoundedSemaphore(count)


class LiveResult(gevent.event.AsyncResult):
    """Result that raises TimeoutError of the standard library instead of gevent's."""

    def get(self, block: bool = True, timeout: float | None = None) -> Any:  # noqa: ANN401 - any value may be set
        """Wait for the value and return it; raise TimeoutError after `timeout` seconds."""
        try:
            return super().get(block, timeout)
        except gevent.Timeout:
            raise TimeoutError from None


class VirtualWorld:
    """Simulated clock and scheduler of greenlets.

    >>> world, seen = VirtualWorld(), []
    >>> def walk(name, step):
    ...     for _ in range(2):
    ...         world.sleep(step)
    ...         seen.append(((world.now() - world.START_US) // 1000, name))
    >>> _ = world.spawn(walk, "a", 0.002), world.spawn(walk, "b", 0.003)
    >>> world.run(1.0); seen
    [(2, 'a'), (3, 'b'), (4, 'a'), (6, 'b')]

    Attributes:
        now_us: Current time, in microseconds.
        number: Number of calls scheduled so far.
        scheduled: Heap of scheduled calls as (time in microseconds, rank within that time, number, call, arguments).
        hub: Greenlet that runs the clock.
        events: Number of calls run so far.
    """

    START_US = 1_000_000_000  # well above 0, which means an unknown start

    def __init__(self, ties: int | None = None) -> None:
        """Create a world; calls due at the same time are shuffled by the seed `ties`, if given."""
        self.now_us = self.START_US
        self.number = 0
        self.scheduled: list[tuple] = []
        self.hub = getcurrent()
        self.draw_rank = Random(ties).random if ties is not None else None
        self.events = 0

    def now(self) -> int:
        """Return the time in microseconds."""
        return self.now_us

    def call_at(self, time_us: int, call: Callable, *arguments: object) -> None:
        """Schedule `call` at `time_us`; it runs in the greenlet of the clock and must not wait."""
        self.number += 1
        rank = self.draw_rank() if self.draw_rank else 0.0
        heapq.heappush(self.scheduled, (max(time_us, self.now_us), rank, self.number, call, arguments))

    def spawn_later(self, seconds: float, call: Callable, *arguments: object) -> None:
        """Run `call` in its own greenlet after a delay."""
        self.call_at(self._after(seconds), self.start_greenlet, call, arguments)

    def spawn(self, call: Callable, *arguments: object) -> None:
        """Run `call` in its own greenlet."""
        self.call_at(self.now_us, self.start_greenlet, call, arguments)

    def start_greenlet(self, call: Callable, arguments: tuple) -> None:
        """Run `call` in its own greenlet immediately; to be scheduled with `call_at`."""
        greenlet(call, self.hub).switch(*arguments)

    def sleep(self, seconds: float) -> None:
        """Suspend the greenlet."""
        self.call_at(self._after(seconds), getcurrent().switch)
        self.hub.switch()

    def _after(self, seconds: float) -> int:
        return self.now_us + round(max(0.0, seconds) * US_PER_S)

    def run(self, until_s: float) -> None:
        """Run the clock until `until_s` seconds after the start. Exceptions of greenlets are raised here."""
        self.hub = getcurrent()
        until = self.START_US + round(until_s * US_PER_S)
        while self.scheduled and self.scheduled[0][0] <= until:
            self.now_us, _, _, call, arguments = heapq.heappop(self.scheduled)
            self.events += 1
            call(*arguments)
        self.now_us = max(self.now_us, until)

    def result(self) -> VirtualResult:
        """Return a result that greenlets can wait for."""
        return VirtualResult(self)

    def semaphore(self, count: int) -> VirtualSemaphore:
        """Return a semaphore that serves its waiters in the order of their arrival."""
        return VirtualSemaphore(self, count)


class VirtualResult:
    """Result that another greenlet sets once.

    Attributes:
        waiters: Waiting greenlets, each in a list of one whose element becomes None when the greenlet is resumed.
    """

    def __init__(self, world: VirtualWorld) -> None:
        self.world = world
        self.is_set = False
        self.value: Any = None
        self.waiters: list[list[greenlet | None]] = []

    def set(self, value: Any = None) -> None:  # noqa: ANN401 - any value that the waiter expects
        """Set the value and resume the waiting greenlets; a second call has no effect."""
        if self.is_set:
            return
        self.is_set = True
        self.value = value
        for waiter in self.waiters:
            self.world.call_at(self.world.now_us, self._wake, waiter)

    @staticmethod
    def _wake(waiter: list[greenlet | None]) -> None:
        sleeper, waiter[0] = waiter[0], None
        if sleeper is not None:
            sleeper.switch()

    def get(self, block: bool = True, timeout: float | None = None) -> Any:  # noqa: ANN401 - any value may be set
        """Wait for the value and return it; raise TimeoutError after `timeout` seconds."""
        if not self.is_set:
            waiter = [getcurrent()]
            self.waiters.append(waiter)
            if timeout is not None:
                self.world.call_at(self.world.now_us + round(timeout * US_PER_S), self._wake, waiter)
            self.world.hub.switch()
            if not self.is_set:
                raise TimeoutError
        return self.value

    wait = get


class VirtualSemaphore:
    """Semaphore that serves its waiters in the order of their arrival."""

    def __init__(self, world: VirtualWorld, count: int) -> None:
        self.world = world
        self.free = count
        self.queue: deque[greenlet] = deque()

    def __enter__(self) -> None:
        if self.free > 0:
            self.free -= 1
        else:
            self.queue.append(getcurrent())
            self.world.hub.switch()

    def __exit__(self, *_error: object) -> None:
        if self.queue:
            self.world.call_at(self.world.now_us, self.queue.popleft().switch)
        else:
            self.free += 1
