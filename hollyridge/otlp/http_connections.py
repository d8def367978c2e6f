"""HTTP connections with bounded heads, times and numbers.

A connection may wait for its next request, but makes room for a newer one if there are too many. The head of a request
has to arrive in time and within a size. Requests that a client has sent ahead are handled in turns with the other busy
connections of the process (`hollyridge.core.input_turns`).
"""

from __future__ import annotations

import contextlib
from collections import OrderedDict
from collections.abc import Callable
from typing import BinaryIO, NamedTuple

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from hollyridge.core.input_turns import InputTurns
from hollyridge.keys.tls import peer_common_name

PRINCIPAL_KEY = "hollyridge.principal"  # key of the client certificate's common name in the WSGI environment
CONNECTION_KEY = "hollyridge.connection"  # key of the connection's `HttpHandler` in the WSGI environment
MAX_HEAD_BYTES = 16384  # request head without its first line
MAX_HEAD_LINES = 64
SILENCE_TIMEOUT_S = 75.0  # without any byte in either direction
ENDING_CONNECTIONS = 16  # connections that may still be ending while newer ones are served


class HeadTooLargeError(ValueError):
    """The head of a request has too many bytes or lines; the client gets status 400."""


class HttpServerConfig(NamedTuple):
    """Limits of the server.

    Attributes:
        address: Host and port to listen on.
        max_connections: Maximum number of open connections.
        head_timeout_s: Time within which a head has to be complete after its first byte.
    """

    address: tuple[str, int]
    max_connections: int
    head_timeout_s: float


class HeadReader:
    """Reader of the lines of one head, within limits on their number and size."""

    def __init__(self, stream: BinaryIO) -> None:
        self.stream = stream
        self.bytes_left = MAX_HEAD_BYTES
        self.lines_left = MAX_HEAD_LINES

    def readline(self, limit: int) -> bytes:
        """Return the next line, of at most `limit` bytes.

        Raises:
            HeadTooLargeError: The head exceeds a limit.
        """
        line = self.stream.readline(min(limit, self.bytes_left + 1))
        self.bytes_left -= len(line)
        self.lines_left -= 1
        if self.bytes_left < 0 or self.lines_left < 0:
            raise HeadTooLargeError(f"a head of over {MAX_HEAD_BYTES} bytes or {MAX_HEAD_LINES} lines")
        return line


class ConnectionTable:
    """The open connections, of which those that are waiting for a client make room for newer ones.

    Attributes:
        max_connections: Maximum number of open connections.
        open: The connections that are open and not evicted.
        awaiting_head: Connections without a complete head, longest waiting first.
        awaiting_body: Connections whose body is incomplete, longest waiting first.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.open: set[HttpHandler] = set()
        self.awaiting_head: OrderedDict[HttpHandler, None] = OrderedDict()
        self.awaiting_body: OrderedDict[HttpHandler, None] = OrderedDict()

    def add(self, handler: HttpHandler) -> bool:
        """Add a connection; return False if there is no room for it."""
        if len(self.open) >= self.max_connections:
            longest_waiting = next(iter(self.awaiting_head or self.awaiting_body), None)
            if longest_waiting is None:
                return False
            self.remove(longest_waiting)
            longest_waiting.abort()
        self.open.add(handler)
        return True

    def remove(self, handler: HttpHandler) -> None:
        """Remove a connection that has ended."""
        self.open.discard(handler)
        self.resume(handler)

    def await_head(self, handler: HttpHandler) -> None:
        """Record that a connection begins to wait for a request."""
        self.awaiting_head[handler] = None

    def await_body(self, handler: HttpHandler) -> None:
        """Record that a connection has a complete head and begins to wait for the body."""
        self.awaiting_head.pop(handler, None)
        self.awaiting_body[handler] = None

    def resume(self, handler: HttpHandler) -> None:
        """Record that a connection waits for its client no more."""
        self.awaiting_head.pop(handler, None)
        self.awaiting_body.pop(handler, None)


class HttpHandler(WSGIHandler):
    """Handler of one connection."""

    def __init__(self, sock: socket.socket, address: tuple, server: HttpServer) -> None:
        super().__init__(sock, address, server)
        self.connections = server.connections
        self.head_timer: gevent.Timeout | None = None  # runs from the first byte of a request to the end of its head
        self.loop = gevent.get_hub().loop
        self.last_iteration = -1  # iteration of the event loop in which the last request ended

    def handle(self) -> None:
        """Handle the requests of the connection until it ends."""
        if not self.connections.add(self):
            self.socket.close()
            return
        try:
            self.socket.settimeout(SILENCE_TIMEOUT_S)
            super().handle()
        finally:
            self._end_head()
            self.connections.remove(self)

    def abort(self) -> None:
        """Break the connection, which ends its greenlet."""
        with contextlib.suppress(OSError, AttributeError):  # it has ended already
            self.socket.shutdown(socket.SHUT_RDWR)

    def read_requestline(self) -> str:
        """Wait for a request and return its first line."""
        self.connections.await_head(self)
        self.rfile.peek(1)
        if self.loop.iteration == self.last_iteration:  # the request was already there when the last one ended
            self.server.turns.wait()
        self.head_timer = gevent.Timeout.start_new(self.server.config.head_timeout_s, TimeoutError)
        return super().read_requestline()

    def MessageClass(self, stream: BinaryIO, *arguments: object) -> object:  # noqa: N802 - name in the base class
        """Return the fields of the head."""
        return super().MessageClass(HeadReader(stream), *arguments)

    def _end_head(self) -> None:
        """Stop the timer of a head that is complete or whose connection has ended."""
        if self.head_timer is not None:
            self.head_timer.close()
            self.head_timer = None

    def get_environ(self) -> dict:
        """Return the WSGI environment of a request whose head is complete."""
        self._end_head()
        self.connections.resume(self)
        return {**super().get_environ(), CONNECTION_KEY: self}

    def handle_one_response(self) -> None:
        """Handle a request whose head is complete."""
        super().handle_one_response()
        self.last_iteration = self.loop.iteration

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes] | None:
        """Return the response to an invalid head, None if the connection was lost or too slow."""
        if isinstance(error, OSError):
            return None
        return super()._handle_client_error(error)


class TlsHandler(HttpHandler):
    """Handler of a connection whose client has presented a certificate."""

    def get_environ(self) -> dict:
        """Return the WSGI environment with the principal of the client."""
        return {**super().get_environ(), PRINCIPAL_KEY: peer_common_name(self.socket)}


class HttpServer(WSGIServer):
    """Server of a WSGI application; `wrap_tls` wraps accepted sockets in TLS, None means plain HTTP."""

    def __init__(
        self,
        config: HttpServerConfig,
        application: Callable[[dict, Callable], list[bytes]],
        turns: InputTurns,
        wrap_tls: Callable[[socket.socket], socket.socket] | None,
    ) -> None:
        self.config = config
        self.turns = turns
        self.wrap_tls = wrap_tls
        self.connections = ConnectionTable(config.max_connections)
        super().__init__(
            config.address,
            application,
            log=None,
            error_log=None,
            spawn=Pool(config.max_connections + ENDING_CONNECTIONS),
            handler_class=HttpHandler if wrap_tls is None else TlsHandler,
        )

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serve one connection until it ends."""
        if self.wrap_tls is not None:
            try:
                sock = self.wrap_tls(sock)
            except OSError:
                sock.close()
                return
        super().handle(sock, address)
