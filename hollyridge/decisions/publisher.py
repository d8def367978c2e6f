"""The publisher: the lines, levels and bindings to send now, within the free capacity of the channel.

The order of priority is: urgent removals, removals of cold tasks, tables for proxies that wait for one, and finally
levels, changed limits and pushed weights by the largest change.
"""

from __future__ import annotations

from functools import partial

from hollyridge.decisions.admission import AdmissionController, Level
from hollyridge.decisions.backlog import BacklogEstimator
from hollyridge.decisions.channel_fit import Batch, ChannelFitter, TableChange
from hollyridge.decisions.estimates import Estimates
from hollyridge.decisions.slow_start import WARM
from hollyridge.decisions.table_planner import TableContents, TablePlanner
from hollyridge.decisions.tables import Table
from hollyridge.interface import Command, SetAdmission, SetWeight

MIN_WEIGHT_CHANGE = 0.1  # smallest change to send, relative to the line or, for a small line, to 1/10 of the mean line
CUT_WEIGHT_PART = 0.75  # a line counts as cut if its weight falls below this part of the published one
MAX_REMOVED_PART = 0.5  # part of a table's weight; if more is removed, the published weights of the rest are obsolete
REMOVAL_DELAY_DIVISOR = 4  # removals wait for further removals for at most a quarter of the grace
LONG_QUEUE_DIVISOR = 2  # removals wait for further removals behind a queue longer than half of the soft limit


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
        self.removals_since_us: dict[int, int] = {}  # time since which a table's removals have waited, by table
        self.planner = planner
        self.tables = planner.tables
        self.channel_fitter = ChannelFitter(planner.cold_tables, planner.tables, backlog)
        self.estimates = estimates
        self.admission = admission
        self.backlog = backlog
        self.has_deferred = False
        self.last_complete_at_us = 0

    def publish(self, now_us: int, push: bool) -> list[Command]:
        """Return the commands that are due; with `push`, include changed weights."""
        sent_before = self.backlog.sent
        batch = self._start_batch(now_us, push)
        removals = self._urgent_removals(batch)
        delayed = self._delay_removals(removals, batch)
        commands: list[Command] = []
        # The overflow table is published before the zones' tables, since it serves the methods that leave those.
        for number in reversed(range(len(self.tables))):
            if not (delayed and number in removals) and not self.tables.is_unused_slice(number):
                commands += self._publish_table(number, removals.get(number, []), batch)
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

    def _publish_table(self, number: int, removed: list[int], batch: Batch) -> list[Command]:
        table = self.tables[number]
        wanted = self.planner.contents(number, batch.snapshot)
        table.awaits_lines = bool(wanted.weights) or not self.planner.endpoints.state
        due = TableChange(removed, self._changed_lines(number, wanted, removed, batch), {})
        change = self.channel_fitter.fit(number, wanted, due, batch, partial(self._changed_levels, number))
        self.has_deferred = self.has_deferred or change.is_deferred
        self.backlog.reserve(batch.snapshot.now_us, table.proxies, change.lines())
        return self._apply(number, table, wanted, change)

    def _urgent_removals(self, batch: Batch) -> dict[int, list[int]]:
        """Return the tasks to remove from each table, for tables that have any.

        These are tasks that are no longer ready, and those that restarted while they were listed as warm.
        """
        ready, cold = batch.snapshot.factors, batch.cold
        removals: dict[int, list[int]] = {}
        for number in range(len(self.tables)):
            if self.tables.is_unused_slice(number):
                continue
            table = self.tables[number]
            removed = [
                task for task in table.weights if task not in ready or (task in cold and table.caps[task] >= WARM)
            ]
            if removed:
                removals[number] = removed
        return removals

    def _delay_removals(self, removals: dict[int, list[int]], batch: Batch) -> bool:
        """Return whether all removals wait for further ones.

        Tables share proxies, so that all waiting removals are sent as soon as those of one table cannot wait.
        """
        for number in removals:
            self.removals_since_us.setdefault(number, batch.snapshot.now_us)
        if removals and all(self._can_delay(number, removed, batch) for number, removed in removals.items()):
            self.has_deferred = True
            return True
        self.removals_since_us.clear()
        return False

    def _can_delay(self, number: int, removed: list[int], batch: Batch) -> bool:
        """Return whether removals may wait for further removals, which saves overhead and messages.

        They may wait behind a long queue, where the delay costs nothing, or until the next message to the proxies is
        due. They may not wait if they would remove the table's last line.
        """
        table = self.tables[number]
        now_us = batch.snapshot.now_us
        if len(removed) >= len(table.weights):
            return False
        if not table.proxies and number > self.tables.overflow:
            return False
        if batch.may_delay and batch.queue_is_long:
            return True
        next_message_us = self.backlog.next_urgent_message_us(now_us, table.proxies)
        return now_us < min(next_message_us, self.removals_since_us[number] + self.backlog.max_spacing_us)

    def _changed_lines(self, number: int, wanted: TableContents, removed: list[int], batch: Batch) -> list[int]:
        """Return the tasks whose lines are to be set or removed, apart from the urgent removals.

        New tasks and changed limits bypass the push gate, and so do all lines of a table that loses half its weight.
        Warm tasks that should no longer be in the table are removed unless that would leave it empty.
        """
        weights, caps = wanted
        published, published_caps = self.tables[number].weights, self.tables[number].caps
        min_weight = MIN_WEIGHT_CHANGE * sum(weights.values()) / max(len(weights), 1)
        mostly_removed = sum(published[task] for task in removed) > MAX_REMOVED_PART * sum(published.values())
        push = batch.push or mostly_removed
        falling_cold = self._falling_cold(number, wanted, batch)
        changed = [
            task
            for task, weight in weights.items()
            if task not in published
            or published_caps.get(task) != caps[task]
            or task in falling_cold
            or (push and abs(weight - published[task]) > MIN_WEIGHT_CHANGE * max(published[task], min_weight))
        ]
        if not weights or any(task in published for task in weights):
            ready, cold = batch.snapshot.factors, batch.cold
            changed += [task for task in published if task not in weights and task in ready and task not in cold]
        return [task for task in changed if task not in removed]

    def _falling_cold(self, number: int, wanted: TableContents, batch: Batch) -> set[int]:
        """Return the cold tasks whose lines have to fall with those of warm tasks that are cut, in a table of one zone.

        Otherwise the cold tasks get the work of the warm ones until the next push.
        """
        if self.tables.is_shared(number):
            return set()
        published = self.tables[number].weights
        cut = {task for task, weight in wanted.weights.items() if weight < CUT_WEIGHT_PART * published.get(task, 0.0)}
        return set() if cut <= batch.cold else cut & batch.cold

    def _changed_levels(self, number: int, max_fraction: float) -> dict[int, Level]:
        sent = self.tables[number].levels
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
