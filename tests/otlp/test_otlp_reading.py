"""Conversion of OTLP metrics to data points: labels, cumulative sums and reasons for which a point does not count."""

import pytest

from hollyridge.otlp.reading import CUMULATIVE, NOT_ALLOWED, AttributeNames, CumulativeState, read_points
from hollyridge.otlp.sender import MetricPoint, build_export_request
from hollyridge.telemetry.report_aggregator import DataPoint, Kind

NAMES = AttributeNames(
    {"khalda": 0, "sahab": 1, "secret": NOT_ALLOWED}.get,
    {"10.0.0.1:80": 4}.get,
    {"gw-1": 2, "other": NOT_ALLOWED}.get,
    {"read": 0, "write": 1}.get,
)
ATTEMPT = {"zone": "sahab", "task": "10.0.0.1:80", "method": "write"}
RPC = {"proxy": "gw-1", "method": "write"}
LOAD = {"task": "10.0.0.1:80"}


def read(*metric_points, source="s", cumulative=None):
    return list(
        read_points(build_export_request(source, metric_points), "10.9.9.9", NAMES, cumulative or CumulativeState(10))
    )


COUNTED = [
    (MetricPoint("hollyridge.tries", 5.0, ATTEMPT, 20, 10), DataPoint("s", Kind.ATTEMPTS, (1, 4), 1, 5.0, 10, 20)),
    (
        MetricPoint("hollyridge.tries.failed", 5.0, ATTEMPT, 20, 10),
        DataPoint("s", Kind.FAILED_ATTEMPTS, (1, 4), 1, 5.0, 10, 20),
    ),
    (
        MetricPoint("hollyridge.tries.time", 5.0, ATTEMPT, 20, 10),
        DataPoint("s", Kind.ATTEMPT_TIME, (1, 4), 1, 5.0, 10, 20),
    ),
    (MetricPoint("hollyridge.rpcs", 5.0, RPC, 20, 10), DataPoint("s", Kind.RPCS, (2, 1), 1, 5.0, 10, 20)),
    (
        MetricPoint("hollyridge.rpcs.unanswered", 5.0, RPC, 20, 10),
        DataPoint("s", Kind.UNANSWERED, (2, 1), 1, 5.0, 10, 20),
    ),
    (MetricPoint("hollyridge.task.util", 0.5, LOAD, 20), DataPoint("s", Kind.UTILIZATION, (0, 4), 0, 0.5, 0, 20)),
    (MetricPoint("hollyridge.task.queue", 3.0, LOAD, 20), DataPoint("s", Kind.QUEUE, (0, 4), 0, 3.0, 0, 20)),
]


@pytest.mark.parametrize(("metric_point", "point"), COUNTED)
def test_each_metric_is_read_as_a_data_point_of_its_kind(metric_point, point):
    assert read(metric_point) == [point]


def test_attempts_without_a_method_count_for_the_first():
    attributes = {"zone": "sahab", "task": "10.0.0.1:80"}
    assert read(MetricPoint("hollyridge.tries", 5.0, attributes, 20, 10))[0].method == 0


def test_the_proxy_of_attempts_is_appended_to_their_source():
    metric_point = MetricPoint("hollyridge.tries", 5.0, {**ATTEMPT, "proxy": "p" * 100}, 20, 10)
    assert read(metric_point, source="x" * 100)[0].source == "x" * 64 + "/" + "p" * 64


def test_the_source_of_a_request_without_a_source_name_is_its_peer():
    request = build_export_request("s", [MetricPoint("hollyridge.rpcs", 5.0, RPC, 20, 10)])
    request.resource_metrics[0].resource.Clear()
    assert next(read_points(request, "10.9.9.9", NAMES, CumulativeState(10))).source == "10.9.9.9"


REJECTED = [
    (MetricPoint("hollyridge.other", 1.0, ATTEMPT, 20, 10), "unknown metric"),
    (MetricPoint("hollyridge.tries", 1.0, ATTEMPT, 20), "wrong kind of metric"),
    (MetricPoint("hollyridge.task.util", 1.0, LOAD, 20, 10), "wrong kind of metric"),
    (MetricPoint("hollyridge.tries", 1.0, {**ATTEMPT, "task": "10.0.0.2:80", "zone": "mars"}, 20, 10), "unknown task"),
    (MetricPoint("hollyridge.tries", 1.0, {**ATTEMPT, "zone": "mars"}, 20, 10), "unknown zone"),
    (MetricPoint("hollyridge.tries", 1.0, {**ATTEMPT, "zone": "secret", "method": "x"}, 20, 10), "not for this sender"),
    (MetricPoint("hollyridge.tries", 1.0, {**ATTEMPT, "method": "x"}, 20, 10), "unknown method"),
    (MetricPoint("hollyridge.rpcs", 1.0, {"method": "x"}, 20, 10), "unknown proxy"),
    (MetricPoint("hollyridge.rpcs", 1.0, {"proxy": "other"}, 20, 10), "unknown method"),
    (MetricPoint("hollyridge.rpcs", 1.0, {"proxy": "other", "method": "read"}, 20, 10), "not for this sender"),
    (MetricPoint("hollyridge.task.queue", 1.0, {"task": "none"}, 20), "unknown task"),
]


@pytest.mark.parametrize(("metric_point", "reason"), REJECTED)
def test_a_point_that_does_not_count_gives_the_reason(metric_point, reason):
    assert read(metric_point) == [reason]


def cumulative_request(value, start_ns, end_ns, temporality=CUMULATIVE):
    request = build_export_request("s", [MetricPoint("hollyridge.rpcs", value, RPC, end_ns, start_ns)])
    request.resource_metrics[0].scope_metrics[0].metrics[0].sum.aggregation_temporality = temporality
    return request


def read_cumulative(state, *totals):
    return [next(read_points(cumulative_request(*total), "peer", NAMES, state)) for total in totals]


def test_a_cumulative_sum_is_read_as_its_increase():
    points = read_cumulative(CumulativeState(10), (5.0, 10, 20), (8.0, 10, 30))
    assert [(point.value, point.start_ns, point.end_ns) for point in points] == [(5.0, 10, 20), (3.0, 20, 30)]


def test_a_changed_start_time_is_a_restart_of_the_source():
    points = read_cumulative(CumulativeState(10), (5.0, 10, 20), (2.0, 25, 30))
    assert [(point.value, point.start_ns, point.end_ns) for point in points] == [(5.0, 10, 20), (2.0, 25, 30)]


def test_a_total_that_was_already_counted_or_decreases_does_not_count():
    points = read_cumulative(CumulativeState(10), (5.0, 10, 20), (5.0, 10, 20), (4.0, 10, 30))
    assert points[1:] == ["counted before", "no sensible figure"]


def test_a_series_beyond_the_maximum_does_not_count():
    assert read_cumulative(CumulativeState(0), (5.0, 10, 20)) == ["too many series"]


def test_a_sum_without_temporality_does_not_count():
    assert read_cumulative(CumulativeState(10), (5.0, 10, 20, 0)) == ["no temporality"]
