"""The page of a recorded day: outcomes, latency, weights, updates, and the assigners' own status."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING

from hollyridge.lab.checks.evidence import Evidence, HeldTable
from hollyridge.lab.reports.plots import Plot, write

if TYPE_CHECKING:
    from matplotlib.axes import Axes

US_PER_S = 1_000_000
MAX_TASKS_IN_LEGEND = 16
FAULT_COLOR, OK_COLOR, FAILED_COLOR, LINES_COLOR = "#d70", "#7bb274", "#c0392b", "#069"


def day_page(rows: list[dict], out: Path, name: str) -> Path:
    """Write the page of a recording; ValueError for an empty one."""
    plots = _DayPlots(rows)
    ok = sum(row["ok"] for row in plots.done)
    lead = (
        f"{len(plots.done)} RPCs, {ok} ok, {len(plots.evidence.messages)} proxies; orange lines mark where a trouble "
        "begins."
    )
    return write(out, name, [lead], [], plots.all())


class _DayPlots:
    """Draws the plots of one day.

    Attributes:
        start: When the first RPC came in (us).
        done: The RPCs that were done.
        states: Recorded status of each assigner.
        faults: Name, and second of the day, of each fault's begin.
    """

    def __init__(self, rows: list[dict]) -> None:
        self.evidence = Evidence(rows, tables=True)
        self.done = [row for row in rows if row["k"] == "done"]
        if not self.done:
            raise ValueError("the recording holds no RPC")
        self.start = min(row["t"] - row["took"] for row in self.done)
        self.faults = [(row["name"], self._second(row["t"])) for row in rows if row["k"] == "trouble" and row["begins"]]
        self.states: dict[int, list[dict]] = defaultdict(list)
        for row in rows:
            if row["k"] == "state":
                self.states[row.get("assigner", 0)].append(row)

    def all(self) -> list[Plot]:
        plots = [
            Plot("RPCs by the second they came in", self._outcomes),
            Plot("Time till a good answer", self._latency),
            Plot("Shares of the table that changed most, as one proxy held it", self._weights),
            Plot("Lines that proxies received, by second", self._lines),
        ]
        if self.states:
            plots += [
                Plot("Lines that wait in an assigner's channel", self._waiting),
                Plot("The gate: price U of a push, and the gain that it is held against", self._gate),
                Plot("Levels: what part is let in", self._admission),
            ]
        return plots

    def _second(self, at: int) -> float:
        return (at - self.start) / US_PER_S

    def _mark_faults(self, axes: Axes) -> None:
        for number, (name, second) in enumerate(self.faults):
            axes.axvline(second, color=FAULT_COLOR, lw=0.7)
            above = "bottom" if number % 2 else "top"
            axes.text(second, axes.get_ylim()[1], name, fontsize=7, rotation=30, va=above)

    def _outcomes(self, axes: Axes) -> None:
        ok: dict[int, int] = defaultdict(int)
        failed: dict[int, int] = defaultdict(int)
        for row in self.done:
            (ok if row["ok"] else failed)[(row["t"] - row["took"] - self.start) // US_PER_S] += 1
        seconds = range(max([*ok, *failed], default=0) + 1)
        axes.stackplot(
            seconds,
            [ok[second] for second in seconds],
            [failed[second] for second in seconds],
            labels=["ok", "not ok"],
            colors=[OK_COLOR, FAILED_COLOR],
        )
        axes.set_xlabel("second")
        axes.legend(loc="upper left")
        self._mark_faults(axes)

    def _latency(self, axes: Axes) -> None:
        for method in sorted({row["method"] for row in self.done}):
            took_ms = [row["took"] / 1e3 for row in self.done if row["method"] == method and row["ok"]]
            axes.hist(took_ms, bins=60, histtype="step", label=f"method {method}")
        axes.set_xlabel("ms till a good answer, client's own retries included")
        axes.legend()

    def _most_changed(self) -> list[HeldTable]:
        by_proxy: dict[tuple[str, str], list[HeldTable]] = defaultdict(list)
        for table in self.evidence.tables:
            by_proxy[table.proxy, table.group].append(table)
        return max(by_proxy.values(), key=len, default=[])

    def _weights(self, axes: Axes) -> None:
        shares: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for table in self._most_changed():
            total = sum(table.lines.values()) or 1.0
            for task in {*shares, *table.lines}:
                shares[task].append((self._second(table.at), table.lines.get(task, 0.0) / total))
        for task, points in sorted(shares.items()):
            axes.step(*zip(*points), where="post", lw=0.9, label=task)
        axes.set_ylabel("share")
        if len(shares) <= MAX_TASKS_IN_LEGEND:
            axes.legend(fontsize=6, ncols=2, loc="upper left")
        self._mark_faults(axes)

    def _lines(self, axes: Axes) -> None:
        lines: dict[int, int] = defaultdict(int)
        for messages in self.evidence.messages.values():
            for message in messages:
                lines[(message.at - self.start) // US_PER_S] += message.lines
        axes.bar(list(lines), list(lines.values()), color=LINES_COLOR)
        axes.set_xlabel("second")
        self._mark_faults(axes)

    def _waiting(self, axes: Axes) -> None:
        for number, states in sorted(self.states.items()):
            seconds = [self._second(row["t"]) for row in states]
            axes.plot(seconds, [row["waiting"] for row in states], lw=0.9, label=f"assigner {number}")
        axes.legend(fontsize=7, loc="upper left")
        self._mark_faults(axes)

    def _gate(self, axes: Axes) -> None:
        for number, states in sorted(self.states.items()):
            seconds = [self._second(row["t"]) for row in states]
            for key, style, title in (("price", "-", "U"), ("gain", "--", "gain")):
                values = [row.get(key) or 0.0 for row in states]
                axes.step(seconds, values, where="post", lw=0.9, ls=style, label=f"{title}, assigner {number}")
        axes.legend(fontsize=7, loc="upper left")
        self._mark_faults(axes)

    def _admission(self, axes: Axes) -> None:
        for number, states in sorted(self.states.items()):
            seconds = [self._second(row["t"]) for row in states]
            for zone in range(max((len(row.get("levels") or ()) for row in states), default=0)):
                levels = [row["levels"][zone] for row in states]
                axes.plot(seconds, levels, lw=0.9, label=f"{number}, table {zone}")
        axes.set_ylim(0, 1.05)
        axes.legend(fontsize=7, loc="lower left")
        self._mark_faults(axes)
