"""Configuration of the CHP server."""

from __future__ import annotations

from typing import NamedTuple


class ChpConfig(NamedTuple):
    """Settings of the CHP server.

    Attributes:
        host: Address to listen on.
        port: Port of the snapshot socket; the publisher and the collector use the next two ports.
        max_waiting_messages: Maximum number of messages that ZeroMQ queues for one reader.
        heartbeat_ms: Interval between heartbeats, in milliseconds.
        max_proxies: Maximum number of concurrent sessions.
        default_rate: Load assumed for a proxy until reports show its actual load, in RPCs per second.
        methods: Names of the methods, in the order of their indices.
    """

    host: str
    port: int
    max_waiting_messages: int
    heartbeat_ms: int
    max_proxies: int
    default_rate: float
    methods: tuple[str, ...]
