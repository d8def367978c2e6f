"""Receiver of load reports: `POST /v1/metrics` in OTLP, `GET` of pages such as `/status`, `POST` of operator actions.

Error responses follow the OTLP specification: 400 for a body that can't be read, 413 for a body that is too large, 429
with a retry time for a source that exceeds its share, and partial success for data points that do not count.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from gevent import socket
from google.protobuf import json_format
from google.protobuf.message import Message
from google.rpc.status_pb2 import Status
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
    ExportMetricsServiceResponse,
)

from hollyridge.core.event_loop import EventLoop
from hollyridge.limits.fair_share import FairShareLimiter
from hollyridge.otlp.body_receiver import BodyReceiver
from hollyridge.otlp.errors import BadRequestError
from hollyridge.otlp.http_connections import HttpServer, HttpServerConfig
from hollyridge.otlp.http_server import JSON, PROTOBUF, HttpRequest, HttpResponse, send
from hollyridge.otlp.reading import ALREADY_COUNTED, NOT_ALLOWED, AttributeNames, CumulativeState, read_points
from hollyridge.otlp.request_body import BodyEncoding, BodyLimits
from hollyridge.sessions.access import AccessControl

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

METRICS_PATH = "/v1/metrics"
MAX_QUOTED_PATH_CHARS = 80
MAX_QUOTED_METHOD_CHARS = 16
FAIR_SHARE_PERIOD_US = 1_000_000  # the budget of data points is configured per second
POINTS_PER_TURN = 500  # data points of one report that are processed in a row
# Statuses that keep the connection open. With any other status part of the body may be unread.
KEEP_ALIVE_STATUSES = (HTTPStatus.OK, HTTPStatus.TOO_MANY_REQUESTS)
OPEN_ACCESS = AccessControl(False, ())


class OtlpConfig(NamedTuple):
    """Configuration of the receiver; `points_per_s` is the data point budget of all sources together."""

    host: str
    port: int
    max_body_bytes: int
    body_timeout_s: float
    max_connections: int
    points_per_s: float


class Page(NamedTuple):
    """A page served by `GET`; `render` returns its body, or None while there is nothing to show."""

    content_type: str
    render: Callable[[], bytes | None]


class HttpOptions(NamedTuple):
    """Pages, actions, access control and TLS of the server.

    Attributes:
        pages: Pages by path, for `GET`.
        actions: Functions by path, for `POST`. Known principals may call them, or, without keys, clients on the same
            machine.
        access: Access control for reports and actions.
        wrap_tls: Function that wraps an accepted socket in TLS; None for plain HTTP.
    """

    pages: dict[str, Page]
    actions: dict[str, Callable[[], None]]
    access: AccessControl = OPEN_ACCESS
    wrap_tls: Callable[[socket.socket], socket.socket] | None = None


class MetricsServer:
    """HTTP server that receives load reports and serves pages and operator actions.

    Args:
        loop: Event loop with the clock and with the engine that receives the data points.
        config: Address and limits.
        names: Look-ups of the names in reports.
        options: Pages, actions, access control and TLS.
        log: A structlog logger.
    """

    def __init__(
        self,
        loop: EventLoop,
        config: OtlpConfig,
        names: AttributeNames,
        options: HttpOptions,
        log: FilteringBoundLogger,
    ) -> None:
        self.loop = loop
        self.config = config
        self.names = names
        self.pages = options.pages
        self.actions = options.actions
        self.access = options.access
        self.log = log
        self.bodies = BodyReceiver(BodyLimits(config.max_body_bytes, config.body_timeout_s))
        self.cumulative = CumulativeState(loop.engine.limits.max_series)
        self.fair_share = FairShareLimiter(config.points_per_s, FAIR_SHARE_PERIOD_US, config.max_connections)
        self.counts = dict.fromkeys(("requests", "points", "rejected", "bad", "slowed"), 0)
        self.uncounted: dict[str, int] = {}  # number of data points that did not count, by reason
        server_config = HttpServerConfig((config.host, config.port), config.max_connections, config.body_timeout_s)
        self.server = HttpServer(server_config, self.serve, loop.input_turns, options.wrap_tls)

    def start(self) -> int:
        """Start listening and return the port.

        Raises:
            OSError: The address is already in use.
        """
        self.server.start()
        self.log.info("server_started", protocol="otlp", host=self.config.host, port=self.server.server_port)
        return self.server.server_port

    def stop(self) -> None:
        """Close the listener and end all requests."""
        self.server.stop(timeout=0)

    def serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Handle a request, as a WSGI application."""
        request = HttpRequest.from_environ(environ)
        try:
            response = self.respond(request)
        except BadRequestError as error:
            response = self.error_response(request, error)
        return send(response, start_response)

    def respond(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request.

        Raises:
            BadRequestError: The request is rejected.
        """
        if request.path in self.pages and request.method == "GET":
            return self.show_page(self.pages[request.path])
        if request.path in self.actions and request.method == "POST":
            return self.run_action(request)
        return HttpResponse(HTTPStatus.OK, request.content_type, self.receive_metrics(request))

    def error_response(self, request: HttpRequest, error: BadRequestError) -> HttpResponse:
        """Count and log a rejected request and return its response."""
        headers: list[tuple[str, str]] = []
        if error.status == HTTPStatus.TOO_MANY_REQUESTS:
            self.counts["slowed"] += 1
            retry_after_s = -(-error.retry_after_us // 1_000_000)  # rounded up
            headers.append(("Retry-After", str(max(1, retry_after_s))))
        else:
            self.counts["bad"] += 1
        if error.status not in KEEP_ALIVE_STATUSES:
            headers.append(("Connection", "close"))
        self.log.warning("report_rejected", peer=request.peer, status=int(error.status), reason=str(error))
        body = serialize(Status(code=error.grpc_code, message=str(error)), request.is_json)
        return HttpResponse(error.status, JSON if request.is_json else PROTOBUF, body, tuple(headers))

    @staticmethod
    def show_page(page: Page) -> HttpResponse:
        """Return the response with a page.

        Raises:
            BadRequestError: The page has nothing to show yet.
        """
        body = page.render()
        if body is None:
            raise BadRequestError(HTTPStatus.SERVICE_UNAVAILABLE, "nothing is known yet")
        return HttpResponse(HTTPStatus.OK, page.content_type, body)

    def run_action(self, request: HttpRequest) -> HttpResponse:
        """Run an operator action and return the response.

        Raises:
            BadRequestError: The client is not allowed to run actions.
        """
        denial = self.access.check_known(request.principal)
        if denial:
            raise BadRequestError(HTTPStatus.FORBIDDEN, denial)
        if self.access.unrestricted and not request.is_local:
            raise BadRequestError(HTTPStatus.FORBIDDEN, "only from this machine")
        self.actions[request.path]()
        self.log.info("operator_action_run", action=request.path, peer=request.peer)
        return HttpResponse(HTTPStatus.OK, JSON, b"{}")

    def receive_metrics(self, request: HttpRequest) -> bytes:
        """Read a report, pass its data points to the engine and return the body of the response.

        Raises:
            BadRequestError: The report is rejected.
        """
        encoding = body_encoding(request)
        source = request.principal or request.peer
        retry_after_us = self.fair_share.retry_after_us(self.loop.clock(), source)
        if retry_after_us:
            raise BadRequestError(
                HTTPStatus.TOO_MANY_REQUESTS,
                "more points a second than are read of one sender now; come again",
                retry_after_us,
            )
        with self.bodies.receive(request.environ, encoding) as export:
            response = self.count_points(export, request, source)
        return serialize(response, request.is_json)

    def names_for(self, principal: str) -> AttributeNames:
        """Return look-ups that reject the zones and proxies for which this principal may not report."""
        if self.access.unrestricted:
            return self.names
        zone = self.names.zone
        proxy = self.names.proxy
        return self.names._replace(
            zone=lambda name: NOT_ALLOWED if self.access.check_zone(principal, name) else zone(name),
            proxy=lambda name: NOT_ALLOWED if self.access.check_proxy_name(principal, name) else proxy(name),
        )

    def count_points(
        self, export: ExportMetricsServiceRequest, request: HttpRequest, source: str
    ) -> ExportMetricsServiceResponse:
        """Pass each data point to the engine and return the response with the rejected points, by reason."""
        now_us = self.loop.clock()
        rejected: dict[str, int] = {}
        total = 0
        for point in read_points(export, request.peer, self.names_for(request.principal), self.cumulative):
            total += 1
            reason = point if isinstance(point, str) else self.loop.engine.report(now_us, point)
            if reason:
                self.uncounted[reason] = self.uncounted.get(reason, 0) + 1
                if reason != ALREADY_COUNTED:  # for the sender, a retry after a lost response is a success
                    rejected[reason] = rejected.get(reason, 0) + 1
            if total % POINTS_PER_TURN == 0:
                self.loop.input_turns.wait()
        self.fair_share.record(now_us, source, total)
        self.counts["requests"] += 1
        self.counts["points"] += total
        self.counts["rejected"] += sum(rejected.values())
        return export_response(rejected)

    def status(self) -> dict:
        """Return the counters for the status page, whose keys are a published format."""
        sources = len(self.fair_share.sources)
        return {**self.counts, "why": self.uncounted, "senders": sources, **self.fair_share.counts}


def body_encoding(request: HttpRequest) -> BodyEncoding:
    """Check that a request sends metrics and return the encoding of its body.

    Raises:
        BadRequestError: The path, method, media type or content encoding is not supported.
    """
    if request.path != METRICS_PATH:
        raise BadRequestError(HTTPStatus.NOT_FOUND, f"nothing at {request.path[:MAX_QUOTED_PATH_CHARS]}")
    if request.method != "POST":
        method = request.method[:MAX_QUOTED_METHOD_CHARS]
        raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED, f"{method} is not spoken here")
    if request.content_type not in (JSON, PROTOBUF):
        raise BadRequestError(HTTPStatus.UNSUPPORTED_MEDIA_TYPE, "application/x-protobuf or application/json is wanted")
    content_encoding = request.environ.get("HTTP_CONTENT_ENCODING", "identity")
    if content_encoding not in ("identity", "gzip"):
        raise BadRequestError(HTTPStatus.UNSUPPORTED_MEDIA_TYPE, "gzip is the only content encoding spoken")
    return BodyEncoding(content_encoding == "gzip", request.is_json)


def export_response(rejected: dict[str, int]) -> ExportMetricsServiceResponse:
    """Return the response to a report, with a partial success if data points were rejected."""
    response = ExportMetricsServiceResponse()
    if rejected:
        reasons = ", ".join(f"{reason}: {count}" for reason, count in sorted(rejected.items()))
        response.partial_success.rejected_data_points = sum(rejected.values())
        response.partial_success.error_message = reasons
    return response


def serialize(message: Message, as_json: bool) -> bytes:
    """Encode a response as JSON or, if `as_json` is False, as protobuf."""
    return json_format.MessageToJson(message).encode() if as_json else message.SerializeToString()
