"""Reads OTLP metrics as data points: names to indices, cumulative sums to increases. No sockets, no clock.

| metric | kind | attributes | meaning |
| --- | --- | --- | --- |
| `hollyridge.tries` | sum | proxy, zone, task, method | attempts that ended |
| `hollyridge.tries.failed` | sum | the same | attempts that failed |
| `hollyridge.tries.time` | sum, s | the same | duration of successful attempts, summed |
| `hollyridge.rpcs` | sum | proxy, method | RPCs offered, retries and rejected ones included |
| `hollyridge.rpcs.unanswered` | sum | the same | RPCs admitted that got no answer |
| `hollyridge.task.util` | gauge | task | part of its cores in use |
| `hollyridge.task.queue` | gauge | task | RPCs waiting |

`task` is `host:port` as registered. `service.instance.id` of the resource names the source.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest
from opentelemetry.proto.common.v1.common_pb2 import KeyValue
from opentelemetry.proto.metrics.v1.metrics_pb2 import AggregationTemporality, Metric, NumberDataPoint

from hollyridge.telemetry.report_aggregator import LOADS, DataPoint, Kind

METRICS = {
    "hollyridge.tries": Kind.ATTEMPTS,
    "hollyridge.tries.failed": Kind.FAILED_ATTEMPTS,
    "hollyridge.tries.time": Kind.ATTEMPT_TIME,
    "hollyridge.rpcs": Kind.RPCS,
    "hollyridge.rpcs.unanswered": Kind.UNANSWERED,
    "hollyridge.task.util": Kind.UTILIZATION,
    "hollyridge.task.queue": Kind.QUEUE,
}
CUMULATIVE = AggregationTemporality.AGGREGATION_TEMPORALITY_CUMULATIVE
DELTA = AggregationTemporality.AGGREGATION_TEMPORALITY_DELTA
MAX_SOURCE_CHARS = 64  # of a name that a source gives itself
NOT_ALLOWED = -1  # the index of a zone or proxy that the source may not report for
# Reasons for which a data point does not count; they are keys of the status page and part of answers.
ALREADY_COUNTED = "counted before"
NOT_THIS_SENDER = "not for this sender"


class AttributeNames(NamedTuple):
    """Look-ups of indices by name; each returns None for unknown names, `NOT_ALLOWED` for others' names."""

    zone: Callable[[str], int | None]
    task: Callable[[str], int | None]
    proxy: Callable[[str], int | None]
    method: Callable[[str], int | None]


class Labels(NamedTuple):
    """What a data point is about, as indices: `subject` is (zone, task) or (proxy, method), as in DataPoint."""

    source: str
    subject: tuple[int, int]
    method: int


class RunningTotal(NamedTuple):
    """The newest point of a cumulative series; times in nanoseconds of the source's clock."""

    start_ns: int
    end_ns: int
    value: float


class Increase(NamedTuple):
    """What was added to a cumulative series since `start_ns`."""

    value: float
    start_ns: int


class CumulativeState:
    """Running totals of cumulative series, to compute increases.

    A start time that has moved means that the source has restarted. A total that fell without it is invalid.
    """

    def __init__(self, max_series: int) -> None:
        self.max_series = max_series
        self.totals: dict[tuple, RunningTotal] = {}

    def increase(self, key: tuple, total: RunningTotal) -> Increase | str:
        """Take the newest total of a series; returns the increase, or the reason for which it does not count."""
        previous = self.totals.get(key)
        if previous is not None and previous.start_ns == total.start_ns:
            if total.end_ns <= previous.end_ns:
                return ALREADY_COUNTED
            if total.value < previous.value:
                return "no sensible figure"
            increase = Increase(total.value - previous.value, previous.end_ns)
        else:
            if previous is None and len(self.totals) >= self.max_series:
                return "too many series"
            increase = Increase(total.value, total.start_ns)
        self.totals[key] = total
        return increase


def read_points(
    request: ExportMetricsServiceRequest, peer: str, names: AttributeNames, cumulative: CumulativeState
) -> Iterator[DataPoint | str]:
    """Each data point of a request, or the reason for which it does not count.

    Args:
        request: The decoded request.
        peer: Address of the sender; names the source if the request does not.
        names: Look-ups as this sender may use them.
        cumulative: Running totals, updated.
    """
    for resource in request.resource_metrics:
        attributes = string_attributes(resource.resource.attributes)
        source = attributes.get("service.instance.id", peer)[:MAX_SOURCE_CHARS]
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                yield from read_metric(metric, source, names, cumulative)


