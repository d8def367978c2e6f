"""The greenlet that runs the engine. It sleeps until the engine is due or an event was submitted."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent.event import Event
from hdrh.histogram import HdrHistogram

from hollyridge.core.engine import Engine
from hollyridge.core.input_turns import InputTurns

CLOCK_OFFSET_US = 1_000_000_000  # us added to the monotonic clock, since the interface reads time 0 as long past
MAX_RUN_US = 60_000_000  # upper end of the histogram of run durations
RUN_DIGITS = 3  # significant digits of that histogram
US_PER_S = 1e6


def monotonic_us() -> int:
    """Return the time of a clock that never steps, in microseconds."""
    return time.monotonic_ns() // 1000 + CLOCK_OFFSET_US


class EventLoop:
    """Loop that runs an engine until `stop`. Other greenlets call the engine between two runs, then `wake`.

    Attributes:
        engine: The engine, owned by the greenlet that calls `run`.
        clock: Returns the time, in microseconds.
        spawn, sleep: Functions for greenlets beside the engine. A simulation replaces them by its own.
        input_turns: Turns of the connections with much input, of all servers of the process.
        run_durations: Histogram of the duration of the engine's runs, in microseconds.
    """

    spawn = staticmethod(gevent.spawn)
    sleep = staticmethod(gevent.sleep)
    MIN_INTERVAL_S = 0.0005  # between two runs, so that one decision covers events that arrive together

    def __init__(
        self, engine: Engine, clock: Callable[[], int] = monotonic_us, min_interval_s: float = MIN_INTERVAL_S
    ) -> None:
        self.engine = engine
        self.clock = clock
        self.min_interval_s = min_interval_s
        self.work_available = Event()
        self.input_turns = InputTurns()
        self.run_durations = HdrHistogram(1, MAX_RUN_US, RUN_DIGITS)
        self.stopping = False

    def wake(self) -> None:
        """Run the engine soon, since an event was submitted."""
        self.work_available.set()

    def run(self) -> None:
        """Run the engine until `stop`.

        Raises:
            DecisionModuleError: The decision module has failed too often.
        """
        while not self.stopping:
            self.work_available.clear()
            started_ns = time.perf_counter_ns()
            due_us = self.engine.run(self.clock())
            self.run_durations.record_value(max(1, (time.perf_counter_ns() - started_ns) // 1000))
            self.work_available.wait(max(self.min_interval_s, (due_us - self.clock()) / US_PER_S))
            gevent.sleep(self.min_interval_s)

    def stop(self) -> None:
        """Make `run` return after the current run of the engine."""
        self.stopping = True
        self.work_available.set()
