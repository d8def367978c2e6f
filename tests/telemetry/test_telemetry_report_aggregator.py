"""Each period of each series counts once, and floods stay bounded."""

import pytest
from helpers import SECOND

from hollyridge.telemetry.report_aggregator import NS_PER_S as NS
from hollyridge.telemetry.report_aggregator import DataPoint, Kind, ReportAggregator


def point(value=10.0, start=0.0, end=1.0, kind=Kind.TRIES, source="gw-1", place=(0, 3), method=0):
    return DataPoint(source, kind, place, method, value, round(start * NS), round(end * NS))


def news():
    return ReportAggregator(
        max_series=50, max_series_per_source=20, max_rate_per_s=1000, max_reports=5, expiry_us=60 * SECOND
    )


TAKEN = [
    # points in the order they come, tries that count in all
    ([point(), point()], 10),
    ([point(), point(start=1, end=2), point(start=0, end=1)], 20),
    ([point(start=5, end=6), point(start=2, end=3)], 20),  # out of order
    ([point(), point(start=0.5, end=1.5)], 10),  # a period that overlaps
    ([point(), point(source="gw-2"), point(method=1)], 30),
    ([point(value=float("nan")), point(value=float("inf")), point(value=-1.0), point(value=1e9)], 0),
    ([point(start=1, end=1), point(start=2, end=1), point(start=0, end=1e5)], 0),
]


@pytest.mark.parametrize("points, counted", TAKEN)
def test_each_period_counts_once(points, counted):
    book = news()
    for row in points:
        book.add(0, row)
    assert sum(event.attempts for event in book.collect(1)) == counted
    assert book.collect(2) == []


def test_a_steady_sender_costs_one_span_and_gaps_are_bounded():
    book, steady, gappy = news(), point(), point(source="gw-2")
    for k in range(500):
        book.add(k, point(start=k, end=k + 1))
        book.add(k, point(start=1.6 * k, end=1.6 * k + 1, source="gw-2"))
        book.add(k, point(0.5, k, k, kind=Kind.UTIL, source="gw-3"))
    sizes = {key[0]: len(spans) for key, spans in book.counted.periods.items()}
    assert sizes == {"gw-1": 1, "gw-2": 32, "gw-3": 1}
    assert book.add(0, steady) and book.add(0, gappy)
    assert book.add(0, point(0.9, 400, 400, kind=Kind.UTIL, source="gw-3"))  # an older gauge says nothing new


def test_gaps_cost_no_more_than_the_time_that_counts():
    book = news()
    for k in range(0, 500, 20):
        assert not book.add(k, point(start=k, end=k + 1))
    assert [len(spans) for spans in book.counted.periods.values()] == [3]
    assert book.add(500, point(start=420, end=421, method=1))  # too late, whatever its series
    assert not book.add(500, point(start=425, end=426, method=1))


def test_a_clock_that_was_set_back_is_believed_again():
    book = news()
    book.add(0, point(start=3600, end=3601))
    assert book.add(SECOND, point(start=1, end=2))
    assert not book.add(62 * SECOND, point(start=61, end=62))
    assert not book.add(63 * SECOND, point(start=62, end=63))


def test_rates_add_up_however_unequal_the_periods():
    book = news()
    book.add(0, point(20, 0, 2, source="a"))
    book.add(0, point(30, 0, 1, source="b"))
    book.add(0, point(30, 1, 2, source="b"))
    book.add(0, point(7, 0, 1, kind=Kind.FAILED, source="b"))
    book.add(0, point(14.6, 0, 1, kind=Kind.TIME, source="b"))
    (event,) = book.collect(1)
    assert event.attempts == 80 and event.attempts / event.interval_us * SECOND == pytest.approx(40)
    assert event.failed == 7 and event.latency_us == 200_000


def test_floods_of_names_stay_bounded():
    book = news()
    for k in range(1000):
        book.add(k, point(place=(0, k), source=f"s{k % 4}"))
    assert len(book.counted.periods) <= 50 and book.rejected["too many series"] >= 950
    assert len(book.collect(2000)) == 5  # the rest waits
    late = 10**9
    book.collect(late)
    assert book.add(late + 1, point(place=(1, 1), source="new")) == ""


def test_a_load_counts_in_the_report_of_each_zone_that_met_the_task():
    """The module keeps what it hears last: a report without the figure would undo it."""
    seen = news()
    for zone in (0, 1, 2):
        assert not seen.add(SECOND, point(source=f"gw-{zone}", place=(zone, 3)))
    assert not seen.add(SECOND, point(kind=Kind.UTIL, value=0.5, place=(0, 3)))
    reports = seen.collect(SECOND)
    assert [report.load[0] for report in reports] == [0.5, 0.5, 0.5]
    assert not seen.add(2 * SECOND, point(start=1, end=2))
    assert seen.collect(2 * SECOND)[0].load[0] == -1.0  # told once, not again
