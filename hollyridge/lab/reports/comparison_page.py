"""The page of a kept comparison: each variant's days side by side."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from hollyridge.lab.experiments.experiment import Variant, summary
from hollyridge.lab.reports.plots import Draw, Plot, write

if TYPE_CHECKING:
    from matplotlib.axes import Axes


def comparison_page(rows: list[dict], out: Path, name: str) -> Path:
    """Write the page; ValueError if no day was played."""
    played = [row for row in rows if "failed" not in row]
    if not played:
        raise ValueError("no day was played")
    variants = list(dict.fromkeys(row["variant"] for row in played))
    plots = [
        Plot("Criticality answered in time, day by day", _by_day(played, variants)),
        Plot("Criticality answered in time", _boxes(played, variants, "served")),
        Plot("Worst ten seconds", _boxes(played, variants, "worst_10s")),
        Plot("Lines sent", _boxes(played, variants, "lines")),
    ]
    table = [summary(rows, Variant(variant)) for variant in variants]
    return write(out, name, [f"{len(played)} days played."], table, plots)


def _boxes(played: list[dict], variants: list[str], figure: str) -> Draw:
    def draw(axes: Axes) -> None:
        figures = [[row[figure] for row in played if row["variant"] == variant] for variant in variants]
        axes.boxplot(figures, orientation="horizontal")
        axes.set_yticks(range(1, len(variants) + 1), variants)

    return draw


def _by_day(played: list[dict], variants: list[str]) -> Draw:
    def draw(axes: Axes) -> None:
        days = sorted({(row["script"], row["seed"]) for row in played})
        for variant in variants:
            served = {(row["script"], row["seed"]): row["served"] for row in played if row["variant"] == variant}
            axes.plot([served.get(day) for day in days], "o-", lw=0.6, label=variant)
        axes.set_xlabel("day and seed")
        axes.legend()

    return draw
