"""The publisher: the lines, levels and bindings to send now, within the free capacity of the channel.

The order of priority is: urgent removals, removals of cold tasks, tables for proxies that wait for one, and finally
levels, changed limits and pushed weights by the largest change.
"""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.decisions.admission import AdmissionController, Level
from hollyridge.decisions.backlog import BacklogEstimator
from hollyridge.decisions.estimates import Estimates
from hollyridge.decisions.slow_start import WARM
from hollyridge.decisions.table_planner import Snapshot, TableContents, TablePlanner
from hollyridge.decisions.tables import Table
from hollyridge.interface import Command, SetAdmission, SetWeight

MIN_WEIGHT_CHANGE = 0.1  # smallest change to send, relative to the line or, for a small line, to 1/10 of the mean line
MAX_REMOVED_PART = 0.5  # part of a table's weight; if more is removed, the published weights of the rest are obsolete
REMOVAL_DELAY_DIVISOR = 4  # removals wait for further removals for at most a quarter of the grace
LONG_QUEUE_DIVISOR = 2  # removals wait for further removals behind a queue longer than half of the soft limit


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
    """Changes of one table: tasks whose lines are removed, tasks whose lines are set, and levels by method."""

    removed: list[int]
    changed: list[int]
    levels: dict[int, Level]

    def lines(self) -> int:
        """Return the number of lines that the change costs."""
        return len(self.removed) + len(self.changed) + len(self.levels)


