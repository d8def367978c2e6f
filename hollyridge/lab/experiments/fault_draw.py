"""Faults drawn at random from ranges, and scenarios that have them in place of their own."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from hollyridge.lab.scenario import FAULT_FORMS, FaultSection, Scenario


class FaultRanges(NamedTuple):
    """The ranges, as (from, to), that one kind of fault is drawn from.

    Attributes:
        duration_s: How long it lasts.
        part: The share of tasks, proxies or assigners that it strikes.
        size: The key `size` of its section; the meaning depends on the kind.
        extra: The key `extra` of its section; the meaning depends on the kind.
    """

    duration_s: tuple[float, float]
    part: tuple[float, float]
    size: tuple[float, float]
    extra: tuple[float, float]


def draw_fault(rng: Random, kind: str, ranges: FaultRanges, first_s: float, last_s: float) -> FaultSection:
    """Draw one fault of a kind that begins between two moments."""
    return FaultSection(  # the order of the draws decides which day a seed gives
        kind=kind,
        at_s=round(rng.uniform(first_s, last_s), 2),
        for_s=round(rng.uniform(*ranges.duration_s), 2),
        part=round(rng.uniform(*ranges.part), 3),
        size=round(rng.uniform(*ranges.size), 3),
        extra=round(rng.uniform(*ranges.extra), 3),
        how=rng.choice(FAULT_FORMS[kind] or ("",)),
    )


def draw_faults(
    rng: Random, kinds: list[str], ranges: dict[str, FaultRanges], first_s: float, last_s: float
) -> dict[str, FaultSection]:
    """Draw a fault of each kind.

    Args:
        rng: Source of the draws.
        kinds: Kinds in the order they are drawn; their names in the scenario are made from it.
        ranges: Ranges by kind.
        first_s: When the first may begin, from the start of the day.
        last_s: When the last may begin.

    Returns:
        The faults by name.
    """
    return {
        f"{kind}-{number}": draw_fault(rng, kind, ranges[kind], first_s, last_s) for number, kind in enumerate(kinds)
    }


def with_faults(script: Scenario, faults: dict[str, FaultSection]) -> Scenario:
    """A copy of a scenario that has these faults in place of its own."""
    return Scenario(
        script.path, script.day, script.fleet, script.load, script.net, faults, script.overrides, script.config
    )
