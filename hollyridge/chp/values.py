"""Values of the key space: JSON objects that each hold the version of their layout as `v`.

Unknown members are ignored and missing members get the defaults below, so that each version can read the next and the
previous layout. The member names on the wire are part of the format: an attribute with another name pins its wire name.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from hollyridge.errors import HollyridgeError

LAYOUT = 1

Value = TypeVar("Value")


class ChpError(HollyridgeError):
    """Error for received parts that are not a valid CHP message, or for a message that the receiver does not accept."""


class Head(msgspec.Struct):
    """Value of a subtree's head, which ends a change.

    Attributes:
        epoch: Identifier of the assigner's run; sequence numbers of different runs are not comparable.
        version: Number of the engine's decision behind the change.
        seq: Sequence number of this head.
        prev: Sequence number of the previous head.
        count: Number of messages since the previous head.
        total: Number of keys in the subtree without the head.
        heartbeat_ms: Interval between heartbeats, in milliseconds.
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
    """Weight of a task in a table."""

    weight: float = msgspec.field(name="w", default=0.0)
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Level(msgspec.Struct):
    """Admission level of methods: the admitted fraction and the retry mode (see `Gateway.level_for`)."""

    amount: float = 1.0
    retry: int = 0
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Bind(msgspec.Struct):
    """Index of the table that a method is bound to."""

    table: int
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Out(msgspec.Struct):
    """Ejection of a task."""

    ejected: bool = msgspec.field(name="out", default=True)
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Own(msgspec.Struct):
    """Ownership of the proxy by the assigner `owner`.

    Attributes:
        fence: Fencing token of the ownership.
        owner: Name of the assigner.
        lease_ms: Time for which the ownership is valid without a renewal, in milliseconds.
        layout: Version of the layout.
    """

    fence: int = 0
    owner: str = msgspec.field(name="by", default="")
    lease_ms: int = msgspec.field(name="lease", default=0)
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Go(msgspec.Struct):
    """Redirect of the proxy to the assigner `owner` at `address` (`host:port`)."""

    address: str = msgspec.field(name="to")
    owner: str = msgspec.field(name="by", default="")
    layout: int = msgspec.field(name="v", default=LAYOUT)


class Ack(msgspec.Struct):
    """Acknowledgement of the heads that a proxy has applied, which is also its heartbeat.

    Attributes:
        epoch: Identifier of the assigner's run that the sequence numbers belong to.
        applied: Sequence number of the newest applied head, by subtree.
        request_number: Number of the proxy's newest ownership request.
        layout: Version of the layout.
    """

    epoch: str = ""
    applied: dict[str, int] = msgspec.field(name="seqs", default_factory=dict)
    request_number: int = msgspec.field(name="asked", default=0)
    layout: int = msgspec.field(name="v", default=LAYOUT)


json = msgspec.json.Encoder().encode
DECODERS = {value: msgspec.json.Decoder(value) for value in (Head, Line, Level, Bind, Ack, Own, Go)}


def value_of(kind: type[Value], raw: bytes) -> Value:
    """Decode a value into its struct; raise ChpError if it is invalid.

    >>> value_of(Line, b'{"w": 0.5, "v": 9, "colour": "red"}').weight
    0.5
    """
    try:
        return DECODERS[kind].decode(raw)
    except msgspec.DecodeError as error:
        raise ChpError(f"value is not a valid {kind.__name__}: {error}") from None