class Publisher:
    """Publisher of the differences between the planned contents of the tables and those last sent.

    Attributes:
        has_deferred: Some due changes did not fit into the channel, or wait for further changes.
        last_complete_at_us: Last time at which no due change was deferred.
    """

    def __init__(
        self,
        drain_grace_us: int,
        planner: TablePlanner,
        estimates: Estimates,
        admission: AdmissionController,
        backlog: BacklogEstimator,
    ) -> None:
        self.max_removal_delay_us = drain_grace_us // REMOVAL_DELAY_DIVISOR
        self.planner = planner
        self.tables = planner.tables
        self.estimates = estimates
        self.admission = admission
        self.backlog = backlog
        self.has_deferred = False
        self.last_complete_at_us = 0

    def publish(self, now_us: int, push: bool) -> list[Command]:
        """Return the commands that are due; with `push`, include changed weights."""
        sent_before = self.backlog.sent
        batch = self._start_batch(now_us, push)
        commands: list[Command] = []
        # The overflow table is published before the zones' tables, since it serves the methods that leave those.
        for number in reversed(range(len(self.tables))):
            if not self.tables.is_unused_slice(number):
                commands += self._publish_table(number, batch)
        commands += self.tables.bind_pending(now_us, self.backlog, self.estimates.joined_at_us)
        return commands + self.backlog.request_ack(sent_before)

    def _start_batch(self, now_us: int, push: bool) -> Batch:
        if not self.has_deferred:
            self.last_complete_at_us = now_us
        self.has_deferred = False
        snapshot = self.planner.snapshot(now_us)
        long_queue_lines = self.backlog.soft_backlog_limit / LONG_QUEUE_DIVISOR
        return Batch(
            snapshot=snapshot,
            cold={task for task, factor in snapshot.factors.items() if factor < WARM},
            push=push,
            may_delay=now_us < self.last_complete_at_us + self.max_removal_delay_us,
            queue_is_long=self.backlog.waiting() > long_queue_lines,
            has_waiting_proxies=self.tables.detect_join_wave(self.backlog.soft_backlog_limit),
        )

    def _publish_table(self, number: int, batch: Batch) -> list[Command]:
        table = self.tables[number]
        wanted = self.planner.contents(number, batch.snapshot)
        removed = self._urgent_removals(table, batch)
        if removed and self._can_delay(number, removed, batch):
            self.has_deferred = True
            return []
        changed = self._changed_lines(table, wanted, removed, batch)
        levels = self._changed_levels(number, table)
        change = self._fit_to_channel(table, wanted, TableChange(removed, changed, levels), batch)
        self.backlog.reserve(batch.snapshot.now_us, table.proxies, change.lines())
        return self._apply(number, table, wanted, change)

    @staticmethod
    def _urgent_removals(table: Table, batch: Batch) -> list[int]:
        """Return the tasks that are no longer ready, and those that restarted while they were listed as warm."""
        ready, cold, caps = batch.snapshot.factors, batch.cold, table.caps
        return [task for task in table.weights if task not in ready or (task in cold and caps[task] >= WARM)]

    def _can_delay(self, number: int, removed: list[int], batch: Batch) -> bool:
        """Return whether removals may wait for further removals, which saves overhead and messages.

        They may wait behind a long queue, where the delay costs nothing, or while few messages are left. They may not
        wait if they would remove the table's last line.
        """
        table = self.tables[number]
        if not batch.may_delay or len(removed) >= len(table.weights):
            return False
        if not table.proxies and number > self.tables.overflow:
            return False
        return batch.queue_is_long or self.backlog.messages_are_scarce(table.proxies)

    def _changed_lines(self, table: Table, wanted: TableContents, removed: list[int], batch: Batch) -> list[int]:
        """Return the tasks whose lines are to be set or removed, apart from the urgent removals.

        New tasks and changed limits bypass the push gate, and so do all lines of a table that loses half its weight.
        Warm tasks that should no longer be in the table are removed unless that would leave it empty.
        """
        weights, caps = wanted
        published, published_caps = table.weights, table.caps
        min_weight = MIN_WEIGHT_CHANGE * sum(weights.values()) / max(len(weights), 1)
        mostly_removed = sum(published[task] for task in removed) > MAX_REMOVED_PART * sum(published.values())
        push = batch.push or mostly_removed
        changed = [
            task
            for task, weight in weights.items()
            if task not in published
            or published_caps.get(task) != caps[task]
            or (push and abs(weight - published[task]) > MIN_WEIGHT_CHANGE * max(published[task], min_weight))
        ]
        if not weights or any(task in published for task in weights):
            ready, cold = batch.snapshot.factors, batch.cold
            changed += [task for task in published if task not in weights and task in ready and task not in cold]
        return [task for task in changed if task not in removed]

    def _changed_levels(self, number: int, table: Table) -> dict[int, Level]:
        sent = table.levels
        wanted = self.admission.wanted_levels(
            self.tables.zone_of(number),
            self.planner.slow_start.failures_are_rare,
            sent,
            self.estimates,
            self.tables.proxy_zone,
        )
        return {
            method: level
            for method, level in wanted.items()
            if sent[method] != level and self.tables.serves(number, method)
        }

    def _fit_to_channel(self, table: Table, wanted: TableContents, change: TableChange, batch: Batch) -> TableChange:
        """Reduce a change to the lines that fit into the channel.

        Removals have priority, but a table's last lines are replaced together with their removal.
        """
        proxies, published = table.proxies, table.weights
        removed, changed, levels = change
        free_urgent = self.backlog.free_lines(batch.snapshot.now_us, proxies, urgent=True)
        free_nonurgent = self.backlog.free_lines(batch.snapshot.now_us, proxies, urgent=False)
        free_after_removals = max(0, free_nonurgent - len(removed))
        unlisted = self._unlisted_cold(table, wanted, removed, batch)
        if len(unlisted) > free_after_removals:
            self.has_deferred = True
        removed = removed + unlisted[:free_after_removals]
        remaining = 0 if proxies and batch.has_waiting_proxies else free_after_removals - len(unlisted)
        levels = levels if len(levels) <= remaining else {}
        remaining = max(remaining - len(levels), 0)
        if len(removed) == len(published):
            remaining = max(remaining, free_urgent - len(removed))
        changed.sort(key=lambda task: (-abs(wanted.weights.get(task, 0.0) - published.get(task, 0.0)), task))
        fitted = TableChange(removed, changed[:remaining], levels)
        if fitted.lines() <= free_urgent:
            return fitted
        self.has_deferred = True
        return TableChange(removed[:free_urgent], [], {})

    @staticmethod
    def _unlisted_cold(table: Table, wanted: TableContents, removed: list[int], batch: Batch) -> list[int]:
        """Return the cold tasks that may no longer be listed; of all non-urgent changes their removal goes first."""
        weights, cold = wanted.weights, batch.cold
        return [task for task in table.weights if task not in weights and task in cold and task not in removed]

    @staticmethod
    def _apply(number: int, table: Table, wanted: TableContents, change: TableChange) -> list[Command]:
        """Record a change as sent and return its commands."""
        weights = wanted.weights
        tasks = change.changed + change.removed
        commands: list[Command] = [SetWeight(weights.get(task, 0.0), task, number) for task in tasks]
        commands += [SetAdmission(number, 1 << method, *level) for method, level in change.levels.items()]
        for task in tasks:
            if task in weights:
                table.weights[task] = weights[task]
                table.caps[task] = wanted.caps[task]
            else:
                del table.weights[task], table.caps[task]
        table.levels.update(change.levels)
        return commands
