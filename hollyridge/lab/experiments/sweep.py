"""A scaling sweep: the same day with the fleet, the load and the channel so many times as large, each in a process of
its own, and how cost and service grow."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from hollyridge.lab.reports.plots import picture, write


def play(path: str, times: float, assigners: int, seed: int, timeout_s: float) -> dict:
    """One day's figures, or why there are none."""
    words = [
        sys.executable,
        "-m",
        "hollyridge.cli.main",
        "lab",
        "run",
        path,
        "--seed",
        str(seed),
        "--times",
        str(times),
        "--assigners",
        str(assigners),
        "--cost",
        "--json",
    ]
    key = {"times": times, "assigners": assigners}
    try:
        ran = subprocess.run(words, capture_output=True, timeout=timeout_s)
    except subprocess.TimeoutExpired:
        return {**key, "failed": f"not done within {timeout_s:.0f} s"}
    if ran.returncode not in (0, 1):
        return {**key, "failed": ran.stderr.decode(errors="replace")[-300:]}
    told = msgspec.json.decode(ran.stdout)
    cost = told["cost"]
    return {
        **key,
        "tasks": told["tasks"],
        "proxies": told["proxies"],
        "served": told["served"],
        "broken": told["broken"],
        "nearest": {row["rule"]: row["nearest"] for row in told["rules"]},
        "messages": told["messages"],
        "lines": told["lines"],
        "drains_worst_s": told["drains"]["worst_s"],
        **cost,
    }


def sweep(
    path: str, sizes: list[float], assigners: list[int], seed: int, timeout_s: float, told: Callable[[dict], None]
) -> list[dict]:
    rows = []
    for count in assigners:
        for times in sizes:
            rows.append(play(path, times, count, seed, timeout_s))
            told(rows[-1])
    return rows


def page(rows: list[dict], out: Path, name: str) -> Path:
    """ValueError if no size could be played."""
    good = [row for row in rows if "failed" not in row]
    if not good:
        raise ValueError("no size could be played: " + "; ".join(row["failed"] for row in rows))
    counts = sorted({row["assigners"] for row in good})

    def curve(key: str, title: str):
        def draw(axes) -> None:
            for count in counts:
                some = sorted((row["tasks"], row[key]) for row in good if row["assigners"] == count)
                axes.plot(*zip(*some), "o-", label=f"{count} assigners")
            axes.set_xscale("log")
            axes.set_yscale("log")
            axes.set_xlabel("tasks")
            axes.set_ylabel(title)
            axes.legend()

        return draw

    def nearest(axes) -> None:
        for rule in (3, 4, 5):
            some = sorted((row["tasks"], row["nearest"][rule]) for row in good if row["assigners"] == counts[0])
            axes.plot(*zip(*some), "o-", label=f"rule {rule}")
        axes.axhline(1.0, color="#c0392b", lw=0.8)
        axes.set_xscale("log")
        axes.legend()

    def parts(axes) -> None:
        some = [row for row in good if row["assigners"] == counts[0]]
        names = sorted({name for row in some for name in row["parts"]})
        labels = [str(row["tasks"]) for row in some]
        base = [0.0] * len(some)
        for part in names:
            shares = [row["parts"].get(part, 0.0) for row in some]
            axes.bar(labels, shares, bottom=base, label=part)
            base = [a + b for a, b in zip(base, shares)]
        axes.legend(fontsize=6, ncols=3)

    table = [{key: value for key, value in row.items() if key not in ("parts", "nearest")} for row in good]
    failed = [f"{row['times']} times, {row['assigners']} assigners: {row['failed']}" for row in rows if "failed" in row]
    return write(
        out,
        name,
        ["One simulated day at growing size.", *failed],
        table,
        [
            ("CPU seconds for a simulated second", picture(curve("cpu_per_s", "s"))),
            ("Memory", picture(curve("rss_mb", "MB"))),
            ("Lines sent", picture(curve("lines", "lines"))),
            ("How near the rules came to their limits", picture(nearest)),
            ("Where the time goes", picture(parts)),
        ],
    )
