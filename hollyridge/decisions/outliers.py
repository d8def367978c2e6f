"""Which tasks get little because they fail."""

from __future__ import annotations

from hollyridge.decisions.estimates import PRIOR, Estimates
from hollyridge.interface import AssignerConfig

TRICKLE = 1 / 16  # part left to a task that lies low, so that news of it keeps coming


class OutlierDetector:
    """Who lies low, by zone of proxies (a cut shows from one side only), against the best zone's middle task:
    errors, hangs and silence are met alike; overload, seen at all, cuts nobody."""

    def __init__(self, config: AssignerConfig) -> None:
        self.factor: list[list[float]] = [[] for _ in range(config.zones)]

    def restart(self, task: int) -> None:
        for row in self.factor:
            row.extend([1.0] * (task + 1 - len(row)))
            row[task] = 1.0

    def judge(self, est: Estimates, tasks: list[int], home: list[int]) -> None:
        for zone, ratio in enumerate(est.spread(est.bad, 0.0, tasks, home)):
            factor = self.factor[zone]
            ratio = ratio if sum(est.tries[zone]) >= PRIOR else [0.0] * len(ratio)  # nobody there to ask
            zones = [sorted(ratio[i] for i in tasks if home[i] == there) for there in est.zones]
            base = min(ranked[len(ranked) // 2] for ranked in zones if ranked)
            for i in tasks:
                # Cut for less, one after the other hands on its work till all are in a jam.
                if ratio[i] > base + 0.58:
                    factor[i] = max(TRICKLE, factor[i] * 0.25)
                elif factor[i] < 1.0:
                    factor[i] = min(1.0, factor[i] * (4.0 if est.tries[zone][i] >= 1.0 else 2.0))
