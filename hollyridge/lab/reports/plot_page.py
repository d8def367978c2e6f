"""HTML pages with their plots as embedded images, so that a page is a single file."""

from __future__ import annotations

import base64
import io
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import matplotlib
from jinja2 import Environment

matplotlib.use("Agg")
from matplotlib import pyplot
from matplotlib.axes import Axes

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ name }}</title>
<style>body{font:15px/1.45 sans-serif;max-width:70em;margin:2em auto;padding:0 1em}img{max-width:100%}
td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}table{border-collapse:collapse}</style>
<h1>{{ name }}</h1>{% for paragraph in paragraphs %}<p>{{ paragraph }}</p>{% endfor %}
{% if rows %}<table><tr>{% for key in rows[0] %}<th>{{ key }}{% endfor %}</tr>
{% for row in rows %}<tr>{% for value in row.values() %}<td>{{ value }}{% endfor %}</tr>{% endfor %}</table>{% endif %}
{% for plot in plots %}<h2>{{ plot.title }}</h2><img alt="{{ plot.title }}" src="data:image/png;base64,{{ plot.png }}">
{% endfor %}</html>
"""
PLOT_SIZE_INCHES = (11, 3.6)
PLOT_DPI = 100


class Plot(NamedTuple):
    """A plot to embed into a page.

    Attributes:
        title: Heading above the image.
        png: The image, encoded in base64.
    """

    title: str
    png: str


class PlotPage(NamedTuple):
    """Contents of a page, from top to bottom.

    Attributes:
        name: Title of the page.
        paragraphs: Lines of text before the table.
        rows: Rows of the table, all with the same keys; no table if empty.
        plots: The plots in order.
    """

    name: str
    paragraphs: list[str]
    rows: list[dict]
    plots: list[Plot]

    def write(self, folder: Path) -> Path:
        """Write `index.html` into a folder, which is created if missing, and return its path."""
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / "index.html"
        path.write_text(Environment(autoescape=True).from_string(PAGE).render(self._asdict()))
        return path


def render(title: str, draw: Callable[[Axes], None]) -> Plot:
    """Call a function that draws on empty axes, and return the result as an encoded plot."""
    figure, axes = pyplot.subplots(figsize=PLOT_SIZE_INCHES, dpi=PLOT_DPI)
    draw(axes)
    axes.grid(alpha=0.25)
    figure.tight_layout()
    image = io.BytesIO()
    figure.savefig(image, format="png")
    pyplot.close(figure)
    return Plot(title, base64.b64encode(image.getvalue()).decode())
