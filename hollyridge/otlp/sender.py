"""A small sender of OTLP metrics over HTTP, for proxies and tasks that report to an assigner."""

from __future__ import annotations

import gzip
import http.client
from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
    ExportMetricsServiceResponse,
)

from hollyridge.otlp.reading import DELTA

GZIP_LEVEL = 1  # reports are small and frequent: speed matters more than size


class Figure(NamedTuple):
    """One data point: a gauge without `start_ns`, else a delta sum. Times in nanoseconds since the Unix epoch."""

    name: str
    value: float
    attributes: dict[str, str]
    end_ns: int
    start_ns: int | None = None


def request_of(source: str, figures: Iterable[Figure]) -> ExportMetricsServiceRequest:
    """The request that reports these data points for a source; each metric has the kind of its first point."""
    request = ExportMetricsServiceRequest()
    resource = request.resource_metrics.add()
    resource.resource.attributes.add(key="service.instance.id").value.string_value = source
    scope = resource.scope_metrics.add()
    metrics: dict[str, object] = {}
    for figure in figures:
        metric = metrics.get(figure.name)
        if metric is None:
            metric = metrics[figure.name] = scope.metrics.add(name=figure.name)
            if figure.start_ns is not None:
                metric.sum.aggregation_temporality = DELTA
        data = metric.gauge if figure.start_ns is None else metric.sum
        point = data.data_points.add(
            as_double=figure.value, time_unix_nano=figure.end_ns, start_time_unix_nano=figure.start_ns or 0
        )
        for key, value in figure.attributes.items():
            point.attributes.add(key=key).value.string_value = value
    return request


def post(
    connection: http.client.HTTPConnection, request: ExportMetricsServiceRequest, packed: bool = True
) -> tuple[int, ExportMetricsServiceResponse | None]:
    """Send a request, with gzip if `packed`; returns the HTTP status and, for 200, the answer.

    Raises:
        OSError: The connection failed.
        http.client.HTTPException: The answer is not valid HTTP.
    """
    body = request.SerializeToString()
    headers = {"Content-Type": "application/x-protobuf"}
    if packed:
        body = gzip.compress(body, GZIP_LEVEL)
        headers["Content-Encoding"] = "gzip"
    connection.request("POST", "/v1/metrics", body, headers)
    answer = connection.getresponse()
    raw = answer.read()
    if answer.status != HTTPStatus.OK:
        return answer.status, None
    return answer.status, ExportMetricsServiceResponse.FromString(raw)
