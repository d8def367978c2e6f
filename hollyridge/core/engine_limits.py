"""The limits of one engine that the decisions do not read."""

from __future__ import annotations

from typing import NamedTuple


class EngineLimits(NamedTuple):
    """Limits of one engine.

    Attributes:
        lines_per_s: Pace of the queue to the proxies.
        message_overhead_lines: Lines that each update costs beyond its own.
        max_waiting_lines: Lines that may wait in that queue, overhead included.
        max_tasks: Task indices that are given out.
        max_proxies: Proxy indices that are given out.
        max_series: Series of load reports that are kept in all.
        max_series_per_source: Series of load reports that are kept of one source.
        max_rate_per_s: The highest rate that a load report can be believed to state.
        max_reports_per_period: Traffic reports handed to the decisions in one report period.
        max_pending_events: Events that may wait for a decision; past that, load reports are dropped.
    """

    lines_per_s: float
    message_overhead_lines: float
    max_waiting_lines: float
    max_tasks: int
    max_proxies: int
    max_series: int
    max_series_per_source: int
    max_rate_per_s: float
    max_reports_per_period: int
    max_pending_events: int
