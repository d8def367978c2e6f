"""Values of the key space: JSON objects, each with the version of this layout as `v`.

Unknown members are ignored and missing ones have the defaults below, so that one layout reads the next and the one
before. The names of members on the wire are a format: where an attribute has another name, the wire's is pinned.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from hollyridge.errors import HollyridgeError

LAYOUT = 1

Value = TypeVar("Value")


class ChpError(HollyridgeError):
    """What was received is no message of this protocol, or not one that is answered here."""


class Head(msgspec.Struct):
    """The value of a subtree's head, which ends a change.

    Attributes:
        epoch: The run of the assigner; numbers of different runs have nothing to do with each other.
        version: The engine's decision behind the change.
        seq: Sequence number of this head.
        prev: Sequence number of the head before.
        count: Messages since that one.
        total: Keys in the subtree, the head left out.
        heartbeat_ms: Time between two heartbeats.
        layout: Version of the layout.
    """

    epoch: str = ""
    version: int = 0
    seq: int = 0
    prev: int = 0
    count: int = 0
    total: int = 0
    heartbeat_ms: int = msgspec.field(name="beat", default=1000)
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Line(msgspec.Struct):
    """A task's weight in a table."""

    weight: float = msgspec.field(name="w", default=0.0)
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Level(msgspec.Struct):
    """Admission of methods: the fraction that is let in, and how retries go on (see `Gateway.level_for`)."""

    amount: float = 1.0
    retry: int = 0
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Bind(msgspec.Struct):
    """The table that a method's RPCs go by."""

    table: int
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Out(msgspec.Struct):
    """A task that is ejected."""

    ejected: bool = msgspec.field(name="out", default=True)
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Own(msgspec.Struct):
    """The assigner `owner` owns the proxy under this fencing token, for `lease_ms` without a renewal."""

    fence: int = 0
    owner: str = msgspec.field(name="by", default="")
    lease_ms: int = msgspec.field(name="lease", default=0)
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Go(msgspec.Struct):
    """The assigner `owner` should be asked, at `address` (`host:port`)."""

    address: str = msgspec.field(name="to")
    owner: str = msgspec.field(name="by", default="")
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Ack(msgspec.Struct):
    """What a proxy has applied, and its heartbeat.

    Attributes:
        epoch: The run that the numbers belong to.
        applied: Sequence number of the newest head applied, by subtree.
        request_number: Number of its newest request for an owner.
        layout: Version of the layout.
    """

    epoch: str = ""
    applied: dict[str, int] = msgspec.field(name="seqs", default_factory=dict)
    request_number: int = msgspec.field(name="asked", default=0)
    layout: int = msgspec.field(name="v", default=LAYOUT)


json = msgspec.json.Encoder().encode
DECODERS = {value: msgspec.json.Decoder(value) for value in (Head, Line, Level, Bind, Ack, Own, Go)}


def value_of(kind: type[Value], raw: bytes) -> Value:
    """A value as its struct; ChpError for what does not fit.

    >>> value_of(Line, b'{"w": 0.5, "v": 9, "colour": "red"}').weight
    0.5
    """
    try:
        return DECODERS[kind].decode(raw)
    except msgspec.DecodeError as error:
        raise ChpError(f"a value that is no {kind.__name__}: {error}") from None
