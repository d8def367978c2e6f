"""Outlier detection: tasks that fail far more often than the rest get little weight until they recover."""

from __future__ import annotations

from hollyridge.decisions.estimates import Estimates
from hollyridge.decisions.pooling import per_attempt
from hollyridge.interface import AssignerConfig

MIN_FACTOR = 1 / 16  # part of its weight that an outlier keeps, so that load reports about it continue
# Failure ratio above the baseline that makes a task an outlier. With a lower limit, each ejected task shifts its work
# to others until all tasks fail.
EXCESS_FAILURE_RATIO = 0.58
CUT_FACTOR = 0.25  # multiplier of an outlier's factor per period
RECOVERY_FACTOR = 4.0  # multiplier of the factor per period after recovery
UNTRIED_RECOVERY_FACTOR = 2.0  # multiplier after recovery while the zone's proxies send hardly any attempts
MIN_ATTEMPTS = 1.0  # decayed attempts from which a task counts as tried
MIN_ZONE_ATTEMPTS = 6.0  # decayed attempts below which a zone's failure ratios are ignored
FULL_FACTOR = 1.0  # factor of a task that is no outlier


class OutlierDetector:
    """Detector of tasks whose failure ratio far exceeds that of the median task in the best zone.

    Each zone of proxies is treated separately, because a network fault may be visible from one zone only. Errors, hangs
    and missing answers all count as failures. An overload of all tasks raises the baseline, so it cuts none of them.

    Attributes:
        factor: Part of its weight that a task keeps, by zone of proxies and task.
    """

    def __init__(self, config: AssignerConfig) -> None:
        self.factor: list[list[float]] = [[] for _ in range(config.zones)]

    def reset(self, task: int) -> None:
        """Restore the full factor of a restarted task."""
        for factor in self.factor:
            factor.extend([FULL_FACTOR] * (task + 1 - len(factor)))
            factor[task] = FULL_FACTOR

    def update(self, estimates: Estimates, tasks: list[int], task_zone: list[int]) -> None:
        """Move the factors by one period's step.

        Args:
            estimates: Reported attempts and failures.
            tasks: The ready tasks, at least one.
            task_zone: Zone by task.
        """
        for zone, ratio in enumerate(per_attempt(estimates.failed, estimates.attempts, 0.0, tasks, task_zone)):
            # Without reports from the zone's proxies, no failures are known.
            too_few_attempts = sum(estimates.attempts[zone]) < MIN_ZONE_ATTEMPTS
            failure_ratio = [0.0] * len(ratio) if too_few_attempts else ratio
            self._update_zone(zone, failure_ratio, estimates, tasks, task_zone)

    def _update_zone(
        self, zone: int, failure_ratio: list[float], estimates: Estimates, tasks: list[int], task_zone: list[int]
    ) -> None:
        factor = self.factor[zone]
        attempts = estimates.attempts[zone]
        limit = self._baseline(failure_ratio, estimates.zones, tasks, task_zone) + EXCESS_FAILURE_RATIO
        for task in tasks:
            if failure_ratio[task] > limit:
                factor[task] = max(MIN_FACTOR, factor[task] * CUT_FACTOR)
            elif factor[task] < FULL_FACTOR:
                recovery = RECOVERY_FACTOR if attempts[task] >= MIN_ATTEMPTS else UNTRIED_RECOVERY_FACTOR
                factor[task] = min(FULL_FACTOR, factor[task] * recovery)

    @staticmethod
    def _baseline(failure_ratio: list[float], zones: range, tasks: list[int], task_zone: list[int]) -> float:
        """Return the failure ratio of the median task in the zone where that ratio is lowest."""
        by_zone = [sorted(failure_ratio[task] for task in tasks if task_zone[task] == zone) for zone in zones]
        return min(ascending[len(ascending) // 2] for ascending in by_zone if ascending)
