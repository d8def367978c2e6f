"""What a day came to, from its recordings: criticality served in time, orders, work."""

from __future__ import annotations

from collections import defaultdict

from hollyridge.lab.checker import Evidence

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
    runs = [[by_time[s] for s in seconds[i:i + 10]] for i in range(max(1, len(seconds) - 9))]
    windows = [sum(got for got, _ in run) / max(sum(worth for _, worth in run), 1e-9) for run in runs]
    numbers = {(seen.assigner_since(at), number) for some in seen.messages.values() for at, number, _ in some}
    return {
        "rpcs": sum(1 for row in rows if row["k"] == "done"), "ok": ok, "tries": tries,
        "served": round(sum(earned.values()) / max(sum(asked.values()), 1e-9), 4),
        "worst_10s": round(min(windows), 4),
        "by_method": {methods[k]["name"]: round(earned[k] / asked[k], 4) for k in sorted(asked)},
        "no_line": sum(row["k"] == "no_line" for row in rows),
        "decisions_sent": len(numbers),
        "messages": sum(map(len, seen.messages.values())),
        "lines": sum(lines for some in seen.messages.values() for _, _, lines in some),
        "fell": sum(row["k"] == "fell" for row in rows),
        "timeline": [[s - seconds[0], round(by_time[s][0] / max(by_time[s][1], 1e-9), 4)] for s in seconds],
    }
