"""Types of inbound messages, and the names that they use in one deployment."""

from __future__ import annotations

from typing import NamedTuple, Union

from hollyridge.errors import HollyridgeError


class MalformedMessageError(HollyridgeError):
    """A message is valid RESP2 but its content is not valid; the text of the error names the fault.

    Only this message is skipped. The messages before and after it are handled. The server sends the text of the error
    in `reject` messages.
    """


class Heartbeat(NamedTuple):
    """`hb`: a heartbeat, to which the server replies."""


class CollectorHello(NamedTuple):
    """`telemetry`: the collector of a zone's proxies joins."""

    zone: int


class JoinRequest(NamedTuple):
    """`attach`: a proxy joins; `has_no_table` if it has never received a table."""

    node: int
    zone: int
    usual_rate_per_s: float
    has_no_table: bool


class TrafficSample(NamedTuple):
    """`upstream_stats`: attempts of a zone's proxies at a task, with the fields of `interface.TrafficReport`."""

    zone: int
    endpoint: str
    attempts: int
    failed: int
    latency_us: int
    interval_us: int
    load: tuple[float, ...]


class OfferedLoadSample(NamedTuple):
    """`client_stats`: RPCs of a method that reached a proxy, with the fields of `interface.OfferedLoad`."""

    node: int
    method: int
    rpcs: int
    unanswered: int
    interval_us: int


class AckMessage(NamedTuple):
    """`done`: a proxy has applied the message with this mark, which took `apply_time_us`."""

    node: int
    mark: int
    apply_time_us: int


InboundMessage = Union[Heartbeat, CollectorHello, JoinRequest, TrafficSample, OfferedLoadSample, AckMessage]


class ProtocolNames(NamedTuple):
    """Names that the messages of a deployment use.

    Attributes:
        zones: Names of the zones, in the order of their indices.
        methods: Names of the methods, in the order of their indices.
        proxy_count: Number of proxies; each identifies itself by a number below it.
    """

    zones: tuple[str, ...]
    methods: tuple[str, ...]
    proxy_count: int
