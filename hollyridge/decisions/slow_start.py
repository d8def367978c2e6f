"""Slow start: how much work tasks get that have just started and are still warming up."""

from __future__ import annotations

from hollyridge.decisions.estimates import BUSY_UTILIZATION, OVERLOAD_FAILURE_RATIO
from hollyridge.interface import AssignerConfig

WARM = 1.0  # the factor of a task that is past its slow start
PRIOR_ATTEMPTS = 6.0  # attempts a period that are added to those reported, as successful
SAFE_MULTIPLE = 0.5  # part of the stated overload multiple that is used: chance piles up RPCs
STEPS = 4  # the factor rises in quarters, so that it costs few lines
MIN_STEPS = 0.5  # quarters that a task has at least
MAX_COLD_FACTOR = 0.99  # any less than 1 marks a task as cold
CALM_FAILURE_RATIO = OVERLOAD_FAILURE_RATIO / 10  # part of all attempts that fail at the most on a calm day
RELIEF_FROM = 2  # cold tasks get less once over 1 / this part of all attempts fail
SETTLING_PERIODS = 2  # report periods beyond the deadline until attempts sent during a gap have been reported
UNLIMITED = 1e9  # weight; no warm task is there to compare with
MIN_WEIGHT = 1e-4  # a line of weight 0 would be a removal


class SlowStart:
    """Limits cold tasks: those that started less than the configured warm-up time ago.

    Attributes:
        calm: Hardly any attempts fail.
        lists_cold: Cold tasks may be in tables.
        relief: Part of its usual factor that a cold task gets, less than 1 where most attempts fail.
        stale_periods: Report periods to go until attempts that were sent while nothing was reported have timed out.
    """

    def __init__(self, config: AssignerConfig) -> None:
        self.config = config
        self.calm = False
        self.lists_cold = config.proxy_ejection_failures == 0
        self.relief = 1.0
        longest_us = max(method.deadline_us for method in config.methods)
        self.stale_periods_after_gap = SETTLING_PERIODS + longest_us / config.report_period_us
        self.stale_periods = self.stale_periods_after_gap

    def factor(self, now_us: int, started_at_us: int) -> float:
        """Part of a warm task's work that a task may get; 1 once it is warm.

        It rises from the configured floor in quarters, at half the stated overload multiple.
        """
        config = self.config
        age_us = now_us - started_at_us
        if started_at_us <= 0 or age_us >= config.warm_up_us:
            return WARM
        floor = config.cold_capacity_fraction
        capacity = floor + (1 - floor) * max(0, age_us) / config.warm_up_us
        steps = int(STEPS * SAFE_MULTIPLE * capacity * self.relief * config.overload_multiple)
        return min(MAX_COLD_FACTOR, max(MIN_STEPS, steps) / STEPS)

    def update(self, attempts: float, failed: float, cold_capacity: float, fresh: bool) -> None:
        """Judges once a period whether the fleet is calm, and whether cold tasks may be listed.

        Where over half of all attempts fail a cold task gets less by as much. Proxies that eject tasks after
        failures leave nothing else to pick in an overload, whatever a cold task's weight: there it is listed
        only if all cold tasks together could take all attempts. Old reports count as an overload.

        Args:
            attempts: All attempts in a period.
            failed: The failed ones.
            cold_capacity: RPCs that the cold tasks may get in a period.
            fresh: The reports are recent.
        """
        self.calm = failed < CALM_FAILURE_RATIO * attempts
        self.relief = min(1.0, RELIEF_FROM * (1 - failed / (attempts + PRIOR_ATTEMPTS)))
        self.stale_periods = self.stale_periods - (attempts > 0) if fresh else self.stale_periods_after_gap
        overloaded = failed > OVERLOAD_FAILURE_RATIO * (attempts + PRIOR_ATTEMPTS) or self.stale_periods > 0
        proxies_eject = self.config.proxy_ejection_failures != 0
        self.lists_cold = not proxies_eject or not overloaded or 0 < attempts < cold_capacity

    def limit_weights(
        self, weights: dict[int, float], factors: dict[int, float], outlier_factor: list[float]
    ) -> dict[int, float]:
        """A table's weights with cold tasks limited, or left out where they may not be listed.

        A cold task gets at most its part of what a warm one carries on average, less if most are cold.
        """
        warm = [weight for task, weight in weights.items() if factors[task] >= WARM]
        cold_work = sum(factors[task] for task in weights if factors[task] < WARM)
        sharers = max(len(warm), BUSY_UTILIZATION * len(weights) - cold_work)
        even_weight = sum(warm) / sharers if warm else UNLIMITED
        lists_cold = self.lists_cold or not warm
        limited = {}
        for task, weight in weights.items():
            factor = factors[task]
            if factor >= WARM:
                limited[task] = max(weight, MIN_WEIGHT)
            elif lists_cold:
                limited[task] = max(factor * min(weight, even_weight * outlier_factor[task]), MIN_WEIGHT)
        return limited
