"""Pages with plots: of one recorded day, or of a kept comparison."""

from __future__ import annotations

import base64
import io
from collections import defaultdict
from pathlib import Path

import matplotlib
import msgspec
from jinja2 import Environment

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend is chosen before

from hollyridge.lab.checks.checker import Evidence

PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{{ name }}</title>
<style>body{font:15px/1.45 sans-serif;max-width:70em;margin:2em auto;padding:0 1em}img{max-width:100%}
td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}table{border-collapse:collapse}</style>
<h1>{{ name }}</h1>{% for line in lead %}<p>{{ line }}</p>{% endfor %}
{% if rows %}<table><tr>{% for key in rows[0] %}<th>{{ key }}{% endfor %}</tr>
{% for row in rows %}<tr>{% for value in row.values() %}<td>{{ value }}{% endfor %}</tr>{% endfor %}</table>{% endif %}
{% for title, image in images %}<h2>{{ title }}</h2><img alt="{{ title }}" src="data:image/png;base64,{{ image }}">
{% endfor %}</html>
"""


def picture(draw) -> str:
    figure, axes = pyplot.subplots(figsize=(11, 3.6), dpi=100)
    draw(axes)
    axes.grid(alpha=0.25)
    figure.tight_layout()
    out = io.BytesIO()
    figure.savefig(out, format="png")
    pyplot.close(figure)
    return base64.b64encode(out.getvalue()).decode()


def write(path: Path, name: str, lead: list[str], rows: list[dict], images: list[tuple[str, str]]) -> Path:
    path.mkdir(parents=True, exist_ok=True)
    target = path / "index.html"
    target.write_text(
        Environment(autoescape=True).from_string(PAGE).render(name=name, lead=lead, rows=rows, images=images)
    )
    return target


def day_page(rows: list[dict], out: Path, name: str) -> Path:
    """Of a recording: outcomes, latency, weights of the busiest table, orders. ValueError for an empty one."""
    seen = Evidence(rows, tables=True)
    done = [row for row in rows if row["k"] == "done"]
    if not done:
        raise ValueError("the recording holds no RPC")
    start = min(row["t"] - row["took"] for row in done)
    troubles = [(row["name"], (row["t"] - start) / 1e6) for row in rows if row["k"] == "trouble" and row["begins"]]

    def marked(axes) -> None:
        for at, (title, moment) in enumerate(troubles):
            axes.axvline(moment, color="#d70", lw=0.7)
            axes.text(moment, axes.get_ylim()[1], title, fontsize=7, rotation=30, va="bottom" if at % 2 else "top")

    def outcomes(axes) -> None:
        ok, bad = defaultdict(int), defaultdict(int)
        for row in done:
            (ok if row["ok"] else bad)[(row["t"] - row["took"] - start) // 1_000_000] += 1
        seconds = range(max([*ok, *bad], default=0) + 1)
        axes.stackplot(
            seconds,
            [ok[s] for s in seconds],
            [bad[s] for s in seconds],
            labels=["ok", "not ok"],
            colors=["#7bb274", "#c0392b"],
        )
        axes.set_xlabel("second")
        axes.legend(loc="upper left")
        marked(axes)

    def latency(axes) -> None:
        for method in sorted({row["method"] for row in done}):
            axes.hist(
                [row["took"] / 1e3 for row in done if row["method"] == method and row["ok"]],
                bins=60,
                histtype="step",
                label=f"method {method}",
            )
        axes.set_xlabel("ms till a good answer, client's own retries included")
        axes.legend()

    by_proxy: dict[tuple, list] = defaultdict(list)
    for row in seen.tables:
        by_proxy[row.proxy, row.group].append(row)

    def weights(axes) -> None:
        some = max(by_proxy.values(), key=len, default=[])
        tasks: dict[str, list] = defaultdict(list)
        for row in some:
            whole = sum(row.lines.values()) or 1.0
            for task in {*tasks, *row.lines}:
                tasks[task].append(((row.at - start) / 1e6, row.lines.get(task, 0.0) / whole))
        for task, points in sorted(tasks.items()):
            axes.step(*zip(*points), where="post", lw=0.9, label=task)
        axes.set_ylabel("share")
        if len(tasks) <= 16:
            axes.legend(fontsize=6, ncols=2, loc="upper left")
        marked(axes)

    def orders(axes) -> None:
        lines: dict[int, int] = defaultdict(int)
        for some in seen.messages.values():
            for at, _, count in some:
                lines[(at - start) // 1_000_000] += count
        axes.bar(list(lines), list(lines.values()), color="#069")
        axes.set_xlabel("second")
        marked(axes)

    states: dict[int, list[dict]] = defaultdict(list)
    for row in rows:
        if row["k"] == "state":
            states[row.get("assigner", 0)].append(row)

    def waiting(axes) -> None:
        for number, some in sorted(states.items()):
            axes.plot(
                [(row["t"] - start) / 1e6 for row in some],
                [row["waiting"] for row in some],
                lw=0.9,
                label=f"assigner {number}",
            )
        axes.legend(fontsize=7, loc="upper left")
        marked(axes)

    def gate(axes) -> None:
        for number, some in sorted(states.items()):
            times = [(row["t"] - start) / 1e6 for row in some]
            for key, style, title in (("price", "-", "U"), ("gain", "--", "gain")):
                axes.step(
                    times,
                    [row.get(key) or 0.0 for row in some],
                    where="post",
                    lw=0.9,
                    ls=style,
                    label=f"{title}, assigner {number}",
                )
        axes.legend(fontsize=7, loc="upper left")
        marked(axes)

    def levels(axes) -> None:
        for number, some in sorted(states.items()):
            times = [(row["t"] - start) / 1e6 for row in some]
            for zone in range(max((len(row.get("levels") or ()) for row in some), default=0)):
                axes.plot(times, [row["levels"][zone] for row in some], lw=0.9, label=f"{number}, table {zone}")
        axes.set_ylim(0, 1.05)
        axes.legend(fontsize=7, loc="lower left")
        marked(axes)

    more = (
        [
            ("Lines that wait in an assigner's channel", picture(waiting)),
            ("The gate: price U of a push, and the gain that it is held against", picture(gate)),
            ("Levels: what part is let in", picture(levels)),
        ]
        if states
        else []
    )
    lead = [
        f"{len(done)} RPCs, {sum(row['ok'] for row in done)} ok, {len(seen.messages)} proxies; orange lines mark "
        "where a trouble begins."
    ]
    return write(
        out,
        name,
        lead,
        [],
        [
            ("RPCs by the second they came in", picture(outcomes)),
            ("Time till a good answer", picture(latency)),
            ("Shares of the table that changed most, as one proxy held it", picture(weights)),
            ("Lines that proxies received, by second", picture(orders)),
            *more,
        ],
    )


def comparison_page(rows: list[dict], out: Path, name: str) -> Path:
    """Of a kept comparison: each variant's days side by side. ValueError if no day was played."""
    good = [row for row in rows if "failed" not in row]
    if not good:
        raise ValueError("no day was played")
    variants = list(dict.fromkeys(row["variant"] for row in good))

    def boxes(figure: str):
        def draw(axes) -> None:
            figures = [[row[figure] for row in good if row["variant"] == v] for v in variants]
            axes.boxplot(figures, orientation="horizontal")
            axes.set_yticks(range(1, len(variants) + 1), variants)

        return draw

    def pairs(axes) -> None:
        seeds = sorted({(row["script"], row["seed"]) for row in good})
        for variant in variants:
            have = {(row["script"], row["seed"]): row["served"] for row in good if row["variant"] == variant}
            axes.plot([have.get(key) for key in seeds], "o-", lw=0.6, label=variant)
        axes.set_xlabel("day and seed")
        axes.legend()

    from hollyridge.lab.experiments.experiment import Variant, summary

    table = [summary(rows, Variant(variant)) for variant in variants]
    return write(
        out,
        name,
        [f"{len(good)} days played."],
        table,
        [
            ("Criticality answered in time, day by day", picture(pairs)),
            ("Criticality answered in time", picture(boxes("served"))),
            ("Worst ten seconds", picture(boxes("worst_10s"))),
            ("Lines sent", picture(boxes("lines"))),
        ],
    )


def page_of(source: Path, out: Path) -> Path:
    """Of a recording, a folder with recordings, or the kept file of a comparison. ValueError for what is neither."""
    if source.is_dir():
        from hollyridge.lab.reports.record import read_all

        return day_page(read_all(source), out, source.name)
    rows = []
    for line in source.read_bytes().splitlines():
        try:
            rows.append(msgspec.json.decode(line))
        except msgspec.DecodeError:
            continue
    if rows and "variant" in rows[0]:
        return comparison_page(rows, out, source.stem)
    if rows and "k" in rows[0]:
        return day_page(sorted(rows, key=lambda row: row["t"]), out, source.stem)
    raise ValueError("neither a recording nor a kept comparison")
