"""Reading and decoding of request bodies: length, timeout, gzip, protobuf and JSON.

Each fault is reported with an HTTP status.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from http import HTTPStatus
from typing import NamedTuple

import gevent
from google.protobuf import json_format
from google.protobuf.message import DecodeError
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest
from opentelemetry.proto.metrics.v1.metrics_pb2 import Metric

from hollyridge.otlp.errors import BadRequestError

MAX_INFLATION = 8  # limit on a decompressed body, as a multiple of the limit on a body as sent
MAX_JSON_INFLATION = 2  # the same for JSON, which takes much more memory when decoded
MAX_JSON_DEPTH = 32  # limit on nested messages; metrics need fewer than ten levels
# Bodies of at least this size, decompressed or as sent, are decoded in a thread, so as not to block all streams.
THREAD_MIN_BYTES = 64 * 1024
MAX_ENTRIES = 100_000  # resources, scopes, metrics and data points of one report
GZIP_WINDOW_BITS = 31  # selects the largest window and a gzip header in zlib


class BodyLimits(NamedTuple):
    """Limits on the size of a body as sent and on the time that it takes to arrive."""

    max_bytes: int
    timeout_s: float


class BodyEncoding(NamedTuple):
    """The encoding of a body."""

    gzipped: bool
    is_json: bool


def read_body(environ: dict, limits: BodyLimits) -> bytes:
    """Read the body of a WSGI request.

    Raises:
        BadRequestError: The body has no length, is too large, is incomplete or does not arrive in time.
    """
    length = content_length(environ)
    if length > limits.max_bytes:
        raise BadRequestError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"a body of {length} bytes ({limits.max_bytes} at most)"
        )
    try:
        with gevent.Timeout(limits.timeout_s, TimeoutError):
            raw = environ["wsgi.input"].read(length if length >= 0 else limits.max_bytes + 1)
    except TimeoutError:
        raise BadRequestError(HTTPStatus.REQUEST_TIMEOUT, "the body did not come in time") from None
    except OSError as error:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, f"the body broke off: {error}") from None
    if len(raw) > limits.max_bytes:
        raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"a body of over {limits.max_bytes} bytes")
    if len(raw) < length:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "the body is shorter than told")
    return raw


def content_length(environ: dict) -> int:
    """Return the length in the request's header, -1 for a chunked body.

    Raises:
        BadRequestError: The body is not chunked and has no valid length.
    """
    try:
        length = int(environ.get("CONTENT_LENGTH") or -1)
    except ValueError:
        length = -1
    if length < 0 and environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
        raise BadRequestError(HTTPStatus.LENGTH_REQUIRED, "no length")
    return length


def decode_body(
    raw: bytes, encoding: BodyEncoding, max_body_bytes: int, in_thread: bool | None = None
) -> ExportMetricsServiceRequest:
    """Decode a body, in a thread of the pool if `in_thread`, which is by default whether the body is large.

    Raises:
        BadRequestError: The body is invalid or too large.
    """
    max_bytes = (MAX_JSON_INFLATION if encoding.is_json else MAX_INFLATION) * max_body_bytes
    if is_large(raw, encoding) if in_thread is None else in_thread:
        return gevent.get_hub().threadpool.apply(parse, (raw, encoding, max_bytes))
    return parse(raw, encoding, max_bytes)


def is_large(raw: bytes, encoding: BodyEncoding) -> bool:
    """Return whether a body has `THREAD_MIN_BYTES` as sent or, as far as it can be decompressed, decompressed."""
    if len(raw) >= THREAD_MIN_BYTES or not encoding.gzipped:
        return len(raw) >= THREAD_MIN_BYTES
    try:
        start = zlib.decompressobj(wbits=GZIP_WINDOW_BITS).decompress(raw, THREAD_MIN_BYTES)
    except zlib.error:
        return False
    return len(start) >= THREAD_MIN_BYTES


def parse(raw: bytes, encoding: BodyEncoding, max_bytes: int) -> ExportMetricsServiceRequest:
    """Decode a body that has at most `max_bytes` after decompression.

    Raises:
        BadRequestError: The body is invalid or too large.
    """
    body = decompress(raw, max_bytes) if encoding.gzipped else raw
    try:
        if encoding.is_json:
            export = json_format.Parse(
                body, ExportMetricsServiceRequest(), ignore_unknown_fields=True, max_recursion_depth=MAX_JSON_DEPTH
            )
        else:
            export = ExportMetricsServiceRequest.FromString(body)
    except (DecodeError, json_format.ParseError, UnicodeDecodeError, RecursionError, ValueError):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "the body is no metrics request") from None
    check_entry_count(export)
    return export


def check_entry_count(export: ExportMetricsServiceRequest) -> None:
    """Check the number of resources, scopes, metrics and data points in all.

    Raises:
        BadRequestError: There are more than `MAX_ENTRIES`.
    """
    entries = 0
    for count in entry_counts(export):
        entries += count
        if entries > MAX_ENTRIES:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"a report of over {MAX_ENTRIES} entries")


def entry_counts(export: ExportMetricsServiceRequest) -> Iterator[int]:
    """Yield the number of entries in each list of a report, outer lists first."""
    yield len(export.resource_metrics)
    for resource in export.resource_metrics:
        yield len(resource.scope_metrics)
        for scope in resource.scope_metrics:
            yield len(scope.metrics)
            yield from map(count_points, scope.metrics)


def count_points(metric: Metric) -> int:
    """Return the number of data points of a metric of any type."""
    data_type = metric.WhichOneof("data")
    return len(getattr(metric, data_type).data_points) if data_type is not None else 0


def decompress(raw: bytes, max_bytes: int) -> bytes:
    """Decompress gzip while holding at most `max_bytes` and one more byte of output.

    Raises:
        BadRequestError: The body is not valid gzip, is incomplete or is too large.
    """
    decompressor = zlib.decompressobj(wbits=GZIP_WINDOW_BITS)
    try:
        body = decompressor.decompress(raw, max_bytes + 1)
    except zlib.error:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "the body is no gzip") from None
    if len(body) > max_bytes:
        raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"a body of over {max_bytes} bytes")
    if not decompressor.eof:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "the gzip body is cut off")
    return body
