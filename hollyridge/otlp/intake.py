"""The OTLP receiver: `POST /v1/metrics` by HTTP, protobuf or JSON, gzip or plain; `GET` for pages such as
`/status` and `/fleet`.

Errors are answered as the protocol has them: 400 for what can't be read, 413 for too much, 429 with a time to
come back when a sender is too fast, partial success for points that do not count.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from google.protobuf import json_format
from google.protobuf.message import DecodeError
from google.rpc.status_pb2 import Status
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
    ExportMetricsServiceResponse,
)

from hollyridge.core.event_loop import EventLoop
from hollyridge.keys.tls import peer_common_name
from hollyridge.limits.fair_share import FairShareLimiter
from hollyridge.otlp.reading import AttributeNames, CumulativeState, read
from hollyridge.sessions.access import AccessControl

REASONS = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    411: "Length Required",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    429: "Too Many Requests",
    503: "Service Unavailable",
}
THREADED = 64 * 1024  # bytes of body from which it is unpacked off the hub's thread


class OtlpConfig(NamedTuple):
    """Sizes in bytes, times in seconds; `points_per_s` is what all senders together may say."""

    host: str
    port: int
    body_most: int
    body_s: float
    connections_most: int
    points_per_s: float


class BadRequestError(Exception):
    """A request that is turned down, with its HTTP status; `wait` microseconds before it may come again."""

    def __init__(self, status: int, why: str, wait: int = 0) -> None:
        super().__init__(why)
        self.status, self.wait = status, wait


def inflate(raw: bytes, most: int) -> bytes:
    """A gzip body, `most` bytes at the most however small it came. Raises BadError."""
    try:
        engine = zlib.decompressobj(wbits=31)
        out = engine.decompress(raw, most + 1)
    except zlib.error:
        raise BadRequestError(400, "the body is no gzip") from None
    if len(out) > most:
        raise BadRequestError(413, f"a body of over {most} bytes")
    if not engine.eof:
        raise BadRequestError(400, "the gzip body is cut off")
    return out


def parse(raw: bytes, gzipped: bool, as_json: bool, most: int) -> ExportMetricsServiceRequest:
    body = inflate(raw, most) if gzipped else raw
    try:
        if as_json:
            return json_format.Parse(
                body, ExportMetricsServiceRequest(), ignore_unknown_fields=True, max_recursion_depth=32
            )
        return ExportMetricsServiceRequest.FromString(body)
    except (DecodeError, json_format.ParseError, UnicodeDecodeError, RecursionError, ValueError):
        raise BadRequestError(400, "the body is no metrics request") from None


OPEN = AccessControl(False, ())
BEARER = "hollyridge.bearer"


def secured(secure: Callable) -> type[WSGIServer]:
    """A server whose connections are made TLS ones by `secure`, with the bearer in each request's environment."""

    class Handler(WSGIHandler):
        def get_environ(self) -> dict:
            return {**super().get_environ(), BEARER: peer_common_name(self.socket)}

    class Server(WSGIServer):
        handler_class = Handler

        def handle(self, sock, address: tuple) -> None:
            try:
                sock = secure(sock)
            except OSError:
                sock.close()
                return
            super().handle(sock, address)

    return Server


