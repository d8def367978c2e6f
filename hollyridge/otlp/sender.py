"""Small sender of OTLP metrics over HTTP, for proxies and tasks that report to an assigner."""

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


class MetricPoint(NamedTuple):
    """A data point of a metric: a gauge if `start_ns` is None, otherwise a delta sum.

    Times are in nanoseconds since the Unix epoch.
    """

    name: str
    value: float
    attributes: dict[str, str]
    end_ns: int
    start_ns: int | None = None


def build_export_request(source: str, points: Iterable[MetricPoint]) -> ExportMetricsServiceRequest:
    """Return the request that reports data points of a source; the first point of a metric determines its kind."""
    request = ExportMetricsServiceRequest()
    resource = request.resource_metrics.add()
    resource.resource.attributes.add(key="service.instance.id").value.string_value = source
    scope = resource.scope_metrics.add()
    metrics: dict[str, object] = {}
    for metric_point in points:
        metric = metrics.get(metric_point.name)
        if metric is None:
            metric = metrics[metric_point.name] = scope.metrics.add(name=metric_point.name)
            if metric_point.start_ns is not None:
                metric.sum.aggregation_temporality = DELTA
        data = metric.gauge if metric_point.start_ns is None else metric.sum
        point = data.data_points.add(
            as_double=metric_point.value,
            time_unix_nano=metric_point.end_ns,
            start_time_unix_nano=metric_point.start_ns or 0,
        )
        for key, value in metric_point.attributes.items():
            point.attributes.add(key=key).value.string_value = value
    return request


def post(
    connection: http.client.HTTPConnection, request: ExportMetricsServiceRequest, use_gzip: bool = True
) -> tuple[int, ExportMetricsServiceResponse | None]:
    """Send a request, by default with gzip, and return the HTTP status and, for status 200, the decoded response.

    Raises:
        OSError: The connection failed.
        http.client.HTTPException: The response is not valid HTTP.
    """
    body = request.SerializeToString()
    headers = {"Content-Type": "application/x-protobuf"}
    if use_gzip:
        body = gzip.compress(body, GZIP_LEVEL)
        headers["Content-Encoding"] = "gzip"
    connection.request("POST", "/v1/metrics", body, headers)
    response = connection.getresponse()
    raw = response.read()
    if response.status != HTTPStatus.OK:
        return response.status, None
    return response.status, ExportMetricsServiceResponse.FromString(raw)
