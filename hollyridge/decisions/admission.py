"""Admission control: how much of the RPCs that come to a zone's proxies is let in, and how they retry."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.decisions.estimates import Estimates
from hollyridge.interface import Admission, AssignerConfig

UNLIMITED_RATE = 65536.0  # RPCs a second at one proxy; where levels are rates this admits all
ALL = 1.0  # the fraction that admits all
MIN_FRACTION = 0.1
FRACTION_STEPS = 20  # fractions are published in steps of a twentieth
RETRY_IF_UNPROCESSED = 1  # a retry only on proof that the first attempt never ran: it can't repeat an effect
NO_RETRY = 0
OVERLOADED = 1.0  # overload score from which a zone is overloaded
SCORE_PER_FULL_CUT = 4  # points of overload score above that which would shut all out
MAX_CUT = 0.9  # part of the level that one cut takes away at most
RECOVERY_TO_CAPACITY = 0.15  # of all, a period, up to what the fleet can do
RECOVERY_BEYOND = 0.03  # of all, a period, past it
MIN_RATE_CHANGE = 0.1  # relative change of a rate that is worth a line


class Level(NamedTuple):
    """What is ordered for a method of a table, in the fields of `SetAdmission`."""

    amount: float
    retry_mode: int


def unlimited_amount(config: AssignerConfig) -> float:
    """The amount that admits all."""
    return UNLIMITED_RATE if config.admission == Admission.PER_SECOND else ALL


class AdmissionController:
    """Moves a level for each zone, for all methods alike.

    Attributes:
        fraction: By zone, and last for the overflow table, the fraction of RPCs to be admitted.
        sheddable_methods: Mask of the methods that give way to others where nothing can be rejected.
    """

    def __init__(self, config: AssignerConfig) -> None:
        self.disabled = config.admission in (Admission.OFF, Admission.SILENT)
        self.uses_rates = config.admission == Admission.PER_SECOND
        self.unlimited = unlimited_amount(config)
        silent = config.admission == Admission.SILENT  # the proxies have no order for the retry mode either
        self.calm_retry_mode = config.default_retry_mode if silent else RETRY_IF_UNPROCESSED
        self.usual_retry_mode = config.default_retry_mode if silent else NO_RETRY
        self.fraction = [ALL] * (config.zones + 1)
        self.cut_at_us = [0] * (config.zones + 1)
        longest_us = max(method.deadline_us for method in config.methods)
        self.effect_delay_us = config.transit_us + config.report_period_us + longest_us  # until a cut can show
        self.methods = range(len(config.methods))
        self.sheddable_methods = self._sheddable(config) if self.disabled else 0

    def update(self, now_us: int, zone: int, overload_score: float, capacity_fraction: float, busy: bool) -> None:
        """Moves a zone's level by a period's step.

        It goes down to what the fleet can do while it is busy, further in an overload, but not again before that
        can show; up to what the fleet can do quickly, past it with care.
        """
        fraction = self.fraction[zone]
        well = not busy or overload_score < OVERLOADED
        cut_has_shown = now_us >= self.cut_at_us[zone] + self.effect_delay_us
        if not well and overload_score > OVERLOADED and cut_has_shown:
            cut = min(MAX_CUT, (overload_score - OVERLOADED) / SCORE_PER_FULL_CUT)
            fraction = min(fraction, capacity_fraction) * (1 - cut)
            self.cut_at_us[zone] = now_us
        elif fraction < capacity_fraction or busy:
            fraction = min(fraction + RECOVERY_TO_CAPACITY * well, capacity_fraction)
        else:
            fraction += RECOVERY_BEYOND
        self.fraction[zone] = ALL if self.disabled else min(ALL, max(MIN_FRACTION, fraction))

    def wanted_levels(
        self, zone: int, calm: bool, sent: dict[int, Level], estimates: Estimates, proxy_zone: dict[int, int]
    ) -> dict[int, Level]:
        """The level of each method at a zone's proxies, and how they retry.

        Further retries, however safe, feed an overload and pile up on the tasks that have capacity left.

        Args:
            zone: Zone of the proxies.
            calm: Hardly any attempts fail.
            sent: The levels last ordered.
            estimates: Where levels are rates, for the RPCs that come to each proxy.
            proxy_zone: Zone by proxy.
        """
        fraction = max(1, round(FRACTION_STEPS * self.fraction[zone])) / FRACTION_STEPS
        retry_mode = self.calm_retry_mode if calm else self.usual_retry_mode
        if not self.uses_rates or fraction >= ALL:
            amount = self.unlimited if self.uses_rates else fraction
            return dict.fromkeys(self.methods, Level(amount, retry_mode))
        return {
            method: Level(
                self.rate_limit(fraction, estimates.offered_rates(proxy_zone, zone, method), sent[method].amount),
                retry_mode,
            )
            for method in self.methods
        }

    def rate_limit(self, fraction: float, rates: list[float], before: float) -> float:
        """The rate at each proxy that admits this fraction of what comes to all of them.

        Those to which most comes give way. A change too small for a line leaves the rate as it was.

        Args:
            fraction: Of all RPCs.
            rates: RPCs a second at each proxy, ascending.
            before: The rate that was ordered last.
        """
        remaining = fraction * sum(rates)
        limit = self.unlimited
        for count, rate in enumerate(rates):
            limit = remaining / (len(rates) - count)
            if limit <= rate:
                break
            remaining -= rate
        return before if abs(limit - before) <= MIN_RATE_CHANGE * before else limit

    @staticmethod
    def _sheddable(config: AssignerConfig) -> int:
        """Mask of the methods of less than the highest criticality that may leave their zone."""
        highest = max(method.criticality for method in config.methods)
        return sum(
            1 << index
            for index, method in enumerate(config.methods)
            if method.criticality < highest and not method.same_zone_only
        )