class MetricsServer:
    """`pages`: what `GET` of a path answers, its type and the call that writes it (None: nothing there yet). `deeds`:
    what `POST` of a path does, for known bearers, or from the same machine where there are no keys."""

    def __init__(
        self,
        loop: EventLoop,
        terms: OtlpConfig,
        names: AttributeNames,
        pages: dict[str, tuple[str, Callable]],
        log,
        access: AccessControl = OPEN,
        secure: Callable | None = None,
        deeds: dict[str, Callable[[], None]] | None = None,
    ) -> None:
        self.access, self.deeds = access, deeds or {}
        self.loop, self.terms, self.names, self.pages, self.log = loop, terms, names, pages, log
        self.running = CumulativeState(loop.engine.limits.max_series)
        self.fair = FairShareLimiter(terms.points_per_s, 1_000_000, terms.connections_most)
        self.counts = dict.fromkeys(("requests", "points", "rejected", "bad", "slowed"), 0)
        self.why: dict[str, int] = {}
        kind = WSGIServer if secure is None else secured(secure)
        self.server = kind(
            (terms.host, terms.port), self.serve, log=None, error_log=None, spawn=Pool(terms.connections_most)
        )

    def start(self) -> int:
        self.server.start()
        self.log.info("otlp listens", host=self.terms.host, port=self.server.server_port)
        return self.server.server_port

    def stop(self) -> None:
        self.server.stop(timeout=0)

    def serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        path, verb = environ.get("PATH_INFO", ""), environ.get("REQUEST_METHOD", "")
        kind = environ.get("CONTENT_TYPE", "").split(";")[0].strip()
        as_json = kind == "application/json"
        extra: list[tuple[str, str]] = []
        try:
            if path in self.pages and verb == "GET":
                written, call = self.pages[path]
                body = call()
                if body is None:
                    raise BadRequestError(503, "nothing is known yet")
                kind, status = written, 200
            elif path in self.deeds and verb == "POST":
                why = self.access.known(environ.get(BEARER, ""))
                if why or self.access.open and not environ.get("REMOTE_ADDR", "").startswith(("127.", "::1")):
                    raise BadRequestError(403, why or "only from this machine")
                self.deeds[path]()
                self.log.info("asked for", deed=path, peer=environ.get("REMOTE_ADDR"))
                kind, status, body = "application/json", 200, b"{}"
            else:
                status, body = 200, self.metrics(environ, path, verb, kind, as_json)
        except BadRequestError as trouble:
            status, kind = trouble.status, kind if as_json else "application/x-protobuf"
            self.counts["slowed" if status == 429 else "bad"] += 1
            if status == 429:
                extra = [("Retry-After", str(max(1, -(-trouble.wait // 1_000_000))))]
            answer = Status(code=8 if status == 429 else 3, message=str(trouble))
            body = json_format.MessageToJson(answer).encode() if as_json else answer.SerializeToString()
            self.log.warning("report refused", peer=environ.get("REMOTE_ADDR"), status=status, why=str(trouble))
        if status not in (200, 429):  # what is left of the body is not worth reading
            extra.append(("Connection", "close"))
        start_response(
            f"{status} {REASONS[status]}",
            [("Content-Type", kind or "application/x-protobuf"), ("Content-Length", str(len(body))), *extra],
        )
        return [body]

    def body(self, environ: dict) -> bytes:
        try:
            length = int(environ.get("CONTENT_LENGTH") or -1)
        except ValueError:
            length = -1
        if length < 0 and environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
            raise BadRequestError(411, "no length")
        if length > self.terms.body_most:
            raise BadRequestError(413, f"a body of {length} bytes ({self.terms.body_most} at most)")
        try:
            with gevent.Timeout(self.terms.body_s, TimeoutError):
                raw = environ["wsgi.input"].read(length if length >= 0 else self.terms.body_most + 1)
        except TimeoutError:
            raise BadRequestError(408, "the body did not come in time") from None
        except OSError as trouble:
            raise BadRequestError(400, f"the body broke off: {trouble}") from None
        if len(raw) > self.terms.body_most:
            raise BadRequestError(413, f"a body of over {self.terms.body_most} bytes")
        if len(raw) < length:
            raise BadRequestError(400, "the body is shorter than told")
        return raw

    def metrics(self, environ: dict, path: str, verb: str, kind: str, as_json: bool) -> bytes:
        if path != "/v1/metrics":
            raise BadRequestError(404, f"nothing at {path[:80]}")
        if verb != "POST":
            raise BadRequestError(405, f"{verb[:16]} is not spoken here")
        if not as_json and kind != "application/x-protobuf":
            raise BadRequestError(415, "application/x-protobuf or application/json is wanted")
        packing = environ.get("HTTP_CONTENT_ENCODING", "identity")
        if packing not in ("identity", "gzip"):
            raise BadRequestError(415, "gzip is the only content encoding spoken")
        sender = environ.get(BEARER, "") or environ.get("REMOTE_ADDR", "?")
        wait = self.fair.retry_after_us(self.loop.clock(), sender)
        if wait:
            raise BadRequestError(429, "more points a second than are read of one sender now; come again", wait)
        raw, most = self.body(environ), 8 * self.terms.body_most
        if len(raw) >= THREADED:  # unpacking is one long call: it would hold up all streams
            request = gevent.get_hub().threadpool.apply(parse, (raw, packing == "gzip", as_json, most))
        else:
            request = parse(raw, packing == "gzip", as_json, most)
        return self.count(request, environ.get("REMOTE_ADDR", "?"), environ.get(BEARER, ""), as_json, sender)

    def names_for(self, bearer: str) -> AttributeNames:
        """Lookups as this sender may use them."""
        if self.access.open:
            return self.names
        zone, proxy = self.names.zone, self.names.proxy
        return self.names._replace(
            zone=lambda name: -1 if self.access.may_report(bearer, name) else zone(name),
            proxy=lambda name: -1 if self.access.may_be(bearer, name) else proxy(name),
        )

    def count(self, request: ExportMetricsServiceRequest, peer: str, bearer: str, as_json: bool, sender: str) -> bytes:
        now, rejected, total = self.loop.clock(), {}, 0
        for point in read(request, peer, self.names_for(bearer), self.running):
            total += 1
            why = point if isinstance(point, str) else self.loop.engine.report(now, point)
            if why and why != "counted before":  # a repeat after a lost answer is a success to its sender
                rejected[why] = rejected.get(why, 0) + 1
            if why:
                self.why[why] = self.why.get(why, 0) + 1
            if total % 500 == 0:
                gevent.sleep(0)
        self.fair.record(now, sender, total)
        self.counts["requests"] += 1
        self.counts["points"] += total
        self.counts["rejected"] += sum(rejected.values())
        answer = ExportMetricsServiceResponse()
        if rejected:
            answer.partial_success.rejected_data_points = sum(rejected.values())
            answer.partial_success.error_message = ", ".join(f"{why}: {n}" for why, n in sorted(rejected.items()))
        return json_format.MessageToJson(answer).encode() if as_json else answer.SerializeToString()

    def status(self) -> dict:
        return {**self.counts, "why": self.why, "senders": len(self.fair.sources), **self.fair.counts}
