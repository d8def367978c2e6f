"""A small sender of OTLP metrics by HTTP, for proxies and tasks that report to an assigner."""

from __future__ import annotations

import gzip
import http.client
from collections.abc import Iterable
from typing import NamedTuple

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
    ExportMetricsServiceResponse,
)

from hollyridge.otlp.reading import DELTA


class Figure(NamedTuple):
    """One data point; `start` None makes a gauge. Times in ns since the epoch."""

    name: str
    value: float
    attributes: dict[str, str]
    end: int
    start: int | None = None


def request_of(source: str, figures: Iterable[Figure]) -> ExportMetricsServiceRequest:
    request = ExportMetricsServiceRequest()
    resource = request.resource_metrics.add()
    resource.resource.attributes.add(key="service.instance.id").value.string_value = source
    scope = resource.scope_metrics.add()
    metrics: dict[str, object] = {}
    for figure in figures:
        metric = metrics.get(figure.name)
        if metric is None:
            metric = metrics[figure.name] = scope.metrics.add(name=figure.name)
            if figure.start is not None:
                metric.sum.aggregation_temporality = DELTA
        data = metric.gauge if figure.start is None else metric.sum
        point = data.data_points.add(
            as_double=figure.value, time_unix_nano=figure.end, start_time_unix_nano=figure.start or 0
        )
        for key, value in figure.attributes.items():
            point.attributes.add(key=key).value.string_value = value
    return request


def post(
    connection: http.client.HTTPConnection, request: ExportMetricsServiceRequest, packed: bool = True
) -> tuple[int, ExportMetricsServiceResponse | None]:
    """The HTTP status and, for 200, the answer. OSError or http.client.HTTPException where the way breaks."""
    body = request.SerializeToString()
    headers = {"Content-Type": "application/x-protobuf"}
    if packed:
        body, headers["Content-Encoding"] = gzip.compress(body, 1), "gzip"
    connection.request("POST", "/v1/metrics", body, headers)
    answer = connection.getresponse()
    raw = answer.read()
    return answer.status, ExportMetricsServiceResponse.FromString(raw) if answer.status == 200 else None
