"""Search for the worst day among simulated days whose faults are drawn by seed.

The worst day found is reduced to the faults that it needs, and written as a scenario.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

from pydantic import BaseModel

from hollyridge.lab.day import Day, DayError, Outcome
from hollyridge.lab.experiments.fault_draw import FaultRanges, draw_faults, with_faults
from hollyridge.lab.scenario import FaultSection, Scenario
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment

FIRST_FAULT_S = 1.0  # gives the fleet time to start
LAST_FAULT_SHARE = 0.75  # share of the day, so that the effects of the last fault are seen
BROKEN_RULE_SEVERITY = 10.0  # a broken rule counts more than any loss of service
MIN_KEPT_SEVERITY = 0.9  # share of its severity that a day must keep when a fault is removed

RANGES = {
    "release": FaultRanges((6, 20), (0.3, 0.99), (1, 1), (1, 1)),
    "restart_in_place": FaultRanges((0, 0), (0.1, 0.4), (1, 1), (1, 1)),
    "vanish": FaultRanges((5, 20), (0.05, 0.2), (1, 1), (1, 1)),
    "hang": FaultRanges((5, 20), (0.05, 0.25), (1, 1), (1, 1)),
    "errors": FaultRanges((5, 20), (0.05, 0.25), (0.35, 0.99), (1, 1)),
    "pauses": FaultRanges((8, 25), (0.1, 0.45), (0.1, 0.45), (1, 1)),
    "ageing": FaultRanges((10, 25), (0.1, 0.4), (5, 16), (2, 6)),
    "method_fails": FaultRanges((8, 25), (0.2, 0.55), (0.6, 1), (1, 1)),
    "handshake_slow": FaultRanges((8, 25), (0.5, 1), (0.08, 0.4), (2, 10)),
    "grow": FaultRanges((5, 20), (1, 1), (1.5, 2.5), (0.5, 1)),
    "surge": FaultRanges((4, 10), (1, 1), (1.2, 1.9), (1, 1)),
    "shift": FaultRanges((1, 8), (1, 1), (0.35, 0.75), (1, 1)),
    "false_loads": FaultRanges((8, 25), (0.1, 0.3), (0.05, 0.4), (1.5, 2.5)),
    "late_sums": FaultRanges((8, 20), (1, 1), (2, 5), (1, 1)),
    "zone_lost": FaultRanges((5, 20), (1, 1), (1, 1), (1, 1)),
    "zone_cut": FaultRanges((5, 15), (1, 1), (1, 1), (1, 1)),
    "slow_link": FaultRanges((8, 25), (1, 1), (0.1, 0.4), (0.05, 0.3)),
    "streams_broken": FaultRanges((0, 0), (0.2, 1), (1, 1), (1, 1)),
    "slow_orders": FaultRanges((5, 20), (1, 1), (0.1, 0.6), (1, 1)),
    "proxies_killed": FaultRanges((1, 5), (0.1, 0.6), (1, 1), (1, 1)),
    "proxies_stalled": FaultRanges((8, 25), (0.3, 0.9), (0.3, 2), (2, 4)),
    "assigner_killed": FaultRanges((1, 6), (1, 1), (1, 1), (1, 1)),
    "assigner_stalled": FaultRanges((8, 25), (1, 1), (0.3, 2), (2, 4)),
}


class FoundDay(NamedTuple):
    """A day that was run, with its outcome and the seed and scenario to run it again."""

    seed: int
    scenario: Scenario
    outcome: Outcome


def draw(rng: Random, length_s: float, max_faults: int) -> dict[str, FaultSection]:
    """Draw one to `max_faults` faults of different kinds that begin in the first three quarters of the day.

    Returns:
        The faults by name.
    """
    kinds = rng.sample(sorted(RANGES), rng.randint(1, max_faults))
    return draw_faults(rng, kinds, RANGES, FIRST_FAULT_S, LAST_FAULT_SHARE * length_s)


def play(scenario: Scenario, seed: int, policy: str) -> Outcome | None:
    """Run a simulated day with a decision module of the laboratory; return None if it cannot be run."""
    try:
        return Day(scenario, SimulatedEnvironment(scenario, policy, seed), seed).play()
    except DayError:
        return None


def broken_rules(outcome: Outcome) -> set[int]:
    """Return the numbers of the rules that were broken."""
    return {verdict.rule for verdict in outcome.verdicts if not verdict.kept}


def severity(outcome: Outcome) -> float:
    """Return the severity of a day.

    Broken rules count most, then the largest fraction of a limit used, and the share that was not served.
    """
    nearest = max(verdict.nearest for verdict in outcome.verdicts)
    broken = sum(not verdict.kept for verdict in outcome.verdicts)
    return BROKEN_RULE_SEVERITY * broken + min(nearest, 1.0) + 1 - outcome.figures["served"]


def hunt(
    scenario: Scenario,
    seeds: range,
    policy: str = "",
    max_faults: int = 5,
    on_progress: Callable[[int, float], None] = lambda seed, worst: None,
) -> FoundDay | None:
    """Draw and run a day for each seed.

    Args:
        scenario: Scenario whose fleet and load are used; its own faults are not.
        seeds: Seeds of the draws and of the days.
        policy: Decision module of the laboratory; the service's own if empty.
        max_faults: Maximum number of faults in one day.
        on_progress: Called after each seed with the seed and the highest severity so far.

    Returns:
        The worst day; None if none could be run.
    """
    worst: FoundDay | None = None
    for seed in seeds:
        candidate = with_faults(scenario, draw(Random(seed), scenario.day.length_s, max_faults))
        outcome = play(candidate, seed, policy)
        if outcome is not None and (worst is None or severity(outcome) > severity(worst.outcome)):
            worst = FoundDay(seed, candidate, outcome)
        on_progress(seed, severity(worst.outcome) if worst else 0.0)
    return worst


def still_shows(reduced: Outcome, rules: set[int], current: Outcome) -> bool:
    """Return whether a reduced day still shows the finding.

    Args:
        reduced: Outcome of the day with one fault less.
        rules: Rules that must be broken; if there are none, the day must be about as severe as the current one.
        current: Outcome of the day with that fault.
    """
    if rules:
        return rules <= broken_rules(reduced)
    return severity(reduced) >= MIN_KEPT_SEVERITY * severity(current)


def remove_one_fault(day: FoundDay, rules: set[int], policy: str) -> FoundDay | None:
    """Return the day without a fault that it does not need; None if it needs each fault or has only one."""
    for removed in list(day.scenario.faults):
        remaining = {name: fault for name, fault in day.scenario.faults.items() if name != removed}
        if not remaining:
            continue
        candidate = with_faults(day.scenario, remaining)
        outcome = play(candidate, day.seed, policy)
        if outcome is not None and still_shows(outcome, rules, day.outcome):
            return FoundDay(day.seed, candidate, outcome)
    return None


def cut_down(seed: int, scenario: Scenario, outcome: Outcome, policy: str = "") -> tuple[Scenario, Outcome]:
    """Remove faults one by one while the day breaks the same rules or, if it broke none, stays about as severe.

    Returns:
        The reduced scenario and its outcome.
    """
    rules = broken_rules(outcome)
    day = FoundDay(seed, scenario, outcome)
    while (reduced := remove_one_fault(day, rules, policy)) is not None:
        day = reduced
    return day.scenario, day.outcome


def section_lines(name: str, section: BaseModel) -> list[str]:
    """Return a section of a scenario as lines of an INI file, without empty values."""
    lines = [f"\n[{name}]"]
    for key, value in section.model_dump().items():
        text = ", ".join(map(str, value)) if isinstance(value, list) else value
        if text != "":
            lines.append(f"{key} = {text}")
    return lines


def override_lines(overrides: dict[tuple[str, str], str]) -> list[str]:
    """Return overrides of settings, given by section and key, as `set` sections of an INI file."""
    keys_by_section: dict[str, list[str]] = {}
    for (section, key), value in overrides.items():
        keys_by_section.setdefault(section, []).append(f"{key} = {value}")
    lines = []
    for section, keys in keys_by_section.items():
        lines += [f"\n[set {section}]", *keys]
    return lines


def write(path: Path, seed: int, scenario: Scenario, outcome: Outcome) -> None:
    """Write a day as a scenario that `hollyridge lab run` and `hollyridge day` read."""
    lines = [f"; Found by a hunt from {scenario.path.name}, seed {seed}: served {outcome.figures['served']}."]
    for verdict in outcome.verdicts:
        if not verdict.kept:
            lines.append(f"; rule {verdict.rule} broken: {verdict.where}")
    settings = str((scenario.path.parent / scenario.day.settings).resolve())
    sections = {
        "day": scenario.day.model_copy(update={"seed": seed, "settings": settings}),
        "fleet": scenario.fleet,
        "load": scenario.load,
        "net": scenario.net,
        **{f"trouble {name}": fault for name, fault in scenario.faults.items()},
    }
    for name, section in sections.items():
        lines += section_lines(name, section)
    lines += override_lines(scenario.overrides)
    path.write_text("\n".join(lines) + "\n")
