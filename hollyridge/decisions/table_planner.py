"""The table planner: what each table should hold now, before it is asked whether that is worth sending."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.decisions.endpoints import EndpointDirectory
from hollyridge.decisions.outliers import OutlierDetector
from hollyridge.decisions.slow_start import WARM, SlowStart
from hollyridge.decisions.tables import SLICES, TableSet
from hollyridge.decisions.weights import WeightController

OVERFLOW_FRACTION = 1 / 9  # of the warm tasks, left to separated methods
OVERFLOW_TASK_FACTOR = 1 / 16  # part of its weight that such a task keeps for the other methods
EVEN_WEIGHT = 1.0  # of each line in the overflow table
OVERFLOW_CAP = 2  # added to the cap of such a task, so that its line is sent when it becomes one


class Snapshot(NamedTuple):
    """The ready tasks at one moment.

    Attributes:
        now_us: That moment.
        factors: Slow-start factor by ready task.
        zone_tasks: Ready tasks by zone.
    """

    now_us: int
    factors: dict[int, float]
    zone_tasks: list[list[int]]


class TableContents(NamedTuple):
    """What a table should hold: weights by task, and by what each is limited."""

    weights: dict[int, float]
    caps: dict[int, float]


class TablePlanner:
    """Puts together what the other modules have decided of each task."""

    def __init__(
        self,
        endpoints: EndpointDirectory,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        weights: WeightController,
        tables: TableSet,
    ) -> None:
        self.endpoints = endpoints
        self.outliers = outliers
        self.slow_start = slow_start
        self.weights = weights
        self.tables = tables

    def slow_start_factors(self, now_us: int) -> dict[int, float]:
        """Part of a warm task's work that each ready task may get."""
        started_at_us = self.endpoints.started_at_us
        return {task: self.slow_start.factor(now_us, started_at_us[task]) for task in self.endpoints.ready_tasks()}

    def snapshot(self, now_us: int) -> Snapshot:
        """The ready tasks now."""
        return Snapshot(now_us, self.slow_start_factors(now_us), self.endpoints.ready_by_zone())

    def contents(self, number: int, snapshot: Snapshot) -> TableContents:
        """What a table should hold."""
        if number == self.tables.overflow:
            tasks = self._overflow_tasks(snapshot)
            return TableContents(dict.fromkeys(tasks, EVEN_WEIGHT), dict.fromkeys(tasks, WARM))
        if self.tables.is_slice(number):
            return self._slice(number, snapshot)
        return self._zone_table(number, snapshot)

    def _overflow_tasks(self, snapshot: Snapshot) -> list[int]:
        """The warm tasks of the least weight, while separated methods use them."""
        if not self.tables.methods_separated and not self.tables[self.tables.overflow].proxies:
            return []
        warm = [(self.weights.weight[task], task) for task, factor in snapshot.factors.items() if factor >= WARM]
        count = max(1, round(len(warm) * OVERFLOW_FRACTION))
        return [task for _, task in sorted(warm)[:count]]

    def _slice(self, number: int, snapshot: Snapshot) -> TableContents:
        """A share of the home table where there is one, and otherwise of the zone's; all of it if no share is warm."""
        whole_number = self.tables.zone_of(number)
        if self.tables.zone_local_methods:
            whole_number += self.tables.first_home
        whole = self.contents(whole_number, snapshot)
        share = (number - self.tables.overflow - 1) % SLICES
        tasks = [task for task in whole.weights if self.endpoints.rank[task] % SLICES == share]
        if not any(snapshot.factors[task] >= WARM for task in tasks):
            tasks = list(whole.weights)
        return TableContents({task: whole.weights[task] for task in tasks}, {task: whole.caps[task] for task in tasks})

    def _zone_table(self, number: int, snapshot: Snapshot) -> TableContents:
        zone = self.tables.zone_of(number)
        factors = snapshot.factors
        outlier_factor = self.outliers.factor[zone]
        overflow_tasks = self._overflow_tasks(snapshot)
        weights = self.weights.table_weights(zone, snapshot.zone_tasks)
        if self.tables.all_zone_local or number >= self.tables.first_home:
            home = self.endpoints.zone
            weights = {task: weight for task, weight in weights.items() if home[task] == zone}
        if self.weights.proposed[zone].weights:
            weights = self._limit_cold_lines(weights, factors)
        weights = {
            task: weight * outlier_factor[task] * (OVERFLOW_TASK_FACTOR if task in overflow_tasks else 1.0)
            for task, weight in weights.items()
        }
        caps = {
            task: outlier_factor[task] * factors[task] + OVERFLOW_CAP * (task in overflow_tasks) for task in weights
        }
        return TableContents(self.slow_start.limit_weights(weights, factors, outlier_factor), caps)

    @staticmethod
    def _limit_cold_lines(weights: dict[int, float], factors: dict[int, float]) -> dict[int, float]:
        """For a proposal of few lines: no cold task gets more than it would if the table held all tasks."""
        even_weight = sum(weights.values()) / sum(factors.values())
        return {
            task: weight if factors[task] >= WARM else min(weight / factors[task], even_weight)
            for task, weight in weights.items()
        }
