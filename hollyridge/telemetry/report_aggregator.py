"""Aggregation of data points of load reports into events.

Each period of each series counts once, and impossible values never count. The counts of many proxies at one task become
one event whose rate is the sum of their rates, even if their periods are unequal or late.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from hollyridge.interface import Event, OfferedLoad, TrafficReport
from hollyridge.telemetry.counted_periods import CountedPeriods
from hollyridge.telemetry.data_points import LOADS, NS_PER_S, TASK_TRAFFIC, DataPoint, Kind, SeriesKey

__all__ = ["LOADS", "NS_PER_S", "TASK_TRAFFIC", "DataPoint", "Kind", "ReportAggregator"]

MAX_PERIOD_NS = 600 * NS_PER_S
MIN_RATE_PERIOD_NS = NS_PER_S // 100  # lower limit on the period in the check of a rate
MAX_UTILIZATION = 16  # multiple of a task's capacity; higher values are impossible
NS_PER_US = 1000
US_PER_S = 1e6
NO_LOAD = -1.0  # load in an event if the task reported none
PROXY_TRAFFIC = (Kind.RPCS, Kind.UNANSWERED)

Subject = tuple[int, int]

# Reasons why a data point does not count. They are keys of the status page.
INVALID_VALUE = "no sensible figure"
INVALID_PERIOD = "no sensible period"
RATE_TOO_HIGH = "more than can be"
COUNTED_BEFORE = "counted before"
TOO_MANY_SERIES = "too many series"


class Series:
    """The counts of one series since its last collection.

    Attributes:
        value: Sum of the values.
        duration_us: Total duration of the periods, in microseconds.
    """

    __slots__ = ("duration_us", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.duration_us = 0


class SubjectTotal(NamedTuple):
    """The total of all series of a subject.

    Attributes:
        value: Sum of their values.
        value_per_us: Sum of their rates, per microsecond.
    """

    value: float
    value_per_us: float


class ReportAggregator:
    """Aggregator of data points, collected once per report period.

    Args:
        max_series: Maximum number of series in all.
        max_series_per_source: Maximum number of series of one source.
        max_rate_per_s: Highest possible rate.
        max_reports: Maximum number of traffic reports per collection. The others wait for the next collection.
        expiry_us: Time without a data point after which a series is dropped, in microseconds.

    Attributes:
        sums: Counts since the last collection by (kind, subject), then by (source, method).
        loads: Load by task and kind.
        rejected: Number of data points that did not count, by reason.

    >>> reports = ReportAggregator(100, 100, 1e6, 50, 60_000_000)
    >>> attempts = DataPoint("gw-1", Kind.ATTEMPTS, (0, 3), 0, 12.0, 5 * NS_PER_S, 6 * NS_PER_S)
    >>> reports.add(0, attempts), reports.add(0, attempts)
    ('', 'counted before')
    >>> reports.collect(10)
    [TrafficReport(zone=0, task=3, attempts=12, failed=0, latency_us=0, interval_us=1000000, load=(-1.0, -1.0))]
    """

    def __init__(
        self, max_series: int, max_series_per_source: int, max_rate_per_s: float, max_reports: int, expiry_us: int
    ) -> None:
        self.max_rate_per_s = max_rate_per_s
        self.max_reports = max_reports
        self.counted = CountedPeriods(max_series, max_series_per_source, expiry_us)
        self.sums: dict[tuple[Kind, Subject], dict[tuple[str, int], Series]] = {}
        self.loads: dict[int, dict[Kind, float]] = {}
        self.rejected: dict[str, int] = {}

    def add(self, now_us: int, point: DataPoint) -> str:
        """Add a data point. Return an empty string if it counts, else the reason why it does not."""
        reason = self._count(now_us, point)
        if reason:
            self.rejected[reason] = self.rejected.get(reason, 0) + 1
            return reason
        if point.kind in LOADS:
            task = point.subject[1]
            self.loads.setdefault(task, {})[point.kind] = point.value
            return ""
        by_source = self.sums.setdefault((point.kind, point.subject), {})
        series = by_source.setdefault((point.source, point.method), Series())
        series.value += point.value
        series.duration_us += (point.end_ns - point.start_ns) // NS_PER_US
        return ""

    def _count(self, now_us: int, point: DataPoint) -> str:
        reason = self._implausibility(point)
        if reason:
            return reason
        key = SeriesKey(point.source, point.kind, point.subject, point.method)
        if point.kind in LOADS:
            is_new = self.counted.add_sample(now_us, key, point.end_ns)
        else:
            is_new = self.counted.add_period(now_us, key, point.start_ns, point.end_ns)
        if is_new:
            return ""
        return COUNTED_BEFORE if key in self.counted else TOO_MANY_SERIES

    def _implausibility(self, point: DataPoint) -> str:
        """Return the reason why a data point is impossible, or an empty string."""
        if not math.isfinite(point.value) or point.value < 0:
            return INVALID_VALUE
        if point.kind in LOADS:
            return INVALID_VALUE if point.kind == Kind.UTILIZATION and point.value > MAX_UTILIZATION else ""
        period_ns = point.end_ns - point.start_ns
        if not 0 < period_ns <= MAX_PERIOD_NS:
            return INVALID_PERIOD
        if point.value > self.max_rate_per_s * max(period_ns, MIN_RATE_PERIOD_NS) / NS_PER_S:
            return RATE_TOO_HIGH
        return ""

    def collect(self, now_us: int) -> list[Event]:
        """Return the counts since the last call: traffic by task, the busiest first, then offered load by proxy."""
        self.counted.sweep_if_due(now_us)
        attempted = self._busiest_subjects()
        offered = sorted({subject for kind, subject in self.sums if kind == Kind.RPCS})
        events: list[Event] = []
        for subject in attempted:
            events.append(self._traffic_report(subject))
            self._drop_sums(subject, TASK_TRAFFIC)
        for _, task in attempted:  # after the loop, since the reports of all zones that sent to a task contain its load
            self.loads.pop(task, None)
        for subject in offered:
            events.append(self._offered_load(subject))
            self._drop_sums(subject, PROXY_TRAFFIC)
        return events

    def _busiest_subjects(self) -> list[Subject]:
        by_attempts = sorted(
            (-self._total(Kind.ATTEMPTS, subject).value, subject)
            for kind, subject in self.sums
            if kind == Kind.ATTEMPTS
        )
        return [subject for _, subject in by_attempts[: self.max_reports]]

    def _traffic_report(self, subject: Subject) -> TrafficReport:
        zone, task = subject
        attempts = self._total(Kind.ATTEMPTS, subject)
        failed = round(min(self._total(Kind.FAILED_ATTEMPTS, subject).value, attempts.value))
        total_s = self._total(Kind.ATTEMPT_TIME, subject).value
        succeeded = round(attempts.value) - failed
        load = self.loads.get(task, {})
        return TrafficReport(
            zone,
            task,
            round(attempts.value),
            failed,
            round(total_s * US_PER_S / succeeded) if succeeded > 0 else 0,
            _interval_us(attempts, ()),
            tuple(load.get(kind, NO_LOAD) for kind in LOADS),
        )

    def _offered_load(self, subject: Subject) -> OfferedLoad:
        proxy, method = subject
        rpcs = self._total(Kind.RPCS, subject)
        unanswered = self._total(Kind.UNANSWERED, subject).value
        idle_series = self.sums.get((Kind.RPCS, subject), {}).values()
        return OfferedLoad(round(rpcs.value), _interval_us(rpcs, idle_series), proxy, method, round(unanswered))

    def _total(self, kind: Kind, subject: Subject) -> SubjectTotal:
        all_series = self.sums.get((kind, subject), {}).values()
        value = sum(series.value for series in all_series)
        value_per_us = sum(series.value / max(series.duration_us, 1) for series in all_series)
        return SubjectTotal(value, value_per_us)

    def _drop_sums(self, subject: Subject, kinds: tuple[Kind, ...]) -> None:
        for kind in kinds:
            self.sums.pop((kind, subject), None)


def _interval_us(total: SubjectTotal, idle_series: Iterable[Series]) -> int:
    """Return the interval over which a total has its rate, or the longest observed one if the total is zero."""
    if total.value_per_us > 0:
        return max(1, round(total.value / total.value_per_us))
    return max((series.duration_us for series in idle_series), default=1)
