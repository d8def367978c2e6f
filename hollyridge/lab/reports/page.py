"""The HTML page of a day that was run: verdicts, figures, and a timeline on which faults are marked."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from jinja2 import Environment

if TYPE_CHECKING:
    from hollyridge.lab.day import Outcome
    from hollyridge.lab.scenario import Scenario

TIMELINE_WIDTH = 1000  # units of the drawing's view box; the browser scales them to the page

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ name }}</title>
<style>body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{padding:.25em .8em;border-bottom:1px solid #ddd;text-align:left}.broken{color:#b00;font-weight:bold}
svg{width:100%;height:auto;background:#fafafa}</style>
<h1>{{ name }}</h1>
<p>{{ length }} s, {{ tasks }} tasks, {{ proxies }} proxies. Criticality answered in time:
<b>{{ figures.served }}</b>; in the worst 10 s {{ figures.worst_10s }}. {{ figures.rpcs }} RPCs, {{
figures.tries }} tries.
Orders: {{ figures.decisions_sent }} decisions in {{ figures.messages }} messages with {{ figures.lines }} lines.</p>
<h2>Rules</h2><table><tr><th>rule<th>kept<th>of the limit<th>nearest</tr>
{% for verdict in verdicts %}<tr{% if not verdict.kept %} class="broken"{% endif %}><td>{{ verdict.rule }}<td>{{
"yes" if verdict.kept else "BROKEN" }}<td>{{ "%.1f%%"|format(100 * verdict.nearest) }}<td>{{ verdict.where }}</tr>
{% endfor %}</table>
<h2>Criticality in time, second by second</h2>
<svg viewBox="0 0 {{ width }} 240" role="img">
{% for trouble in troubles %}<rect x="{{ x(trouble.begun) }}" y="{{ 200 }}" width="{{
[x(trouble.ended) - x(trouble.begun), 2]|max }}"
 height="9" fill="#d70" opacity=".5" transform="translate(0,{{ loop.index0 % 3 * 10 }})"><title>{{ trouble.name }}:
 {{ trouble.kind }}</title></rect>
<text x="{{ x(trouble.begun) }}" y="{{ 12 + loop.index0 % 5 * 12 }}" font-size="10">{{ trouble.name }}</text>
<line x1="{{ x(trouble.begun) }}" x2="{{ x(trouble.begun) }}" y1="14" y2="200" stroke="#d70" stroke-width=".5"/>{%
endfor %}
<polyline fill="none" stroke="#069" stroke-width="1.5"
 points="{% for second, share in figures.timeline %}{{ x(second) }},{{ 200 - 130 * share }} {% endfor %}"/></svg>
<h2>By method</h2><table>{% for method, share in figures.by_method.items() %}<tr><td>{{ method }}<td>{{ share }}</tr>{%
endfor %}</table></html>
"""


def write(folder: Path, script: Scenario, outcome: Outcome) -> Path:
    """Write `index.html` into an existing folder and return its path."""
    length_s = script.day.length_s

    def x_of(seconds: float) -> float:
        return round(seconds / length_s * TIMELINE_WIDTH, 1)

    page = (
        Environment(autoescape=True)
        .from_string(PAGE)
        .render(
            name=script.path.stem,
            length=length_s,
            tasks=script.fleet.tasks,
            proxies=script.fleet.proxies,
            width=TIMELINE_WIDTH,
            verdicts=outcome.verdicts,
            figures=outcome.figures,
            troubles=outcome.faults,
            x=x_of,
        )
    )
    path = folder / "index.html"
    path.write_text(page)
    return path
