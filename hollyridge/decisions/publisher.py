"""The publisher: the lines, levels and bindings to send now, within the free capacity of the channel.

The order of priority is: urgent removals, removals of cold tasks, tables for proxies that wait for one, and finally
levels, changed limits and pushed weights by the largest change.
"""

from __future__ import annotations

from collections.abc import Collection
from functools import partial
from typing import NamedTuple

from hollyridge.decisions.admission import AdmissionController, Level
from hollyridge.decisions.backlog import BacklogEstimator
from hollyridge.decisions.cold_tables import FULL
from hollyridge.decisions.estimates import Estimates
from hollyridge.decisions.slow_start import WARM
from hollyridge.decisions.table_planner import Snapshot, TableContents, TablePlanner
from hollyridge.decisions.tables import Table
from hollyridge.interface import Command, SetAdmission, SetWeight

MIN_WEIGHT_CHANGE = 0.1  # smallest change to send, relative to the line or, for a small line, to 1/10 of the mean line
COLD_FALL = 0.75  # part of its line to which a cold task's weight has to fall to be sent without waiting for the gate
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
    """Changes of one table.

    Attributes:
        removed: Tasks whose lines are removed.
        changed: Tasks whose lines are set.
        levels: Changed levels by method.
        admitted_fraction: Largest fraction of the table's RPCs that the levels admit because all its tasks are cold.
    """

    removed: list[int]
    changed: list[int]
    levels: dict[int, Level]
    admitted_fraction: float = FULL

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
        self.cold_tables = planner.cold_tables
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
        table.awaits_lines = bool(wanted.weights) or not self.planner.endpoints.state
        removed = self._urgent_removals(table, batch)
        if removed and self._can_delay(number, removed, batch):
            self.has_deferred = True
            return []
        changed = self._changed_lines(table, wanted, removed, batch)
        if self._needs_cold_limit(table, wanted, batch):
            change = self._fit_cold_table(number, wanted, removed, changed, batch)
        else:
            levels = self._changed_levels(number, table, FULL)
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

        New tasks, changed limits and falling weights of cold tasks bypass the push gate, and so do all lines of a table
        that loses half its weight.
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
            or (task in batch.cold and weight < COLD_FALL * published[task])
            or (push and abs(weight - published[task]) > MIN_WEIGHT_CHANGE * max(published[task], min_weight))
        ]
        if not weights or any(task in published for task in weights):
            ready, cold = batch.snapshot.factors, batch.cold
            changed += [task for task in published if task not in weights and task in ready and task not in cold]
        return [task for task in changed if task not in removed]

    def _changed_levels(self, number: int, table: Table, max_fraction: float) -> dict[int, Level]:
        sent = table.levels
        zone = self.tables.zone_of(number)
        wanted = self.admission.wanted_levels(
            zone,
            max_fraction,
            self.planner.slow_start.failures_are_rare,
            sent,
            partial(self.estimates.offered_rates, self.tables.proxy_zone, zone),
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
        removed, changed, levels = change.removed, change.changed, change.levels
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
    def _needs_cold_limit(table: Table, wanted: TableContents, batch: Batch) -> bool:
        """Return whether a table holds or is to hold cold tasks only, or still has the level of such a table."""
        return table.admitted_fraction < FULL or (bool(wanted.weights) and batch.cold.issuperset(wanted.weights))

    def _fit_cold_table(
        self, number: int, wanted: TableContents, removed: list[int], changed: list[int], batch: Batch
    ) -> TableChange:
        """Reduce a change to the lines that fit into the channel, with the level that the tasks then listed can take.

        The level rises only with or after the lines that allow it, and falls together with the change that demands it.
        """
        table = self.tables[number]
        removed = removed + self._unlisted_cold(table, wanted, removed, batch)
        free_urgent = self._free_beside_levels(number, batch, urgent=True)
        removing = removed[: max(0, free_urgent)]
        kept = [task for task in table.weights if task not in removing or task in wanted.weights]
        allowed = self._admitted_fraction(number, kept, batch)
        is_urgent = bool(removing) or not kept or allowed < table.admitted_fraction
        free = free_urgent if is_urgent else self._free_beside_levels(number, batch, urgent=False)
        fitted = changed[: max(0, free - len(removing))]
        self.has_deferred = self.has_deferred or len(removing) < len(removed) or len(fitted) < len(changed)
        if free < 0:
            self.has_deferred = True
            return TableChange([], [], {}, table.admitted_fraction)
        listed = {task for task in (*kept, *fitted) if task in wanted.weights or task not in fitted}
        if not self.cold_tables.may_list(batch.snapshot.now_us, number, listed):
            fitted = []  # too few lines fit to be listed without the others
            listed = kept
        allowed = self._admitted_fraction(number, listed, batch)
        return TableChange(removing, fitted, self._changed_levels(number, table, allowed), allowed)

    def _admitted_fraction(self, number: int, tasks: Collection[int], batch: Batch) -> float:
        return self.cold_tables.admitted_fraction(batch.snapshot.now_us, number, tasks)

    def _free_beside_levels(self, number: int, batch: Batch, urgent: bool) -> int:
        """Return the lines that may be sent to a table's proxies beside its levels; below 0 if these do not fit."""
        proxies = self.tables[number].proxies
        holds_back = bool(proxies) and batch.has_waiting_proxies and not urgent
        free = 0 if holds_back else self.backlog.free_lines(batch.snapshot.now_us, proxies, urgent)
        return free - self.tables.methods_of(number).bit_count()

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
        table.admitted_fraction = change.admitted_fraction
        return commands
