"""Takeovers: how long proxies have no owner when assigners of a shared fleet fail, and whether two ever own one.

What happens to the assigners is drawn by seed, the day is simulated, and the figures come from what passed on the
sockets.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import replace
from pathlib import Path
from random import Random
from statistics import median
from typing import NamedTuple

from hollyridge.lab import scenario as scenarios
from hollyridge.lab.checks.evidence import Evidence
from hollyridge.lab.checks.ownership import Gap, believed, doubles, gaps, moves
from hollyridge.lab.day import Day
from hollyridge.lab.experiments.hunt import drawn
from hollyridge.lab.scenario import FaultSection
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment

RANGES = {
    # kind: for_s, part of assigners or of what it strikes, size, extra; each from and to
    "assigner_killed": ((2, 12), (0.2, 0.7), (1, 1), (1, 1)),
    "assigner_stalled": ((1, 12), (0.2, 0.7), (2, 10), (3, 6)),
    "peers_cut": ((4, 15), (1, 1), (0.1, 0.3), (1, 1)),
    "release": ((6, 15), (0.3, 0.9), (1, 1), (1, 1)),
    "streams_broken": ((0, 0), (0.2, 1), (1, 1), (1, 1)),
    "zone_cut": ((4, 10), (1, 1), (1, 1), (1, 1)),
}
ASSIGNER_FAULTS = ("assigner_killed", "assigner_stalled", "peers_cut")  # one of these each day
FIRST_S = 4  # no fault begins earlier
LAST_FRACTION = 0.5  # of the day, in which faults begin
MAX_OTHERS = 2


class TakeoverDay(NamedTuple):
    """One day.

    Attributes:
        gaps: Times that proxies were without an owner.
        double: Updates applied of an assigner that had been followed by another.
        believed_s: The longest that two claimed one proxy.
        moves: Changes of owner.
        broken: Rules that were broken.
        wrongly_gone: Live members that were held for dead.
    """

    seed: int
    faults: tuple[str, ...]
    gaps: tuple[Gap, ...]
    double: int
    believed_s: float
    moves: int
    broken: tuple[int, ...]
    served: float
    wrongly_gone: int


def draw(rng: Random, length_s: float) -> dict[str, FaultSection]:
    """A fault of assigners, and up to two others, in the first half of the day."""
    first = rng.choice(ASSIGNER_FAULTS)
    # Proxies of a zone that is cut off from all but an assigner that is killed could have none, whatever is done.
    others = set(RANGES) - {first} - (set() if first == "peers_cut" else {"zone_cut"})
    if first == "peers_cut":
        others -= {"assigner_killed", "assigner_stalled"}
    kinds = [first, *rng.sample(sorted(others), rng.randint(0, MAX_OTHERS))]
    return drawn(rng, kinds, RANGES, FIRST_S, LAST_FRACTION * length_s)


def play(  # noqa: PLR0913, PLR0917 - options of the command and of tests
    path: str, seed: int, front: str, shared: bool = True, assigners: int = 0, times: float = 1.0, own: bool = False
) -> TakeoverDay:
    """One day of the scenario with faults drawn by seed, or with its `own`."""
    loaded = scenarios.load(path, fronts=(front,), assigners=assigners, times=times)
    faults = loaded.faults if own else draw(Random(seed), loaded.day.length_s)
    loaded = replace(loaded, fleet=loaded.fleet.model_copy(update={"shared": shared}), faults=faults)
    environment = SimulatedEnvironment(loaded, "", seed)
    outcome = Day(loaded, environment, seed).play()
    rows = environment.record.rows
    evidence = Evidence(rows)
    return TakeoverDay(
        seed,
        tuple(faults),
        tuple(gaps(evidence)),
        doubles(rows),
        believed(rows),
        moves(evidence),
        tuple(verdict.rule for verdict in outcome.verdicts if not verdict.kept),
        outcome.figures["served"],
        _wrongly_gone(faults, environment.status),
    )


def _wrongly_gone(faults: dict[str, FaultSection], status: list[dict]) -> int:
    """Members that were held for dead; none counts on a day on which some are rightly."""
    if any(
        fault.kind in ("assigner_killed", "assigner_stalled") or fault.form in ("halves", "one_way")
        for fault in faults.values()
    ):
        return 0
    return sum(one["peers"]["counts"]["gone"] for one in status if "peers" in one)


def many(  # noqa: PLR0913, PLR0917 - the options of the command
    path: Path | str,
    seeds: range,
    fronts: tuple[str, ...],
    at_once: int = 0,
    shared: bool = True,
    assigners: int = 0,
    on_day: Callable[[TakeoverDay], None] = lambda day: None,
) -> list[TakeoverDay]:
    """A day for each seed, in processes beside each other; each day is the same whoever plays it."""
    found = []
    with ProcessPoolExecutor(at_once or max(1, (os.cpu_count() or 2) - 1)) as pool:
        jobs = [pool.submit(play, str(path), seed, fronts[seed % len(fronts)], shared, assigners) for seed in seeds]
        for job in as_completed(jobs):
            found.append(job.result())
            on_day(found[-1])
    return sorted(found)


def summary(found: list[TakeoverDay]) -> dict:
    """What the days come to, as `--json` has it."""
    seconds = sorted(gap.seconds for day in found for gap in day.gaps)
    worst = max(found, key=lambda day: max([0.0, *(gap.seconds for gap in day.gaps)]))
    return {
        "seeds": len(found),
        "orphaned": len(seconds),
        "orphaned_median_s": round(median(seconds), 3) if seconds else 0.0,
        "orphaned_p99_s": seconds[min(len(seconds) - 1, int(0.99 * len(seconds)))] if seconds else 0.0,
        "orphaned_max_s": seconds[-1] if seconds else 0.0,
        "worst_seed": worst.seed,
        "worst_troubles": list(worst.faults),
        "doubly_ordered": sum(day.double for day in found),
        "believed_by_two_max_s": max(day.believed_s for day in found),
        "moves": sum(day.moves for day in found),
        "rules_broken": sum(len(day.broken) for day in found),
        "broken_on": [[day.seed, *day.broken] for day in found if day.broken],
        "served": round(sum(day.served for day in found) / len(found), 4),
        "wrongly_gone": sum(day.wrongly_gone for day in found),
    }
