"""Record of the periods of each series that have been counted, bounded in series and in periods."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.telemetry.data_points import NS_PER_S, SeriesKey

MAX_PERIODS = 32  # separate periods kept of a series; whether an earlier one was counted is then unknown
MAX_LATENESS_NS = 60 * NS_PER_S  # periods that end longer than this before their source's newest one do not count


class Period(NamedTuple):
    """A period on a source's clock, in nanoseconds."""

    start_ns: int
    end_ns: int


class SourceClock(NamedTuple):
    """The latest state of a source's clock.

    Attributes:
        newest_ns: Newest end of a period, on the source's clock.
        received_us: Time at which that period was received, on the assigner's clock.
    """

    newest_ns: int
    received_us: int


class CountedPeriods:
    """Record of counted periods, which detects repeated ones.

    A source's clock may be wrong, so its times only determine the length of a period and whether it was counted.

    Args:
        max_series: Maximum number of series in all.
        max_series_per_source: Maximum number of series of one source.
        expiry_us: Time without a data point after which a series is dropped, in microseconds.

    Attributes:
        periods: The counted periods of each series, oldest first.
        used_at: Time of the last counted data point of each series, in microseconds.
        series_of_source: Number of series of each source.
        source_clocks: State of the clock of each source.
        swept_at: Time of the last removal of unused series, in microseconds.
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

    def add_sample(self, now_us: int, key: SeriesKey, sampled_at_ns: int) -> bool:
        """Count a sample of a gauge. Return False if it is not newer than the last or if its series is not kept."""
        periods = self._get_or_add(now_us, key)
        if periods is None or (periods and sampled_at_ns < periods[0].end_ns):
            return False
        periods[:] = [Period(sampled_at_ns, sampled_at_ns + 1)]
        self.used_at[key] = now_us
        return True

    def add_period(self, now_us: int, key: SeriesKey, start_ns: int, end_ns: int) -> bool:
        """Count a period. Return False if it was counted before or is too old, or if its series is not kept."""
        periods = self._get_or_add(now_us, key)
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
        periods[:] = _with_period(periods, start_ns, end_ns)[-MAX_PERIODS:]
        self.used_at[key] = now_us
        return True

    def sweep_if_due(self, now_us: int) -> None:
        """Drop unused series, once per expiry time."""
        if now_us - self.swept_at > self.expiry_us:
            self._sweep(now_us)

    def _get_or_add(self, now_us: int, key: SeriesKey) -> list[Period] | None:
        """Return the periods of a series, which is added if it is new, or None if there are too many series."""
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
        """Return the time on a source's own clock before which its periods are too old to count.

        All reports of a source whose clock was set back would be too old. Hence a clock that has not advanced for the
        expiry time is accepted at its new time.
        """
        clock = self.source_clocks.get(source)
        if clock is None or end_ns >= clock.newest_ns or now_us - clock.received_us > self.expiry_us:
            clock = self.source_clocks[source] = SourceClock(end_ns, now_us)
        return clock.newest_ns - MAX_LATENESS_NS

    def _sweep(self, now_us: int) -> None:
        """Drop series unused for the expiry time, at most four times per expiry time even if the record is full."""
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


def _with_period(periods: list[Period], start_ns: int, end_ns: int) -> list[Period]:
    """Return the periods with one more. Adjacent periods are merged, so that a steady source takes one period."""
    separate: list[Period] = []
    merged_start_ns = start_ns
    merged_end_ns = end_ns
    for period in periods:
        if period.end_ns == start_ns:
            merged_start_ns = period.start_ns
        elif period.start_ns == end_ns:
            merged_end_ns = period.end_ns
        else:
            separate.append(period)
    return sorted([*separate, Period(merged_start_ns, merged_end_ns)])
