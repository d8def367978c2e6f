"""What reports count: each period of each series once, late or out of order or said twice; absurd ones never.

A sender's clock is not believed about when something was: a period's ends only tell how long it was and whether
it has been counted before. Sums of many proxies at one task come out as one figure whose rate is the sum of their
rates, however unequal or late their periods are.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple

from hollyridge.interface import Event, OfferedLoad, TrafficReport

SPANS = 32  # separate stretches of time remembered by series; before the oldest is too old to tell
LATE = 60_000_000_000  # ns behind a source's newest period, before which no period of it counts
LONGEST = 600_000_000_000  # ns
SECOND = 1_000_000_000


class Kind(IntEnum):
    TRIES = 0
    FAILED = 1
    TIME = 2  # seconds that good tries took, summed
    RPCS = 3
    UNANSWERED = 4
    UTIL = 5
    QUEUE = 6


LOADS = (Kind.UTIL, Kind.QUEUE)
TASK_TRAFFIC = (Kind.TRIES, Kind.FAILED, Kind.TIME)


class DataPoint(NamedTuple):
    """One figure. `place` is (zone, task) or (proxy, method), as indices; times in ns of the sender's clock."""

    source: str
    kind: Kind
    place: tuple[int, int]
    method: int
    value: float
    start: int
    end: int


class Series:
    __slots__ = ("value", "span")

    def __init__(self) -> None:
        self.value, self.span = 0.0, 0


