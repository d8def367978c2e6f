"""Each period of each series counts once, and the number of series is bounded."""

import pytest
from helpers import SECOND

from hollyridge.telemetry.report_aggregator import NS_PER_S as NS
from hollyridge.telemetry.report_aggregator import DataPoint, Kind, ReportAggregator


def point(value=10.0, start=0.0, end=1.0, kind=Kind.ATTEMPTS, source="gw-1", subject=(0, 3), method=0):
    return DataPoint(source, kind, subject, method, value, round(start * NS), round(end * NS))


def aggregator():
    return ReportAggregator(
        max_series=50, max_series_per_source=20, max_rate_per_s=1000, max_reports=5, expiry_us=60 * SECOND
    )


COUNTED = [
    # points in the order in which they are added, total of the attempts that count
    ([point(), point()], 10),
    ([point(), point(start=1, end=2), point(start=0, end=1)], 20),
    ([point(start=5, end=6), point(start=2, end=3)], 20),  # out of order
    ([point(), point(start=0.5, end=1.5)], 10),  # a period that overlaps
    ([point(), point(source="gw-2"), point(method=1)], 30),
    ([point(value=float("nan")), point(value=float("inf")), point(value=-1.0), point(value=1e9)], 0),
    ([point(start=1, end=1), point(start=2, end=1), point(start=0, end=1e5)], 0),
]


@pytest.mark.parametrize(("points", "counted"), COUNTED)
def test_each_period_counts_once(points, counted):
    reports = aggregator()
    for data_point in points:
        reports.add(0, data_point)
    assert sum(event.attempts for event in reports.collect(1)) == counted
    assert reports.collect(2) == []


def test_a_steady_source_takes_one_period_and_gaps_are_bounded():
    reports, steady, gappy = aggregator(), point(), point(source="gw-2")
    for k in range(500):
        reports.add(k, point(start=k, end=k + 1))
        reports.add(k, point(start=1.6 * k, end=1.6 * k + 1, source="gw-2"))
        reports.add(k, point(0.5, k, k, kind=Kind.UTILIZATION, source="gw-3"))
    sizes = {key.source: len(periods) for key, periods in reports.counted.periods.items()}
    assert sizes == {"gw-1": 1, "gw-2": 32, "gw-3": 1}
    assert reports.add(0, steady)
    assert reports.add(0, gappy)
    assert reports.add(0, point(0.9, 400, 400, kind=Kind.UTILIZATION, source="gw-3"))  # an older gauge is not new


def test_periods_too_old_to_count_are_dropped():
    reports = aggregator()
    for k in range(0, 500, 20):
        assert not reports.add(k, point(start=k, end=k + 1))
    assert [len(periods) for periods in reports.counted.periods.values()] == [3]
    assert reports.add(500, point(start=420, end=421, method=1))  # too old for any series of the source
    assert not reports.add(500, point(start=425, end=426, method=1))


def test_a_clock_that_was_set_back_is_accepted_after_the_expiry_time():
    reports = aggregator()
    reports.add(0, point(start=3600, end=3601))
    assert reports.add(SECOND, point(start=1, end=2))
    assert not reports.add(62 * SECOND, point(start=61, end=62))
    assert not reports.add(63 * SECOND, point(start=62, end=63))


def test_rates_add_up_over_unequal_periods():
    reports = aggregator()
    reports.add(0, point(20, 0, 2, source="a"))
    reports.add(0, point(30, 0, 1, source="b"))
    reports.add(0, point(30, 1, 2, source="b"))
    reports.add(0, point(7, 0, 1, kind=Kind.FAILED_ATTEMPTS, source="b"))
    reports.add(0, point(14.6, 0, 1, kind=Kind.ATTEMPT_TIME, source="b"))
    (event,) = reports.collect(1)
    assert event.attempts == 80
    assert event.attempts / event.interval_us * SECOND == pytest.approx(40)
    assert event.failed == 7
    assert event.latency_us == 200_000


def test_the_number_of_series_is_bounded():
    reports = aggregator()
    for k in range(1000):
        reports.add(k, point(subject=(0, k), source=f"s{k % 4}"))
    assert len(reports.counted.periods) <= 50
    assert reports.rejected["too many series"] >= 950
    assert len(reports.collect(2000)) == 5  # the other reports wait
    late = 10**9
    reports.collect(late)
    assert reports.add(late + 1, point(subject=(1, 1), source="new")) == ""


def test_a_load_counts_in_the_report_of_each_zone_that_sent_to_the_task():
    """The decision module keeps only the last report of a task, so a report without the load would erase it."""
    reports = aggregator()
    for zone in (0, 1, 2):
        assert not reports.add(SECOND, point(source=f"gw-{zone}", subject=(zone, 3)))
    assert not reports.add(SECOND, point(kind=Kind.UTILIZATION, value=0.5, subject=(0, 3)))
    events = reports.collect(SECOND)
    assert [event.load[0] for event in events] == [0.5, 0.5, 0.5]
    assert not reports.add(2 * SECOND, point(start=1, end=2))
    assert reports.collect(2 * SECOND)[0].load[0] == -1.0  # a load is reported once
