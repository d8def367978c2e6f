"""The table planner: the contents that each table should have now, whether or not they are worth sending."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.decisions.cold_tables import ColdTableLimiter
from hollyridge.decisions.endpoints import EndpointDirectory
from hollyridge.decisions.outliers import OutlierDetector
from hollyridge.decisions.slow_start import WARM, SlowStart
from hollyridge.decisions.tables import SLICES, TableSet
from hollyridge.decisions.weights import WeightController

OVERFLOW_FRACTION = 1 / 9  # part of the warm tasks that serves the separated methods
OVERFLOW_TASK_FACTOR = 1 / 16  # part of its weight that such a task keeps in the tables of the other methods
OVERFLOW_LINE_WEIGHT = 1.0  # weight of each line in the overflow table
OVERFLOW_CAP = 2  # added to the cap of such a task, so that its line is sent when it joins or leaves that table


class Snapshot(NamedTuple):
    """The ready tasks at one moment.

    Attributes:
        now_us: Time of the snapshot.
        factors: Slow-start factor by ready task.
        zone_tasks: Ready tasks by zone.
    """

    now_us: int
    factors: dict[int, float]
    zone_tasks: list[list[int]]


class TableContents(NamedTuple):
    """Planned contents of a table.

    Attributes:
        weights: Weight by task.
        caps: Factor that limits the weight, by task; a changed cap is sent without waiting for the push gate.
    """

    weights: dict[int, float]
    caps: dict[int, float]


class TablePlanner:
    """Planner that combines the decisions of the other modules into the contents of tables."""

    def __init__(  # noqa: PLR0913, PLR0917 - called in one place, with all decisions that it combines
        self,
        endpoints: EndpointDirectory,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        weights: WeightController,
        tables: TableSet,
        cold_tables: ColdTableLimiter,
    ) -> None:
        self.endpoints = endpoints
        self.outliers = outliers
        self.slow_start = slow_start
        self.weights = weights
        self.tables = tables
        self.cold_tables = cold_tables

    def slow_start_factors(self, now_us: int) -> dict[int, float]:
        """Return the slow-start factor of each ready task."""
        started_at_us = self.endpoints.started_at_us
        return {task: self.slow_start.factor(now_us, started_at_us[task]) for task in self.endpoints.ready_tasks()}

    def snapshot(self, now_us: int) -> Snapshot:
        """Return the ready tasks now."""
        return Snapshot(now_us, self.slow_start_factors(now_us), self.endpoints.ready_by_zone())

    def contents(self, number: int, snapshot: Snapshot) -> TableContents:
        """Return the contents that a table should have."""
        if number == self.tables.overflow:
            tasks = self._overflow_tasks(snapshot)
            return TableContents(dict.fromkeys(tasks, OVERFLOW_LINE_WEIGHT), dict.fromkeys(tasks, WARM))
        contents = self._slice(number, snapshot) if self.tables.is_slice(number) else self._zone_table(number, snapshot)
        if not self.cold_tables.may_list(snapshot.now_us, number, contents.weights):
            return TableContents({}, {})
        return contents

    def _overflow_tasks(self, snapshot: Snapshot) -> list[int]:
        """Return the warm tasks of least weight while separated methods use the overflow table, otherwise none."""
        if not self.tables.methods_separated and not self.tables[self.tables.overflow].proxies:
            return []
        warm = [(self.weights.weight[task], task) for task, factor in snapshot.factors.items() if factor >= WARM]
        count = max(1, round(len(warm) * OVERFLOW_FRACTION))
        return [task for _, task in sorted(warm)[:count]]

    def _slice(self, number: int, snapshot: Snapshot) -> TableContents:
        """Return the contents of a slice of the zone's table, or of the home table where there is one.

        If the slice would hold no warm task, it holds the whole table.
        """
        whole_table_number = self.tables.zone_of(number)
        if self.tables.zone_local_methods:
            whole_table_number += self.tables.first_home
        whole_table = self._zone_table(whole_table_number, snapshot)
        share_index = (number - self.tables.overflow - 1) % SLICES
        tasks = [task for task in whole_table.weights if self.endpoints.rank[task] % SLICES == share_index]
        if not any(snapshot.factors[task] >= WARM for task in tasks):
            tasks = list(whole_table.weights)
        weights = {task: whole_table.weights[task] for task in tasks}
        if not self.tables.is_shared(number):
            weights = self.cold_tables.limit_weights(snapshot.now_us, number, weights)
        return TableContents(weights, {task: whole_table.caps[task] for task in tasks})

    def _zone_table(self, number: int, snapshot: Snapshot) -> TableContents:
        zone = self.tables.zone_of(number)
        factors = snapshot.factors
        outlier_factor = self.outliers.factor[zone]
        overflow_tasks = self._overflow_tasks(snapshot)
        weights = self.weights.table_weights(zone, snapshot.zone_tasks)
        if self.tables.all_zone_local or number >= self.tables.first_home:
            task_zone = self.endpoints.zone
            weights = {task: weight for task, weight in weights.items() if task_zone[task] == zone}
        else:
            weights = self._with_warm_tasks(weights, factors)
        if self.weights.proposed[zone].weights:
            weights = self._limit_cold_lines(weights, factors)
        weights = {
            task: weight * outlier_factor[task] * (OVERFLOW_TASK_FACTOR if task in overflow_tasks else 1.0)
            for task, weight in weights.items()
        }
        caps = {
            task: outlier_factor[task] * factors[task] + OVERFLOW_CAP * (task in overflow_tasks) for task in weights
        }
        weights = self.slow_start.limit_weights(weights, factors, outlier_factor)
        if not self.tables.is_shared(number):
            weights = self.cold_tables.limit_weights(snapshot.now_us, number, weights)
        return TableContents(weights, caps)

    def _with_warm_tasks(self, weights: dict[int, float], factors: dict[int, float]) -> dict[int, float]:
        """Return the weights, with those of all warm tasks added if none of them is warm.

        Otherwise the few cold tasks of the table would get all of its RPCs.
        """
        if any(factors[task] >= WARM for task in weights):
            return weights
        warm = [task for task, factor in factors.items() if factor >= WARM]
        return weights | {task: self.weights.weight[task] for task in warm}

    @staticmethod
    def _limit_cold_lines(weights: dict[int, float], factors: dict[int, float]) -> dict[int, float]:
        """Return the weights with cold tasks limited to what they would get if the table held all tasks.

        Without this limit a proposal of few lines would give them too much.
        """
        mean_weight = sum(weights.values()) / (sum(factors.values()) or 1.0)
        return {
            task: weight if factors[task] >= WARM else min(weight / factors[task], mean_weight)
            for task, weight in weights.items()
        }
