"""Slow start: limits on the work of tasks that have just started and are still warming up."""

from __future__ import annotations

from hollyridge.decisions.estimates import BUSY_UTILIZATION, OVERLOAD_FAILURE_RATIO
from hollyridge.interface import AssignerConfig

WARM = 1.0  # factor of a task that is past its slow start
PRIOR_ATTEMPTS = 6.0  # successful attempts per period that are added to the reported ones
SAFE_MULTIPLE_FRACTION = 0.5  # used part of the configured overload multiple, since RPCs pile up at random
STEPS = 4  # the factor rises in quarters, so that it costs few lines
MIN_STEPS = 0.5  # smallest factor of a task, in quarters
MAX_COLD_FACTOR = 0.99  # any factor below 1 marks a task as cold
RARE_FAILURE_RATIO = OVERLOAD_FAILURE_RATIO / 10  # failed part of all attempts below which failures count as rare
SUCCESS_RATIO_FACTOR = 2  # cold tasks get less once the success ratio falls below 1 / this
SETTLING_PERIODS = 2  # report periods beyond the deadline until attempts sent during a gap have been reported
UNLIMITED = 1e9  # weight limit where there is no warm task to compare with
MIN_WEIGHT = 1e-4  # a line of weight 0 would be a removal


class SlowStart:
    """Limits on cold tasks, those that started less than the configured warm-up time ago.

    Attributes:
        failures_are_rare: Hardly any attempts fail.
        lists_cold: Cold tasks may be in tables.
        failure_scale: Multiplier of a cold task's factor, below 1 where most attempts fail.
        stale_periods: Remaining report periods until attempts sent during a gap in the reports have timed out.
    """

    def __init__(self, config: AssignerConfig) -> None:
        self.config = config
        self.failures_are_rare = False
        self.lists_cold = config.proxy_ejection_failures == 0
        self.failure_scale = 1.0
        longest_deadline_us = max(method.deadline_us for method in config.methods)
        self.stale_periods_after_gap = SETTLING_PERIODS + longest_deadline_us / config.report_period_us
        self.stale_periods = self.stale_periods_after_gap

    def factor(self, now_us: int, started_at_us: int) -> float:
        """Return the part of a warm task's work that a task may get; 1 once it is warm.

        The factor rises in quarters from the configured floor, at half the configured overload multiple.
        """
        if self.is_warm(now_us, started_at_us):
            return WARM
        capacity = self.present_capacity(now_us, started_at_us)
        steps = int(STEPS * SAFE_MULTIPLE_FRACTION * capacity * self.failure_scale * self.config.overload_multiple)
        return min(MAX_COLD_FACTOR, max(MIN_STEPS, steps) / STEPS)

    def is_warm(self, now_us: int, started_at_us: int) -> bool:
        """Return whether a task that started at this time, 0 for long ago, is past its slow start."""
        return started_at_us <= 0 or now_us - started_at_us >= self.config.warm_up_us

    def present_capacity(self, now_us: int, started_at_us: int) -> float:
        """Return the part of its capacity that a task has by now, which rises from the configured floor to 1."""
        if self.is_warm(now_us, started_at_us):
            return WARM
        floor = self.config.cold_capacity_fraction
        return floor + (1 - floor) * max(0, now_us - started_at_us) / self.config.warm_up_us

    def update(self, attempts: float, failed: float, cold_capacity: float, reports_are_recent: bool) -> None:
        """Update once per period whether failures are rare and whether cold tasks may be listed.

        Where over half of all attempts fail, the factors of cold tasks shrink in proportion to the success ratio.

        Proxies that eject tasks after failures may have only cold tasks left to pick in an overload, whatever their
        weights. With such proxies, cold tasks are listed in an overload only if all of them together could take all
        attempts. Old reports count as an overload.

        Args:
            attempts: All attempts in a period.
            failed: The failed attempts among them.
            cold_capacity: RPCs that the cold tasks may get in a period.
            reports_are_recent: The newest report is recent.
        """
        self.failures_are_rare = failed < RARE_FAILURE_RATIO * attempts
        self.failure_scale = min(1.0, SUCCESS_RATIO_FACTOR * (1 - failed / (attempts + PRIOR_ATTEMPTS)))
        self.stale_periods = self.stale_periods - (attempts > 0) if reports_are_recent else self.stale_periods_after_gap
        overloaded = failed > OVERLOAD_FAILURE_RATIO * (attempts + PRIOR_ATTEMPTS) or self.stale_periods > 0
        proxies_eject = self.config.proxy_ejection_failures != 0
        self.lists_cold = not proxies_eject or not overloaded or 0 < attempts < cold_capacity

    def limit_weights(
        self, weights: dict[int, float], factors: dict[int, float], outlier_factor: list[float]
    ) -> dict[int, float]:
        """Return a table's weights with cold tasks limited, or left out where they may not be listed.

        A cold task gets at most its factor of a warm task's average weight, and less if most tasks are cold.
        """
        warm = [weight for task, weight in weights.items() if factors[task] >= WARM]
        cold_work = sum(factors[task] for task in weights if factors[task] < WARM)
        divisor = max(len(warm), BUSY_UTILIZATION * len(weights) - cold_work)
        reference_weight = sum(warm) / divisor if warm else UNLIMITED
        lists_cold = self.lists_cold or not warm
        limited = {}
        for task, weight in weights.items():
            factor = factors[task]
            if factor >= WARM:
                limited[task] = max(weight, MIN_WEIGHT)
            elif lists_cold:
                limited[task] = max(factor * min(weight, reference_weight * outlier_factor[task]), MIN_WEIGHT)
        return limited
