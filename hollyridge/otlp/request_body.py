"""Reads and decodes the body of a request: length, timeout, gzip, protobuf or JSON. Each fault has an HTTP status."""

from __future__ import annotations

import zlib
from http import HTTPStatus
from typing import NamedTuple

import gevent
from google.protobuf import json_format
from google.protobuf.message import DecodeError
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest

from hollyridge.otlp.errors import BadRequestError

MAX_INFLATION = 8  # a decompressed body may be this many times the limit on a body as sent
MAX_JSON_DEPTH = 32  # nesting of messages; metrics need less than ten levels
THREAD_MIN_BYTES = 64 * 1024  # bodies from this size on are decoded in a thread: one call would hold up all streams
GZIP_WINDOW_BITS = 31  # zlib's way to say: the largest window, with a gzip header


class BodyLimits(NamedTuple):
    """The size of a body as sent, and the time that it may take to arrive."""

    max_bytes: int
    timeout_s: float


class BodyEncoding(NamedTuple):
    """How a body is encoded."""

    gzipped: bool
    is_json: bool


def read_body(environ: dict, limits: BodyLimits) -> bytes:
    """Read the body of a WSGI request; raises BadRequestError."""
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
    """The length as stated, -1 for a chunked body; raises BadRequestError if there is neither."""
    try:
        length = int(environ.get("CONTENT_LENGTH") or -1)
    except ValueError:
        length = -1
    if length < 0 and environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
        raise BadRequestError(HTTPStatus.LENGTH_REQUIRED, "no length")
    return length


def decode_body(raw: bytes, encoding: BodyEncoding, max_body_bytes: int) -> ExportMetricsServiceRequest:
    """Decode a body, a large one in a thread of the pool; raises BadRequestError."""
    max_bytes = MAX_INFLATION * max_body_bytes
    if len(raw) >= THREAD_MIN_BYTES:
        return gevent.get_hub().threadpool.apply(parse, (raw, encoding, max_bytes))
    return parse(raw, encoding, max_bytes)


def parse(raw: bytes, encoding: BodyEncoding, max_bytes: int) -> ExportMetricsServiceRequest:
    """Decode a body, `max_bytes` long at most once decompressed; raises BadRequestError."""
    body = decompress(raw, max_bytes) if encoding.gzipped else raw
    try:
        if encoding.is_json:
            return json_format.Parse(
                body, ExportMetricsServiceRequest(), ignore_unknown_fields=True, max_recursion_depth=MAX_JSON_DEPTH
            )
        return ExportMetricsServiceRequest.FromString(body)
    except (DecodeError, json_format.ParseError, UnicodeDecodeError, RecursionError, ValueError):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "the body is no metrics request") from None


def decompress(raw: bytes, max_bytes: int) -> bytes:
    """Decompress gzip without ever holding more than `max_bytes`; raises BadRequestError."""
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
