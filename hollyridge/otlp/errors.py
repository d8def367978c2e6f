"""Exception for rejected requests, with the HTTP and gRPC status codes of the response."""

from __future__ import annotations

from http import HTTPStatus

from hollyridge.errors import HollyridgeError

REASON_PHRASES = {
    HTTPStatus.OK: "OK",
    HTTPStatus.BAD_REQUEST: "Bad Request",
    HTTPStatus.FORBIDDEN: "Forbidden",
    HTTPStatus.NOT_FOUND: "Not Found",
    HTTPStatus.METHOD_NOT_ALLOWED: "Method Not Allowed",
    HTTPStatus.REQUEST_TIMEOUT: "Request Timeout",
    HTTPStatus.LENGTH_REQUIRED: "Length Required",
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "Content Too Large",
    HTTPStatus.UNSUPPORTED_MEDIA_TYPE: "Unsupported Media Type",
    HTTPStatus.TOO_MANY_REQUESTS: "Too Many Requests",
    HTTPStatus.SERVICE_UNAVAILABLE: "Service Unavailable",
}
# Values of google.rpc.Code for the body of an error response, which the OTLP specification requires.
GRPC_INVALID_ARGUMENT = 3
GRPC_RESOURCE_EXHAUSTED = 8


class BadRequestError(HollyridgeError):
    """A request is rejected.

    Attributes:
        status: HTTP status of the response.
        retry_after_us: Time that the sender has to wait before a retry, in microseconds; only for status 429.
    """

    def __init__(self, status: HTTPStatus, reason: str, retry_after_us: int = 0) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_us = retry_after_us

    @property
    def grpc_code(self) -> int:
        """Return the code for the body of the response."""
        return GRPC_RESOURCE_EXHAUSTED if self.status == HTTPStatus.TOO_MANY_REQUESTS else GRPC_INVALID_ARGUMENT
