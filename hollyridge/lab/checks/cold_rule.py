"""Rule 4: no cold task is overloaded by proxies that could know that it was cold."""

from __future__ import annotations

import bisect
from collections import defaultdict, deque
from typing import NamedTuple

from hollyridge.lab.checks.evidence import Evidence
from hollyridge.lab.checks.verdicts import RuleLimits, Verdict, WorstMoment

# The load of a cold task counts only if this share of its work comes from proxies that could know of the start.
AWARE_NUMERATOR, AWARE_DENOMINATOR = 2, 3
END_OF_TIME = 1 << 62  # later than any recorded time


class _Arrival(NamedTuple):
    """Work that arrived at a cold task.

    Attributes:
        at: Time of arrival, in microseconds.
        work_us: CPU time that the RPC needs, in microseconds.
        proxy: The proxy that sent it.
    """

    at: int
    work_us: float
    proxy: str


def check_cold_tasks(evidence: Evidence, limits: RuleLimits) -> Verdict:
    """Return the verdict on rule 4: no cold task is overloaded by proxies that could know that it was cold.

    A load counts if at least two thirds of it came from proxies that knew of the start, or whose assigner had known of
    it for the grace period.
    """
    worst = WorstMoment("no cold task was near its limit")
    starts: dict[tuple[str, str], dict] = {}
    windows: dict[tuple[str, str], deque[_Arrival]] = defaultdict(deque)
    for row in evidence.rows:
        if row["k"] == "task_up" and row["cold"]:
            starts[row["task"], row["run"]] = row
        elif row["k"] == "rpc" and (row["task"], row["run"]) in starts:
            run = row["task"], row["run"]
            _note_cold_rpc(evidence, limits, starts[run], windows[run], row, worst)
    fell = sum(row["k"] == "fell" for row in evidence.rows)
    return worst.verdict(4, f"; {fell} fell over" if fell else "")


def _note_cold_rpc(  # noqa: PLR0913, PLR0917 - one step of `check_cold_tasks`
    evidence: Evidence, limits: RuleLimits, start: dict, window: deque[_Arrival], row: dict, worst: WorstMoment
) -> None:
    age_us = row["t"] - start["born"]
    if age_us >= start["cold_us"]:
        return
    window.append(_Arrival(row["t"], row["work"], row["proxy"]))
    while window[0].at <= row["t"] - limits.fall_us:
        window.popleft()
    capacity_fraction = start["cold_from"] + (1 - start["cold_from"]) * age_us / start["cold_us"]
    allowed_us = limits.fall_multiple * start["cores"] * start["speed"] * capacity_fraction * limits.fall_us
    work_us = sum(arrival.work_us for arrival in window)
    known = _known_since(evidence, row["task"], row["run"])
    if not known:
        return
    aware_us = sum(
        arrival.work_us for arrival in window if _could_know(evidence, limits, arrival.proxy, known, arrival.at)
    )
    if aware_us * AWARE_DENOMINATOR < work_us * AWARE_NUMERATOR:
        return  # too much of the work came from proxies that could not know of the start
    used = work_us / allowed_us
    worst.note(used, f"{row['task']} at {used:.0%} of what it falls at, {age_us / 1e6:.1f} s old")


def _known_since(evidence: Evidence, task: str, run: str) -> dict[int, int]:
    """Return the time at which each assigner first learned of this run of a task, in microseconds."""
    return {
        assigner: news.at
        for assigner, tasks in evidence.task_news.items()
        for news in reversed(tasks.get(task, ()))
        if news.run == run
    }


def _could_know(evidence: Evidence, limits: RuleLimits, proxy: str, known: dict[int, int], at: int) -> bool:
    """Return whether a proxy could know of a task's start.

    It could if its assigner knew of the start before the proxy's last message up to `at`, or if the assigner that it
    is joined to has known for the grace period.

    Args:
        evidence: What was recorded.
        limits: Limits of the rules, among them the grace period.
        proxy: The proxy.
        known: Time at which each assigner learned of the start, in microseconds.
        at: Time in question, in microseconds.
    """
    joined = evidence.joined_at(proxy, at)
    if joined is not None and joined.assigner in known and at >= known[joined.assigner] + limits.drain_grace_us:
        return True
    messages = evidence.messages.get(proxy, [])
    index = bisect.bisect_right(messages, (at, END_OF_TIME, 0)) - 1
    if index < 0:
        return False
    assigner, _ = evidence.run_of(proxy, messages[index].at)
    return messages[index].at >= known.get(assigner, END_OF_TIME)
