"""The log line of a decision: the tables and tasks that changed, by the cause of each change."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from hollyridge.interface import BindTable, Command, SetAdmission, SetWeight

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

MAX_CHANGES_PER_CAUSE = 40  # further changes are left out, so that the log line of a large decision stays readable
WEIGHT_DIGITS = 4  # decimal places of a logged weight

# Causes of a change. They are keys of the log line (docs/operators.md).
DRAIN = "drain"
SLOW_START = "slow_start"
WEIGHT_CONTROL = "weight_control"
SPILLOVER = "spillover"
BINDINGS = "bindings"
ADMISSION = "admission"


class DecisionSummary(NamedTuple):
    """Facts about a decision that its log line states besides the changes.

    Attributes:
        decision: Number of the decision.
        updates: Number of updates built for it.
        waiting_lines: Lines that wait in the queue to the proxies.
        refused: Number of refused commands, by reason.
    """

    decision: int
    updates: int
    waiting_lines: float
    refused: dict[str, int]


class DecisionLog:
    """Writer of the log lines of decisions.

    Args:
        is_closed: Returns whether a task must not be sent to.
        is_warming_up: Returns whether a task, at a time in microseconds, started less than the warm-up time ago.
    """

    def __init__(self, is_closed: Callable[[int], bool], is_warming_up: Callable[[int, int], bool]) -> None:
        self.is_closed = is_closed
        self.is_warming_up = is_warming_up

    def write(self, log: FilteringBoundLogger, now_us: int, commands: list[Command], summary: DecisionSummary) -> None:
        """Log a decision, unless it changed nothing and none of its commands was refused."""
        changes = self._changes_by_cause(now_us, commands)
        if not changes and not summary.refused:
            return
        log.info(
            "decision_published",
            version=summary.decision,
            messages=summary.updates,
            waiting=round(summary.waiting_lines),
            refused=summary.refused or None,
            **{cause: rows[:MAX_CHANGES_PER_CAUSE] for cause, rows in changes.items()},
        )

    def _changes_by_cause(self, now_us: int, commands: list[Command]) -> dict[str, list[tuple]]:
        """Return rows of (table, task, weight), (proxy, table) or (table, mask of methods, amount) by cause."""
        changes: dict[str, list[tuple]] = {}
        for command in commands:
            if type(command) is SetWeight:
                cause = self._cause_of(now_us, command)
                change = (command.table, command.task, round(command.weight, WEIGHT_DIGITS))
            elif type(command) is BindTable:
                cause = BINDINGS
                change = (command.proxy, command.table)
            elif type(command) is SetAdmission:
                cause = ADMISSION
                change = (command.table, command.methods, command.amount)
            else:
                continue
            changes.setdefault(cause, []).append(change)
        return changes

    def _cause_of(self, now_us: int, command: SetWeight) -> str:
        if self.is_closed(command.task):
            return DRAIN
        if self.is_warming_up(now_us, command.task):
            return SLOW_START
        return WEIGHT_CONTROL if command.weight > 0 else SPILLOVER
