"""Figures of a day, from its recordings: criticality served in time, updates sent, work and recovery."""

from __future__ import annotations

from collections import defaultdict
from itertools import takewhile
from typing import NamedTuple

from hollyridge.lab.checks.evidence import Evidence

LATE_FRACTION = 0.1  # part of the criticality earned after the soft deadline, but in time for the client
US_PER_S = 1_000_000
WORST_WINDOW_S = 10
BASELINE_S = 10  # length of the window before a fault whose service is the baseline
RECOVERY_WINDOW_S = 3
RECOVERY_LIMIT_S = 30
RECOVERED_FRACTION = 0.9
MIN_DIVISOR = 1e-9  # avoids a division by zero


class _Served:
    """Sums of the criticality of requests, and of the part of it that was earned."""

    def __init__(self) -> None:
        self.earned = 0.0
        self.requested = 0.0

    def add(self, earned: float, requested: float) -> None:
        self.earned += earned
        self.requested += requested

    @property
    def fraction(self) -> float:
        return self.earned / max(self.requested, MIN_DIVISOR)


class _Totals(NamedTuple):
    """Sums over all RPCs.

    Attributes:
        by_method: Criticality by number of the method.
        by_second: Criticality by the second in which the RPC arrived.
        attempts: Number of attempts.
        ok: Number of RPCs that succeeded.
    """

    by_method: dict[int, _Served]
    by_second: dict[int, _Served]
    attempts: int
    ok: int


def figures_of(evidence: Evidence, methods: list[dict]) -> dict:
    """Return the figures of a day in the form of `--json`.

    Args:
        evidence: What was recorded.
        methods: The methods in the order of their numbers, each with keys name, criticality, soft_us and deadline_us.
    """
    rows = evidence.rows
    totals = _add_up(rows, methods)
    by_method, by_second = totals.by_method, totals.by_second
    seconds = sorted(by_second)
    earned = sum(served.earned for served in by_method.values())
    requested = sum(served.requested for served in by_method.values())
    received = evidence.messages.items()
    decisions = {(evidence.run_of(uid, message.at), message.number) for uid, updates in received for message in updates}
    return {
        "rpcs": _count(rows, "done"),
        "ok": totals.ok,
        "tries": totals.attempts,
        "served": round(earned / max(requested, MIN_DIVISOR), 4),
        "worst_10s": round(_worst_window(by_second, seconds), 4),
        "by_method": {
            methods[number]["name"]: round(by_method[number].earned / by_method[number].requested, 4)
            for number in sorted(by_method)
        },
        "no_line": _count(rows, "no_line"),
        "decisions_sent": len(decisions),
        "messages": sum(map(len, evidence.messages.values())),
        "lines": sum(message.lines for messages in evidence.messages.values() for message in messages),
        "drains": _drains(evidence),
        "recovered_s": _recoveries(evidence, by_second),
        "connections": _count(rows, "connected"),
        "fell": _count(rows, "fell"),
        "timeline": [[second - seconds[0], round(by_second[second].fraction, 4)] for second in seconds],
    }


def _count(rows: list[dict], kind: str) -> int:
    return sum(row["k"] == kind for row in rows)


def _add_up(rows: list[dict], methods: list[dict]) -> _Totals:
    by_method: dict[int, _Served] = defaultdict(_Served)
    by_second: dict[int, _Served] = defaultdict(_Served)
    attempts = ok = 0
    for row in rows:
        if row["k"] != "done":
            continue
        method = methods[row["method"]]
        criticality = method["criticality"]
        in_time = row["took"] <= method["soft_us"]
        earned = criticality * (1.0 if in_time else LATE_FRACTION) if row["ok"] else 0.0
        by_method[row["method"]].add(earned, criticality)
        by_second[(row["t"] - row["took"]) // US_PER_S].add(earned, criticality)
        attempts += row["tries"]
        ok += row["ok"]
    return _Totals(by_method, by_second, attempts, ok)


def _fraction(served: list[_Served]) -> float:
    return sum(sums.earned for sums in served) / max(sum(sums.requested for sums in served), MIN_DIVISOR)


def _worst_window(by_second: dict[int, _Served], seconds: list[int]) -> float:
    """Return the fraction that was served in the worst ten seconds."""
    starts = range(max(1, len(seconds) - WORST_WINDOW_S + 1))
    return min(_fraction([by_second[second] for second in seconds[start : start + WORST_WINDOW_S]]) for start in starts)


def _drains(evidence: Evidence) -> dict:
    """Return statistics of the seconds between the news that a task closes and the last attempt sent to it.

    Only tasks that stayed closed count. The time of the news is that of the last assigner to learn of the first closing
    state; a task is draining before it is gone.
    """
    last_attempt: dict[str, int] = defaultdict(int)
    for row in evidence.rows:
        if row["k"] == "try":
            last_attempt[row["task"]] = row["t"]
    closings: dict[str, list[int]] = defaultdict(list)
    for tasks in evidence.task_news.values():
        for task, history in tasks.items():
            closed = list(takewhile(lambda news: news.state != "ready", reversed(history)))
            closings[task].append(closed[-1].at if closed else -1)
    spans_s = sorted(
        max(0, last_attempt[task] - max(moments)) / US_PER_S for task, moments in closings.items() if min(moments) >= 0
    )
    return {
        "closings": len(spans_s),
        "median_s": round(spans_s[len(spans_s) // 2], 3) if spans_s else None,
        "worst_s": round(spans_s[-1], 3) if spans_s else None,
    }


def _recoveries(evidence: Evidence, by_second: dict[int, _Served]) -> dict[str, int]:
    """Return, for each fault, the seconds from its start until service recovered; 0 if it never degraded.

    Service is degraded while a window of three seconds serves less than nine tenths of the fraction that was served in
    the ten seconds before the fault. Only the half minute after the start is examined.
    """

    def fraction(first: int, count: int) -> float:
        return _fraction([by_second[second] for second in range(first, first + count) if second in by_second])

    recovered = {}
    for row in evidence.rows:
        if row["k"] != "trouble" or not row["begins"]:
            continue
        start = row["t"] // US_PER_S
        limit = RECOVERED_FRACTION * (fraction(start - BASELINE_S, BASELINE_S) or 1.0)
        end = min(start + RECOVERY_LIMIT_S, max(by_second, default=0) - RECOVERY_WINDOW_S + 1)
        degraded = [second for second in range(start, end) if fraction(second, RECOVERY_WINDOW_S) < limit]
        recovered[row["name"]] = degraded[-1] - start + 1 if degraded else 0
    return recovered
