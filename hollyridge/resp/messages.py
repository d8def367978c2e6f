"""The platform's words to typed news, and tables to the fields of its orders. No I/O.

A message that names something unknown, lacks a field or has one out of range is `MalformedMessageError`: it is passed
over, whatever came around it counts. Times come in milliseconds and leave in whole microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple, Union

from hollyridge.interface import AssignerConfig
from hollyridge.registration.members import figure

RATE_MOST = 1e6  # RPCs a second that one figure can stand for
SPAN_MOST = 600_000.0  # ms that a report may cover
LATE = 4  # a good answer's mean time is below so many of the longest deadlines, noise included
UTIL_MOST = 16.0
FIGURE_MOST = 1e9


class MalformedMessageError(Exception):  # noqa: N818
    """A message that can be read and not used; the text says why."""


class Heartbeat(NamedTuple):
    """A question for a sign of life."""


class CollectorHello(NamedTuple):
    zone: int


class JoinRequest(NamedTuple):
    """A proxy joins. `cold`: it holds no table that was ordered."""

    node: int
    zone: int
    rate: float
    cold: bool


class TrafficSample(NamedTuple):
    """What the proxies of a zone met at a task; times in microseconds, `load` as `interface.TrafficReport` has it."""

    zone: int
    endpoint: str
    tries: int
    bad: int
    latency: int
    over: int
    load: tuple[float, ...]


class OfferedLoadSample(NamedTuple):
    node: int
    method: int
    rpcs: int
    unanswered: int
    over: int


class AckMessage(NamedTuple):
    node: int
    mark: int
    took: int


InboundMessage = Union[Heartbeat, CollectorHello, JoinRequest, TrafficSample, OfferedLoadSample, AckMessage]


class ProtocolNames(NamedTuple):
    """What a deployment's words mean: zones and methods in order, how many proxies it has, the names of load."""

    zones: tuple[str, ...]
    methods: tuple[str, ...]
    proxies: int


def number(fields: dict[bytes, bytes], name: bytes, most: float, least: float = 0.0) -> float:
    if name not in fields:
        raise MalformedMessageError(f"lacks {name.decode()}")
    value = figure(fields, name, least, most) if len(fields[name]) <= 32 else None
    if value is None:
        raise MalformedMessageError(f"{name.decode()} is no sensible figure")
    return value


def count(fields: dict[bytes, bytes], name: bytes, most: float) -> int:
    value = number(fields, name, most)
    if value != int(value):
        raise MalformedMessageError(f"{name.decode()} is not whole")
    return int(value)


def most_in(span: float) -> float:
    """RPCs that can be told of for so many milliseconds; for less than a second as for one."""
    return RATE_MOST * max(span, 1000) / 1000


def micros(milliseconds: float) -> int:
    return round(milliseconds * 1000)


