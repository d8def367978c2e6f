"""Limits of one engine that the decision module does not read."""

from __future__ import annotations

from typing import NamedTuple


class EngineLimits(NamedTuple):
    """Limits of one engine.

    Attributes:
        lines_per_s: Pace of the queue to the proxies, in lines per second.
        message_overhead_lines: Overhead of each update, in lines.
        max_waiting_lines: Maximum of lines that wait in that queue, overhead included.
        max_tasks: Maximum of allocated task indices.
        max_proxies: Maximum of allocated proxy indices.
        max_series: Maximum of load report series in all.
        max_series_per_source: Maximum of load report series of one source.
        max_rate_per_s: Highest rate that a load report may state; higher ones are rejected.
        max_reports_per_period: Maximum of traffic reports passed to the decision module in one report period.
        max_pending_events: Maximum of events that wait for a decision. Beyond it load reports are dropped.
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
