"""Admission control: the share of RPCs that a zone's proxies admit, and the way in which they retry."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hollyridge.interface import Admission, AssignerConfig

UNLIMITED_RATE = 65536.0  # RPCs per second at one proxy; as a rate limit it admits all RPCs
FULL_FRACTION = 1.0  # the fraction that admits all RPCs
MIN_FRACTION = 0.1
FRACTION_STEPS = 20  # fractions are published in steps of 1/20
RETRY_IF_UNPROCESSED = 1  # proxies retry only if the first attempt provably never ran, so that no effect repeats
NO_RETRY = 0
OVERLOADED = 1.0  # overload score above which a zone counts as overloaded
SCORE_PER_FULL_CUT = 4  # points of overload score above `OVERLOADED` that would reject all RPCs
MAX_CUT = 0.9  # largest part of the level that one cut removes
RECOVERY_TO_CAPACITY = 0.15  # rise of the fraction per period, up to the capacity of the fleet
RECOVERY_BEYOND = 0.03  # rise of the fraction per period, beyond the capacity of the fleet
MIN_RATE_CHANGE = 0.1  # smallest relative change of a rate that is sent


class Level(NamedTuple):
    """The admission level of one method of a table, in the fields of `SetAdmission`."""

    amount: float
    retry_mode: int


def unlimited_amount(config: AssignerConfig) -> float:
    """Return the amount that admits all RPCs."""
    return UNLIMITED_RATE if config.admission == Admission.PER_SECOND else FULL_FRACTION


class AdmissionController:
    """Controller of one admission level for each zone, which applies to all methods.

    Attributes:
        fraction: Fraction of RPCs to admit, by zone; the last element belongs to the overflow table.
        sheddable_methods: Mask of the methods that move to the overflow table in an overload, where proxies can't
            reject RPCs.
    """

    def __init__(self, config: AssignerConfig) -> None:
        self.disabled = config.admission in (Admission.OFF, Admission.NOT_SUPPORTED)
        self.uses_rates = config.admission == Admission.PER_SECOND
        self.unlimited = unlimited_amount(config)
        not_supported = config.admission == Admission.NOT_SUPPORTED  # no command sets the retry mode either
        self.retry_mode_if_failures_rare = config.default_retry_mode if not_supported else RETRY_IF_UNPROCESSED
        self.retry_mode_otherwise = config.default_retry_mode if not_supported else NO_RETRY
        self.fraction = [FULL_FRACTION] * (config.zones + 1)
        self.last_cut_at_us = [0] * (config.zones + 1)
        longest_deadline_us = max(method.deadline_us for method in config.methods)
        self.effect_delay_us = (
            config.transit_us + config.report_period_us + longest_deadline_us
        )  # until reports can show a cut
        self.methods = range(len(config.methods))
        self.sheddable_methods = self._sheddable(config) if self.disabled else 0

    def update(self, now_us: int, zone: int, overload_score: float, capacity_fraction: float, busy: bool) -> None:
        """Move a zone's level by one period's step.

        While the zone's tasks are busy, the level falls to the fleet's capacity. In an overload it falls further, but
        only once reports can show the effect of the previous cut. It rises quickly up to the fleet's capacity and
        slowly beyond it.

        Args:
            now_us: Current time.
            zone: Zone of the proxies.
            overload_score: Score of the zone, as returned by `Estimates.overload_score`.
            capacity_fraction: Part of the offered RPCs that the fleet can answer.
            busy: The tasks of the zone's table have no idle capacity.
        """
        fraction = self.fraction[zone]
        healthy = not busy or overload_score < OVERLOADED
        last_cut_has_effect = now_us >= self.last_cut_at_us[zone] + self.effect_delay_us
        if not healthy and overload_score > OVERLOADED and last_cut_has_effect:
            cut = min(MAX_CUT, (overload_score - OVERLOADED) / SCORE_PER_FULL_CUT)
            fraction = min(fraction, capacity_fraction) * (1 - cut)
            self.last_cut_at_us[zone] = now_us
        elif fraction < capacity_fraction or busy:
            fraction = min(fraction + RECOVERY_TO_CAPACITY * healthy, capacity_fraction)
        else:
            fraction += RECOVERY_BEYOND
        self.fraction[zone] = FULL_FRACTION if self.disabled else min(FULL_FRACTION, max(MIN_FRACTION, fraction))

    def wanted_levels(
        self,
        zone: int,
        max_fraction: float,
        failures_are_rare: bool,
        sent: dict[int, Level],
        offered_rates: Callable[[int], list[float]],
    ) -> dict[int, Level]:
        """Return the level and the retry mode of each method at a zone's proxies.

        Proxies retry only while failures are rare: other retries, even safe ones, add to an overload and pile up on
        the tasks that have capacity left.

        Args:
            zone: Zone of the proxies.
            max_fraction: Largest fraction that the table may admit.
            failures_are_rare: Hardly any attempts fail.
            sent: Level last sent, by method.
            offered_rates: Returns the RPCs per second of a method at each of the zone's proxies, ascending; used where
                levels are rates.
        """
        fraction = min(max(1, round(FRACTION_STEPS * self.fraction[zone])) / FRACTION_STEPS, max_fraction)
        retry_mode = self.retry_mode_if_failures_rare if failures_are_rare else self.retry_mode_otherwise
        if not self.uses_rates or fraction >= FULL_FRACTION:
            amount = self.unlimited if self.uses_rates else fraction
            return dict.fromkeys(self.methods, Level(amount, retry_mode))
        return {
            method: Level(
                self.rate_limit(fraction, offered_rates(method), sent[method].amount),
                retry_mode,
            )
            for method in self.methods
        }

    def rate_limit(self, fraction: float, rates: list[float], previous_limit: float) -> float:
        """Return the rate limit for each proxy that admits this fraction of the RPCs at all proxies together.

        The limit cuts the proxies with the most traffic. If it changes too little to be worth a line, or no rate is
        known, the previous limit is returned.

        Args:
            fraction: Fraction of all RPCs.
            rates: RPCs per second at each proxy, ascending.
            previous_limit: The limit last sent, in RPCs per second.
        """
        if not rates:
            return previous_limit
        remaining = fraction * sum(rates)
        limit = self.unlimited
        for count, rate in enumerate(rates):
            limit = remaining / (len(rates) - count)
            if limit <= rate:
                break
            remaining -= rate
        return previous_limit if abs(limit - previous_limit) <= MIN_RATE_CHANGE * previous_limit else limit

    @staticmethod
    def _sheddable(config: AssignerConfig) -> int:
        """Return the mask of the methods below the highest criticality that may leave their zone."""
        highest = max(method.criticality for method in config.methods)
        return sum(
            1 << index
            for index, method in enumerate(config.methods)
            if method.criticality < highest and not method.same_zone_only
        )
