"""Data points of load reports, as whatever receives reports hands them in."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

NS_PER_S = 1_000_000_000


class Kind(IntEnum):
    """What a data point counts or measures."""

    TRIES = 0  # attempts that proxies made at a task
    FAILED = 1  # those of them that failed
    TIME = 2  # seconds that the others took, summed
    RPCS = 3  # RPCs that reached a proxy
    UNANSWERED = 4  # those of them that were left unanswered
    UTIL = 5  # part of a task's capacity that is in use
    QUEUE = 6  # RPCs that wait at a task


LOADS = (Kind.UTIL, Kind.QUEUE)  # measured at a moment, by the task itself
TASK_TRAFFIC = (Kind.TRIES, Kind.FAILED, Kind.TIME)  # counted over a period, by the proxies


class DataPoint(NamedTuple):
    """One figure of a load report.

    Attributes:
        source: Who counted it.
        kind: What it counts.
        place: (zone, task) or, for RPCs, (proxy, method), as indices.
        method: The method of attempts; 0 where it is not told apart.
        value: The figure.
        start_ns: Start of its period, on the source's clock.
        end_ns: End of its period.
    """

    source: str
    kind: Kind
    place: tuple[int, int]
    method: int
    value: float
    start_ns: int
    end_ns: int


class SeriesKey(NamedTuple):
    """What all data points of one series have in common."""

    source: str
    kind: Kind
    place: tuple[int, int]
    method: int