class ReportAggregator:
    """`most_series` are kept in all, `most_each` of one source; `per_s` is the most that can be true of a rate;
    `lines` the most that is handed on a period, what is left out waits for the next.

    >>> news = ReportAggregator(100, 100, 1e6, 50, 60_000_000)
    >>> tries = DataPoint("gw-1", Kind.TRIES, (0, 3), 0, 12.0, 5 * SECOND, 6 * SECOND)
    >>> news.add(0, tries), news.add(0, tries)
    ('', 'counted before')
    >>> news.collect(10)
    [TrafficReport(zone=0, task=3, attempts=12, failed=0, latency_us=0, interval_us=1000000, load=(-1.0, -1.0))]
    """

    def __init__(self, most_series: int, most_each: int, per_s: float, lines: int, forget: int) -> None:
        self.most_series, self.most_each, self.per_s = most_series, most_each, per_s
        self.lines, self.forget = lines, forget
        self.spans: dict[tuple, list[tuple[int, int]]] = {}
        self.used: dict[tuple, int] = {}
        self.sizes: dict[str, int] = {}
        self.newest: dict[str, tuple[int, int]] = {}  # source: newest end on its clock, and when that was told
        self.sums: dict[tuple, dict[tuple, Series]] = {}  # (kind, place): by (source, method)
        self.loads: dict[int, dict[Kind, float]] = {}
        self.swept = 0
        self.rejected: dict[str, int] = {}

    def add(self, now: int, point: DataPoint) -> str:
        """Empty if the point counts, else why it does not."""
        why = self.judge(now, point)
        if why:
            self.rejected[why] = self.rejected.get(why, 0) + 1
            return why
        if point.kind in LOADS:
            self.loads.setdefault(point.place[1], {})[point.kind] = point.value
            return ""
        bearer = self.sums.setdefault((point.kind, point.place), {})
        row = bearer.setdefault((point.source, point.method), Series())
        row.value += point.value
        row.span += (point.end - point.start) // 1000
        return ""

    def judge(self, now: int, point: DataPoint) -> str:
        value, span = point.value, point.end - point.start
        if not math.isfinite(value) or value < 0:
            return "no sensible figure"
        if point.kind in LOADS:
            if point.kind == Kind.UTIL and value > 16:
                return "no sensible figure"
            return "" if self.remember(now, point, point.end, point.end + 1) else self.full(point)
        if not 0 < span <= LONGEST:
            return "no sensible period"
        if value > self.per_s * max(span, SECOND // 100) / SECOND:
            return "more than can be"
        return "" if self.remember(now, point, point.start, point.end) else self.full(point)

    def full(self, point: DataPoint) -> str:
        key = (point.source, point.kind, point.place, point.method)
        return "counted before" if key in self.spans else "too many series"

    def remember(self, now: int, point: DataPoint, start: int, end: int) -> bool:
        key = (point.source, point.kind, point.place, point.method)
        spans = self.spans.get(key)
        if spans is None:
            if len(self.spans) >= self.most_series or self.sizes.get(point.source, 0) >= self.most_each:
                self.sweep(now)
                if len(self.spans) >= self.most_series or self.sizes.get(point.source, 0) >= self.most_each:
                    return False
            spans = self.spans[key] = []
            self.sizes[point.source] = self.sizes.get(point.source, 0) + 1
        if point.kind in LOADS:  # only the newest counts
            if spans and end <= spans[0][1]:
                return False
            spans[:] = [(start, end)]
        else:
            floor = self.floor(now, point.source, end)
            if end <= floor or len(spans) >= SPANS and end <= spans[0][0]:
                return False
            spans[:] = [span for span in spans if span[1] > floor]
            if any(start < b and a < end for a, b in spans):
                return False
            before = next((at for at, (_, b) in enumerate(spans) if b == start), -1)
            after = next((at for at, (a, _) in enumerate(spans) if a == end), -1)
            if before >= 0:  # periods that meet are remembered as one: a steady sender costs one span
                start = spans[before][0]
            if after >= 0:
                end = spans[after][1]
            spans[:] = sorted([span for at, span in enumerate(spans) if at not in (before, after)] + [(start, end)])[
                -SPANS:
            ]
        self.used[key] = now
        return True

    def floor(self, now: int, source: str, end: int) -> int:
        """Before this moment of a source's own clock its periods are too old to be told apart. A clock that was set
        back would shut its reports out: where it has not moved on for long, it is believed anew."""
        newest, at = self.newest.get(source, (end, now))
        if end >= newest or now - at > self.forget:
            newest, at = end, now
            self.newest[source] = newest, at
        return newest - LATE

    def sweep(self, now: int) -> None:
        """Forget series long unused; at most once a quarter of that time, however full it is."""
        if now - self.swept < self.forget // 4 and self.swept:
            return
        self.swept = now
        for key in [key for key, at in self.used.items() if now - at > self.forget]:
            del self.spans[key], self.used[key]
            self.sizes[key[0]] -= 1
            if not self.sizes[key[0]]:
                del self.sizes[key[0]]
                self.newest.pop(key[0], None)

    def rate(self, kind: Kind, place: tuple[int, int]) -> tuple[float, float]:
        """What was summed at a place, and how much of it a microsecond."""
        rows = self.sums.get((kind, place), {}).values()
        return sum(row.value for row in rows), sum(row.value / max(row.span, 1) for row in rows)

    def collect(self, now: int) -> list[Event]:
        """All that came since, as the module reads it: most tries first where there are too many lines."""
        self.sweep(now) if now - self.swept > self.forget else None
        tried = sorted(((-self.rate(Kind.TRIES, place)[0], place) for kind, place in self.sums if kind == Kind.TRIES))[
            : self.lines
        ]
        offered = sorted({place for kind, place in self.sums if kind == Kind.RPCS})
        events: list[Event] = []
        for _, place in tried:
            tries, pace = self.rate(Kind.TRIES, place)
            bad, took = (self.rate(kind, place)[0] for kind in (Kind.FAILED, Kind.TIME))
            good = round(tries) - round(min(bad, tries))
            load = self.loads.get(place[1], {})  # in the report of each zone that met it: the last one counts
            events.append(
                TrafficReport(
                    place[0],
                    place[1],
                    round(tries),
                    round(min(bad, tries)),
                    round(took * 1e6 / good) if good > 0 else 0,
                    self.over(tries, pace),
                    tuple(load.get(kind, -1.0) for kind in LOADS),
                )
            )
            for kind in (Kind.TRIES, Kind.FAILED, Kind.TIME):
                self.sums.pop((kind, place), None)
        for _, place in tried:
            self.loads.pop(place[1], None)
        for place in offered:
            rpcs, pace = self.rate(Kind.RPCS, place)
            unanswered = self.rate(Kind.UNANSWERED, place)[0]
            events.append(
                OfferedLoad(round(rpcs), self.over(rpcs, pace, (Kind.RPCS, place)), *place, round(unanswered))
            )
            for kind in (Kind.RPCS, Kind.UNANSWERED):
                self.sums.pop((kind, place), None)
        return events

    def over(self, total: float, pace: float, quiet: tuple | None = None) -> int:
        if pace > 0:
            return max(1, round(total / pace))
        rows = self.sums.get(quiet, {}) if quiet else {}
        return max([row.span for row in rows.values()], default=1)
