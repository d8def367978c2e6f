"""Frames and records of the wire, both ways.

A record is its code followed by fixed fields and at most one counted tail. `EVENTS` and `ORDERS` say
which fields; `unpack` and `pack` work from them, so that either side can be read and written.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

BATCH_HEAD = struct.Struct("<IdI")
REPLY_HEAD = struct.Struct("<III")
ENTRY = struct.Struct("<IBBHBfd")
LONGEST = 1 << 28


class WireError(Exception):
    """What came in is not this wire."""


class Shape(NamedTuple):
    """The layout of one record: its name, fixed fields, and the counted tail (b, f or e)."""

    name: str
    fixed: struct.Struct
    tail: str = ""
    count: struct.Struct = struct.Struct("<B")


def _shape(name: str, fixed: str = "", tail: str = "", count: str = "B") -> Shape:
    return Shape(name, struct.Struct("<" + fixed), tail, struct.Struct("<" + count))


EVENTS = {
    0: _shape("ENLIST", "Q", "b", "I"),
    1: _shape("ROSTER_CHANGE", "QB", "e", "I"),
    2: _shape("WAKE", "Q"),
    3: _shape("PING_RESULT", "IBd", "f"),
    4: _shape("PEER_DATA", "I", "b", "H"),
    5: _shape("KILLED"),
    6: _shape("JOINED", "fBHB"),
    7: _shape("DISCONNECTED", "H"),
    8: _shape("RECEIPT", "HQd"),
    9: _shape("TRAFFIC_REPORT", "BIIIdd", "f"),
    10: _shape("OFFERED_LOAD", "IdHBI"),
    11: _shape("HEAT", "HBIId"),
    12: _shape("TENURE", "BH"),
    13: _shape("LEDGER_LINE", "IfH"),
    14: _shape("CONTEXT", "I"),
}
ORDERS = {
    64: _shape("RELOAD"),
    65: _shape("BENCH", "IB"),
    66: _shape("NOTE_DOWN", "", "b", "H"),
    67: _shape("TOUCH", "I"),
    68: _shape("BROADCAST_TO", "I", "b", "H"),
    69: _shape("WATCH", "B"),
    70: _shape("SET_LEVEL", "HHfB"),
    71: _shape("ASK_RECEIPT", "QB"),
    72: _shape("ATTACH_TABLE", "HHH"),
    73: _shape("WAKE_AT", "Qd"),
    74: _shape("PUT_LINE", "fIH"),
    75: _shape("DROP_LINES", "H"),
    76: _shape("BAIL_OUT", "", "b", "H"),
    77: _shape("ON_BEHALF", "I"),
}


def unpack(body: bytes, shapes: dict[int, Shape]) -> Iterator[tuple[int, tuple]]:
    """The records of a frame's body, each as its code and its fields (a tail is the last field)."""
    at, end = 0, len(body)
    while at < end:
        code = body[at]
        shape = shapes.get(code)
        if shape is None:
            raise WireError(f"unknown record code {code}")
        try:
            fields = shape.fixed.unpack_from(body, at + 1)
            at += 1 + shape.fixed.size
            if shape.tail:
                (count,) = shape.count.unpack_from(body, at)
                at += shape.count.size
                size = count * {"b": 1, "f": 4, "e": ENTRY.size}[shape.tail]
                if at + size > end:
                    raise WireError(f"a {shape.name} record runs past its frame")
                if shape.tail == "b":
                    tail: object = body[at : at + size]
                elif shape.tail == "f":
                    tail = struct.unpack_from(f"<{count}f", body, at)
                else:
                    tail = tuple(ENTRY.iter_unpack(body[at : at + size]))
                at += size
                fields += (tail,)
        except struct.error:
            raise WireError(f"a {shape.name} record runs past its frame") from None
        yield code, fields


def pack(code: int, fields: tuple, shapes: dict[int, Shape]) -> bytes:
    """One record as bytes.

    >>> pack(7, (41,), EVENTS).hex()
    '072900'
    """
    shape = shapes[code]
    if not shape.tail:
        return bytes((code,)) + shape.fixed.pack(*fields)
    tail = fields[-1]
    head = bytes((code,)) + shape.fixed.pack(*fields[:-1]) + shape.count.pack(len(tail))
    if shape.tail == "b":
        return head + tail
    if shape.tail == "f":
        return head + struct.pack(f"<{len(tail)}f", *tail)
    return head + b"".join(ENTRY.pack(*entry) for entry in tail)


def read_frame(stream: BinaryIO) -> tuple[float, int, bytes] | None:
    """Clock, number and body of the next batch; None when the input has ended."""
    head = stream.read(BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < BATCH_HEAD.size:
        raise WireError("a truncated batch header")
    size, clock, number = BATCH_HEAD.unpack(head)
    if size > LONGEST:
        raise WireError(f"a batch of {size} bytes is over-long")
    if not 0 <= clock < 1e12:
        raise WireError("a clock out of range")
    body = stream.read(size)
    if len(body) < size:
        raise WireError("a truncated batch")
    return clock, number, body
