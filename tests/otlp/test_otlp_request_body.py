"""Request bodies: length, timeout, gzip, protobuf and JSON, and the HTTP status of each fault."""

import gzip
import io

import gevent
import pytest
from google.protobuf import json_format

from hollyridge.otlp.errors import BadRequestError
from hollyridge.otlp.request_body import THREAD_MIN_BYTES, BodyEncoding, BodyLimits, decode_body, read_body
from hollyridge.otlp.sender import MetricPoint, build_export_request

LIMITS = BodyLimits(100, 0.05)
EXPORT = build_export_request("gw-1", [MetricPoint("hollyridge.rpcs", 3.0, {"proxy": "gw-1"}, 20, 10)])
PLAIN, JSON, GZIP = BodyEncoding(False, False), BodyEncoding(False, True), BodyEncoding(True, False)


def environ(body, **headers):
    return {"wsgi.input": io.BytesIO(body), "CONTENT_LENGTH": str(len(body)), **headers}


class BrokenInput:
    def read(self, size):
        raise ConnectionResetError("reset by peer")


class SilentInput:
    def read(self, size):
        gevent.sleep(5)


def test_a_body_of_the_stated_length_is_read():
    assert read_body(environ(b"x" * 100), LIMITS) == b"x" * 100


def test_a_chunked_body_is_read():
    headers = {"CONTENT_LENGTH": "", "HTTP_TRANSFER_ENCODING": "Chunked"}
    assert read_body(environ(b"abc", **headers), LIMITS) == b"abc"


BAD_BODIES = {
    "no length": (environ(b"abc", CONTENT_LENGTH=""), 411, "no length"),
    "length not a number": (environ(b"abc", CONTENT_LENGTH="x"), 411, "no length"),
    "stated too long": (environ(b"x" * 101), 413, "a body of 101 bytes (100 at most)"),
    "chunked too long": (
        environ(b"x" * 101, CONTENT_LENGTH="", HTTP_TRANSFER_ENCODING="chunked"),
        413,
        "a body of over 100 bytes",
    ),
    "shorter than stated": (environ(b"abc", CONTENT_LENGTH="4"), 400, "the body is shorter than told"),
    "too slow": ({"wsgi.input": SilentInput(), "CONTENT_LENGTH": "4"}, 408, "the body did not come in time"),
    "broken": ({"wsgi.input": BrokenInput(), "CONTENT_LENGTH": "4"}, 400, "the body broke off: reset by peer"),
}


@pytest.mark.parametrize(("request_environ", "status", "reason"), BAD_BODIES.values(), ids=BAD_BODIES)
def test_a_body_that_cannot_be_read_is_rejected(request_environ, status, reason):
    with pytest.raises(BadRequestError) as error:
        read_body(request_environ, LIMITS)
    assert (error.value.status, str(error.value)) == (status, reason)


@pytest.mark.parametrize(
    ("raw", "encoding"),
    [
        (EXPORT.SerializeToString(), PLAIN),
        (json_format.MessageToJson(EXPORT).encode(), JSON),
        (gzip.compress(EXPORT.SerializeToString()), GZIP),
        (gzip.compress(json_format.MessageToJson(EXPORT).encode()), BodyEncoding(True, True)),
    ],
)
def test_each_encoding_is_decoded(raw, encoding):
    assert decode_body(raw, encoding, 1000) == EXPORT


def test_a_large_body_is_decoded_in_a_thread_with_the_same_result():
    metric_points = [MetricPoint("hollyridge.rpcs", 3.0, {"proxy": f"gw-{k}"}, 20, 10) for k in range(2000)]
    export = build_export_request("gw-1", metric_points)
    raw = export.SerializeToString()
    assert len(raw) >= THREAD_MIN_BYTES
    assert decode_body(raw, PLAIN, len(raw)) == export


def nested_json(depth):
    """Return a request with an attribute that consists of `depth` nested lists."""
    value = b'{"arrayValue":{"values":[' * depth + b'{"intValue":"1"}' + b"]}}" * depth
    return b'{"resourceMetrics":[{"resource":{"attributes":[{"key":"a","value":' + value + b"}]}}]}"


def test_json_within_the_depth_limit_is_decoded():
    assert decode_body(nested_json(3), JSON, 1000).resource_metrics[0].resource.attributes[0].key == "a"


BAD_ENCODINGS = {
    "no protobuf": (b"\xff\xff\xff", PLAIN, 400, "the body is no metrics request"),
    "no JSON": (b"{", JSON, 400, "the body is no metrics request"),
    "JSON too deep": (nested_json(40), JSON, 400, "the body is no metrics request"),
    "no gzip": (b"plain", GZIP, 400, "the body is no gzip"),
    "gzip cut off": (gzip.compress(b"x" * 100)[:-4], GZIP, 400, "the gzip body is cut off"),
    "gzip bomb": (gzip.compress(b"x" * 10_000), GZIP, 413, "a body of over 8000 bytes"),
}


@pytest.mark.parametrize(("raw", "encoding", "status", "reason"), BAD_ENCODINGS.values(), ids=BAD_ENCODINGS)
def test_a_body_that_cannot_be_decoded_is_rejected(raw, encoding, status, reason):
    with pytest.raises(BadRequestError) as error:
        decode_body(raw, encoding, 1000)
    assert (error.value.status, str(error.value)) == (status, reason)
