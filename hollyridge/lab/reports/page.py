"""HTML page of a day that was run: verdicts, figures, and a timeline with marks of the faults."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from jinja2 import Environment

if TYPE_CHECKING:
    from hollyridge.lab.day import Outcome
    from hollyridge.lab.scenario import Scenario

TIMELINE_WIDTH = 1000  # in units of the SVG view box, which the browser scales to the page

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ name }}</title>
<style>body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{padding:.25em .8em;border-bottom:1px solid #ddd;text-align:left}.broken{color:#b00;font-weight:bold}
svg{width:100%;height:auto;background:#fafafa}</style>
<h1>{{ name }}</h1>
<p>{{ length }} s, {{ tasks }} tasks, {{ proxies }} proxies. Criticality answered in time:
<b>{{ figures.served }}</b>; in the worst 10 s {{ figures.worst_10s }}. {{ figures.rpcs }} RPCs, {{
figures.tries }} attempts.
Updates: {{ figures.decisions_sent }} decisions in {{ figures.messages }} messages with {{ figures.lines }} lines.</p>
<h2>Rules</h2><table><tr><th>rule<th>kept<th>of the limit<th>nearest</tr>
{% for verdict in verdicts %}<tr{% if not verdict.kept %} class="broken"{% endif %}><td>{{ verdict.rule }}<td>{{
"yes" if verdict.kept else "BROKEN" }}<td>{{ "%.1f%%"|format(100 * verdict.nearest) }}<td>{{ verdict.where }}</tr>
{% endfor %}</table>
<h2>Criticality in time, second by second</h2>
<svg viewBox="0 0 {{ width }} 240" role="img">
{% for fault in faults %}<rect x="{{ x(fault.begun) }}" y="{{ 200 }}" width="{{
[x(fault.ended) - x(fault.begun), 2]|max }}"
 height="9" fill="#d70" opacity=".5" transform="translate(0,{{ loop.index0 % 3 * 10 }})"><title>{{ fault.name }}:
 {{ fault.kind }}</title></rect>
<text x="{{ x(fault.begun) }}" y="{{ 12 + loop.index0 % 5 * 12 }}" font-size="10">{{ fault.name }}</text>
<line x1="{{ x(fault.begun) }}" x2="{{ x(fault.begun) }}" y1="14" y2="200" stroke="#d70" stroke-width=".5"/>{%
endfor %}
<polyline fill="none" stroke="#069" stroke-width="1.5"
 points="{% for second, share in figures.timeline %}{{ x(second) }},{{ 200 - 130 * share }} {% endfor %}"/></svg>
<h2>By method</h2><table>{% for method, share in figures.by_method.items() %}<tr><td>{{ method }}<td>{{ share }}</tr>{%
endfor %}</table></html>
"""


def write(folder: Path, scenario: Scenario, outcome: Outcome) -> Path:
    """Write `index.html` into an existing folder and return its path.

    Args:
        folder: Folder for the page.
        scenario: Scenario of the day.
        outcome: Outcome of the day.
    """
    length_s = scenario.day.length_s

    def x_of(seconds: float) -> float:
        return round(seconds / length_s * TIMELINE_WIDTH, 1)

    page = (
        Environment(autoescape=True)
        .from_string(PAGE)
        .render(
            name=scenario.path.stem,
            length=length_s,
            tasks=scenario.fleet.tasks,
            proxies=scenario.fleet.proxies,
            width=TIMELINE_WIDTH,
            verdicts=outcome.verdicts,
            figures=outcome.figures,
            faults=outcome.faults,
            x=x_of,
        )
    )
    path = folder / "index.html"
    path.write_text(page)
    return path
