"""Outlier detection: tasks that fail far more than the rest get little weight until they do better."""

from __future__ import annotations

from hollyridge.decisions.estimates import Estimates
from hollyridge.decisions.pooling import per_attempt
from hollyridge.interface import AssignerConfig

MIN_FACTOR = 1 / 16  # part of its weight left to an outlier, so that reports of it keep coming
# Of attempts beyond the baseline. With less, task after task hands its work on until all fail.
EXCESS_FAILURE_RATIO = 0.58
CUT = 0.25  # what an outlier's factor is multiplied by each period
RECOVERY = 4.0  # what it is multiplied by once it does better
UNTRIED_RECOVERY = 2.0  # the same while its zone's proxies hardly try it
MIN_ATTEMPTS = 1.0  # decayed attempts from which a task counts as tried
MIN_ZONE_ATTEMPTS = 6.0  # decayed attempts below which a zone's proxies show nothing
UNCUT = 1.0  # the factor of a task that is no outlier


class OutlierDetector:
    """Compares each task's failure ratio, seen from one zone of proxies, with the best zone's median task.

    By zone of proxies, because a network fault shows from one side only. Errors, hangs and silence count alike.
    Overload that all tasks share raises the baseline and cuts nobody.

    Attributes:
        factor: By zone of proxies and task, the part of its weight that a task keeps.
    """

    def __init__(self, config: AssignerConfig) -> None:
        self.factor: list[list[float]] = [[] for _ in range(config.zones)]

    def reset(self, task: int) -> None:
        """Forgets what an earlier run of the task did."""
        for factor in self.factor:
            factor.extend([UNCUT] * (task + 1 - len(factor)))
            factor[task] = UNCUT

    def update(self, estimates: Estimates, tasks: list[int], home: list[int]) -> None:
        """Moves the factors by one period's step.

        Args:
            estimates: What was reported.
            tasks: The ready tasks, at least one.
            home: Zone by task.
        """
        for zone, ratio in enumerate(per_attempt(estimates.failed, estimates.attempts, 0.0, tasks, home)):
            # Where a zone has no proxies that report, nothing is known to fail.
            silent = sum(estimates.attempts[zone]) < MIN_ZONE_ATTEMPTS
            failure_ratio = [0.0] * len(ratio) if silent else ratio
            self._update_zone(zone, failure_ratio, estimates, tasks, home)

    def _update_zone(
        self, zone: int, failure_ratio: list[float], estimates: Estimates, tasks: list[int], home: list[int]
    ) -> None:
        factor = self.factor[zone]
        attempts = estimates.attempts[zone]
        limit = self._baseline(failure_ratio, estimates.zones, tasks, home) + EXCESS_FAILURE_RATIO
        for task in tasks:
            if failure_ratio[task] > limit:
                factor[task] = max(MIN_FACTOR, factor[task] * CUT)
            elif factor[task] < UNCUT:
                recovery = RECOVERY if attempts[task] >= MIN_ATTEMPTS else UNTRIED_RECOVERY
                factor[task] = min(UNCUT, factor[task] * recovery)

    @staticmethod
    def _baseline(failure_ratio: list[float], zones: range, tasks: list[int], home: list[int]) -> float:
        """Failure ratio of the median task of the zone that does best."""
        by_zone = [sorted(failure_ratio[task] for task in tasks if home[task] == zone) for zone in zones]
        return min(ranked[len(ranked) // 2] for ranked in by_zone if ranked)
