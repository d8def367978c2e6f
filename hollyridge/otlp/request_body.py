"""Reading and decoding of request bodies: length, timeout, gzip, protobuf and JSON.

Each fault is reported with an HTTP status.
"""

from __future__ import annotations

import zlib
from http import HTTPStatus
from typing import NamedTuple

import gevent
from google.protobuf import json_format
from google.protobuf.message import DecodeError
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest

from hollyridge.otlp.errors import BadRequestError

MAX_INFLATION = 8  # limit on a decompressed body, as a multiple of the limit on a body as sent
MAX_JSON_DEPTH = 32  # limit on nested messages; metrics need fewer than ten levels
THREAD_MIN_BYTES = 64 * 1024  # bodies of at least this size are decoded in a thread, so as not to block all streams
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


def decode_body(raw: bytes, encoding: BodyEncoding, max_body_bytes: int) -> ExportMetricsServiceRequest:
    """Decode a body, in a thread of the pool if it is large.

    Raises:
        BadRequestError: The body is invalid or too large.
    """
    max_bytes = MAX_INFLATION * max_body_bytes
    if len(raw) >= THREAD_MIN_BYTES:
        return gevent.get_hub().threadpool.apply(parse, (raw, encoding, max_bytes))
    return parse(raw, encoding, max_bytes)


def parse(raw: bytes, encoding: BodyEncoding, max_bytes: int) -> ExportMetricsServiceRequest:
    """Decode a body that has at most `max_bytes` after decompression.

    Raises:
        BadRequestError: The body is invalid or too large.
    """
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
