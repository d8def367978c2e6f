"""A hunt for the worst day: troubles drawn by seed from ranges, played in the simulated world; what is found is cut
down to the fewest troubles that still show it, and written as a script."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random

from hollyridge.lab.day import Day, DayError, Outcome
from hollyridge.lab.scenario import FAULT_FORMS, FaultSection, Scenario
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment

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
    rng: Random, kinds: list[str], ranges: dict[str, tuple], first: float, last: float
) -> dict[str, FaultSection]:
    """Troubles of these kinds that begin between two moments (s), their figures drawn from the ranges."""
    troubles = {}
    for at, kind in enumerate(kinds):
        spans, parts, sizes, extras = ranges[kind]
        troubles[f"{kind}-{at}"] = FaultSection(
            kind=kind,
            at_s=round(rng.uniform(first, last), 2),
            for_s=round(rng.uniform(*spans), 2),
            part=round(rng.uniform(*parts), 3),
            size=round(rng.uniform(*sizes), 3),
            extra=round(rng.uniform(*extras), 3),
            how=rng.choice(FAULT_FORMS[kind] or ("",)),
        )
    return troubles


def draw(rng: Random, length: float, most: int) -> dict[str, FaultSection]:
    """Some troubles that begin in the first three quarters of the day."""
    return drawn(rng, rng.sample(sorted(RANGES), rng.randint(1, most)), RANGES, 1, 0.75 * length)


def with_troubles(script: Scenario, troubles: dict[str, FaultSection]) -> Scenario:
    return Scenario(
        script.path, script.day, script.fleet, script.load, script.net, troubles, script.overrides, script.config
    )


def play(script: Scenario, seed: int, policy: str) -> Outcome | None:
    try:
        return Day(script, SimulatedEnvironment(script, policy, seed), seed).play()
    except DayError:
        return None


def badness(outcome: Outcome) -> float:
    """A broken rule is worse than any service; then how near a rule came and what was lost."""
    nearest = max(v.nearest for v in outcome.verdicts)
    return 10.0 * sum(not v.kept for v in outcome.verdicts) + min(nearest, 1.0) + 1 - outcome.figures["served"]


def hunt(
    script: Scenario,
    seeds: range,
    policy: str = "",
    most: int = 5,
    told: Callable[[int, float], None] = lambda seed, worst: None,
) -> tuple[int, Scenario, Outcome] | None:
    """The seed, the script and the outcome of the worst day; None if none could be played."""
    found = None
    for seed in seeds:
        tried = with_troubles(script, draw(Random(seed), script.day.length_s, most))
        outcome = play(tried, seed, policy)
        if outcome is not None and (found is None or badness(outcome) > badness(found[2])):
            found = seed, tried, outcome
        told(seed, badness(found[2]) if found else 0.0)
    return found


def cut_down(seed: int, script: Scenario, outcome: Outcome, policy: str = "") -> tuple[Scenario, Outcome]:
    """Leave out troubles while what was found stays: the same broken rules, or nine tenths of the badness."""
    broken = {v.rule for v in outcome.verdicts if not v.kept}

    def still(tried: Outcome | None) -> bool:
        if tried is None:
            return False
        if broken:
            return broken <= {v.rule for v in tried.verdicts if not v.kept}
        return badness(tried) >= 0.9 * badness(outcome)

    going = True
    while going:
        going = False
        for name in list(script.faults):
            fewer = with_troubles(script, {k: t for k, t in script.faults.items() if k != name})
            tried = play(fewer, seed, policy) if fewer.faults else None
            if still(tried):
                script, outcome, going = fewer, tried, True
                break
    return script, outcome


def write(path: Path, seed: int, script: Scenario, outcome: Outcome) -> None:
    """As a script that `hollyridge lab run` and `hollyridge day` read."""
    lines = [f"; Found by a hunt from {script.path.name}, seed {seed}: served {outcome.figures['served']}."]
    lines += [f"; rule {v.rule} broken: {v.where}" for v in outcome.verdicts if not v.kept]
    sections = {
        "day": script.day.model_copy(
            update={"seed": seed, "settings": str((script.path.parent / script.day.settings).resolve())}
        ),
        "fleet": script.fleet,
        "load": script.load,
        "net": script.net,
        **{f"trouble {k}": t for k, t in script.faults.items()},
    }
    for name, section in sections.items():
        lines.append(f"\n[{name}]")
        for key, value in section.model_dump().items():
            text = ", ".join(map(str, value)) if isinstance(value, list) else value
            if text != "":
                lines.append(f"{key} = {text}")
    sets: dict[str, list[str]] = {}
    for (section, key), value in script.overrides.items():
        sets.setdefault(section, []).append(f"{key} = {value}")
    for section, rows in sets.items():
        lines += [f"\n[set {section}]", *rows]
    path.write_text("\n".join(lines) + "\n")