class MessageReader:
    """Reads messages by the names and terms of one deployment."""

    def __init__(self, names: ProtocolNames, config: AssignerConfig) -> None:
        self.zones = {name.encode(): z for z, name in enumerate(names.zones)}
        self.methods = {name.encode(): k for k, name in enumerate(names.methods)}
        self.proxies, self.loads = names.proxies, config.load_metric_names
        self.longest = LATE * max(m.deadline_us for m in config.methods) / 1000
        self.kinds = {
            b"hb": self.beat,
            b"telemetry": self.collector,
            b"attach": self.hello,
            b"upstream_stats": self.met,
            b"client_stats": self.offered,
            b"done": self.applied,
        }

    def read(self, parts: Sequence[bytes]) -> InboundMessage:
        """One message. Spoilt says why it can't be used."""
        kind = self.kinds.get(parts[0])
        if kind is None:
            raise MalformedMessageError("no such message is for an assigner")
        fields = dict(zip(parts[1::2], parts[2::2]))
        if len(parts) % 2 == 0 or 2 * len(fields) != len(parts) - 1:
            raise MalformedMessageError("names and values do not pair")
        return kind(fields)

    def beat(self, fields: dict) -> Heartbeat:
        return Heartbeat()

    def collector(self, fields: dict) -> CollectorHello:
        return CollectorHello(self.one_of(self.zones, fields, b"locality"))

    def hello(self, fields: dict) -> JoinRequest:
        return JoinRequest(
            self.node(fields),
            self.one_of(self.zones, fields, b"locality"),
            number(fields, b"w", RATE_MOST),
            self.flag(fields, b"cold"),
        )

    def met(self, fields: dict) -> TrafficSample:
        span = number(fields, b"interval", SPAN_MOST, 0.001)
        tries = count(fields, b"total", most_in(span))
        bad = count(fields, b"errors", tries)
        # Where none was good there is no mean time to tell.
        took = number(fields, b"rtt", self.longest) if tries > bad or b"rtt" in fields else 0.0
        endpoint = fields.get(b"endpoint", b"")
        if not 0 < len(endpoint) <= 256:
            raise MalformedMessageError("lacks endpoint")
        return TrafficSample(
            self.one_of(self.zones, fields, b"locality"),
            endpoint.decode("utf-8", "replace"),
            tries,
            bad,
            micros(took),
            micros(span),
            self.load(fields.get(b"metrics")),
        )

    def load(self, raw: bytes | None) -> tuple[float, ...]:
        """A load report in the order of the settings; empty where there is none, -1 for a figure it lacks."""
        if not raw:
            return ()
        told: dict[str, float] = {}
        for pair in raw.split(b","):
            name, _, value = pair.partition(b":")
            found = figure({name: value}, name, 0.0, UTIL_MOST if name == b"util" else FIGURE_MOST)
            if found is None:
                raise MalformedMessageError("metrics has no sensible figure")
            told[name.decode("utf-8", "replace")] = found
        return tuple(told.get(name, -1.0) for name in self.loads)

    def offered(self, fields: dict) -> OfferedLoadSample:
        span = number(fields, b"interval", SPAN_MOST, 0.001)
        most = most_in(span)
        # Those that could not be served may have come in an earlier interval: there can be more of them than came.
        return OfferedLoadSample(
            self.node(fields),
            self.one_of(self.methods, fields, b"route"),
            count(fields, b"total", most),
            count(fields, b"errors", most),
            micros(span),
        )

    def applied(self, fields: dict) -> AckMessage:
        return AckMessage(
            self.node(fields), count(fields, b"nonce", 65535), micros(number(fields, b"latency", SPAN_MOST))
        )

    def node(self, fields: dict) -> int:
        return count(fields, b"node", self.proxies - 1)

    @staticmethod
    def one_of(known: dict[bytes, int], fields: dict, name: bytes) -> int:
        at = known.get(fields.get(name, b""))
        if at is None:
            raise MalformedMessageError(
                f"{name.decode()} names nothing known" if name in fields else f"lacks {name.decode()}"
            )
        return at

    @staticmethod
    def flag(fields: dict, name: bytes) -> bool:
        if fields.get(name) not in (b"0", b"1"):
            raise MalformedMessageError(f"{name.decode()} is neither 0 nor 1")
        return fields[name] == b"1"


class TableUpdate(NamedTuple):
    """One part of an order. `methods` empty for all; `lines` by name, weight 0 takes out; `level` None for no
    change."""

    methods: tuple[str, ...] = ()
    whole: bool = False
    lines: tuple[tuple[str, float], ...] = ()
    level: tuple[float, int] | None = None
    out: tuple[str, ...] = ()
    back: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """What the channel counts for it, the mark and the message's head left out."""
        return self.whole + len(self.lines) + (self.level is not None) + len(self.out) + len(self.back)


def fields_of(part: TableUpdate) -> list[bytes]:
    """
    >>> fields_of(TableUpdate(("lookup", "order"), True, (("s-1", 1.5), ("s-2", 0.0)), (0.9, 1)))
    [b'classes', b'lookup+order', b'whole', b'1', b'lines', b's-1:1.5,s-2:0', b'level', b'0.9', b'retry', b'1']
    """
    words: list[str] = []
    if part.methods:
        words += "classes", "+".join(part.methods)
    if part.whole:
        words += "whole", "1"
    if part.lines:
        words += "lines", ",".join(f"{name}:{weight:.6g}" for name, weight in part.lines)
    if part.level is not None:
        words += "level", f"{part.level[0]:.6g}", "retry", str(part.level[1])
    for name in ("out", "back"):
        if getattr(part, name):
            words += name, ",".join(getattr(part, name))
    return [word.encode() for word in words]


def order(parts: Iterable[TableUpdate], mark: int) -> list[list[bytes]]:
    """One message of the channel: its parts as messages of the protocol, all but the last tied to the next.

    >>> order([TableUpdate(lines=(("s-1", 2.0),)), TableUpdate(("lookup",), level=(0.5, 0))], 7)[1]
    [b'assign', b'classes', b'lookup', b'level', b'0.5', b'retry', b'0', b'ticket', b'7']
    """
    messages = [[b"assign", *fields_of(part)] for part in parts] or [[b"assign"]]
    if mark >= 0:
        messages[-1] += [b"ticket", b"%d" % mark]
    for message in messages[:-1]:
        message += [b"more", b"1"]
    return messages
