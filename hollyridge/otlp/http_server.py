"""Typed requests and responses of the receiver's HTTP server."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from hollyridge.otlp.errors import REASON_PHRASES
from hollyridge.otlp.http_connections import PRINCIPAL_KEY

JSON = "application/json"
PROTOBUF = "application/x-protobuf"
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
