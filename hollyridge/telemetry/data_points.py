"""Data points of load reports, independent of the protocol of the reports."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

NS_PER_S = 1_000_000_000


class Kind(IntEnum):
    """The quantity that a data point counts or measures."""

    ATTEMPTS = 0  # attempts that proxies made at a task
    FAILED_ATTEMPTS = 1  # those of them that failed
    ATTEMPT_TIME = 2  # total duration of the others, in seconds
    RPCS = 3  # RPCs that reached a proxy
    UNANSWERED = 4  # those of them that got no answer
    UTILIZATION = 5  # fraction of a task's capacity in use
    QUEUE = 6  # number of RPCs that wait at a task


LOADS = (Kind.UTILIZATION, Kind.QUEUE)  # gauges, measured by the task itself
TASK_TRAFFIC = (Kind.ATTEMPTS, Kind.FAILED_ATTEMPTS, Kind.ATTEMPT_TIME)  # counted over a period, by the proxies


class DataPoint(NamedTuple):
    """One data point of a load report.

    Attributes:
        source: Name of the reporting source.
        kind: The quantity.
        subject: (zone, task) or, for RPCs, (proxy, method), as indices.
        method: Index of the method of attempts, or 0 if the source does not distinguish methods.
        value: The value.
        start_ns: Start of its period on the source's clock, in nanoseconds.
        end_ns: End of its period on the source's clock, in nanoseconds.
    """

    source: str
    kind: Kind
    subject: tuple[int, int]
    method: int
    value: float
    start_ns: int
    end_ns: int


class SeriesKey(NamedTuple):
    """The fields that all data points of one series share."""

    source: str
    kind: Kind
    subject: tuple[int, int]
    method: int
