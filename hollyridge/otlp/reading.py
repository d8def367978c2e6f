"""OTLP metrics as points: names to indices, delta and cumulative sums, gauges. No sockets, no clock.

| metric | kind | attributes | what |
| --- | --- | --- | --- |
| `hollyridge.tries` | sum | proxy, zone, task, method | tries that ended |
| `hollyridge.tries.failed` | sum | the same | tries without a good answer |
| `hollyridge.tries.time` | sum, s | the same | time that good tries took, summed |
| `hollyridge.rpcs` | sum | proxy, method | RPCs that came, repeats and those pushed back included |
| `hollyridge.rpcs.unanswered` | sum | the same | RPCs let in that got no answer |
| `hollyridge.task.util` | gauge | task | part of its cores in use |
| `hollyridge.task.queue` | gauge | task | RPCs waiting |

`task` is `host:port` as registered. `service.instance.id` of the resource names the sender.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest
from opentelemetry.proto.metrics.v1.metrics_pb2 import AggregationTemporality

from hollyridge.telemetry.report_aggregator import LOADS, DataPoint, Kind

METRICS = {
    "hollyridge.tries": Kind.TRIES,
    "hollyridge.tries.failed": Kind.FAILED,
    "hollyridge.tries.time": Kind.TIME,
    "hollyridge.rpcs": Kind.RPCS,
    "hollyridge.rpcs.unanswered": Kind.UNANSWERED,
    "hollyridge.task.util": Kind.UTIL,
    "hollyridge.task.queue": Kind.QUEUE,
}
CUMULATIVE = AggregationTemporality.AGGREGATION_TEMPORALITY_CUMULATIVE
DELTA = AggregationTemporality.AGGREGATION_TEMPORALITY_DELTA


class AttributeNames(NamedTuple):
    """How names are looked up; each returns None for what is not known, -1 for what is not for this sender."""

    zone: Callable[[str], int | None]
    task: Callable[[str], int | None]
    proxy: Callable[[str], int | None]
    method: Callable[[str], int | None]


def attributes(pairs) -> dict[str, str]:
    return {pair.key: pair.value.string_value for pair in pairs if pair.value.HasField("string_value")}


def value_of(point) -> float:
    return float(point.as_int) if point.HasField("as_int") else point.as_double


class CumulativeState:
    """Running totals of cumulative series, so that what came since can be told. A start that moved is a sender
    that began anew; a total that fell without it is no sensible figure."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.last: dict[tuple, tuple[int, int, float]] = {}

    def since(self, key: tuple, start: int, end: int, value: float) -> tuple[float, int] | str:
        before = self.last.get(key)
        if before is not None and before[0] == start:
            _, upto, total = before
            if end <= upto:
                return "counted before"
            if value < total:
                return "no sensible figure"
        else:
            if before is None and len(self.last) >= self.most:
                return "too many series"
            upto, total = start, 0.0
        self.last[key] = (start, end, value)
        return value - total, upto


def read(
    request: ExportMetricsServiceRequest, peer: str, names: AttributeNames, running: CumulativeState
) -> Iterator[DataPoint | str]:
    """Each data point as a `DataPoint`, or as the reason for which it does not count."""
    for resource in request.resource_metrics:
        source = attributes(resource.resource.attributes).get("service.instance.id", peer)[:64]
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                form = metric.WhichOneof("data")
                kind = METRICS.get(metric.name)
                if form is None:
                    continue
                points = getattr(metric, form).data_points
                if kind is None:
                    yield from ["unknown metric"] * len(points)
                elif form != ("gauge" if kind in LOADS else "sum"):
                    yield from ["wrong kind of metric"] * len(points)
                else:
                    temporality = getattr(metric, form).aggregation_temporality if form == "sum" else DELTA
                    for point in points:
                        yield one(source, kind, point, temporality, names, running)


def one(
    source: str, kind: Kind, point, temporality: int, names: AttributeNames, running: CumulativeState
) -> DataPoint | str:
    told = attributes(point.attributes)
    method = 0
    if kind in (Kind.RPCS, Kind.UNANSWERED):
        proxy, method = names.proxy(told.get("proxy", "")), names.method(told.get("method", ""))
        if proxy is None or method is None:
            return "unknown proxy" if proxy is None else "unknown method"
        if proxy < 0:
            return "not for this sender"
        place = proxy, method
    else:
        task = names.task(told.get("task", ""))
        zone = 0 if kind in LOADS else names.zone(told.get("zone", ""))
        if task is None or zone is None:
            return "unknown task" if task is None else "unknown zone"
        if zone < 0:
            return "not for this sender"
        place = zone, task
        if "method" in told and kind not in LOADS:
            method = names.method(told["method"])
            if method is None:
                return "unknown method"
        if kind not in LOADS and told.get("proxy"):
            source = f"{source}/{told['proxy'][:64]}"
    value, start, end = value_of(point), point.start_time_unix_nano, point.time_unix_nano
    if temporality == CUMULATIVE and kind not in LOADS:
        since = running.since((source, kind, place, method), start, end, value)
        if isinstance(since, str):
            return since
        value, start = since
    elif temporality != DELTA:
        return "no temporality"
    return DataPoint(source, kind, place, method, value, start, end)
