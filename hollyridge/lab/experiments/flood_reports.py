"""Load reports of a flood and their senders; the reports describe tasks of which some are slow."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from hollyridge.otlp.sender import MetricPoint

FLOODING_ADDRESS = "127.0.0.2"  # the only address that floods
MEAN_LATENCY_S = 0.08  # of an attempt at a task that is not slow
UTILIZATION = 0.35  # of a task that is not slow
MAX_UTILIZATION = 0.95
SLOW_FACTOR = 2.0  # factor on latency and utilization of a slow task
SLOW_OF = (2, 5)  # 2 of 5 tasks are slow
MAX_ATTEMPTS = 4  # attempts of one series in one report


class ReportedSeries(NamedTuple):
    """Zone, task and method that one part of a report describes."""

    zone: str
    task: str
    method: str


class Sender(NamedTuple):
    """A sender of reports.

    Attributes:
        source: Name of the sender in its reports.
        address: Source address of its connections.
        points_per_s: Data points that it sends per second.
        series: Series that it reports on, in turn.
    """

    source: str
    address: str
    points_per_s: float
    series: list[ReportedSeries]

    @property
    def quiet(self) -> bool:
        """Return whether the sender is not one that floods."""
        return self.address != FLOODING_ADDRESS


class ReportGenerator:
    """Generator of reports, drawn at random by seed.

    Attributes:
        rng: Source of the draws.
        series: Every combination of zone, task and method.
        factors: Factor on latency and utilization of each task.
    """

    def __init__(self, tasks: list[str], zones: list[str], methods: list[str], seed: int) -> None:
        self.rng = Random(seed)
        self.series = [ReportedSeries(zone, task, method) for zone in zones for task in tasks for method in methods]
        slow, group = SLOW_OF
        self.factors = {task: SLOW_FACTOR if number % group < slow else 1.0 for number, task in enumerate(tasks)}

    def figures(self, source: str, series: list[ReportedSeries], start_ns: int, end_ns: int) -> list[MetricPoint]:
        """Draw the data points of one report.

        Args:
            source: Name of the proxy that sends it.
            series: Series that the report describes.
            start_ns: Start of the reported period, in nanoseconds since the epoch.
            end_ns: End of the reported period, in nanoseconds since the epoch.
        """
        figures = []
        for zone, task, method in series:
            factor = self.factors[task]
            attempts = 1 + self.rng.randrange(MAX_ATTEMPTS)
            spent_s = sum(self.rng.expovariate(1 / (MEAN_LATENCY_S * factor)) for _ in range(attempts))
            attributes = {"proxy": source, "zone": zone, "task": task, "method": method}
            utilization = min(MAX_UTILIZATION, UTILIZATION * factor)
            figures += [
                MetricPoint("hollyridge.tries", attempts, attributes, end_ns, start_ns),
                MetricPoint("hollyridge.tries.time", spent_s, attributes, end_ns, start_ns),
                MetricPoint("hollyridge.task.util", utilization, {"task": task}, end_ns),
            ]
        return figures
