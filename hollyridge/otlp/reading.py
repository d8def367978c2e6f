"""Conversion of OTLP metrics to data points, without sockets and without a clock.

Names are converted to indices and cumulative sums to increases.

| metric | kind | attributes | meaning |
| --- | --- | --- | --- |
| `hollyridge.tries` | sum | proxy, zone, task, method | attempts that have ended |
| `hollyridge.tries.failed` | sum | the same | attempts that failed |
| `hollyridge.tries.time` | sum, s | the same | total duration of successful attempts |
| `hollyridge.rpcs` | sum | proxy, method | RPCs offered, including retries and rejected RPCs |
| `hollyridge.rpcs.unanswered` | sum | the same | admitted RPCs that got no answer |
| `hollyridge.task.util` | gauge | task | fraction of the task's cores in use |
| `hollyridge.task.queue` | gauge | task | RPCs waiting |

`task` is the `host:port` with which the task is registered. The resource attribute `service.instance.id` names the
source.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import NamedTuple

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest
from opentelemetry.proto.common.v1.common_pb2 import KeyValue
from opentelemetry.proto.metrics.v1.metrics_pb2 import AggregationTemporality, Metric, NumberDataPoint

from hollyridge.telemetry.report_aggregator import LOADS, DataPoint, Kind

KIND_BY_METRIC = {
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
MAX_ATTRIBUTES = 128  # attributes read of one resource or data point
MAX_SOURCE_CHARS = 64  # longest prefix used of a name that a source gives itself
NOT_ALLOWED = -1  # index of a zone or proxy for which the source may not report
# Reasons for which a data point does not count. They are keys of the status page and part of responses.
ALREADY_COUNTED = "counted before"
NOT_THIS_SENDER = "not for this sender"


class AttributeNames(NamedTuple):
    """Look-ups of indices by name.

    Each returns None for an unknown name, and `NOT_ALLOWED` for a name for which the source may not report.
    """

    zone: Callable[[str], int | None]
    task: Callable[[str], int | None]
    proxy: Callable[[str], int | None]
    method: Callable[[str], int | None]


class Labels(NamedTuple):
    """The labels of a data point, as in `DataPoint`.

    Attributes:
        source: Name of the source.
        subject: Indices of zone and task or, for RPCs, of proxy and method.
        method: Index of the method.
    """

    source: str
    subject: tuple[int, int]
    method: int


class RunningTotal(NamedTuple):
    """The newest point of a cumulative series. Times are in nanoseconds of the source's clock."""

    start_ns: int
    end_ns: int
    value: float


class Increase(NamedTuple):
    """The increase of a cumulative series since `start_ns`."""

    value: float
    start_ns: int


class CumulativeState:
    """Running totals of cumulative series, used to compute increases.

    A changed start time means that the source has restarted. A total that decreases without a restart is invalid.
    """

    def __init__(self, max_series: int) -> None:
        self.max_series = max_series
        self.totals: dict[tuple, RunningTotal] = {}  # by source, kind, subject and method

    def increase(self, key: tuple, total: RunningTotal) -> Increase | str:
        """Store the newest total of a series and return the increase, or the reason for which it does not count."""
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
    """Yield each data point of a request, or the reason for which it does not count.

    Args:
        request: The decoded request.
        peer: Address of the sender, used as the name of the source if the request has none.
        names: Look-ups with the restrictions for this sender.
        cumulative: Running totals, which are updated.
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
    """Yield each data point of a metric, or the reason for which it does not count."""
    data_type = metric.WhichOneof("data")
    if data_type is None:
        return
    data = getattr(metric, data_type)
    kind = KIND_BY_METRIC.get(metric.name)
    if kind is None:
        yield from ["unknown metric"] * len(data.data_points)
    elif data_type != ("gauge" if kind in LOADS else "sum"):
        yield from ["wrong kind of metric"] * len(data.data_points)
    else:
        temporality = data.aggregation_temporality if data_type == "sum" else DELTA
        read_labels = LABEL_READERS[kind]
        for point in data.data_points:
            labels = read_labels(string_attributes(point.attributes), source, names)
            yield labels if isinstance(labels, str) else read_point(point, kind, temporality, labels, cumulative)


def read_point(
    point: NumberDataPoint, kind: Kind, temporality: int, labels: Labels, cumulative: CumulativeState
) -> DataPoint | str:
    """Return a data point with its value as an increase, or the reason for which it does not count."""
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
    """Return the labels of a proxy's report about the RPCs of a method, or the reason for which it does not count."""
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
    """Return the labels of a task's load, which has no zone, or the reason for which it does not count."""
    task = names.task(attributes.get("task", ""))
    if task is None:
        return "unknown task"
    return Labels(source, (0, task), 0)


def attempt_labels(attributes: dict[str, str], source: str, names: AttributeNames) -> Labels | str:
    """Return the labels of attempts at a task from a zone, or the reason for which they do not count.

    If the attributes name a proxy, its name is appended to that of the source.
    """
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
    """Return the attributes with string values, from the first `MAX_ATTRIBUTES` attributes."""
    considered = islice(pairs, MAX_ATTRIBUTES)
    return {pair.key: pair.value.string_value for pair in considered if pair.value.HasField("string_value")}
