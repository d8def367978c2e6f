"""Scaling sweep: the cost and service of one day at growing sizes, each run in its own process.

Fleet, load and the pace of updates are scaled together.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec
from matplotlib.axes import Axes

from hollyridge.lab.experiments.day_command import EXIT_CODES_OF_A_DAY, error_text
from hollyridge.lab.reports.errors import ReportError
from hollyridge.lab.reports.plot_page import PlotPage, render

MAX_ERROR_CHARACTERS = 300  # the end of a traceback shows why a size failed
PLOTTED_RULES = (3, 4, 5)  # the rules whose figures depend on size


def play(path: str, times: float, assigners: int, seed: int, timeout_s: float) -> dict:
    """Run the day of one size.

    Args:
        path: Path of the scenario.
        times: Factor on fleet, load and pace.
        assigners: Number of assigners.
        seed: Seed of the day.
        timeout_s: Real time that the day may take, in seconds.

    Returns:
        The size's figures, or the reason of the failure under `failed`.
    """
    command = [sys.executable, "-m", "hollyridge.cli.main", "lab", "run", path]
    command += ["--seed", str(seed), "--times", str(times), "--assigners", str(assigners), "--cost", "--json"]
    size = {"times": times, "assigners": assigners}
    try:
        process = subprocess.run(command, capture_output=True, timeout=timeout_s)
    except subprocess.TimeoutExpired:
        return {**size, "failed": f"not done within {timeout_s:.0f} s"}
    if process.returncode not in EXIT_CODES_OF_A_DAY:
        return {**size, "failed": error_text(process.stderr, MAX_ERROR_CHARACTERS)}
    result = msgspec.json.decode(process.stdout)
    return {
        **size,
        "tasks": result["tasks"],
        "proxies": result["proxies"],
        "served": result["served"],
        "broken": result["broken"],
        "nearest": {verdict["rule"]: verdict["nearest"] for verdict in result["rules"]},
        "messages": result["messages"],
        "lines": result["lines"],
        "drains_worst_s": result["drains"]["worst_s"],
        **result["cost"],
    }


def sweep(  # noqa: PLR0913, PLR0917 - one argument for each option of the command, which passes them in order
    path: str,
    sizes: list[float],
    assigners: list[int],
    seed: int,
    timeout_s: float,
    on_result: Callable[[dict], None],
) -> list[dict]:
    """Run every size with every number of assigners, one after the other.

    Args:
        path: Path of the scenario.
        sizes: Factors on fleet, load and pace.
        assigners: Numbers of assigners.
        seed: Seed of all days.
        timeout_s: Real time that one day may take, in seconds.
        on_result: Called with each result as it arrives.

    Returns:
        The results of `play` in the order they were run.
    """
    rows = []
    for count in assigners:
        for times in sizes:
            rows.append(play(path, times, count, seed, timeout_s))
            on_result(rows[-1])
    return rows


def draw_growth(axes: Axes, rows: list[dict], key: str, unit: str) -> None:
    """Plot one figure over the number of tasks, a curve for each number of assigners."""
    for count in sorted({row["assigners"] for row in rows}):
        points = sorted((row["tasks"], row[key]) for row in rows if row["assigners"] == count)
        axes.plot(*zip(*points), "o-", label=f"{count} assigners")
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("tasks")
    axes.set_ylabel(unit)
    axes.legend()


def draw_rule_usage(axes: Axes, rows: list[dict]) -> None:
    """Plot the fraction of its limit that each rule used, over the number of tasks."""
    for rule in PLOTTED_RULES:
        points = sorted((row["tasks"], row["nearest"][rule]) for row in rows)
        axes.plot(*zip(*points), "o-", label=f"rule {rule}")
    axes.axhline(1.0, color="#c0392b", lw=0.8)
    axes.set_xscale("log")
    axes.legend()


def draw_cost_shares(axes: Axes, rows: list[dict]) -> None:
    """Plot the share of CPU time of each part of the program, a stacked bar for each size."""
    labels = [str(row["tasks"]) for row in rows]
    bottoms = [0.0] * len(rows)
    for part in sorted({name for row in rows for name in row["parts"]}):
        shares = [row["parts"].get(part, 0.0) for row in rows]
        axes.bar(labels, shares, bottom=bottoms, label=part)
        bottoms = [bottom + share for bottom, share in zip(bottoms, shares)]
    axes.legend(fontsize=6, ncols=3)


def page(rows: list[dict], folder: Path, name: str) -> Path:
    """Write the page of a sweep's results into a folder and return its path.

    Raises:
        ReportError: If none of the sizes could be run.
    """
    good = [row for row in rows if "failed" not in row]
    if not good:
        raise ReportError("no size could be run: " + "; ".join(row["failed"] for row in rows))
    fewest_assigners = min(row["assigners"] for row in good)
    comparable = [row for row in good if row["assigners"] == fewest_assigners]
    growth = partial(draw_growth, rows=good)
    plots = [
        render("CPU seconds per simulated second", partial(growth, key="cpu_per_s", unit="s")),
        render("Memory", partial(growth, key="rss_mb", unit="MB")),
        render("Lines sent", partial(growth, key="lines", unit="lines")),
        render("Fraction of the rules' limits used", partial(draw_rule_usage, rows=comparable)),
        render("CPU time by part of the program", partial(draw_cost_shares, rows=comparable)),
    ]
    table = [{key: value for key, value in row.items() if key not in ("parts", "nearest")} for row in good]
    failed = [f"{row['times']} times, {row['assigners']} assigners: {row['failed']}" for row in rows if "failed" in row]
    return PlotPage(name, ["One simulated day at growing size.", *failed], table, plots).write(folder)
