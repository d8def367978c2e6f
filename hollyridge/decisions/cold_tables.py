"""Cold tables: the part of their RPCs that tables without any warm task can take.

Slow start limits cold tasks in comparison with the warm tasks of the same table. Where there are none, as in the table
of a zone that has just returned, their number and their present capacity limit what they may get.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from hollyridge.decisions.admission import FRACTION_STEPS, FULL_FRACTION
from hollyridge.decisions.endpoints import EndpointDirectory
from hollyridge.decisions.estimates import BUSY_UTILIZATION, MICROSECONDS_PER_SECOND, Estimates
from hollyridge.decisions.slow_start import SAFE_MULTIPLE_FRACTION, SlowStart
from hollyridge.decisions.tables import TableSet
from hollyridge.interface import Admission, AssignerConfig

UNKNOWN = 0.0  # fraction of a table whose RPCs or capacity are not known yet
MIN_ADMITTED = 1 / FRACTION_STEPS  # a table whose tasks can take less is not worth its lines
LOWER_BELOW = 0.8  # part of the published fraction below which the fraction is lowered
RAISE_FROM = 1.25  # multiple of the published fraction from which it is raised


class Demand(NamedTuple):
    """RPCs of some proxies and methods in a report period.

    Attributes:
        rpcs: The RPCs of the proxies whose load is known.
        is_known: Whether the load of any proxy is known well enough to limit it.
    """

    rpcs: float
    is_known: bool


class ColdTableLimiter:
    """Limiter of the tables that hold cold tasks only.

    Where proxies support levels, such a table admits the fraction of its RPCs that its tasks can answer by now.
    Elsewhere, its tasks are not listed until they could take all of its RPCs without being overloaded.

    Attributes:
        uses_rates: Levels are rates, which are computed from the RPCs that proxies have reported.
        supports_levels: Proxies can admit a fraction of the RPCs.
        safe_load: Largest load of a cold task beside warm ones, as a multiple of its present capacity.
        max_load: Largest load of a cold task in a table without warm tasks, likewise.
        rpcs_per_weight: RPCs that a warm task answers in a busy period per unit of its listed weight, by zone of tasks,
            as last observed; 0 if unknown.
        answered_per_weight: RPCs that it answered in a period, likewise; a lower bound where utilization is unknown.
    """

    def __init__(
        self,
        config: AssignerConfig,
        endpoints: EndpointDirectory,
        estimates: Estimates,
        slow_start: SlowStart,
        tables: TableSet,
    ) -> None:
        self.report_period_us = config.report_period_us
        self.endpoints = endpoints
        self.estimates = estimates
        self.slow_start = slow_start
        self.tables = tables
        self.uses_rates = config.admission == Admission.PER_SECOND
        self.supports_levels = config.admission in (Admission.FRACTION, Admission.PER_SECOND)
        self.safe_load = SAFE_MULTIPLE_FRACTION * config.overload_multiple
        self.max_load = min(BUSY_UTILIZATION, self.safe_load) if self.supports_levels else self.safe_load
        self.rpcs_per_weight = [0.0] * config.zones
        self.answered_per_weight = [0.0] * config.zones

    def observe(self, warm_by_zone: list[list[int]]) -> None:
        """Update what warm tasks answer per unit of listed weight; to be called once per report period.

        Args:
            warm_by_zone: The ready and warm tasks of each zone. The figure of a zone without any is kept.
        """
        listed_weight = self.endpoints.listed_weight
        for zone, warm in enumerate(warm_by_zone):
            capacity = self.estimates.rpcs_per_weight(listed_weight, warm)
            answered = self.estimates.answered_per_weight(listed_weight, warm)
            self.rpcs_per_weight[zone] = capacity or self.rpcs_per_weight[zone]
            self.answered_per_weight[zone] = answered or self.answered_per_weight[zone]

    def limit_weights(self, now_us: int, table: int, weights: dict[int, float]) -> dict[int, float]:
        """Return the weights of a zone's own tasks with cold ones limited to a safe load, whatever warm ones get.

        Slow start compares cold tasks with warm ones, which may be so few that they get far more than they can answer.
        """
        started_at_us = self.endpoints.started_at_us
        cold = [task for task in weights if not self.slow_start.is_warm(now_us, started_at_us[task])]
        if not cold or len(cold) == len(weights):
            return weights
        demand = self._demand(self.tables.zone_of(table), self.tables.methods_of(table))
        if demand.rpcs <= 0:
            return weights
        per_weight = self._per_weight(self.rpcs_per_weight)
        share = {
            task: self.safe_load * self._present_capacity(now_us, [task], per_weight) / demand.rpcs for task in cold
        }
        cold_share = sum(share.values())
        if not 0 < cold_share < 1:
            return weights
        weight_per_share = sum(weight for task, weight in weights.items() if task not in share) / (1 - cold_share)
        return {
            task: min(weight, share[task] * weight_per_share) if task in share else weight
            for task, weight in weights.items()
        }

    def may_list(self, now_us: int, table: int, tasks: Collection[int]) -> bool:
        """Return whether a table may list these tasks, which are the only ones that it would hold."""
        if not tasks or self._has_warm(now_us, tasks):
            return True
        min_fraction = MIN_ADMITTED if self.supports_levels else FULL_FRACTION
        if self.tables[table].weights:
            min_fraction *= LOWER_BELOW
        return self._supported_fraction(now_us, table, tasks) >= min_fraction

    def admitted_fraction(self, now_us: int, table: int, tasks: Collection[int]) -> float:
        """Return the fraction of its RPCs that a table that holds these tasks may admit.

        It stays as published for small changes, so that noise costs no lines. It is 1 for a table with a warm task, and
        where proxies support no levels.
        """
        published = self.tables[table].admitted_fraction
        if not tasks:
            return published
        if not self.supports_levels or self._has_warm(now_us, tasks):
            return FULL_FRACTION
        supported = self._supported_fraction(now_us, table, tasks)
        if LOWER_BELOW * published <= supported < min(FULL_FRACTION, RAISE_FROM * published):
            return published
        return max(MIN_ADMITTED, min(FULL_FRACTION, int(FRACTION_STEPS * supported) / FRACTION_STEPS))

    def _has_warm(self, now_us: int, tasks: Collection[int]) -> bool:
        started_at_us = self.endpoints.started_at_us
        return any(self.slow_start.is_warm(now_us, started_at_us[task]) for task in tasks)

    def _supported_fraction(self, now_us: int, table: int, tasks: Collection[int]) -> float:
        """Return the part of a table's RPCs that its tasks, all cold, can take at their largest load.

        While the RPCs or the capacity are unknown, reports of warm tasks are waited for. In a fleet without any, the
        tasks count as able to take all RPCs once they are warm.
        """
        ready = self.endpoints.ready_tasks()
        if self.tables.is_shared(table):
            capacity = self._present_capacity(now_us, ready, self._per_weight(self.rpcs_per_weight))
            demand = self._demand(None, self.tables.all_methods)
        else:
            per_weight = self._per_weight(self.rpcs_per_weight) or self._per_weight(self.answered_per_weight)
            capacity = self._present_capacity(now_us, tasks, per_weight)
            demand = self._demand(self.tables.zone_of(table), self.tables.methods_of(table))
        if capacity > 0 and demand.is_known:
            return self.max_load * capacity / demand.rpcs if demand.rpcs > 0 else FULL_FRACTION
        if self._has_warm(now_us, ready):
            return UNKNOWN
        return self.max_load * self._mean_present_capacity(now_us, tasks) if self.supports_levels else FULL_FRACTION

    @staticmethod
    def _per_weight(by_zone: list[float]) -> list[float]:
        """Return RPCs per weight by zone, with their mean for zones where they are unknown; empty if all are."""
        known = [rpcs for rpcs in by_zone if rpcs > 0]
        return [rpcs or sum(known) / len(known) for rpcs in by_zone] if known else []

    def _present_capacity(self, now_us: int, tasks: Collection[int], per_weight: list[float]) -> float:
        """Return the RPCs that these tasks can answer in a period by now; 0 if `per_weight` is empty."""
        endpoints = self.endpoints
        if not per_weight:
            return 0.0
        return sum(
            per_weight[endpoints.zone[task]]
            * endpoints.listed_weight[task]
            * self.slow_start.present_capacity(now_us, endpoints.started_at_us[task])
            for task in tasks
        )

    def _mean_present_capacity(self, now_us: int, tasks: Collection[int]) -> float:
        started_at_us = self.endpoints.started_at_us
        return sum(self.slow_start.present_capacity(now_us, started_at_us[task]) for task in tasks) / len(tasks)

    def _demand(self, zone: int | None, methods: int) -> Demand:
        """Return the RPCs that reach a zone's proxies for the methods of a mask; of all proxies if the zone is None.

        A proxy that has not reported yet counts with all RPCs that it expected when it joined.
        """
        rpcs = 0.0
        is_known = False
        for proxy, proxy_zone in self.tables.proxy_zone.items():
            if zone not in (None, proxy_zone):
                continue
            has_reported = proxy in self.estimates.offered_load
            expected = self.tables.proxy_rate[proxy] * self.report_period_us / MICROSECONDS_PER_SECOND
            rpcs += self.estimates.offered_for(proxy, methods) if has_reported else expected
            is_known = is_known or has_reported or (expected > 0 and not self.uses_rates)
        return Demand(rpcs, is_known)
