"""Takeovers counted: what happens to assigners of a shared fleet is drawn by seed, the day is simulated, and from what
passed on the sockets it is told how long proxies had no owner and whether one was ever ordered by two."""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from random import Random
from statistics import median
from typing import NamedTuple

from hollyridge.lab import scenario as scripts
from hollyridge.lab.checks.checker import Evidence
from hollyridge.lab.checks.ownership import Gap, believed, doubles, gaps, moves
from hollyridge.lab.day import Day
from hollyridge.lab.experiments.hunt import drawn, with_troubles
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
HARD = ("assigner_killed", "assigner_stalled", "peers_cut")  # one of these each day


class Told(NamedTuple):
    """One day. `gaps`: proxies without an owner; `double`: orders applied of one who had been followed by another;
    `believed_s`: the longest that two claimed one proxy; `moves`: changes of owner."""

    seed: int
    faults: tuple[str, ...]
    gaps: tuple[Gap, ...]
    double: int
    believed_s: float
    moves: int
    broken: tuple[int, ...]
    served: float
    wrongly_gone: int


def draw(rng: Random, length: float) -> dict[str, FaultSection]:
    first = rng.choice(HARD)
    # Proxies of a zone that is cut off from all but an assigner that is killed could have none, whatever is done.
    others = set(RANGES) - {first} - (set() if first == "peers_cut" else {"zone_cut"})
    if first == "peers_cut":
        others -= {"assigner_killed", "assigner_stalled"}
    kinds = [first, *rng.sample(sorted(others), rng.randint(0, 2))]
    return drawn(rng, kinds, RANGES, 4, 0.5 * length)


def play(
    path: str, seed: int, front: str, shared: bool = True, assigners: int = 0, times: float = 1.0, own: bool = False
) -> Told:
    """One day of the script with troubles drawn by seed, or with its `own`."""
    loaded = scripts.load(path, fronts=(front,), assigners=assigners, times=times)
    loaded.fleet = loaded.fleet.model_copy(update={"shared": shared})
    if not own:
        loaded = with_troubles(loaded, draw(Random(seed), loaded.day.length_s))
    stage = SimulatedEnvironment(loaded, "", seed)
    outcome = Day(loaded, stage, seed).play()
    rows = stage.record.rows
    seen = Evidence(rows)
    gone = sum(status["peers"]["counts"]["gone"] for status in stage.status if "peers" in status)
    dying = any(
        t.kind in ("assigner_killed", "assigner_stalled") or t.form in ("halves", "one_way")
        for t in loaded.faults.values()
    )  # whom nobody hears is rightly held for gone
    return Told(
        seed,
        tuple(loaded.faults),
        tuple(gaps(seen)),
        doubles(rows),
        believed(rows),
        moves(seen),
        tuple(v.rule for v in outcome.verdicts if not v.kept),
        outcome.figures["served"],
        0 if dying else gone,
    )


def many(
    path: Path | str,
    seeds: range,
    fronts: tuple[str, ...],
    at_once: int = 0,
    shared: bool = True,
    assigners: int = 0,
    done: Callable[[Told], None] = lambda told: None,
) -> list[Told]:
    """In processes beside each other; each day the same whoever plays it."""
    found = []
    with ProcessPoolExecutor(at_once or max(1, (os.cpu_count() or 2) - 1)) as pool:
        jobs = [pool.submit(play, str(path), seed, fronts[seed % len(fronts)], shared, assigners) for seed in seeds]
        for job in as_completed(jobs):
            found.append(job.result())
            done(found[-1])
    return sorted(found)


def summary(found: list[Told]) -> dict:
    seconds = sorted(gap.seconds for told in found for gap in told.gaps)
    worst = max(found, key=lambda told: max([0.0, *(gap.seconds for gap in told.gaps)]))
    return {
        "seeds": len(found),
        "orphaned": len(seconds),
        "orphaned_median_s": round(median(seconds), 3) if seconds else 0.0,
        "orphaned_p99_s": seconds[min(len(seconds) - 1, int(0.99 * len(seconds)))] if seconds else 0.0,
        "orphaned_max_s": seconds[-1] if seconds else 0.0,
        "worst_seed": worst.seed,
        "worst_troubles": list(worst.faults),
        "doubly_ordered": sum(told.double for told in found),
        "believed_by_two_max_s": max(told.believed_s for told in found),
        "moves": sum(told.moves for told in found),
        "rules_broken": sum(len(told.broken) for told in found),
        "broken_on": [[told.seed, *told.broken] for told in found if told.broken],
        "served": round(sum(told.served for told in found) / len(found), 4),
        "wrongly_gone": sum(told.wrongly_gone for told in found),
    }
