"""How much of what comes is let in."""

from __future__ import annotations

from hollyridge.decisions.estimates import Estimates
from hollyridge.decisions.weights import STEP
from hollyridge.interface import Admission, AssignerConfig

ON_PROOF = 1  # the way to try again that can't repeat an effect, whatever the method: the first never ran
NO_LIMIT = 65536.0  # RPCs a second at one proxy: where levels are rates none of them stands for all


def whole_level(config: AssignerConfig) -> float:
    """The level that lets all in."""
    return NO_LIMIT if config.admission == Admission.PER_SECOND else 1.0


class AdmissionController:
    def __init__(self, config: AssignerConfig) -> None:
        self.off = config.admission in (Admission.OFF, Admission.SILENT)
        self.rated, self.whole = config.admission == Admission.PER_SECOND, whole_level(config)
        # The ways to try again: while all is well, and otherwise. A front may have no order for it.
        self.retry = (config.default_retry_mode,) * 2 if config.admission == Admission.SILENT else (ON_PROOF, 0)
        self.open, self.cut_at = [1.0] * (config.zones + 1), [0] * (config.zones + 1)
        self.lag = (
            config.transit_us + config.report_period_us + max(m.deadline_us for m in config.methods)
        )  # till a cut can show
        most = max(m.criticality for m in config.methods)
        # The table of methods: which give way to others where nothing can be pushed back.
        self.methods = {k: self.off and m.criticality < most for k, m in enumerate(config.methods)}
        self.lean = sum(1 << k for k, way in self.methods.items() if way and not config.methods[k].same_zone_only)

    def move(self, now: int, zone: int, stress: float, able: float, busy: bool) -> None:
        """Down to what the fleet is able to do while it is busy; further in a jam, but not again before that
        can show. Up to that quickly, past it with care."""
        level, well = self.open[zone], not busy or stress < 1.0
        if not well and stress > 1.0 and now >= self.cut_at[zone] + self.lag:
            level = min(level, able) * (1 - min(0.9, (stress - 1.0) / 4))
            self.cut_at[zone] = now
        else:
            level = min(level + 0.15 * well, able) if level < able or busy else level + 0.03
        self.open[zone] = 1.0 if self.off else min(1.0, max(0.1, level))

    def wanted(self, zone: int, calm: bool, sent: dict, est: Estimates, zone_of: dict[int, int]) -> dict:
        """All methods alike: level and way to try again. Further tries, however safe, feed a jam and pile
        up on whoever has room."""
        part, retry = max(1, round(20 * self.open[zone])) / 20, self.retry[not calm]
        if not self.rated or part >= 1.0:
            return dict.fromkeys(self.methods, (self.whole if self.rated else part, retry))
        return {k: (self.rate(part, est.rates(zone_of, zone, k), sent[k][0]), retry) for k in self.methods}

    def rate(self, part: float, rates: list[float], before: float) -> float:
        """The rate at each proxy that lets in this part of what comes to all of them: those to which most
        comes give way. A move too small for a line leaves it as it was before."""
        left, rate = part * sum(rates), self.whole
        for n, least in enumerate(rates):
            rate = left / (len(rates) - n)
            if rate <= least:
                break
            left -= least
        return before if abs(rate - before) <= STEP * before else rate
