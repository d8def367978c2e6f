"""Takeovers of proxies between the assigners of a shared fleet, measured over many simulated days.

What happens to the assigners is drawn by seed. How long proxies had no owner, and whether one followed two owners at a
time, is read from recordings of what passed on the sockets.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from random import Random
from statistics import median
from typing import NamedTuple

from hollyridge.lab import scenario as scenarios
from hollyridge.lab.checks.evidence import Evidence
from hollyridge.lab.checks.ownership import Gap, believed, doubles, gaps, moves
from hollyridge.lab.day import Day
from hollyridge.lab.experiments.fault_draw import FaultRanges, draw_faults, with_faults
from hollyridge.lab.scenario import FaultSection, Scenario
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment

RANGES = {
    "assigner_killed": FaultRanges((2, 12), (0.2, 0.7), (1, 1), (1, 1)),
    "assigner_stalled": FaultRanges((1, 12), (0.2, 0.7), (2, 10), (3, 6)),
    "peers_cut": FaultRanges((4, 15), (1, 1), (0.1, 0.3), (1, 1)),
    "release": FaultRanges((6, 15), (0.3, 0.9), (1, 1), (1, 1)),
    "streams_broken": FaultRanges((0, 0), (0.2, 1), (1, 1), (1, 1)),
    "zone_cut": FaultRanges((4, 10), (1, 1), (1, 1), (1, 1)),
}
ASSIGNER_KINDS = ("assigner_killed", "assigner_stalled")
HARD_KINDS = (*ASSIGNER_KINDS, "peers_cut")  # each day has one of these
SILENCING_FORMS = ("halves", "one_way")  # of a cut between peers, after which some are not received by others
FIRST_FAULT_S = 4.0  # leaves the fleet time to start
LAST_FAULT_SHARE = 0.5  # of the day, so that every takeover ends within it
MAX_MORE_FAULTS = 2


class TakeoverDay(NamedTuple):
    """What one day showed.

    Attributes:
        seed: Seed of the draws and of the day.
        troubles: Names of the faults that were drawn.
        gaps: Times in which proxies had no owner.
        double: Updates that a proxy applied although it already followed another assigner.
        believed_s: The longest time in which two assigners claimed one proxy.
        moves: Changes of owner.
        broken: Numbers of the rules that were broken.
        served: Share of criticality that was answered in time.
        wrongly_gone: Peers declared dead on a day on which every peer could be reached.
    """

    seed: int
    troubles: tuple[str, ...]
    gaps: tuple[Gap, ...]
    double: int
    believed_s: float
    moves: int
    broken: tuple[int, ...]
    served: float
    wrongly_gone: int


def draw(rng: Random, length_s: float) -> dict[str, FaultSection]:
    """Draw a hard fault and up to two others, all in the first half of the day."""
    first = rng.choice(HARD_KINDS)
    others = set(RANGES) - {first}
    if first == "peers_cut":
        others -= set(ASSIGNER_KINDS)
    else:
        # A zone that only the struck assigner can reach would leave proxies without an owner whatever is done.
        others -= {"zone_cut"}
    kinds = [first, *rng.sample(sorted(others), rng.randint(0, MAX_MORE_FAULTS))]
    return draw_faults(rng, kinds, RANGES, FIRST_FAULT_S, LAST_FAULT_SHARE * length_s)


def silences_peers(script: Scenario) -> bool:
    """Whether a fault of the day keeps a peer from being received, so that others rightly declare it dead."""
    return any(fault.kind in ASSIGNER_KINDS or fault.form in SILENCING_FORMS for fault in script.faults.values())


def play(  # noqa: PLR0913, PLR0917 - a scenario and what is put in place of its own keys, one argument each
    path: str, seed: int, front: str, shared: bool = True, assigners: int = 0, times: float = 1.0, own: bool = False
) -> TakeoverDay:
    """Run one simulated day.

    Args:
        path: The scenario.
        seed: Seed of the draws and of the day.
        front: The protocol that proxies speak, `clone` or `sasp`.
        shared: Whether the assigners share the fleet; otherwise they know nothing of each other.
        assigners: Number of assigners; the scenario's own if 0.
        times: Factor on fleet, load and pace.
        own: Keep the scenario's own faults instead of drawing some.
    """
    script = scenarios.load(path, fronts=(front,), assigners=assigners, times=times)
    script.fleet = script.fleet.model_copy(update={"shared": shared})
    if not own:
        script = with_faults(script, draw(Random(seed), script.day.length_s))
    stage = SimulatedEnvironment(script, "", seed)
    outcome = Day(script, stage, seed).play()
    rows = stage.record.rows
    evidence = Evidence(rows)
    declared_dead = sum(status["peers"]["counts"]["gone"] for status in stage.status if "peers" in status)
    return TakeoverDay(
        seed=seed,
        troubles=tuple(script.faults),
        gaps=tuple(gaps(evidence)),
        double=doubles(rows),
        believed_s=believed(rows),
        moves=moves(evidence),
        broken=tuple(verdict.rule for verdict in outcome.verdicts if not verdict.kept),
        served=outcome.figures["served"],
        wrongly_gone=0 if silences_peers(script) else declared_dead,
    )


def many(  # noqa: PLR0913, PLR0917 - one argument for each option of the command, which passes them in order
    path: Path | str,
    seeds: range,
    fronts: tuple[str, ...],
    at_once: int = 0,
    shared: bool = True,
    assigners: int = 0,
    on_result: Callable[[TakeoverDay], None] = lambda day: None,
) -> list[TakeoverDay]:
    """Run a day for each seed, several at a time; a day is the same whichever process runs it.

    Args:
        path: The scenario.
        seeds: Seeds of the draws and of the days.
        fronts: Protocols that proxies speak, taken in turn by seed.
        at_once: Processes; one less than the machine has cores if 0.
        shared: As of `play`.
        assigners: As of `play`.
        on_result: Called with each day as it ends.

    Returns:
        The days in the order of their seeds.
    """
    found = []
    with ProcessPoolExecutor(at_once or max(1, (os.cpu_count() or 2) - 1)) as pool:
        jobs = [pool.submit(play, str(path), seed, fronts[seed % len(fronts)], shared, assigners) for seed in seeds]
        for job in as_completed(jobs):
            found.append(job.result())
            on_result(found[-1])
    return sorted(found)


def longest_gap_s(day: TakeoverDay) -> float:
    """The longest time in which a proxy of the day had no owner."""
    return max([0.0, *(gap.seconds for gap in day.gaps)])


def summary(found: list[TakeoverDay]) -> dict:
    """Sum up days as `lab takeover --json` prints them."""
    seconds = sorted(gap.seconds for day in found for gap in day.gaps)
    worst = max(found, key=longest_gap_s)
    return {
        "seeds": len(found),
        "orphaned": len(seconds),
        "orphaned_median_s": round(median(seconds), 3) if seconds else 0.0,
        "orphaned_p99_s": seconds[min(len(seconds) - 1, int(0.99 * len(seconds)))] if seconds else 0.0,
        "orphaned_max_s": seconds[-1] if seconds else 0.0,
        "worst_seed": worst.seed,
        "worst_troubles": list(worst.troubles),
        "doubly_ordered": sum(day.double for day in found),
        "believed_by_two_max_s": max(day.believed_s for day in found),
        "moves": sum(day.moves for day in found),
        "rules_broken": sum(len(day.broken) for day in found),
        "broken_on": [[day.seed, *day.broken] for day in found if day.broken],
        "served": round(sum(day.served for day in found) / len(found), 4),
        "wrongly_gone": sum(day.wrongly_gone for day in found),
    }
