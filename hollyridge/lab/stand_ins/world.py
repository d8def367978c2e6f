"""Time and waiting for stand-ins: real (gevent) or simulated, behind one small surface.

In the simulated world everything runs in one process, as fast as it can: a heap of what is due, and greenlets that
wait for it. Things due at the same moment happen in the order they were asked for; with `ties` they are shuffled
by a seeded generator instead, to see whether a result hangs on that order.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from random import Random

import gevent
import gevent.event
import gevent.lock
from greenlet import getcurrent, greenlet

from hollyridge.lab.reports.record import now_us


class LiveWorld:
    """Wraps gevent; times in seconds, moments in microseconds of the monotonic clock."""

    def now(self) -> int:
        return now_us()

    def sleep(self, seconds: float) -> None:
        gevent.sleep(max(0.0, seconds))

    def spawn(self, call: Callable, *words):
        return gevent.spawn(call, *words)

    def later(self, seconds: float, call: Callable, *words) -> None:
        gevent.spawn_later(seconds, call, *words)

    def result(self) -> LiveResult:
        return LiveResult()

    def slots(self, count: int) -> gevent.lock.BoundedSemaphore:
        return gevent.lock.BoundedSemaphore(count)


class LiveResult(gevent.event.AsyncResult):
    def get(self, block=True, timeout=None):
        """TimeoutError where nothing came in time."""
        try:
            return super().get(block, timeout)
        except gevent.Timeout:
            raise TimeoutError from None


class VirtualWorld:
    """
    >>> world, seen = VirtualWorld(), []
    >>> def walk(name, step):
    ...     for _ in range(2):
    ...         world.sleep(step)
    ...         seen.append(((world.now() - world.START) // 1000, name))
    >>> _ = world.spawn(walk, "a", 0.002), world.spawn(walk, "b", 0.003)
    >>> world.run(1.0); seen
    [(2, 'a'), (3, 'b'), (4, 'a'), (6, 'b')]
    """

    START = 1_000_000_000  # us; well above 0, which stands for long past

    def __init__(self, ties: int | None = None) -> None:
        self.at, self.number = self.START, 0
        self.heap: list[tuple] = []
        self.hub = getcurrent()
        self.shuffle = Random(ties).random if ties is not None else None
        self.events = 0

    def now(self) -> int:
        return self.at

    def when(self, moment: int, call: Callable, *words) -> None:
        self.number += 1
        tie = self.shuffle() if self.shuffle else 0.0
        heapq.heappush(self.heap, (max(moment, self.at), tie, self.number, call, words))

    def later(self, seconds: float, call: Callable, *words) -> None:
        self.when(self.at + round(max(0.0, seconds) * 1e6), self.start, call, words)

    def spawn(self, call: Callable, *words) -> None:
        self.when(self.at, self.start, call, words)

    def start(self, call: Callable, words: tuple) -> None:
        greenlet(call, self.hub).switch(*words)

    def sleep(self, seconds: float) -> None:
        self.when(self.at + round(max(0.0, seconds) * 1e6), getcurrent().switch)
        self.hub.switch()

    def run(self, until_s: float) -> None:
        """Let this much time pass. What a greenlet raises comes out here."""
        self.hub = getcurrent()
        until = self.START + round(until_s * 1e6)
        while self.heap and self.heap[0][0] <= until:
            self.at, _, _, call, words = heapq.heappop(self.heap)
            self.events += 1
            call(*words)
        self.at = max(self.at, until)

    def result(self) -> VirtualResult:
        return VirtualResult(self)

    def slots(self, count: int) -> VirtualSlots:
        return VirtualSlots(self, count)


class VirtualResult:
    """Something that will be there once."""

    def __init__(self, world: VirtualWorld) -> None:
        self.world, self.there, self.value, self.waiting = world, False, None, []

    def set(self, value=None) -> None:
        if not self.there:
            self.there, self.value = True, value
            for waiter in self.waiting:
                self.world.when(self.world.at, self.wake, waiter)

    def wake(self, waiter: list) -> None:
        if waiter[0] is not None:
            sleeper, waiter[0] = waiter[0], None
            sleeper.switch()

    def get(self, block: bool = True, timeout: float | None = None):
        if not self.there:
            waiter = [getcurrent()]
            self.waiting.append(waiter)
            if timeout is not None:
                self.world.when(self.world.at + round(timeout * 1e6), self.wake, waiter)
            self.world.hub.switch()
            if not self.there:
                raise TimeoutError
        return self.value

    wait = get


class VirtualSlots:
    """So many at once; others wait in the order they came."""

    def __init__(self, world: VirtualWorld, count: int) -> None:
        self.world, self.free, self.queue = world, count, deque()

    def __enter__(self) -> None:
        if self.free > 0:
            self.free -= 1
        else:
            self.queue.append(getcurrent())
            self.world.hub.switch()

    def __exit__(self, *_trouble) -> None:
        if self.queue:
            self.world.when(self.world.at, self.queue.popleft().switch)
        else:
            self.free += 1
