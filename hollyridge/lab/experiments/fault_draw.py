"""Faults drawn at random from ranges, and scenarios that contain them instead of their own."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from hollyridge.lab.scenario import FAULT_FORMS, FaultSection, Scenario


class FaultRanges(NamedTuple):
    """Ranges, as (minimum, maximum), that one kind of fault is drawn from.

    Attributes:
        duration_s: Duration, in seconds.
        part: Share of tasks, proxies or assigners that it affects.
        size: Key `size` of its section; the meaning depends on the kind.
        extra: Key `extra` of its section; the meaning depends on the kind.
    """

    duration_s: tuple[float, float]
    part: tuple[float, float]
    size: tuple[float, float]
    extra: tuple[float, float]


def draw_fault(rng: Random, kind: str, ranges: FaultRanges, first_s: float, last_s: float) -> FaultSection:
    """Draw one fault of a kind that begins between two times, in seconds from the start of the day."""
    return FaultSection(  # another order of the draws would change the day that a seed yields
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
        kinds: Kinds in the order in which they are drawn; a fault is named after its kind and position.
        ranges: Ranges by kind.
        first_s: Earliest beginning of a fault, in seconds from the start of the day.
        last_s: Latest beginning of a fault, in seconds from the start of the day.

    Returns:
        The faults by name.
    """
    return {
        f"{kind}-{number}": draw_fault(rng, kind, ranges[kind], first_s, last_s) for number, kind in enumerate(kinds)
    }


def with_faults(scenario: Scenario, faults: dict[str, FaultSection]) -> Scenario:
    """Return a copy of a scenario with these faults instead of its own."""
    return Scenario(
        scenario.path,
        scenario.day,
        scenario.fleet,
        scenario.load,
        scenario.net,
        faults,
        scenario.overrides,
        scenario.config,
    )
