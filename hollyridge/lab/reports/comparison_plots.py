"""Page of a kept comparison, which shows the days of its variants side by side."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from matplotlib.axes import Axes

from hollyridge.lab.experiments.experiment import summary
from hollyridge.lab.experiments.variants import Variant
from hollyridge.lab.reports.errors import ReportError
from hollyridge.lab.reports.plot_page import PlotPage, render


def draw_served_by_day(axes: Axes, days: list[dict], variants: list[str]) -> None:
    """Plot the served share of each variant over days and seeds, which are in the same order for all variants."""
    keys = sorted({(day["script"], day["seed"]) for day in days})
    for variant in variants:
        served = {(day["script"], day["seed"]): day["served"] for day in days if day["variant"] == variant}
        axes.plot([served.get(key) for key in keys], "o-", lw=0.6, label=variant)
    axes.set_xlabel("day and seed")
    axes.legend()


def draw_distribution(axes: Axes, days: list[dict], variants: list[str], figure: str) -> None:
    """Plot the distribution of one figure over days, a box for each variant."""
    values = [[day[figure] for day in days if day["variant"] == variant] for variant in variants]
    axes.boxplot(values, orientation="horizontal")
    axes.set_yticks(range(1, len(variants) + 1), variants)


def write_comparison_page(rows: list[dict], folder: Path, name: str) -> Path:
    """Write the page of a comparison's kept results into a folder and return its path.

    Raises:
        ReportError: If none of the days could be run.
    """
    days = [row for row in rows if "failed" not in row]
    if not days:
        raise ReportError(f"no day of the comparison could be run, {len(rows)} failed")
    variants = list(dict.fromkeys(day["variant"] for day in days))
    draw_figure = partial(draw_distribution, days=days, variants=variants)
    plots = [
        render("Criticality answered in time, day by day", partial(draw_served_by_day, days=days, variants=variants)),
        render("Criticality answered in time", partial(draw_figure, figure="served")),
        render("Worst ten seconds", partial(draw_figure, figure="worst_10s")),
        render("Lines sent", partial(draw_figure, figure="lines")),
    ]
    table = [summary(rows, Variant(variant)) for variant in variants]
    return PlotPage(name, [f"{len(days)} days run."], table, plots).write(folder)
