"""The HTTP server below the receiver: connections, TLS, and requests and responses as typed values."""

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
PRINCIPAL_KEY = "hollyridge.principal"  # in the WSGI environment, the common name of the client's certificate
LOOPBACK_PREFIXES = ("127.", "::1")


class HttpRequest(NamedTuple):
    """What of a request decides how it is handled; `principal` is empty without TLS."""

    method: str
    path: str
    content_type: str
    peer: str
    principal: str
    environ: dict

    @classmethod
    def from_environ(cls, environ: dict) -> HttpRequest:
        """Read a WSGI environment."""
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
        """Whether the body is JSON; answers are in the encoding of the request."""
        return self.content_type == JSON

    @property
    def is_local(self) -> bool:
        """Whether the client runs on this machine."""
        return self.peer.startswith(LOOPBACK_PREFIXES)


class HttpResponse(NamedTuple):
    """An answer."""

    status: HTTPStatus
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


def send(response: HttpResponse, start_response: Callable) -> list[bytes]:
    """Answer a WSGI request."""
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
    secure: Callable[[socket.socket], socket.socket] | None,
) -> WSGIServer:
    """A server that is not started yet; `secure` makes each connection a TLS one."""
    server_class = WSGIServer if secure is None else tls_server_class(secure)
    return server_class(address, application, log=None, error_log=None, spawn=Pool(max_connections))


def tls_server_class(secure: Callable[[socket.socket], socket.socket]) -> type[WSGIServer]:
    """A server whose connections `secure` makes TLS ones, with the principal in each request's environment."""

    class TlsHandler(WSGIHandler):
        def get_environ(self) -> dict:
            return {**super().get_environ(), PRINCIPAL_KEY: peer_common_name(self.socket)}

    class TlsServer(WSGIServer):
        handler_class = TlsHandler

        def handle(self, sock: socket.socket, address: tuple) -> None:
            try:
                sock = secure(sock)
            except OSError:
                sock.close()
                return
            super().handle(sock, address)

    return TlsServer
