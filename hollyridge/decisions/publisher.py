"""The publisher: which lines, levels and bindings are sent now, within the room that the channel has.

In order: removals that can't wait, removals of cold tasks, tables for proxies that wait for one, and then levels,
changed limits and pushed weights by the largest change.
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

MIN_WEIGHT_CHANGE = 0.1  # relative change of a line that is worth sending; of small lines, of the mean line
LOST_WEIGHT = 0.5  # part of a table's weight; where more is removed, what the rest were left says nothing any more
REMOVAL_DELAY_DIVISOR = 4  # removals wait for others for a quarter of the grace at most
LONG_QUEUE_DIVISOR = 2  # half of the soft limit; behind a longer queue removals wait for others


class Batch(NamedTuple):
    """What holds for all tables of one publication.

    Attributes:
        snapshot: The ready tasks.
        cold: Those that are warming up.
        push: The push gate has let weights go.
        may_delay: Removals may still wait for others.
        queue_is_long: So much waits already that this saves the channel something.
        proxies_wait: Some proxies have no table yet, so nothing goes that can wait.
    """

    snapshot: Snapshot
    cold: set[int]
    push: bool
    may_delay: bool
    queue_is_long: bool
    proxies_wait: bool


class TableChange(NamedTuple):
    """Tasks whose lines are removed, tasks whose lines are set, and levels by method."""

    removed: list[int]
    changed: list[int]
    levels: dict[int, Level]

    def lines(self) -> int:
        """Lines that it costs."""
        return len(self.removed) + len(self.changed) + len(self.levels)


class Publisher:
    """Compares what tables should hold with what was last ordered.

    Attributes:
        has_deferred: Something that is due found no room, or waits for more of its kind.
        complete_at_us: When all that was due had last been sent.
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
        self.complete_at_us = 0

    def publish(self, now_us: int, push: bool) -> list[Command]:
        """Sends what is due; with `push` also weights that have changed."""
        sent_before = self.backlog.sent
        batch = self._start_batch(now_us, push)
        commands: list[Command] = []
        # The overflow table goes before the zones' tables: lines for the methods that leave these.
        for number in reversed(range(len(self.tables))):
            if not self.tables.is_unused_slice(number):
                commands += self._publish_table(number, batch)
        commands += self.tables.bind_waiting(now_us, self.backlog, self.estimates.joined_at_us)
        return commands + self.backlog.request_ack(sent_before)

    def _start_batch(self, now_us: int, push: bool) -> Batch:
        if not self.has_deferred:
            self.complete_at_us = now_us
        self.has_deferred = False
        snapshot = self.planner.snapshot(now_us)
        long_queue = self.backlog.soft_backlog_limit / LONG_QUEUE_DIVISOR
        return Batch(
            snapshot=snapshot,
            cold={task for task, factor in snapshot.factors.items() if factor < WARM},
            push=push,
            may_delay=now_us < self.complete_at_us + self.max_removal_delay_us,
            queue_is_long=self.backlog.waiting() > long_queue,
            proxies_wait=self.tables.detect_join_wave(self.backlog.soft_backlog_limit),
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
        change = self._fit(table, wanted, TableChange(removed, changed, levels), batch)
        self.backlog.reserve(batch.snapshot.now_us, table.proxies, change.lines())
        return self._apply(number, table, wanted, change)

    @staticmethod
    def _urgent_removals(table: Table, batch: Batch) -> list[int]:
        """What can't wait: tasks that are not ready, and such as started again while they were listed as warm."""
        ready, cold, caps = batch.snapshot.factors, batch.cold, table.caps
        return [task for task in table.weights if task not in ready or (task in cold and caps[task] >= WARM)]

    def _can_delay(self, number: int, removed: list[int], batch: Batch) -> bool:
        """Whether removals wait a little for more of them: nothing is lost, and overhead and messages are saved.

        They do behind a long queue, or with few messages left, unless they would take out the table's last line.
        """
        table = self.tables[number]
        if not batch.may_delay or len(removed) >= len(table.weights):
            return False
        if not table.proxies and number > self.tables.overflow:
            return False
        return batch.queue_is_long or self.backlog.messages_are_scarce(table.proxies)

    def _changed_lines(self, table: Table, wanted: TableContents, removed: list[int], batch: Batch) -> list[int]:
        """Lines to set, and to remove with them, beside the urgent removals.

        New tasks and changed limits go beside the push gate, and so does all of a table that loses half its weight.
        Warm tasks that are no longer wanted leave with the rest, while others stay.
        """
        weights, caps = wanted
        before, caps_before = table.weights, table.caps
        min_weight = MIN_WEIGHT_CHANGE * sum(weights.values()) / max(len(weights), 1)
        lost = sum(before[task] for task in removed) > LOST_WEIGHT * sum(before.values())
        push = batch.push or lost
        changed = [
            task
            for task, weight in weights.items()
            if task not in before
            or caps_before.get(task) != caps[task]
            or (push and abs(weight - before[task]) > MIN_WEIGHT_CHANGE * max(before[task], min_weight))
        ]
        if not weights or any(task in before for task in weights):
            ready, cold = batch.snapshot.factors, batch.cold
            changed += [task for task in before if task not in weights and task in ready and task not in cold]
        return [task for task in changed if task not in removed]

    def _changed_levels(self, number: int, table: Table) -> dict[int, Level]:
        sent = table.levels
        wanted = self.admission.wanted_levels(
            self.tables.zone_of(number), self.planner.slow_start.calm, sent, self.estimates, self.tables.proxy_zone
        )
        return {
            method: level
            for method, level in wanted.items()
            if sent[method] != level and self.tables.serves(number, method)
        }

    def _fit(self, table: Table, wanted: TableContents, change: TableChange, batch: Batch) -> TableChange:
        """Cuts a change down to the room there is: removals first, but a table's last lines with others."""
        proxies, before = table.proxies, table.weights
        removed, changed, levels = change
        room = self.backlog.free_lines(batch.snapshot.now_us, proxies, urgent=True)
        usual_room = self.backlog.free_lines(batch.snapshot.now_us, proxies, urgent=False)
        free = max(0, usual_room - len(removed))
        unlisted = self._unlisted_cold(table, wanted, removed, batch)
        if len(unlisted) > free:
            self.has_deferred = True
        removed = removed + unlisted[:free]
        spare = 0 if proxies and batch.proxies_wait else free - len(unlisted)
        levels = levels if len(levels) <= spare else {}
        spare = max(spare - len(levels), 0)
        if len(removed) == len(before):
            spare = max(spare, room - len(removed))
        changed.sort(key=lambda task: (-abs(wanted.weights.get(task, 0.0) - before.get(task, 0.0)), task))
        fitted = TableChange(removed, changed[:spare], levels)
        if fitted.lines() <= room:
            return fitted
        self.has_deferred = True
        return TableChange(removed[:room], [], {})

    @staticmethod
    def _unlisted_cold(table: Table, wanted: TableContents, removed: list[int], batch: Batch) -> list[int]:
        """Cold tasks that may no longer be listed: first of all that can wait."""
        weights, cold = wanted.weights, batch.cold
        return [task for task in table.weights if task not in weights and task in cold and task not in removed]

    @staticmethod
    def _apply(number: int, table: Table, wanted: TableContents, change: TableChange) -> list[Command]:
        """Notes a change as ordered and returns the commands for it."""
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
