"""What tasks that have just started may get."""

from __future__ import annotations

from hollyridge.decisions.estimates import BUSY, JAM, PRIOR
from hollyridge.interface import AssignerConfig


class SlowStart:
    def __init__(self, config: AssignerConfig) -> None:
        self.config, self.calm, self.listed, self.ease = config, False, config.proxy_ejection_failures == 0, 1.0
        # Periods of news till tries sent while there was none have run out of time.
        self.deaf = self.blind = 2 + max(m.deadline_us for m in config.methods) / config.report_period_us

    def part(self, now: int, started: int) -> float:
        """From the stated floor up in quarters, at half the stated multiple: chance piles up RPCs."""
        if started <= 0 or now - started >= self.config.warm_up_us:
            return 1.0
        part = (
            self.config.cold_capacity_fraction
            + (1 - self.config.cold_capacity_fraction) * max(0, now - started) / self.config.warm_up_us
        )
        return min(0.99, max(0.5, int(2 * part * self.ease * self.config.overload_multiple)) / 4)

    def judge(self, tried: float, bad: float, cold: float, fresh: bool) -> None:
        """Where over half of all tries are bad a cold task gets less by as much. Proxies that keep away after
        failures leave nothing else to pick in a jam, whatever its weight: cold tasks are listed there only
        if their parts could take all tries. Old news counts as a jam."""
        self.calm = bad < JAM / 10 * tried
        self.ease = min(1.0, 2 * (1 - bad / (tried + PRIOR)))
        self.deaf = self.deaf - (tried > 0) if fresh else self.blind
        jam = bad > JAM * (tried + PRIOR) or self.deaf > 0
        self.listed = self.config.proxy_ejection_failures == 0 or not jam or 0 < tried < cold

    def hold(self, lines: dict[int, float], part: dict[int, float], factor: list[float]) -> dict[int, float]:
        """A cold task gets at most its part of what a warm one carries on average, less if most are cold."""
        warm = [w for i, w in lines.items() if part[i] >= 1.0]
        excess = BUSY * len(lines) - sum(part[i] for i in lines if part[i] < 1.0)
        even = sum(warm) / max(len(warm), excess) if warm else 1e9
        return {
            i: max(w if part[i] >= 1.0 else part[i] * min(w, even * factor[i]), 1e-4)
            for i, w in lines.items()
            if part[i] >= 1.0 or self.listed or not warm
        }
