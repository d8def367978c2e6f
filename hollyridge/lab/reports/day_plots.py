"""Page of a recorded day: outcomes, latency, weights, updates, and the state of the assigners."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

from matplotlib.axes import Axes

from hollyridge.lab.checks.evidence import Evidence
from hollyridge.lab.reports.errors import ReportError
from hollyridge.lab.reports.plot_page import Plot, PlotPage, render

SECOND_US = 1_000_000
MAX_LEGEND_ENTRIES = 16  # with more tasks the legend covers the curves


class FaultMark(NamedTuple):
    """Mark of a fault's beginning on the time axis.

    Attributes:
        name: The fault's name in the scenario.
        begins_s: Seconds since the day's first RPC.
    """

    name: str
    begins_s: float


class DayPlots:
    """Plots of one recorded day; the time axes begin with the first RPC.

    Attributes:
        evidence: Tables and messages derived from the recording.
        rpcs: Records of finished RPCs.
        start_us: Time of the first RPC on the recording's clock, in microseconds.
        faults: Marks of the faults.
        states: Records of each assigner's state, by the assigner's number.
    """

    def __init__(self, rows: list[dict]) -> None:
        self.evidence = Evidence(rows, tables=True)
        self.rpcs = [row for row in rows if row["k"] == "done"]
        if not self.rpcs:
            raise ReportError("the recording holds no record of a finished RPC")
        self.start_us = min(row["t"] - row["took"] for row in self.rpcs)
        self.faults = [
            FaultMark(row["name"], self.seconds(row["t"])) for row in rows if row["k"] == "trouble" and row["begins"]
        ]
        self.states: dict[int, list[dict]] = defaultdict(list)
        for row in rows:
            if row["k"] == "state":
                self.states[row.get("assigner", 0)].append(row)

    def seconds(self, time_us: int) -> float:
        """Return the seconds from the day's first RPC to a time on the recording's clock."""
        return (time_us - self.start_us) / 1e6

    def mark_faults(self, axes: Axes) -> None:
        """Draw a line with the name where each fault begins."""
        for number, fault in enumerate(self.faults):
            axes.axvline(fault.begins_s, color="#d70", lw=0.7)
            axes.text(
                fault.begins_s,
                axes.get_ylim()[1],
                fault.name,
                fontsize=7,
                rotation=30,
                va="bottom" if number % 2 else "top",
            )

    def draw_outcomes(self, axes: Axes) -> None:
        """Plot the number of RPCs that succeeded and failed, by the second in which they began."""
        succeeded: dict[int, int] = defaultdict(int)
        failed: dict[int, int] = defaultdict(int)
        for rpc in self.rpcs:
            counts = succeeded if rpc["ok"] else failed
            counts[(rpc["t"] - rpc["took"] - self.start_us) // SECOND_US] += 1
        seconds = range(max([*succeeded, *failed], default=0) + 1)
        axes.stackplot(
            seconds,
            [succeeded[second] for second in seconds],
            [failed[second] for second in seconds],
            labels=["ok", "failed"],
            colors=["#7bb274", "#c0392b"],
        )
        axes.set_xlabel("second")
        axes.legend(loc="upper left")
        self.mark_faults(axes)

    def draw_latency(self, axes: Axes) -> None:
        """Plot a histogram of the latency of successful RPCs for each method."""
        for method in sorted({rpc["method"] for rpc in self.rpcs}):
            axes.hist(
                [rpc["took"] / 1e3 for rpc in self.rpcs if rpc["method"] == method and rpc["ok"]],
                bins=60,
                histtype="step",
                label=f"method {method}",
            )
        axes.set_xlabel("ms until success, client's own retries included")
        axes.legend()

    def weight_shares(self) -> dict[str, list[tuple[float, float]]]:
        """Return each task's share over time, as (second, share), in the table that changed most often."""
        tables_by_proxy: dict[tuple[str, str], list] = defaultdict(list)
        for table in self.evidence.tables:
            tables_by_proxy[table.proxy, table.group].append(table)
        shares: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for table in max(tables_by_proxy.values(), key=len, default=[]):
            total = sum(table.lines.values()) or 1.0
            for task in {*shares, *table.lines}:
                shares[task].append((self.seconds(table.at), table.lines.get(task, 0.0) / total))
        return shares

    def draw_weights(self, axes: Axes) -> None:
        """Plot each task's share in the table that changed most often."""
        shares = self.weight_shares()
        for task, points in sorted(shares.items()):
            axes.step(*zip(*points), where="post", lw=0.9, label=task)
        axes.set_ylabel("share")
        if len(shares) <= MAX_LEGEND_ENTRIES:
            axes.legend(fontsize=6, ncols=2, loc="upper left")
        self.mark_faults(axes)

    def draw_updates(self, axes: Axes) -> None:
        """Plot the lines that all proxies received in each second."""
        lines: dict[int, int] = defaultdict(int)
        for messages in self.evidence.messages.values():
            for received_us, _, count in messages:
                lines[(received_us - self.start_us) // SECOND_US] += count
        axes.bar(list(lines), list(lines.values()), color="#069")
        axes.set_xlabel("second")
        self.mark_faults(axes)

    def draw_queue(self, axes: Axes) -> None:
        """Plot the lines queued in each assigner."""
        for number, states in sorted(self.states.items()):
            axes.plot(
                [self.seconds(state["t"]) for state in states],
                [state["waiting"] for state in states],
                lw=0.9,
                label=f"assigner {number}",
            )
        axes.legend(fontsize=7, loc="upper left")
        self.mark_faults(axes)

    def draw_push_gate(self, axes: Axes) -> None:
        """Plot the push price of each assigner and the gain that it is compared with."""
        for number, states in sorted(self.states.items()):
            times = [self.seconds(state["t"]) for state in states]
            for key, style, title in (("price", "-", "U"), ("gain", "--", "gain")):
                axes.step(
                    times,
                    [state.get(key) or 0.0 for state in states],
                    where="post",
                    lw=0.9,
                    ls=style,
                    label=f"{title}, assigner {number}",
                )
        axes.legend(fontsize=7, loc="upper left")
        self.mark_faults(axes)

    def draw_admission(self, axes: Axes) -> None:
        """Plot the admitted share of each table of each assigner."""
        for number, states in sorted(self.states.items()):
            times = [self.seconds(state["t"]) for state in states]
            for table in range(max((len(state.get("levels") or ()) for state in states), default=0)):
                axes.plot(times, [state["levels"][table] for state in states], lw=0.9, label=f"{number}, table {table}")
        axes.set_ylim(0, 1.05)
        axes.legend(fontsize=7, loc="lower left")
        self.mark_faults(axes)

    def render(self) -> list[Plot]:
        """Render all plots that the recording has data for."""
        plots = [
            render("RPCs by the second in which they began", self.draw_outcomes),
            render("Latency of successful RPCs", self.draw_latency),
            render("Shares of the table that changed most, as one proxy held it", self.draw_weights),
            render("Lines that proxies received, by second", self.draw_updates),
        ]
        if self.states:
            plots += [
                render("Lines queued in an assigner's channel", self.draw_queue),
                render("Push gate: price U of a push, and the gain that it is compared with", self.draw_push_gate),
                render("Admission levels: admitted share", self.draw_admission),
            ]
        return plots


def write_day_page(rows: list[dict], folder: Path, name: str) -> Path:
    """Write the page of a recorded day and return its path.

    Args:
        rows: The day's records, sorted by time.
        folder: Folder for the page; created if missing.
        name: Title of the page.

    Raises:
        ReportError: If the recording has no finished RPC.
    """
    day = DayPlots(rows)
    succeeded = sum(rpc["ok"] for rpc in day.rpcs)
    summary = (
        f"{len(day.rpcs)} RPCs, {succeeded} ok, {len(day.evidence.messages)} proxies; orange lines mark "
        "where a fault begins."
    )
    return PlotPage(name, [summary], [], day.render()).write(folder)
