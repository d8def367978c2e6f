"""Configuration of the platform's protocol server."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.resp.messages import ProtocolNames


class RespConfig(NamedTuple):
    """Configuration of a `RespServer`.

    Attributes:
        host: Address to listen on.
        port: Port to listen on; 0 for any free port.
        max_descriptors: Maximum number of open file descriptors of the process.
        reserved_descriptors: Descriptors out of these that are not available to connections of this server.
        max_buffered_bytes: Maximum number of bytes in unfinished messages of all connections together.
        join_timeout_us: Time that a connection may take to join, in microseconds.
        names: Names that messages use.
    """

    host: str
    port: int
    max_descriptors: int
    reserved_descriptors: int
    max_buffered_bytes: int
    join_timeout_us: int
    names: ProtocolNames
