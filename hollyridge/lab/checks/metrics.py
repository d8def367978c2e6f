"""What a day came to, from its recordings: criticality served in time, orders, work."""

from __future__ import annotations

from collections import defaultdict
from itertools import takewhile

from hollyridge.lab.checks.checker import Evidence

LATE_WORTH = 0.1  # of the criticality, for an answer after the soft deadline but in time for the client


def figures_of(seen: Evidence, methods: list[dict]) -> dict:
    """`methods`: name, criticality, soft_us, deadline_us by method, in order."""
    rows = seen.rows
    earned: dict[int, float] = defaultdict(float)
    asked: dict[int, float] = defaultdict(float)
    by_time: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    tries = ok = 0
    for row in rows:
        if row["k"] != "done":
            continue
        terms = methods[row["method"]]
        worth = terms["criticality"]
        got = worth * (1.0 if row["took"] <= terms["soft_us"] else LATE_WORTH) if row["ok"] else 0.0
        earned[row["method"]] += got
        asked[row["method"]] += worth
        slot = by_time[(row["t"] - row["took"]) // 1_000_000]
        slot[0] += got
        slot[1] += worth
        tries += row["tries"]
        ok += row["ok"]
    seconds = sorted(by_time)
    runs = [[by_time[s] for s in seconds[i : i + 10]] for i in range(max(1, len(seconds) - 9))]
    windows = [sum(got for got, _ in run) / max(sum(worth for _, worth in run), 1e-9) for run in runs]
    numbers = {(seen.run_of(who, at), number) for who, some in seen.messages.items() for at, number, _ in some}
    return {
        "rpcs": sum(1 for row in rows if row["k"] == "done"),
        "ok": ok,
        "tries": tries,
        "served": round(sum(earned.values()) / max(sum(asked.values()), 1e-9), 4),
        "worst_10s": round(min(windows), 4),
        "by_method": {methods[k]["name"]: round(earned[k] / asked[k], 4) for k in sorted(asked)},
        "no_line": sum(row["k"] == "no_line" for row in rows),
        "decisions_sent": len(numbers),
        "messages": sum(map(len, seen.messages.values())),
        "lines": sum(lines for some in seen.messages.values() for _, _, lines in some),
        **times(seen, by_time),
        "connections": sum(row["k"] == "connected" for row in rows),
        "fell": sum(row["k"] == "fell" for row in rows),
        "timeline": [[s - seconds[0], round(by_time[s][0] / max(by_time[s][1], 1e-9), 4)] for s in seconds],
    }


def times(seen: Evidence, by_time: dict[int, list[float]]) -> dict:
    """Seconds from the word that a task closes to the last try that was sent to it: median and worst over tasks that
    stayed closed (`drains`); and, for each trouble, how many seconds after its
    start three seconds together were last under nine tenths of the ten before it, within half a minute (`recovered_s`;
    0: never)."""
    last: dict[str, int] = defaultdict(int)
    for row in seen.rows:
        if row["k"] == "try":
            last[row["task"]] = row["t"]
    spans = []
    closings: dict[str, list[int]] = defaultdict(list)
    for tasks in seen.told.values():
        for task, past in tasks.items():
            closed = list(takewhile(lambda told: told.state != "ready", reversed(past)))
            closings[task].append(closed[-1].at if closed else -1)
    for task, moments in closings.items():
        if min(moments) >= 0:  # since the first word of it to the last assigner: draining comes before gone
            spans.append(max(0, last[task] - max(moments)) / 1e6)
    spans.sort()
    recovered = {}
    for row in seen.rows:
        if row["k"] == "trouble" and row["begins"]:
            second = row["t"] // 1_000_000

            def part(first: int, count: int) -> float:
                some = [by_time[s] for s in range(first, first + count) if s in by_time]
                return sum(got for got, _ in some) / max(sum(worth for _, worth in some), 1e-9)

            before = part(second - 10, 10) or 1.0
            low = [s for s in range(second, min(second + 30, max(by_time, default=0) - 2)) if part(s, 3) < 0.9 * before]
            recovered[row["name"]] = low[-1] - second + 1 if low else 0
    return {
        "drains": {
            "closings": len(spans),
            "median_s": round(spans[len(spans) // 2], 3) if spans else None,
            "worst_s": round(spans[-1], 3) if spans else None,
        },
        "recovered_s": recovered,
    }
