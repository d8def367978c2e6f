"""Reduction of a table's change to the lines and levels that fit into the channel to the proxies now."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hollyridge.decisions.admission import FULL_FRACTION, Level
from hollyridge.decisions.backlog import BacklogEstimator
from hollyridge.decisions.cold_tables import ColdTableLimiter
from hollyridge.decisions.table_planner import Snapshot, TableContents
from hollyridge.decisions.tables import Table, TableSet


class Batch(NamedTuple):
    """State of one publication that is common to all tables.

    Attributes:
        snapshot: The ready tasks.
        cold: The ready tasks that are still warming up.
        push: The push gate has allowed a push of weights.
        may_delay: Removals may still wait for further removals.
        queue_is_long: The backlog is so long that delaying removals saves channel capacity.
        has_waiting_proxies: Some proxies have no table yet, so non-urgent changes are held back.
    """

    snapshot: Snapshot
    cold: set[int]
    push: bool
    may_delay: bool
    queue_is_long: bool
    has_waiting_proxies: bool


class TableChange(NamedTuple):
    """Changes of one table.

    Attributes:
        removed: Tasks whose lines are removed, or replaced at once.
        changed: Tasks whose lines are set or removed when there is room.
        levels: Changed levels by method.
        admitted_fraction: Largest fraction of the table's RPCs that the levels admit because all its tasks are cold.
        is_deferred: A part that should not wait did not fit.
    """

    removed: list[int]
    changed: list[int]
    levels: dict[int, Level]
    admitted_fraction: float = FULL_FRACTION
    is_deferred: bool = False

    def lines(self) -> int:
        """Return the number of lines that the change costs."""
        return len(self.removed) + len(self.changed) + len(self.levels)


class ChannelFitter:
    """Fitter of changes to the free capacity of the channel."""

    def __init__(self, cold_tables: ColdTableLimiter, tables: TableSet, backlog: BacklogEstimator) -> None:
        self.cold_tables = cold_tables
        self.tables = tables
        self.backlog = backlog

    def fit(
        self,
        number: int,
        wanted: TableContents,
        change: TableChange,
        batch: Batch,
        changed_levels: Callable[[float], dict[int, Level]],
    ) -> TableChange:
        """Return the part of a change that fits, with the levels that belong to it.

        Args:
            number: Number of the table.
            wanted: Contents that the table should have.
            change: The due lines, without levels.
            batch: State of the publication.
            changed_levels: Returns the levels that change if the table may admit at most a fraction of its RPCs.
        """
        table = self.tables[number]
        if self._needs_cold_limit(table, wanted, batch):
            return self._fit_cold_table(number, wanted, change, batch, changed_levels)
        return self._fit_table(table, wanted, change._replace(levels=changed_levels(FULL_FRACTION)), batch)

    def _fit_table(self, table: Table, wanted: TableContents, change: TableChange, batch: Batch) -> TableChange:
        """Return the part of a change that fits.

        Removals have priority, but a table's last lines are replaced together with their removal.
        """
        proxies, published = table.proxies, table.weights
        free_urgent = self.backlog.free_lines(batch.snapshot.now_us, proxies, urgent=True)
        free_nonurgent = self.backlog.free_lines(
            batch.snapshot.now_us, proxies, urgent=False, beside_urgent=bool(change.removed)
        )
        free_after_removals = max(0, free_nonurgent - len(change.removed))
        unlisted = _unlisted_cold(table, wanted, change.removed, batch)
        removed = change.removed + unlisted[:free_after_removals]
        remaining = 0 if proxies and batch.has_waiting_proxies else free_after_removals - len(unlisted)
        levels = change.levels if len(change.levels) <= remaining else {}
        remaining = max(remaining - len(levels), 0)
        if len(removed) == len(published):
            remaining = max(remaining, free_urgent - len(removed))
        by_difference = sorted(
            change.changed, key=lambda task: (-abs(wanted.weights.get(task, 0.0) - published.get(task, 0.0)), task)
        )
        is_deferred = len(unlisted) > free_after_removals
        fitted = TableChange(removed, by_difference[:remaining], levels, is_deferred=is_deferred)
        if fitted.lines() <= free_urgent:
            return fitted
        return TableChange(removed[:free_urgent], [], {}, is_deferred=True)

    def _fit_cold_table(
        self,
        number: int,
        wanted: TableContents,
        change: TableChange,
        batch: Batch,
        changed_levels: Callable[[float], dict[int, Level]],
    ) -> TableChange:
        """Return the part of a change that fits, with the level that the tasks that are then listed can take.

        The level rises only with or after the lines that allow it, and falls together with the change that demands it.
        """
        table, now_us = self.tables[number], batch.snapshot.now_us
        removed = change.removed + _unlisted_cold(table, wanted, change.removed, batch)
        free_urgent = self._free_beside_levels(number, batch, urgent=True)
        removing = removed[: max(0, free_urgent)]
        kept = [task for task in table.weights if task not in removing or task in wanted.weights]
        allowed = self.cold_tables.admitted_fraction(now_us, number, kept)
        is_urgent = bool(removed) or not kept or allowed < table.admitted_fraction
        free = free_urgent if is_urgent else self._free_beside_levels(number, batch, urgent=False)
        if free < 0:
            return TableChange([], [], {}, table.admitted_fraction, is_deferred=is_urgent)
        fitted = change.changed[: free - len(removing)]
        is_deferred = is_urgent and len(removing) + len(fitted) < len(removed) + len(change.changed)
        listed = {task for task in (*kept, *fitted) if task in wanted.weights or task not in fitted}
        if not self.cold_tables.may_list(now_us, number, listed):
            fitted = []  # too few lines fit to be listed without the others
            listed = kept
        allowed = self.cold_tables.admitted_fraction(now_us, number, listed)
        return TableChange(removing, fitted, changed_levels(allowed), allowed, is_deferred)

    def _free_beside_levels(self, number: int, batch: Batch, urgent: bool) -> int:
        """Return the lines that may be sent to a table's proxies beside its levels; below 0 if these do not fit."""
        proxies = self.tables[number].proxies
        holds_back = bool(proxies) and batch.has_waiting_proxies and not urgent
        free = 0 if holds_back else self.backlog.free_lines(batch.snapshot.now_us, proxies, urgent)
        return free - self.tables.methods_of(number).bit_count()

    @staticmethod
    def _needs_cold_limit(table: Table, wanted: TableContents, batch: Batch) -> bool:
        """Return whether a table holds or is to hold cold tasks only, or still has the level of such a table."""
        return table.admitted_fraction < FULL_FRACTION or (
            bool(wanted.weights) and batch.cold.issuperset(wanted.weights)
        )


def _unlisted_cold(table: Table, wanted: TableContents, removed: list[int], batch: Batch) -> list[int]:
    """Return the cold tasks that may no longer be listed; of all non-urgent changes their removal goes first."""
    weights, cold = wanted.weights, batch.cold
    return [task for task in table.weights if task not in weights and task in cold and task not in removed]
