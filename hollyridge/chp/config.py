"""What the CHP server is configured with."""

from __future__ import annotations

from typing import NamedTuple


class ChpConfig(NamedTuple):
    """Configuration of the CHP server.

    Attributes:
        host: Address to listen on.
        port: Port of the snapshot socket; the publisher and the collector have the next two.
        max_waiting_messages: Messages that may wait in the library for one reader.
        heartbeat_ms: Time between two heartbeats.
        max_proxies: Sessions at a time.
        default_rate: RPCs a second taken for a proxy until reports tell.
        methods: Names of the methods, in order.
    """

    host: str
    port: int
    max_waiting_messages: int
    heartbeat_ms: int
    max_proxies: int
    default_rate: float
    methods: tuple[str, ...]
