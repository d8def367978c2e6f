"""The machine on gevent: one greenlet owns it, everything else speaks to it between its turns."""

from __future__ import annotations

import time

import gevent
from gevent.event import Event
from hdrh.histogram import HdrHistogram

from hollyridge.core.engine import Engine

CLOCK_ABOVE = 1_000_000_000  # us above the system's monotonic clock: 0 is read as long past


def monotonic_us() -> int:
    """Microseconds of a clock that never steps."""
    return time.monotonic_ns() // 1000 + CLOCK_ABOVE


class EventLoop:
    """Runs a machine until `stop`. `nudge` after anything was told to it. `spawn` and `sleep` are for the fronts."""

    spawn, sleep = staticmethod(gevent.spawn), staticmethod(gevent.sleep)
    LEAST = 0.0005  # s between two runs, so that what comes together is decided together

    def __init__(self, machine: Engine, clock=monotonic_us, least: float = LEAST) -> None:
        self.machine, self.clock, self.least = machine, clock, least
        self.news = Event()
        self.turns = HdrHistogram(1, 60_000_000, 3)  # us that each run of the machine took
        self.stopping = False

    def nudge(self) -> None:
        self.news.set()

    def run(self) -> None:
        """Blocks. Raises what the machine raises when it gives up."""
        while not self.stopping:
            self.news.clear()
            begun = time.perf_counter_ns()
            due = self.machine.run(self.clock())
            self.turns.record_value(max(1, (time.perf_counter_ns() - begun) // 1000))
            self.news.wait(max(self.least, (due - self.clock()) / 1e6))
            gevent.sleep(self.least)

    def stop(self) -> None:
        self.stopping = True
        self.news.set()
