"""The greenlet that runs the engine: it sleeps until the engine is due or an event has come in."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent.event import Event
from hdrh.histogram import HdrHistogram

from hollyridge.core.engine import Engine

CLOCK_ABOVE = 1_000_000_000  # us above the system's monotonic clock: the interface reads 0 as long past
MAX_RUN_US = 60_000_000  # the histogram's upper end
RUN_DIGITS = 3  # significant digits of the histogram
US_PER_S = 1e6


def monotonic_us() -> int:
    """Microseconds of a clock that never steps."""
    return time.monotonic_ns() // 1000 + CLOCK_ABOVE


class EventLoop:
    """Runs an engine until `stop`; everything else speaks to the engine between two runs, then calls `wake`.

    Attributes:
        engine: The engine; its owner is the greenlet that calls `run`.
        clock: The time in microseconds.
        spawn, sleep: For what works beside the engine; a simulation puts its own in their place.
        run_durations: Microseconds that each run of the engine took.
    """

    spawn = staticmethod(gevent.spawn)
    sleep = staticmethod(gevent.sleep)
    MIN_INTERVAL_S = 0.0005  # between two runs, so that events that come together are decided on together

    def __init__(
        self, engine: Engine, clock: Callable[[], int] = monotonic_us, min_interval_s: float = MIN_INTERVAL_S
    ) -> None:
        self.engine = engine
        self.clock = clock
        self.min_interval_s = min_interval_s
        self.work_available = Event()
        self.run_durations = HdrHistogram(1, MAX_RUN_US, RUN_DIGITS)
        self.stopping = False

    def wake(self) -> None:
        """Have the engine run soon: an event was submitted."""
        self.work_available.set()

    def run(self) -> None:
        """Block until `stop`.

        Raises:
            DecisionModuleError: The engine gave up.
        """
        while not self.stopping:
            self.work_available.clear()
            started_ns = time.perf_counter_ns()
            due_us = self.engine.run(self.clock())
            self.run_durations.record_value(max(1, (time.perf_counter_ns() - started_ns) // 1000))
            self.work_available.wait(max(self.min_interval_s, (due_us - self.clock()) / US_PER_S))
            gevent.sleep(self.min_interval_s)

    def stop(self) -> None:
        """Have `run` return after the present run."""
        self.stopping = True
        self.work_available.set()
