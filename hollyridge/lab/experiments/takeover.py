"""Takeovers of proxies between the assigners of a shared fleet, measured over many simulated days.

The faults of the assigners are drawn by seed. The times in which proxies had no owner, and updates of conflicting
owners, are determined from recordings of the messages on the sockets.
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
from hollyridge.lab.checks.ownership import Gap, count_conflicting_updates, gaps, longest_double_claim_s, moves
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
SILENCING_FORMS = ("halves", "one_way")  # forms of a partition after which some peers receive nothing from others
FIRST_FAULT_S = 4.0  # gives the fleet time to start
LAST_FAULT_SHARE = 0.5  # share of the day, so that every takeover ends within the day
MAX_MORE_FAULTS = 2


class TakeoverDay(NamedTuple):
    """Results of one day.

    Attributes:
        seed: Seed of the draws and of the day.
        faults: Names of the faults that were drawn.
        gaps: Times in which proxies had no owner.
        conflicting_updates: Number of updates that a proxy applied although it already had another owner.
        double_claim_s: Longest time in which two assigners claimed one proxy, in seconds.
        moves: Number of changes of owner.
        broken: Numbers of the rules that were broken.
        served: Share of criticality that was answered in time.
        wrongly_gone: Number of peers declared dead on a day on which every peer could be reached.
    """

    seed: int
    faults: tuple[str, ...]
    gaps: tuple[Gap, ...]
    conflicting_updates: int
    double_claim_s: float
    moves: int
    broken: tuple[int, ...]
    served: float
    wrongly_gone: int


def draw(rng: Random, length_s: float) -> dict[str, FaultSection]:
    """Draw a hard fault and up to two others, all in the first half of the day, and return them by name."""
    first = rng.choice(HARD_KINDS)
    others = set(RANGES) - {first}
    if first == "peers_cut":
        others -= set(ASSIGNER_KINDS)
    else:
        # In a zone that only the failed assigner can reach, proxies would have no owner whatever the assigners do.
        others -= {"zone_cut"}
    kinds = [first, *rng.sample(sorted(others), rng.randint(0, MAX_MORE_FAULTS))]
    return draw_faults(rng, kinds, RANGES, FIRST_FAULT_S, LAST_FAULT_SHARE * length_s)


def silences_peers(scenario: Scenario) -> bool:
    """Return whether a fault of the day silences a peer, so that the others rightly declare it dead."""
    return any(fault.kind in ASSIGNER_KINDS or fault.form in SILENCING_FORMS for fault in scenario.faults.values())


def play(  # noqa: PLR0913, PLR0917 - a scenario and overrides of its keys, one argument each
    path: str,
    seed: int,
    front: str,
    shared: bool = True,
    assigners: int = 0,
    times: float = 1.0,
    keep_faults: bool = False,
) -> TakeoverDay:
    """Run one simulated day.

    Args:
        path: Path of the scenario.
        seed: Seed of the draws and of the day.
        front: Protocol of the proxies, `clone` or `sasp`.
        shared: Whether the assigners share the fleet; otherwise they do not know each other.
        assigners: Number of assigners; that of the scenario if 0.
        times: Factor on fleet, load and pace.
        keep_faults: Whether to keep the scenario's own faults instead of drawing some.
    """
    scenario = scenarios.load(path, fronts=(front,), assigners=assigners, times=times)
    scenario.fleet = scenario.fleet.model_copy(update={"shared": shared})
    if not keep_faults:
        scenario = with_faults(scenario, draw(Random(seed), scenario.day.length_s))
    environment = SimulatedEnvironment(scenario, "", seed)
    outcome = Day(scenario, environment, seed).play()
    rows = environment.record.rows
    evidence = Evidence(rows)
    declared_dead = sum(status["peers"]["counts"]["gone"] for status in environment.status if "peers" in status)
    return TakeoverDay(
        seed=seed,
        faults=tuple(scenario.faults),
        gaps=tuple(gaps(evidence)),
        conflicting_updates=count_conflicting_updates(rows),
        double_claim_s=longest_double_claim_s(rows),
        moves=moves(evidence),
        broken=tuple(verdict.rule for verdict in outcome.verdicts if not verdict.kept),
        served=outcome.figures["served"],
        wrongly_gone=0 if silences_peers(scenario) else declared_dead,
    )


def play_days(  # noqa: PLR0913, PLR0917 - one argument for each option of the command, which passes them in order
    path: Path | str,
    seeds: range,
    fronts: tuple[str, ...],
    at_once: int = 0,
    shared: bool = True,
    assigners: int = 0,
    on_result: Callable[[TakeoverDay], None] = lambda day: None,
) -> list[TakeoverDay]:
    """Run a day for each seed, several at a time; the result does not depend on the process that runs a day.

    Args:
        path: Path of the scenario.
        seeds: Seeds of the draws and of the days.
        fronts: Protocols of the proxies, taken in turn by seed.
        at_once: Number of processes; one less than the machine has cores if 0.
        shared: As in `play`.
        assigners: As in `play`.
        on_result: Called with each day as it ends.

    Returns:
        The days in the order of their seeds.
    """
    days = []
    with ProcessPoolExecutor(at_once or max(1, (os.cpu_count() or 2) - 1)) as pool:
        jobs = [pool.submit(play, str(path), seed, fronts[seed % len(fronts)], shared, assigners) for seed in seeds]
        for job in as_completed(jobs):
            days.append(job.result())
            on_result(days[-1])
    return sorted(days)


def longest_gap_s(day: TakeoverDay) -> float:
    """Return the longest time in which a proxy of the day had no owner, in seconds."""
    return max([0.0, *(gap.seconds for gap in day.gaps)])


def summary(days: list[TakeoverDay]) -> dict:
    """Summarize days in the form of `lab takeover --json`."""
    seconds = sorted(gap.seconds for day in days for gap in day.gaps)
    worst = max(days, key=longest_gap_s)
    return {
        "seeds": len(days),
        "orphaned": len(seconds),
        "orphaned_median_s": round(median(seconds), 3) if seconds else 0.0,
        "orphaned_p99_s": seconds[min(len(seconds) - 1, int(0.99 * len(seconds)))] if seconds else 0.0,
        "orphaned_max_s": seconds[-1] if seconds else 0.0,
        "worst_seed": worst.seed,
        "worst_troubles": list(worst.faults),
        "doubly_ordered": sum(day.conflicting_updates for day in days),
        "believed_by_two_max_s": max(day.double_claim_s for day in days),
        "moves": sum(day.moves for day in days),
        "rules_broken": sum(len(day.broken) for day in days),
        "broken_on": [[day.seed, *day.broken] for day in days if day.broken],
        "served": round(sum(day.served for day in days) / len(days), 4),
        "wrongly_gone": sum(day.wrongly_gone for day in days),
    }