def read_metric(
    metric: Metric, source: str, names: AttributeNames, cumulative: CumulativeState
) -> Iterator[DataPoint | str]:
    """Each data point of a metric, or the reason for which it does not count."""
    form = metric.WhichOneof("data")
    if form is None:
        return
    data = getattr(metric, form)
    kind = METRICS.get(metric.name)
    if kind is None:
        yield from ["unknown metric"] * len(data.data_points)
    elif form != ("gauge" if kind in LOADS else "sum"):
        yield from ["wrong kind of metric"] * len(data.data_points)
    else:
        temporality = data.aggregation_temporality if form == "sum" else DELTA
        read_labels = LABEL_READERS[kind]
        for point in data.data_points:
            labels = read_labels(string_attributes(point.attributes), source, names)
            yield labels if isinstance(labels, str) else read_point(point, kind, temporality, labels, cumulative)


def read_point(
    point: NumberDataPoint, kind: Kind, temporality: int, labels: Labels, cumulative: CumulativeState
) -> DataPoint | str:
    """One data point with its value as an increase, or the reason for which it does not count."""
    value = float(point.as_int) if point.HasField("as_int") else point.as_double
    start_ns = point.start_time_unix_nano
    end_ns = point.time_unix_nano
    if temporality == CUMULATIVE:
        key = (labels.source, kind, labels.subject, labels.method)
        increase = cumulative.increase(key, RunningTotal(start_ns, end_ns, value))
        if isinstance(increase, str):
            return increase
        value, start_ns = increase
    elif temporality != DELTA:
        return "no temporality"
    return DataPoint(labels.source, kind, labels.subject, labels.method, value, start_ns, end_ns)


def rpc_labels(attributes: dict[str, str], source: str, names: AttributeNames) -> Labels | str:
    """Labels of what a proxy reports about a method."""
    proxy = names.proxy(attributes.get("proxy", ""))
    if proxy is None:
        return "unknown proxy"
    method = names.method(attributes.get("method", ""))
    if method is None:
        return "unknown method"
    if proxy == NOT_ALLOWED:
        return NOT_THIS_SENDER
    return Labels(source, (proxy, method), method)


def load_labels(attributes: dict[str, str], source: str, names: AttributeNames) -> Labels | str:
    """Labels of a task's load; it counts for no zone."""
    task = names.task(attributes.get("task", ""))
    if task is None:
        return "unknown task"
    return Labels(source, (0, task), 0)


def attempt_labels(attributes: dict[str, str], source: str, names: AttributeNames) -> Labels | str:
    """Labels of attempts at a task from a zone. A proxy that is named makes the source a finer one."""
    task = names.task(attributes.get("task", ""))
    if task is None:
        return "unknown task"
    zone = names.zone(attributes.get("zone", ""))
    if zone is None:
        return "unknown zone"
    if zone == NOT_ALLOWED:
        return NOT_THIS_SENDER
    method = names.method(attributes["method"]) if "method" in attributes else 0
    if method is None:
        return "unknown method"
    if attributes.get("proxy"):
        source = f"{source}/{attributes['proxy'][:MAX_SOURCE_CHARS]}"
    return Labels(source, (zone, task), method)


LABEL_READERS: dict[Kind, Callable[[dict[str, str], str, AttributeNames], Labels | str]] = {
    Kind.ATTEMPTS: attempt_labels,
    Kind.FAILED_ATTEMPTS: attempt_labels,
    Kind.ATTEMPT_TIME: attempt_labels,
    Kind.RPCS: rpc_labels,
    Kind.UNANSWERED: rpc_labels,
    Kind.UTILIZATION: load_labels,
    Kind.QUEUE: load_labels,
}


def string_attributes(pairs: Iterable[KeyValue]) -> dict[str, str]:
    """The attributes whose value is a string."""
    return {pair.key: pair.value.string_value for pair in pairs if pair.value.HasField("string_value")}
