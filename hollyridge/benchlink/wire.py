"""Encoding and decoding of the frames and records of the bench's wire.

A record consists of one byte for its code, fixed fields, and at most one counted tail. `EVENT_LAYOUTS` and
`COMMAND_LAYOUTS` define the fields of each code. `unpack` and `pack` work with either of them, so that both directions
can be read and written.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from enum import IntEnum
from typing import BinaryIO, NamedTuple

from hollyridge.errors import HollyridgeError

BATCH_HEAD = struct.Struct("<IdI")  # body length in bytes, clock in seconds, batch number
REPLY_HEAD = struct.Struct("<III")  # body length in bytes, number of records, batch number
# Entry of a task in an endpoint list: id, zone, hardware kind, cell, state, listed weight, start time in seconds.
ENTRY = struct.Struct("<IBBHBfd")
MAX_BATCH_BYTES = 1 << 28  # a longer batch is an error of the bench and is rejected before reading its body
MAX_CLOCK_S = 1e12

# Types of the items in a counted tail.
BYTES_TAIL = "b"
FLOATS_TAIL = "f"
ENTRIES_TAIL = "e"
TAIL_ITEM_BYTES = {BYTES_TAIL: 1, FLOATS_TAIL: 4, ENTRIES_TAIL: ENTRY.size}


class WireError(HollyridgeError):
    """Error for input that violates the wire protocol."""


class EventCode(IntEnum):
    """Codes of incoming records, under the names of the wire protocol."""

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
    """Codes of outgoing records, under the names of the wire protocol."""

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
    """Layout of one kind of record.

    Attributes:
        name: Name of the record in the wire protocol, for error messages.
        prefix: Code of the record, as its first byte.
        fixed: Format of the fixed fields.
        tail: Type of the items in the counted tail; empty for a record without a tail.
        count: Format of the tail's item count.
    """

    name: str
    prefix: bytes
    fixed: struct.Struct
    tail: str
    count: struct.Struct


def _layout(code: IntEnum, fixed: str = "", tail: str = "", count: str = "B") -> tuple[int, RecordLayout]:
    layout = RecordLayout(code.name, bytes((code,)), struct.Struct("<" + fixed), tail, struct.Struct("<" + count))
    return int(code), layout  # the keys are plain integers, because looking up enumeration members is slower


# The decoders and encoders of `AssignerInstance` name the fields of each record.
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
    """Yield the records of a frame's body, each as its code and its fields; a tail is the last field.

    Raises:
        WireError: A code is unknown, or a record extends beyond the end of the body.
    """
    offset = 0
    end = len(body)
    while offset < end:
        code = body[offset]
        layout = layouts.get(code)
        if layout is None:
            raise WireError(f"unknown record code {code} at offset {offset}")
        try:
            fields = layout.fixed.unpack_from(body, offset + 1)
            offset += 1 + layout.fixed.size
            if layout.tail:
                tail, offset = _unpack_tail(body, offset, layout)
                fields += (tail,)
        except struct.error:
            raise WireError(f"{layout.name} record extends beyond its frame of {end} bytes") from None
        yield code, fields


def _unpack_tail(body: bytes, offset: int, layout: RecordLayout) -> tuple[object, int]:
    """Return the tail that starts at an offset, and the offset of its end."""
    (count,) = layout.count.unpack_from(body, offset)
    start = offset + layout.count.size
    end = start + count * TAIL_ITEM_BYTES[layout.tail]
    if end > len(body):
        raise WireError(f"{layout.name} record ends at offset {end}, beyond its frame of {len(body)} bytes")
    if layout.tail == BYTES_TAIL:
        return body[start:end], end
    if layout.tail == FLOATS_TAIL:
        return struct.unpack_from(f"<{count}f", body, start), end
    return tuple(ENTRY.iter_unpack(body[start:end])), end


def pack(code: int, fields: tuple, layouts: Mapping[int, RecordLayout]) -> bytes:
    """Return one record as bytes.

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
    """Return the clock in seconds, the number and the body of the next batch; None at the end of the input.

    Raises:
        WireError: The batch is truncated, longer than `MAX_BATCH_BYTES`, or its clock is out of range.
    """
    head = stream.read(BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < BATCH_HEAD.size:
        raise WireError(f"truncated batch header: got {len(head)} bytes, expected {BATCH_HEAD.size}")
    size, clock_s, number = BATCH_HEAD.unpack(head)
    if size > MAX_BATCH_BYTES:
        raise WireError(f"batch of {size} bytes exceeds the maximum of {MAX_BATCH_BYTES} bytes")
    if not 0 <= clock_s < MAX_CLOCK_S:
        raise WireError(f"batch clock {clock_s} is out of range, expected 0 to {MAX_CLOCK_S:g} seconds")
    body = stream.read(size)
    if len(body) < size:
        raise WireError(f"truncated batch: got {len(body)} bytes, expected {size}")
    return clock_s, number, body
