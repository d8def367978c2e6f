"""Handling of failures of the decision module: each is logged, and too many of them end the engine."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

from hollyridge.errors import HollyridgeError
from hollyridge.interface import Event

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

MAX_FAILURES = 3  # tolerated within the window
FAILURE_WINDOW_US = 60_000_000
LOGGED_FRAMES = 3  # number of entries from the end of the traceback that are logged


class DecisionModuleError(HollyridgeError):
    """The decision module has failed too often."""


class FailureRecovery:
    """Counter of the decision module's failures within `FAILURE_WINDOW_US`."""

    def __init__(self) -> None:
        self.failed_at_us: deque[int] = deque()

    def record(
        self,
        log: FilteringBoundLogger,
        now_us: int,
        decision: int,
        error: Exception,
        recent_events: Iterable[tuple[int, Event]],
    ) -> None:
        """Log a failure with the events that led to it.

        Raises:
            DecisionModuleError: There were more than `MAX_FAILURES` within the window.
        """
        log.error(
            "decision_module_failed",
            version=decision,
            error=f"{type(error).__name__}: {error}",
            traceback=traceback.format_exception(error)[-LOGGED_FRAMES:],
            events=[repr(timed_event) for timed_event in recent_events],
        )
        self.failed_at_us.append(now_us)
        while self.failed_at_us[0] < now_us - FAILURE_WINDOW_US:
            self.failed_at_us.popleft()
        if len(self.failed_at_us) > MAX_FAILURES:
            raise DecisionModuleError(
                f"the decision module failed {len(self.failed_at_us)} times within "
                f"{FAILURE_WINDOW_US // 1_000_000} s, last at decision {decision}"
            ) from error
