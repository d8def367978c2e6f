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
    MIN_INTERVAL_S = 0.0005  # s between two runs, so that what comes together is decided together

    def __init__(self, engine: Engine, clock=monotonic_us, min_interval_s: float = MIN_INTERVAL_S) -> None:
        self.engine, self.clock, self.min_interval_s = engine, clock, min_interval_s
        self.work_available = Event()
        self.run_durations = HdrHistogram(1, 60_000_000, 3)  # us that each run of the machine took
        self.stopping = False

    def wake(self) -> None:
        self.work_available.set()

    def run(self) -> None:
        """Blocks. Raises what the machine raises when it gives up."""
        while not self.stopping:
            self.work_available.clear()
            begun = time.perf_counter_ns()
            due = self.engine.run(self.clock())
            self.run_durations.record_value(max(1, (time.perf_counter_ns() - begun) // 1000))
            self.work_available.wait(max(self.min_interval_s, (due - self.clock()) / 1e6))
            gevent.sleep(self.min_interval_s)

    def stop(self) -> None:
        self.stopping = True
        self.work_available.set()
