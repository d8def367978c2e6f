"""Time and waiting for stand-ins: real (gevent) or simulated (see `hollyridge.lab.environment.World`).

In the simulated world everything runs in one process, as fast as it can: a heap of what is due, and greenlets that wait
for it. Things due at the same moment happen in the order they were asked for; with `ties` they are shuffled by a seeded
generator instead, to see whether a result depends on that order.
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
    """Wraps gevent: real time."""

    def now(self) -> int:
        """Monotonic time (us)."""
        return now_us()

    def sleep(self, seconds: float) -> None:
        """Let the greenlet sleep."""
        gevent.sleep(max(0.0, seconds))

    def spawn(self, call: Callable, *arguments: object) -> gevent.Greenlet:
        """Run `call` in a greenlet of its own."""
        return gevent.spawn(call, *arguments)

    def later(self, seconds: float, call: Callable, *arguments: object) -> None:
        """Run `call` in a greenlet of its own after a while."""
        gevent.spawn_later(seconds, call, *arguments)

    def result(self) -> LiveResult:
        """A value to wait for."""
        return LiveResult()

    def slots(self, count: int) -> gevent.lock.BoundedSemaphore:
        """A semaphore."""
        return gevent.lock.BoundedSemaphore(count)


class LiveResult(gevent.event.AsyncResult):
    """A value to wait for, with the time-out of the standard library."""

    def get(self, block: bool = True, timeout: float | None = None) -> Any:  # noqa: ANN401 - whatever was set
        """Wait for the value; TimeoutError after `timeout` seconds."""
        try:
            return super().get(block, timeout)
        except gevent.Timeout:
            raise TimeoutError from None


class VirtualWorld:
    """A simulated clock, and the greenlets that wait for it.

    >>> world, seen = VirtualWorld(), []
    >>> def walk(name, step):
    ...     for _ in range(2):
    ...         world.sleep(step)
    ...         seen.append(((world.now() - world.START) // 1000, name))
    >>> _ = world.spawn(walk, "a", 0.002), world.spawn(walk, "b", 0.003)
    >>> world.run(1.0); seen
    [(2, 'a'), (3, 'b'), (4, 'a'), (6, 'b')]

    Attributes:
        at: The time (us).
        heap: What is due: when, its rank among ties, its number, and the call with its arguments.
        hub: The greenlet that runs the clock.
    """

    START = 1_000_000_000  # us; well above 0, which stands for long ago

    def __init__(self, ties: int | None = None) -> None:
        """With `ties`, what is due at the same moment is shuffled by this seed."""
        self.at = self.START
        self.number = 0
        self.heap: list[tuple] = []
        self.hub = getcurrent()
        self.shuffle = Random(ties).random if ties is not None else None
        self.events = 0

    def now(self) -> int:
        """The time (us)."""
        return self.at

    def when(self, moment: int, call: Callable, *arguments: object) -> None:
        """Call from the clock's own greenlet at this moment; `call` must not wait."""
        self.number += 1
        rank = self.shuffle() if self.shuffle else 0.0
        heapq.heappush(self.heap, (max(moment, self.at), rank, self.number, call, arguments))

    def later(self, seconds: float, call: Callable, *arguments: object) -> None:
        """Run `call` in a greenlet of its own after a while."""
        self.when(self._after(seconds), self.start, call, arguments)

    def spawn(self, call: Callable, *arguments: object) -> None:
        """Run `call` in a greenlet of its own."""
        self.when(self.at, self.start, call, arguments)

    def start(self, call: Callable, arguments: tuple) -> None:
        """Run `call` in a greenlet of its own, at once; for `when`."""
        greenlet(call, self.hub).switch(*arguments)

    def sleep(self, seconds: float) -> None:
        """Let the greenlet sleep."""
        self.when(self._after(seconds), getcurrent().switch)
        self.hub.switch()

    def _after(self, seconds: float) -> int:
        return self.at + round(max(0.0, seconds) * US_PER_S)

    def run(self, until_s: float) -> None:
        """Let time pass until so many seconds after the start. What a greenlet raises comes out here."""
        self.hub = getcurrent()
        until = self.START + round(until_s * US_PER_S)
        while self.heap and self.heap[0][0] <= until:
            self.at, _, _, call, arguments = heapq.heappop(self.heap)
            self.events += 1
            call(*arguments)
        self.at = max(self.at, until)

    def result(self) -> VirtualResult:
        """A value to wait for."""
        return VirtualResult(self)

    def slots(self, count: int) -> VirtualSlots:
        """A semaphore; waiters are served in the order they came."""
        return VirtualSlots(self, count)


class VirtualResult:
    """A value that is set once, by another greenlet.

    Attributes:
        waiting: The greenlets that wait for it, each in a list that is emptied when one is woken.
    """

    def __init__(self, world: VirtualWorld) -> None:
        self.world = world
        self.is_set = False
        self.value: Any = None
        self.waiting: list[list[greenlet | None]] = []

    def set(self, value: Any = None) -> None:  # noqa: ANN401 - whatever the waiter expects
        """Set the value and wake who waits for it; a second call does nothing."""
        if self.is_set:
            return
        self.is_set = True
        self.value = value
        for waiter in self.waiting:
            self.world.when(self.world.at, self._wake, waiter)

    @staticmethod
    def _wake(waiter: list[greenlet | None]) -> None:
        sleeper, waiter[0] = waiter[0], None
        if sleeper is not None:
            sleeper.switch()

    def get(self, block: bool = True, timeout: float | None = None) -> Any:  # noqa: ANN401 - whatever was set
        """Wait for the value; TimeoutError after `timeout` seconds."""
        if not self.is_set:
            waiter = [getcurrent()]
            self.waiting.append(waiter)
            if timeout is not None:
                self.world.when(self.world.at + round(timeout * US_PER_S), self._wake, waiter)
            self.world.hub.switch()
            if not self.is_set:
                raise TimeoutError
        return self.value

    wait = get


class VirtualSlots:
    """A semaphore; waiters are served in the order they came."""

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
            self.world.when(self.world.at, self.queue.popleft().switch)
        else:
            self.free += 1
