"""A page for a day that was played: verdicts, figures, a timeline with the faults marked."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from jinja2 import Environment

if TYPE_CHECKING:
    from hollyridge.lab.day import Outcome
    from hollyridge.lab.scenario import Scenario

TIMELINE_WIDTH = 1000

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ name }}</title>
<style>body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{padding:.25em .8em;border-bottom:1px solid #ddd;text-align:left}.broken{color:#b00;font-weight:bold}
svg{width:100%;height:auto;background:#fafafa}</style>
<h1>{{ name }}</h1>
<p>{{ length }} s, {{ tasks }} tasks, {{ proxies }} proxies. Criticality answered in time:
<b>{{ f.served }}</b>; in the worst 10 s {{ f.worst_10s }}. {{ f.rpcs }} RPCs, {{ f.tries }} tries.
Orders: {{ f.decisions_sent }} decisions in {{ f.messages }} messages with {{ f.lines }} lines.</p>
<h2>Rules</h2><table><tr><th>rule<th>kept<th>of the limit<th>nearest</tr>
{% for v in verdicts %}<tr{% if not v.kept %} class="broken"{% endif %}><td>{{ v.rule }}<td>{{ "yes" if v.kept else
"BROKEN" }}<td>{{ "%.1f%%"|format(100 * v.nearest) }}<td>{{ v.where }}</tr>
{% endfor %}</table>
<h2>Criticality in time, second by second</h2>
<svg viewBox="0 0 {{ width }} 240" role="img">
{% for t in troubles %}<rect x="{{ x(t.begun) }}" y="{{ 200 }}" width="{{ [x(t.ended) - x(t.begun), 2]|max }}"
 height="9" fill="#d70" opacity=".5" transform="translate(0,{{ loop.index0 % 3 * 10 }})"><title>{{ t.name }}:
 {{ t.kind }}</title></rect>
<text x="{{ x(t.begun) }}" y="{{ 12 + loop.index0 % 5 * 12 }}" font-size="10">{{ t.name }}</text>
<line x1="{{ x(t.begun) }}" x2="{{ x(t.begun) }}" y1="14" y2="200" stroke="#d70" stroke-width=".5"/>{% endfor %}
<polyline fill="none" stroke="#069" stroke-width="1.5"
 points="{% for s, part in f.timeline %}{{ x(s) }},{{ 200 - 130 * part }} {% endfor %}"/></svg>
<h2>By method</h2><table>{% for name, part in f.by_method.items() %}<tr><td>{{ name }}<td>{{ part }}</tr>{% endfor
%}</table></html>
"""


def write(folder: Path, scenario: Scenario, outcome: Outcome) -> Path:
    """Write `index.html` into the folder; returns its path."""
    length_s = scenario.day.length_s
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
            f=outcome.figures,
            troubles=outcome.faults,
            x=lambda seconds: round(seconds / length_s * TIMELINE_WIDTH, 1),
        )
    )
    path = folder / "index.html"
    path.write_text(page)
    return path
