"""What follows from a failure of the decision module: it is logged with the events that led to it, up to a limit."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

from hollyridge.errors import HollyridgeError
from hollyridge.interface import Event

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

MAX_FAILURES = 3  # within the window; one more and the engine gives up
FAILURE_WINDOW_US = 60_000_000
LOGGED_FRAMES = 3  # last parts of the traceback in the log line


class DecisionModuleError(HollyridgeError):
    """The decision module failed too often to go on."""


class FailureRecovery:
    """Counts failures of the decision module within a window of time."""

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
            DecisionModuleError: There were too many of them within the window.
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
