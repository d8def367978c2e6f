"""Frames and records of the bench's wire, both ways.

A record is a byte for its code, fixed fields, and at most one counted tail. `EVENT_LAYOUTS` and `COMMAND_LAYOUTS`
define the fields of each code; `unpack` and `pack` work from them, so that either side can be read and written.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from enum import IntEnum
from typing import BinaryIO, NamedTuple

from hollyridge.errors import HollyridgeError

BATCH_HEAD = struct.Struct("<IdI")  # bytes of the body, clock in seconds, number
REPLY_HEAD = struct.Struct("<III")  # bytes of the body, records, number of the batch
ENTRY = struct.Struct("<IBBHBfd")  # one task of an endpoint list
MAX_BATCH_BYTES = 1 << 28  # a longer batch is a fault of the bench: refused before it is read
MAX_CLOCK_S = 1e12

# What a counted tail consists of.
BYTES_TAIL = "b"
FLOATS_TAIL = "f"
ENTRIES_TAIL = "e"
TAIL_ITEM_BYTES = {BYTES_TAIL: 1, FLOATS_TAIL: 4, ENTRIES_TAIL: ENTRY.size}


class WireError(HollyridgeError):
    """Input that is not this wire."""


class EventCode(IntEnum):
    """Codes of the records that come in, by the wire's own names."""

    ENLIST = 0
    ROSTER_CHANGE = 1
    WAKE = 2
    PING_RESULT = 3
    PEER_DATA = 4
    KILLED = 5
    JOINED = 6
    DISCONNECTED = 7
    RECEIPT = 8
    TRAFFIC_REPORT = 9
    OFFERED_LOAD = 10
    HEAT = 11
    TENURE = 12
    LEDGER_LINE = 13
    CONTEXT = 14


class CommandCode(IntEnum):
    """Codes of the records that go out, by the wire's own names."""

    RELOAD = 64
    BENCH = 65
    NOTE_DOWN = 66
    TOUCH = 67
    BROADCAST_TO = 68
    WATCH = 69
    SET_LEVEL = 70
    ASK_RECEIPT = 71
    ATTACH_TABLE = 72
    WAKE_AT = 73
    PUT_LINE = 74
    DROP_LINES = 75
    BAIL_OUT = 76
    ON_BEHALF = 77


class RecordLayout(NamedTuple):
    """The layout of one record.

    Attributes:
        name: The wire's name of it, for texts of errors.
        prefix: Its code, as the byte that it begins with.
        fixed: Its fixed fields, in the notation of `struct`.
        tail: What its counted tail consists of; empty for a record without one.
        count: The tail's counter.
    """

    name: str
    prefix: bytes
    fixed: struct.Struct
    tail: str
    count: struct.Struct


def _layout(code: IntEnum, fixed: str = "", tail: str = "", count: str = "B") -> tuple[int, RecordLayout]:
    layout = RecordLayout(code.name, bytes((code,)), struct.Struct("<" + fixed), tail, struct.Struct("<" + count))
    return int(code), layout  # plain integers as keys: looking up a member of an enumeration is slower


