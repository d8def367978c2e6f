"""HTTP connections whose requests are handled in turns with the other busy connections of the process."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from hollyridge.core.input_turns import InputTurns
from hollyridge.keys.tls import peer_common_name

PRINCIPAL_KEY = "hollyridge.principal"  # key of the client certificate's common name in the WSGI environment


class HttpHandler(WSGIHandler):
    """Handler of one connection."""

    def __init__(self, sock: socket.socket, address: tuple, server: HttpServer) -> None:
        super().__init__(sock, address, server)
        self.loop = gevent.get_hub().loop
        self.last_iteration = -1  # iteration of the event loop in which the last request ended

    def read_requestline(self) -> str:
        """Wait for a request and return its first line."""
        self.rfile.peek(1)
        if self.loop.iteration == self.last_iteration:  # the request was already there when the last one ended
            self.server.turns.wait()
        return super().read_requestline()

    def handle_one_response(self) -> None:
        """Handle a request whose head is complete."""
        super().handle_one_response()
        self.last_iteration = self.loop.iteration


class TlsHandler(HttpHandler):
    """Handler of a connection whose client has presented a certificate."""

    def get_environ(self) -> dict:
        """Return the WSGI environment with the principal of the client."""
        return {**super().get_environ(), PRINCIPAL_KEY: peer_common_name(self.socket)}


class HttpServer(WSGIServer):
    """Server of a WSGI application; `wrap_tls` wraps accepted sockets in TLS, None means plain HTTP."""

    def __init__(
        self,
        address: tuple[str, int],
        application: Callable[[dict, Callable], list[bytes]],
        max_connections: int,
        turns: InputTurns,
        wrap_tls: Callable[[socket.socket], socket.socket] | None,
    ) -> None:
        self.turns = turns
        self.wrap_tls = wrap_tls
        super().__init__(
            address,
            application,
            log=None,
            error_log=None,
            spawn=Pool(max_connections),
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
