"""Pages with plots: the page itself, and what it is made of for each kind of source."""

from __future__ import annotations

import base64
import io
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import matplotlib
from jinja2 import Environment

matplotlib.use("Agg")
from matplotlib import pyplot

from hollyridge.lab.reports.record import read_all, read_lines

if TYPE_CHECKING:
    from matplotlib.axes import Axes

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ name }}</title>
<style>body{font:15px/1.45 sans-serif;max-width:70em;margin:2em auto;padding:0 1em}img{max-width:100%}
td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}table{border-collapse:collapse}</style>
<h1>{{ name }}</h1>{% for line in lead %}<p>{{ line }}</p>{% endfor %}
{% if rows %}<table><tr>{% for key in rows[0] %}<th>{{ key }}{% endfor %}</tr>
{% for row in rows %}<tr>{% for value in row.values() %}<td>{{ value }}{% endfor %}</tr>{% endfor %}</table>{% endif %}
{% for title, image in images %}<h2>{{ title }}</h2><img alt="{{ title }}" src="data:image/png;base64,{{ image }}">
{% endfor %}</html>
"""
FIGURE_INCHES = (11, 3.6)
DPI = 100

Draw = Callable[["Axes"], None]


class Plot(NamedTuple):
    """A plot and its title."""

    title: str
    draw: Draw


def picture(draw: Draw) -> str:
    """A plot as a PNG image in base64."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES, dpi=DPI)
    draw(axes)
    axes.grid(alpha=0.25)
    figure.tight_layout()
    out = io.BytesIO()
    figure.savefig(out, format="png")
    pyplot.close(figure)
    return base64.b64encode(out.getvalue()).decode()


def write(folder: Path, name: str, lead: list[str], rows: list[dict], plots: list[Plot]) -> Path:
    """Write a page with text, a table and plots into the folder; returns its path."""
    images = [(plot.title, picture(plot.draw)) for plot in plots]
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "index.html"
    page = Environment(autoescape=True).from_string(PAGE)
    path.write_text(page.render(name=name, lead=lead, rows=rows, images=images))
    return path


def page_of(source: Path, out: Path) -> Path:
    """A page of a recording, a folder with recordings, or the kept file of a comparison.

    Raises:
        ValueError: It is neither, or there is nothing in it.
    """
    from hollyridge.lab.reports.comparison_page import comparison_page
    from hollyridge.lab.reports.day_page import day_page

    if source.is_dir():
        return day_page(read_all(source), out, source.name)
    rows = read_lines(source)
    if rows and "variant" in rows[0]:
        return comparison_page(rows, out, source.stem)
    if rows and "k" in rows[0]:
        return day_page(sorted(rows, key=lambda row: row["t"]), out, source.stem)
    raise ValueError("neither a recording nor a kept comparison")
