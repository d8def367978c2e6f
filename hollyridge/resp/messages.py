"""The messages that come in as types, with the names that one deployment uses in them."""

from __future__ import annotations

from typing import NamedTuple, Union

from hollyridge.errors import HollyridgeError


class MalformedMessageError(HollyridgeError):
    """A message that can be read but not used; the text says why.

    Only this message is passed over: what comes before and behind it counts.
    """


class Heartbeat(NamedTuple):
    """`hb`: the peer asks for a sign of life."""


class CollectorHello(NamedTuple):
    """`telemetry`: the connection is a collector's, for the proxies of a zone."""

    zone: int


class JoinRequest(NamedTuple):
    """`attach`: a proxy joins. `has_no_table`: it holds no table that was ever ordered."""

    node: int
    zone: int
    usual_rate_per_s: float
    has_no_table: bool


class TrafficSample(NamedTuple):
    """`upstream_stats`: what the proxies of a zone saw at a task; the fields of `interface.TrafficReport`."""

    zone: int
    endpoint: str
    attempts: int
    failed: int
    latency_us: int
    interval_us: int
    load: tuple[float, ...]


class OfferedLoadSample(NamedTuple):
    """`client_stats`: RPCs of a method that reached a proxy; the fields of `interface.OfferedLoad`."""

    node: int
    method: int
    rpcs: int
    unanswered: int
    interval_us: int


class AckMessage(NamedTuple):
    """`done`: a proxy has applied the message with this mark."""

    node: int
    mark: int
    apply_time_us: int


InboundMessage = Union[Heartbeat, CollectorHello, JoinRequest, TrafficSample, OfferedLoadSample, AckMessage]


class ProtocolNames(NamedTuple):
    """The names that a deployment's messages use.

    Attributes:
        zones: Names of the zones, in the order of their indices.
        methods: Names of the methods, in the order of their indices.
        proxy_count: How many proxies there are; they name themselves by a number below it.
    """

    zones: tuple[str, ...]
    methods: tuple[str, ...]
    proxy_count: int
