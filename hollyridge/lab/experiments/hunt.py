"""A hunt for the worst day: faults drawn by seed from ranges, played in the simulated environment.

What is found is cut down to the fewest faults that still show it, and written as a scenario.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random

from hollyridge.lab.day import Day, DayError, Outcome
from hollyridge.lab.scenario import FAULT_FORMS, FaultSection, Scenario
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment

FIRST_S = 1  # no fault begins earlier
LAST_FRACTION = 0.75  # of the day, in which faults begin
STILL_AS_BAD = 0.9  # how much of the badness must stay when a fault is left out
BROKEN_RULE = 10.0  # its badness: worse than any service

RANGES = {
    # kind: for_s, part, size, extra; each from and to
    "release": ((6, 20), (0.3, 0.99), (1, 1), (1, 1)),
    "restart_in_place": ((0, 0), (0.1, 0.4), (1, 1), (1, 1)),
    "vanish": ((5, 20), (0.05, 0.2), (1, 1), (1, 1)),
    "hang": ((5, 20), (0.05, 0.25), (1, 1), (1, 1)),
    "errors": ((5, 20), (0.05, 0.25), (0.35, 0.99), (1, 1)),
    "pauses": ((8, 25), (0.1, 0.45), (0.1, 0.45), (1, 1)),
    "ageing": ((10, 25), (0.1, 0.4), (5, 16), (2, 6)),
    "method_fails": ((8, 25), (0.2, 0.55), (0.6, 1), (1, 1)),
    "handshake_slow": ((8, 25), (0.5, 1), (0.08, 0.4), (2, 10)),
    "grow": ((5, 20), (1, 1), (1.5, 2.5), (0.5, 1)),
    "surge": ((4, 10), (1, 1), (1.2, 1.9), (1, 1)),
    "shift": ((1, 8), (1, 1), (0.35, 0.75), (1, 1)),
    "false_loads": ((8, 25), (0.1, 0.3), (0.05, 0.4), (1.5, 2.5)),
    "late_sums": ((8, 20), (1, 1), (2, 5), (1, 1)),
    "zone_lost": ((5, 20), (1, 1), (1, 1), (1, 1)),
    "zone_cut": ((5, 15), (1, 1), (1, 1), (1, 1)),
    "slow_link": ((8, 25), (1, 1), (0.1, 0.4), (0.05, 0.3)),
    "streams_broken": ((0, 0), (0.2, 1), (1, 1), (1, 1)),
    "slow_orders": ((5, 20), (1, 1), (0.1, 0.6), (1, 1)),
    "proxies_killed": ((1, 5), (0.1, 0.6), (1, 1), (1, 1)),
    "proxies_stalled": ((8, 25), (0.3, 0.9), (0.3, 2), (2, 4)),
    "assigner_killed": ((1, 6), (1, 1), (1, 1), (1, 1)),
    "assigner_stalled": ((8, 25), (1, 1), (0.3, 2), (2, 4)),
}


def drawn(
    rng: Random, kinds: list[str], ranges: dict[str, tuple], first_s: float, last_s: float
) -> dict[str, FaultSection]:
    """Faults of these kinds that begin between two moments, their figures drawn from the ranges."""
    faults = {}
    for number, kind in enumerate(kinds):
        durations, parts, sizes, extras = ranges[kind]
        faults[f"{kind}-{number}"] = FaultSection(
            kind=kind,
            at_s=round(rng.uniform(first_s, last_s), 2),
            for_s=round(rng.uniform(*durations), 2),
            part=round(rng.uniform(*parts), 3),
            size=round(rng.uniform(*sizes), 3),
            extra=round(rng.uniform(*extras), 3),
            how=rng.choice(FAULT_FORMS[kind] or ("",)),
        )
    return faults


def draw(rng: Random, length_s: float, max_faults: int) -> dict[str, FaultSection]:
    """Some faults that begin in the first three quarters of the day."""
    kinds = rng.sample(sorted(RANGES), rng.randint(1, max_faults))
    return drawn(rng, kinds, RANGES, FIRST_S, LAST_FRACTION * length_s)


def play(scenario: Scenario, seed: int, policy: str) -> Outcome | None:
    """The outcome of a day; None if it could not be played."""
    try:
        return Day(scenario, SimulatedEnvironment(scenario, policy, seed), seed).play()
    except DayError:
        return None


def badness(outcome: Outcome) -> float:
    """A broken rule is worse than any service; then how near a rule came and what was lost."""
    nearest = max(verdict.nearest for verdict in outcome.verdicts)
    broken = sum(not verdict.kept for verdict in outcome.verdicts)
    return BROKEN_RULE * broken + min(nearest, 1.0) + 1 - outcome.figures["served"]


def hunt(
    scenario: Scenario,
    seeds: range,
    policy: str = "",
    max_faults: int = 5,
    on_day: Callable[[int, float], None] = lambda seed, worst: None,
) -> tuple[int, Scenario, Outcome] | None:
    """The seed, the scenario and the outcome of the worst day; None if none could be played.

    Args:
        scenario: Its fleet and load are taken.
        seeds: A day for each.
        policy: Another decision module of the laboratory.
        max_faults: Faults in one day at most.
        on_day: Takes the seed that was played, and the worst badness so far.
    """
    found = None
    for seed in seeds:
        tried = replace(scenario, faults=draw(Random(seed), scenario.day.length_s, max_faults))
        outcome = play(tried, seed, policy)
        if outcome is not None and (found is None or badness(outcome) > badness(found[2])):
            found = seed, tried, outcome
        on_day(seed, badness(found[2]) if found else 0.0)
    return found


def _broken(outcome: Outcome) -> set[int]:
    return {verdict.rule for verdict in outcome.verdicts if not verdict.kept}


def _is_as_bad(tried: Outcome | None, found: Outcome, broken: set[int]) -> bool:
    if tried is None:
        return False
    if broken:
        return broken <= _broken(tried)
    return badness(tried) >= STILL_AS_BAD * badness(found)


def cut_down(seed: int, scenario: Scenario, outcome: Outcome, policy: str = "") -> tuple[Scenario, Outcome]:
    """Leave out faults while what was found stays: the same broken rules, or nine tenths of the badness."""
    broken = _broken(outcome)
    reduced = True
    while reduced:
        reduced = False
        for left_out in list(scenario.faults):
            faults = {name: fault for name, fault in scenario.faults.items() if name != left_out}
            fewer = replace(scenario, faults=faults)
            tried = play(fewer, seed, policy) if faults else None
            if _is_as_bad(tried, outcome, broken):
                scenario, outcome, reduced = fewer, tried, True
                break
    return scenario, outcome


def write(path: Path, seed: int, scenario: Scenario, outcome: Outcome) -> None:
    """Write a scenario that `hollyridge lab run` and `hollyridge day` read, with what was found in comments."""
    lines = [f"; Found by a hunt from {scenario.path.name}, seed {seed}: served {outcome.figures['served']}."]
    lines += [f"; rule {verdict.rule} broken: {verdict.where}" for verdict in outcome.verdicts if not verdict.kept]
    settings = str((scenario.path.parent / scenario.day.settings).resolve())
    sections = {
        "day": scenario.day.model_copy(update={"seed": seed, "settings": settings}),
        "fleet": scenario.fleet,
        "load": scenario.load,
        "net": scenario.net,
        **{f"trouble {name}": fault for name, fault in scenario.faults.items()},
    }
    for name, section in sections.items():
        lines.append(f"\n[{name}]")
        for key, value in section.model_dump().items():
            text = ", ".join(map(str, value)) if isinstance(value, list) else value
            if text != "":
                lines.append(f"{key} = {text}")
    overrides: dict[str, list[str]] = {}
    for (section, key), value in scenario.overrides.items():
        overrides.setdefault(section, []).append(f"{key} = {value}")
    for section, keys in overrides.items():
        lines += [f"\n[set {section}]", *keys]
    path.write_text("\n".join(lines) + "\n")
