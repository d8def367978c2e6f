"""A scaling sweep: the same day with fleet, load and channel so many times as large, each in a process of its own."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from hollyridge.lab.reports.plots import Draw, Plot, write

if TYPE_CHECKING:
    from matplotlib.axes import Axes

PLAYED = (0, 1)  # exit codes of `lab run` where the day was played
ERROR_LENGTH = 300
RULES_SHOWN = (3, 4, 5)


def play(path: str, times: float, assigners: int, seed: int, timeout_s: float) -> dict:
    """One day's figures, or why there are none."""
    key = {"times": times, "assigners": assigners}
    command = [sys.executable, "-m", "hollyridge.cli.main", "lab", "run", path]
    options = ["--seed", str(seed), "--times", str(times), "--assigners", str(assigners), "--cost", "--json"]
    try:
        ran = subprocess.run([*command, *options], capture_output=True, timeout=timeout_s)
    except subprocess.TimeoutExpired:
        return {**key, "failed": f"not done within {timeout_s:.0f} s"}
    if ran.returncode not in PLAYED:
        return {**key, "failed": ran.stderr.decode(errors="replace")[-ERROR_LENGTH:]}
    figures = msgspec.json.decode(ran.stdout)
    return {
        **key,
        "tasks": figures["tasks"],
        "proxies": figures["proxies"],
        "served": figures["served"],
        "broken": figures["broken"],
        "nearest": {verdict["rule"]: verdict["nearest"] for verdict in figures["rules"]},
        "messages": figures["messages"],
        "lines": figures["lines"],
        "drains_worst_s": figures["drains"]["worst_s"],
        **figures["cost"],
    }


def sweep(  # noqa: PLR0913, PLR0917 - the options of the command
    path: str, sizes: list[float], assigners: list[int], seed: int, timeout_s: float, on_row: Callable[[dict], None]
) -> list[dict]:
    """A row for each number of assigners and size, in this order; `on_row` takes each as it is done."""
    rows = []
    for count in assigners:
        for times in sizes:
            rows.append(play(path, times, count, seed, timeout_s))
            on_row(rows[-1])
    return rows


def page(rows: list[dict], out: Path, name: str) -> Path:
    """Write a page with plots; ValueError if no size could be played."""
    played = [row for row in rows if "failed" not in row]
    if not played:
        raise ValueError("no size could be played: " + "; ".join(row["failed"] for row in rows))
    first = [row for row in played if row["assigners"] == min(row["assigners"] for row in played)]
    table = [{key: value for key, value in row.items() if key not in ("parts", "nearest")} for row in played]
    failed = [f"{row['times']} times, {row['assigners']} assigners: {row['failed']}" for row in rows if "failed" in row]
    plots = [
        Plot("CPU seconds for a simulated second", _curve(played, "cpu_per_s", "s")),
        Plot("Memory", _curve(played, "rss_mb", "MB")),
        Plot("Lines sent", _curve(played, "lines", "lines")),
        Plot("How near the rules came to their limits", _nearest(first)),
        Plot("Where the time goes", _parts(first)),
    ]
    return write(out, name, ["One simulated day at growing size.", *failed], table, plots)


def _curve(played: list[dict], key: str, title: str) -> Draw:
    def draw(axes: Axes) -> None:
        for count in sorted({row["assigners"] for row in played}):
            points = sorted((row["tasks"], row[key]) for row in played if row["assigners"] == count)
            axes.plot(*zip(*points), "o-", label=f"{count} assigners")
        axes.set_xscale("log")
        axes.set_yscale("log")
        axes.set_xlabel("tasks")
        axes.set_ylabel(title)
        axes.legend()

    return draw


def _nearest(rows: list[dict]) -> Draw:
    def draw(axes: Axes) -> None:
        for rule in RULES_SHOWN:
            points = sorted((row["tasks"], row["nearest"][rule]) for row in rows)
            axes.plot(*zip(*points), "o-", label=f"rule {rule}")
        axes.axhline(1.0, color="#c0392b", lw=0.8)
        axes.set_xscale("log")
        axes.legend()

    return draw


def _parts(rows: list[dict]) -> Draw:
    def draw(axes: Axes) -> None:
        labels = [str(row["tasks"]) for row in rows]
        bottom = [0.0] * len(rows)
        for part in sorted({name for row in rows for name in row["parts"]}):
            shares = [row["parts"].get(part, 0.0) for row in rows]
            axes.bar(labels, shares, bottom=bottom, label=part)
            bottom = [below + share for below, share in zip(bottom, shares)]
        axes.legend(fontsize=6, ncols=3)

    return draw
