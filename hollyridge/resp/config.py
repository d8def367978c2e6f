"""What a server of the platform's protocol runs by."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.resp.messages import ProtocolNames


class RespConfig(NamedTuple):
    """What a server runs by.

    Attributes:
        host: The address to listen on.
        port: The port to listen on; 0 for any that is free.
        max_descriptors: Descriptors that the process may hold.
        reserved_descriptors: How many of these are for everything but connections of this server.
        join_timeout_us: How long a connection may take to join.
        names: The names that messages use.
    """

    host: str
    port: int
    max_descriptors: int
    reserved_descriptors: int
    join_timeout_us: int
    names: ProtocolNames