EVENT_LAYOUTS = dict(
    [
        _layout(EventCode.ENLIST, "Q", BYTES_TAIL, "I"),
        _layout(EventCode.ROSTER_CHANGE, "QB", ENTRIES_TAIL, "I"),
        _layout(EventCode.WAKE, "Q"),
        _layout(EventCode.PING_RESULT, "IBd", FLOATS_TAIL),
        _layout(EventCode.PEER_DATA, "I", BYTES_TAIL, "H"),
        _layout(EventCode.KILLED),
        _layout(EventCode.JOINED, "fBHB"),
        _layout(EventCode.DISCONNECTED, "H"),
        _layout(EventCode.RECEIPT, "HQd"),
        _layout(EventCode.TRAFFIC_REPORT, "BIIIdd", FLOATS_TAIL),
        _layout(EventCode.OFFERED_LOAD, "IdHBI"),
        _layout(EventCode.HEAT, "HBIId"),
        _layout(EventCode.TENURE, "BH"),
        _layout(EventCode.LEDGER_LINE, "IfH"),
        _layout(EventCode.CONTEXT, "I"),
    ]
)
COMMAND_LAYOUTS = dict(
    [
        _layout(CommandCode.RELOAD),
        _layout(CommandCode.BENCH, "IB"),
        _layout(CommandCode.NOTE_DOWN, "", BYTES_TAIL, "H"),
        _layout(CommandCode.TOUCH, "I"),
        _layout(CommandCode.BROADCAST_TO, "I", BYTES_TAIL, "H"),
        _layout(CommandCode.WATCH, "B"),
        _layout(CommandCode.SET_LEVEL, "HHfB"),
        _layout(CommandCode.ASK_RECEIPT, "QB"),
        _layout(CommandCode.ATTACH_TABLE, "HHH"),
        _layout(CommandCode.WAKE_AT, "Qd"),
        _layout(CommandCode.PUT_LINE, "fIH"),
        _layout(CommandCode.DROP_LINES, "H"),
        _layout(CommandCode.BAIL_OUT, "", BYTES_TAIL, "H"),
        _layout(CommandCode.ON_BEHALF, "I"),
    ]
)


def unpack(body: bytes, layouts: Mapping[int, RecordLayout]) -> Iterator[tuple[int, tuple]]:
    """The records of a frame's body, each as its code and its fields; a tail is the last field.

    Raises:
        WireError: A code is unknown, or a record runs past the body's end.
    """
    offset = 0
    end = len(body)
    while offset < end:
        code = body[offset]
        layout = layouts.get(code)
        if layout is None:
            raise WireError(f"unknown record code {code}")
        try:
            fields = layout.fixed.unpack_from(body, offset + 1)
            offset += 1 + layout.fixed.size
            if layout.tail:
                tail, offset = _unpack_tail(body, offset, layout)
                fields += (tail,)
        except struct.error:
            raise WireError(f"a {layout.name} record runs past its frame") from None
        yield code, fields


def _unpack_tail(body: bytes, offset: int, layout: RecordLayout) -> tuple[object, int]:
    """The tail that begins at an offset, and the offset behind it."""
    (count,) = layout.count.unpack_from(body, offset)
    begin = offset + layout.count.size
    end = begin + count * TAIL_ITEM_BYTES[layout.tail]
    if end > len(body):
        raise WireError(f"a {layout.name} record runs past its frame")
    if layout.tail == BYTES_TAIL:
        return body[begin:end], end
    if layout.tail == FLOATS_TAIL:
        return struct.unpack_from(f"<{count}f", body, begin), end
    return tuple(ENTRY.iter_unpack(body[begin:end])), end


def pack(code: int, fields: tuple, layouts: Mapping[int, RecordLayout]) -> bytes:
    """One record as bytes.

    >>> pack(EventCode.DISCONNECTED, (41,), EVENT_LAYOUTS).hex()
    '072900'
    """
    layout = layouts[code]
    if not layout.tail:
        return layout.prefix + layout.fixed.pack(*fields)
    tail = fields[-1]
    head = layout.prefix + layout.fixed.pack(*fields[:-1]) + layout.count.pack(len(tail))
    if layout.tail == BYTES_TAIL:
        return head + tail
    if layout.tail == FLOATS_TAIL:
        return head + struct.pack(f"<{len(tail)}f", *tail)
    return head + b"".join(ENTRY.pack(*entry) for entry in tail)


def read_frame(stream: BinaryIO) -> tuple[float, int, bytes] | None:
    """Clock in seconds, number and body of the next batch; None once the input has ended.

    Raises:
        WireError: The batch is cut short, longer than `MAX_BATCH_BYTES`, or has no sensible clock.
    """
    head = stream.read(BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < BATCH_HEAD.size:
        raise WireError("a truncated batch header")
    size, clock_s, number = BATCH_HEAD.unpack(head)
    if size > MAX_BATCH_BYTES:
        raise WireError(f"a batch of {size} bytes is over-long")
    if not 0 <= clock_s < MAX_CLOCK_S:
        raise WireError("a clock out of range")
    body = stream.read(size)
    if len(body) < size:
        raise WireError("a truncated batch")
    return clock_s, number, body
