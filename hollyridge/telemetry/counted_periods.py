"""Remembers which periods of which series have been counted, within a bounded number of series and periods."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.telemetry.data_points import NS_PER_S, SeriesKey

MAX_PERIODS = 32  # separate stretches of time remembered of a series; what is before the oldest can't be told any more
MAX_LATENESS_NS = 60 * NS_PER_S  # behind a source's newest period, before which no period of it counts


class Period(NamedTuple):
    """A stretch of time on a source's clock."""

    start_ns: int
    end_ns: int


class SourceClock(NamedTuple):
    """The newest end of a period on a source's clock, and when that was received."""

    newest_ns: int
    received_us: int


class CountedPeriods:
    """Says of each period of each series whether it is new.

    A source's clock is not trusted about when something was: a period only tells how long it was and whether it has
    been counted.

    Args:
        max_series: Series that are kept in all.
        max_series_per_source: Series that are kept of one source.
        expiry_us: After this long without a data point a series is forgotten.

    Attributes:
        periods: What was counted of each series, oldest first.
    """

    def __init__(self, max_series: int, max_series_per_source: int, expiry_us: int) -> None:
        self.max_series = max_series
        self.max_series_per_source = max_series_per_source
        self.expiry_us = expiry_us
        self.periods: dict[SeriesKey, list[Period]] = {}
        self.used_at: dict[SeriesKey, int] = {}
        self.series_of_source: dict[str, int] = {}
        self.source_clocks: dict[str, SourceClock] = {}
        self.swept_at = 0

    def __contains__(self, key: SeriesKey) -> bool:
        return key in self.periods

    def add_moment(self, now_us: int, key: SeriesKey, moment_ns: int) -> bool:
        """Count a moment of a series of which only the newest counts; False if it is not newer, or not kept."""
        periods = self._open(now_us, key)
        if periods is None or (periods and moment_ns < periods[0].end_ns):
            return False
        periods[:] = [Period(moment_ns, moment_ns + 1)]
        self.used_at[key] = now_us
        return True

    def add_period(self, now_us: int, key: SeriesKey, start_ns: int, end_ns: int) -> bool:
        """Count a period; False if it was counted before, is too old to tell, or its series is not kept."""
        periods = self._open(now_us, key)
        if periods is None:
            return False
        oldest_ns = self._oldest_counted(now_us, key.source, end_ns)
        if end_ns <= oldest_ns:
            return False
        if len(periods) >= MAX_PERIODS and end_ns <= periods[0].start_ns:
            return False
        periods[:] = [period for period in periods if period.end_ns > oldest_ns]
        if any(start_ns < period.end_ns and period.start_ns < end_ns for period in periods):
            return False
        periods[:] = _joined(periods, start_ns, end_ns)[-MAX_PERIODS:]
        self.used_at[key] = now_us
        return True

    def sweep_if_due(self, now_us: int) -> None:
        """Forget unused series once in the expiry time."""
        if now_us - self.swept_at > self.expiry_us:
            self._sweep(now_us)

    def _open(self, now_us: int, key: SeriesKey) -> list[Period] | None:
        """The periods of a series that is kept, or is kept from now on; None if there is no room for it."""
        periods = self.periods.get(key)
        if periods is not None:
            return periods
        if self._is_full(key.source):
            self._sweep(now_us)
            if self._is_full(key.source):
                return None
        periods = self.periods[key] = []
        self.series_of_source[key.source] = self.series_of_source.get(key.source, 0) + 1
        return periods

    def _is_full(self, source: str) -> bool:
        return (
            len(self.periods) >= self.max_series or self.series_of_source.get(source, 0) >= self.max_series_per_source
        )

    def _oldest_counted(self, now_us: int, source: str, end_ns: int) -> int:
        """The time on a source's own clock before which its periods are too old to be told apart.

        A clock that was set back would shut its reports out: one that has not moved on for long is trusted anew.
        """
        clock = self.source_clocks.get(source)
        if clock is None or end_ns >= clock.newest_ns or now_us - clock.received_us > self.expiry_us:
            clock = self.source_clocks[source] = SourceClock(end_ns, now_us)
        return clock.newest_ns - MAX_LATENESS_NS

    def _sweep(self, now_us: int) -> None:
        """Forget series long unused; at most four times in the expiry time, however full it is."""
        if now_us - self.swept_at < self.expiry_us // 4 and self.swept_at:
            return
        self.swept_at = now_us
        expired = [key for key, used_us in self.used_at.items() if now_us - used_us > self.expiry_us]
        for key in expired:
            del self.periods[key]
            del self.used_at[key]
            self.series_of_source[key.source] -= 1
            if not self.series_of_source[key.source]:
                del self.series_of_source[key.source]
                self.source_clocks.pop(key.source, None)


def _joined(periods: list[Period], start_ns: int, end_ns: int) -> list[Period]:
    """The periods with one more; those that meet it become one with it, so a steady source costs one period."""
    separate: list[Period] = []
    joined_start_ns = start_ns
    joined_end_ns = end_ns
    for period in periods:
        if period.end_ns == start_ns:
            joined_start_ns = period.start_ns
        elif period.start_ns == end_ns:
            joined_end_ns = period.end_ns
        else:
            separate.append(period)
    return sorted([*separate, Period(joined_start_ns, joined_end_ns)])
