"""Reception of request bodies within the limits on their size, their time and the number of large ones."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from http import HTTPStatus

import gevent
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest

from hollyridge.otlp.errors import BadRequestError
from hollyridge.otlp.http_connections import CONNECTION_KEY
from hollyridge.otlp.large_bodies import LARGE_BODY_BYTES, LargeBodies
from hollyridge.otlp.request_body import BodyEncoding, BodyLimits, content_length, decode_body, is_large, read_body


class BodyReceiver:
    """Receiver of the bodies of reports.

    Args:
        limits: Limits on the size of one body and on the time that it takes to arrive.
    """

    def __init__(self, limits: BodyLimits) -> None:
        self.limits = limits
        self.large_bodies = LargeBodies(limits.max_bytes, time.monotonic)

    @contextmanager
    def receive(self, environ: dict, encoding: BodyEncoding) -> Iterator[ExportMetricsServiceRequest]:
        """Read and decode the body of a WSGI request; while a large one is in use, others wait.

        Raises:
            BadRequestError: The body cannot be read, is invalid, or has waited too long for other large ones.
        """
        with ExitStack() as stack:
            raw = self._read(environ, stack)
            large = is_large(raw, encoding)
            if large:
                stack.enter_context(self.large_bodies.decoding)
            yield decode_body(raw, encoding, self.limits.max_bytes, in_thread=large)

    def _read(self, environ: dict, stack: ExitStack) -> bytes:
        """Read a body; one that may be large holds a place until the stack is closed."""
        if 0 <= content_length(environ) <= LARGE_BODY_BYTES:
            return self._read_from(environ)
        try:
            with gevent.Timeout(self.limits.timeout_s, TimeoutError):
                body = stack.enter_context(self.large_bodies.place(environ[CONNECTION_KEY].abort))
        except TimeoutError:
            raise BadRequestError(HTTPStatus.SERVICE_UNAVAILABLE, "too many large bodies at once") from None
        raw = self._read_from(environ)
        body.arriving = False
        return raw

    def _read_from(self, environ: dict) -> bytes:
        """Read a body; its connection makes room for newer ones meanwhile."""
        handler = environ[CONNECTION_KEY]
        handler.connections.await_body(handler)
        try:
            return read_body(environ, self.limits)
        finally:
            handler.connections.resume(handler)
