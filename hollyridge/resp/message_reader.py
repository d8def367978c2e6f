"""Parser of inbound messages, which checks them against the names and limits of one deployment. No I/O.

A message that names something unknown, lacks a field or has a value out of range raises `MalformedMessageError`. Times
are milliseconds in messages and are converted to whole microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from hollyridge.interface import AssignerConfig
from hollyridge.resp.messages import (
    AckMessage,
    CollectorHello,
    Heartbeat,
    InboundMessage,
    JoinRequest,
    MalformedMessageError,
    OfferedLoadSample,
    ProtocolNames,
    TrafficSample,
)

Fields = dict[bytes, bytes]

MAX_RATE_PER_S = 1e6  # RPCs per second in one field
MIN_INTERVAL_MS = 0.001
MAX_INTERVAL_MS = 600_000.0  # interval that a report may cover
MS_PER_S = 1000
US_PER_MS = 1000
LATENCY_DEADLINES = 4  # maximum mean latency of successful RPCs, noise included, as a multiple of the longest deadline
UTILIZATION_METRIC = b"util"  # the platform's name of the utilization as a fraction
MAX_UTILIZATION = 16.0
MAX_LOAD_METRIC = 1e9
MISSING_LOAD_METRIC = -1.0
MAX_LOAD_METRICS = 64  # figures in one load report
MAX_NUMBER_BYTES = 32  # length of a number as text
MAX_ENDPOINT_BYTES = 256
MAX_MARK = 65535  # limit of the platform's protocol


class MessageReader:
    """Parser of messages for the names and the assigner configuration of one deployment."""

    def __init__(self, names: ProtocolNames, config: AssignerConfig) -> None:
        self.zones = {name.encode(): zone for zone, name in enumerate(names.zones)}
        self.methods = {name.encode(): method for method, name in enumerate(names.methods)}
        self.max_node = names.proxy_count - 1
        self.load_metric_names = config.load_metric_names
        self.max_latency_ms = LATENCY_DEADLINES * max(method.deadline_us for method in config.methods) / US_PER_MS
        self.readers_by_kind = {
            b"hb": self._read_heartbeat,
            b"telemetry": self._read_collector_hello,
            b"attach": self._read_join_request,
            b"upstream_stats": self._read_traffic_sample,
            b"client_stats": self._read_offered_load,
            b"done": self._read_ack,
        }

    def read(self, parts: Sequence[bytes]) -> InboundMessage:
        """Return the message of these parts: its kind, then alternating names and values.

        Raises:
            MalformedMessageError: The message is not valid; the text of the error names the fault.
        """
        reader = self.readers_by_kind.get(parts[0])
        if reader is None:
            raise MalformedMessageError("no such message is for an assigner")
        fields = dict(zip(parts[1::2], parts[2::2]))
        if len(parts) % 2 == 0 or 2 * len(fields) != len(parts) - 1:
            raise MalformedMessageError("names and values do not pair")
        return reader(fields)

    def _read_heartbeat(self, fields: Fields) -> Heartbeat:
        return Heartbeat()

    def _read_collector_hello(self, fields: Fields) -> CollectorHello:
        return CollectorHello(_read_name(fields, b"locality", self.zones))

    def _read_join_request(self, fields: Fields) -> JoinRequest:
        return JoinRequest(
            self._read_node(fields),
            _read_name(fields, b"locality", self.zones),
            _read_number(fields, b"w", MAX_RATE_PER_S),
            _read_flag(fields, b"cold"),
        )

    def _read_traffic_sample(self, fields: Fields) -> TrafficSample:
        interval_ms = _read_number(fields, b"interval", MAX_INTERVAL_MS, MIN_INTERVAL_MS)
        attempts = _read_count(fields, b"total", _max_rpcs(interval_ms))
        failed = _read_count(fields, b"errors", attempts)
        # If every attempt failed, there is no mean latency and the field may be missing.
        has_latency = attempts > failed or b"rtt" in fields
        latency_ms = _read_number(fields, b"rtt", self.max_latency_ms) if has_latency else 0.0
        endpoint = fields.get(b"endpoint", b"")
        if not 0 < len(endpoint) <= MAX_ENDPOINT_BYTES:
            raise MalformedMessageError("lacks endpoint")
        return TrafficSample(
            _read_name(fields, b"locality", self.zones),
            endpoint.decode("utf-8", "replace"),
            attempts,
            failed,
            _ms_to_us(latency_ms),
            _ms_to_us(interval_ms),
            self._read_load(fields.get(b"metrics")),
        )

    def _read_load(self, raw: bytes | None) -> tuple[float, ...]:
        """Return the load metrics in the order of the settings, -1 for a missing one; empty without a load report."""
        if not raw:
            return ()
        load: dict[str, float] = {}
        pairs = raw.split(b",", MAX_LOAD_METRICS)
        if len(pairs) > MAX_LOAD_METRICS:
            raise MalformedMessageError("metrics has too many figures")
        for pair in pairs:
            name, _, value = pair.partition(b":")
            max_value = MAX_UTILIZATION if name == UTILIZATION_METRIC else MAX_LOAD_METRIC
            number = _number_within(value, 0.0, max_value) if len(value) <= MAX_NUMBER_BYTES else None
            if number is None:
                raise MalformedMessageError("metrics has no sensible figure")
            load[name.decode("utf-8", "replace")] = number
        return tuple(load.get(name, MISSING_LOAD_METRIC) for name in self.load_metric_names)

    def _read_offered_load(self, fields: Fields) -> OfferedLoadSample:
        interval_ms = _read_number(fields, b"interval", MAX_INTERVAL_MS, MIN_INTERVAL_MS)
        max_rpcs = _max_rpcs(interval_ms)
        # Unanswered RPCs may have reached the proxy in an earlier interval, so that they can outnumber the RPCs.
        return OfferedLoadSample(
            self._read_node(fields),
            _read_name(fields, b"route", self.methods),
            _read_count(fields, b"total", max_rpcs),
            _read_count(fields, b"errors", max_rpcs),
            _ms_to_us(interval_ms),
        )

    def _read_ack(self, fields: Fields) -> AckMessage:
        return AckMessage(
            self._read_node(fields),
            _read_count(fields, b"nonce", MAX_MARK),
            _ms_to_us(_read_number(fields, b"latency", MAX_INTERVAL_MS)),
        )

    def _read_node(self, fields: Fields) -> int:
        return _read_count(fields, b"node", self.max_node)


def _read_number(fields: Fields, name: bytes, max_value: float, min_value: float = 0.0) -> float:
    if name not in fields:
        raise MalformedMessageError(f"lacks {name.decode()}")
    text = fields[name]
    number = _number_within(text, min_value, max_value) if len(text) <= MAX_NUMBER_BYTES else None
    if number is None:
        raise MalformedMessageError(f"{name.decode()} is no sensible figure")
    return number


def _read_count(fields: Fields, name: bytes, max_value: float) -> int:
    number = _read_number(fields, name, max_value)
    if number != int(number):
        raise MalformedMessageError(f"{name.decode()} is not whole")
    return int(number)


def _read_name(fields: Fields, name: bytes, index_by_name: Mapping[bytes, int]) -> int:
    """Return the index of the zone or method that a field names."""
    index = index_by_name.get(fields.get(name, b""))
    if index is None:
        raise MalformedMessageError(
            f"{name.decode()} names nothing known" if name in fields else f"lacks {name.decode()}"
        )
    return index


def _read_flag(fields: Fields, name: bytes) -> bool:
    value = fields.get(name)
    if value not in (b"0", b"1"):
        raise MalformedMessageError(f"{name.decode()} is neither 0 nor 1")
    return value == b"1"


def _number_within(text: bytes, min_value: float, max_value: float) -> float | None:
    """Return a number that lies within two bounds; None for anything else.

    >>> _number_within(b"nan", 0, 10), _number_within(b"3", 0, 10)
    (None, 3.0)
    """
    try:
        number = float(text)
    except ValueError:
        return None
    return number if min_value <= number <= max_value else None


def _max_rpcs(interval_ms: float) -> float:
    """Return the maximum number of RPCs in a report; intervals below one second count as one second."""
    return MAX_RATE_PER_S * max(interval_ms, MS_PER_S) / MS_PER_S


def _ms_to_us(milliseconds: float) -> int:
    return round(milliseconds * US_PER_MS)
