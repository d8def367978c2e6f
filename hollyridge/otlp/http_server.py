"""HTTP server of the receiver: connections, TLS, and typed requests and responses."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from hollyridge.keys.tls import peer_common_name
from hollyridge.otlp.errors import REASON_PHRASES

JSON = "application/json"
PROTOBUF = "application/x-protobuf"
PRINCIPAL_KEY = "hollyridge.principal"  # key of the client certificate's common name in the WSGI environment
LOOPBACK_PREFIXES = ("127.", "::1")


class HttpRequest(NamedTuple):
    """The parts of a request that determine its handling.

    Attributes:
        method: HTTP method.
        path: Path of the URL.
        content_type: Media type of the body, without parameters.
        peer: IP address of the client.
        principal: Common name of the client's certificate; empty without TLS.
        environ: WSGI environment.
    """

    method: str
    path: str
    content_type: str
    peer: str
    principal: str
    environ: dict

    @classmethod
    def from_environ(cls, environ: dict) -> HttpRequest:
        """Create a request from its WSGI environment."""
        return cls(
            environ.get("REQUEST_METHOD", ""),
            environ.get("PATH_INFO", ""),
            environ.get("CONTENT_TYPE", "").split(";")[0].strip(),
            environ.get("REMOTE_ADDR", "?"),
            environ.get(PRINCIPAL_KEY, ""),
            environ,
        )

    @property
    def is_json(self) -> bool:
        """Return whether the body is JSON; a response has the encoding of its request."""
        return self.content_type == JSON

    @property
    def is_local(self) -> bool:
        """Return whether the client runs on this machine."""
        return self.peer.startswith(LOOPBACK_PREFIXES)


class HttpResponse(NamedTuple):
    """The response to a request; `headers` are names and values of further headers, beyond type and length."""

    status: HTTPStatus
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


def send(response: HttpResponse, start_response: Callable) -> list[bytes]:
    """Send the response to a WSGI request and return its body."""
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        *response.headers,
    ]
    start_response(f"{response.status:d} {REASON_PHRASES[response.status]}", headers)
    return [response.body]


def create_server(
    address: tuple[str, int],
    application: Callable[[dict, Callable], list[bytes]],
    max_connections: int,
    wrap_tls: Callable[[socket.socket], socket.socket] | None,
) -> WSGIServer:
    """Create a server without starting it; `wrap_tls` wraps accepted sockets in TLS, None means plain HTTP."""
    server_class = WSGIServer if wrap_tls is None else tls_server_class(wrap_tls)
    return server_class(address, application, log=None, error_log=None, spawn=Pool(max_connections))


def tls_server_class(wrap_tls: Callable[[socket.socket], socket.socket]) -> type[WSGIServer]:
    """Return a server class that wraps connections in TLS and adds the principal to each request's environment."""

    class TlsHandler(WSGIHandler):
        def get_environ(self) -> dict:
            return {**super().get_environ(), PRINCIPAL_KEY: peer_common_name(self.socket)}

    class TlsServer(WSGIServer):
        handler_class = TlsHandler

        def handle(self, sock: socket.socket, address: tuple) -> None:
            try:
                sock = wrap_tls(sock)
            except OSError:
                sock.close()
                return
            super().handle(sock, address)

    return TlsServer
