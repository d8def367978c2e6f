"""State that outlives its process: one file, whole or not at all.

    8 bytes "HRSTATE1" | u32 length | u64 xxh64 of the rest | msgpack of a `SavedState`

Written beside the file, flushed to the disk, then renamed over it: a crash at any moment leaves the former one or the
new one. Later layouts add members with defaults; a file of a layout that is not known is refused, not guessed at.
"""

from __future__ import annotations

import os
import struct
from pathlib import Path

import msgspec
from xxhash import xxh64_intdigest

MAGIC = b"HRSTATE1"
HEAD = struct.Struct(">8sIQ")
MOST = 1 << 24  # bytes that are read
LAYOUT = 1


class StateFileError(Exception):
    """A file that is none, or not whole, or of a layout that is not known."""


class TaskEstimate(msgspec.Struct, array_like=True):
    """What is known of a task by name (`host:port`); figures as in `interface.Learnt`."""

    name: str
    capacity: float
    busy_periods: float
    efficiency: float = 1.0
    weight_ratio: float = 1.0


class SavedState(msgspec.Struct):
    """`fleet` tells fleets apart, `saved` is the time of day in ms, `price` the gate's."""

    fleet: str
    saved: int
    rows: list[TaskEstimate]
    price: float = 0.0
    layout: int = LAYOUT


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(SavedState)


def pack(state: SavedState) -> bytes:
    """
    >>> unpack(pack(SavedState("f", 5, [TaskEstimate("a:1", 2.0, 1.0)]))).rows[0].name
    'a:1'
    """
    body = _ENCODER.encode(state)
    return HEAD.pack(MAGIC, len(body), xxh64_intdigest(body)) + body


def unpack(raw: bytes) -> SavedState:
    """DurableError for what is not whole."""
    try:
        magic, length, check = HEAD.unpack_from(raw)
    except struct.error:
        raise StateFileError("cut off in its head") from None
    body = raw[HEAD.size :]
    if magic != MAGIC:
        raise StateFileError("not a file of this kind")
    if len(body) != length or xxh64_intdigest(body) != check:
        raise StateFileError("cut off or spoilt")
    try:
        state = _DECODER.decode(body)
    except msgspec.DecodeError as trouble:
        raise StateFileError(f"does not add up: {trouble}") from None
    if not 1 <= state.layout <= LAYOUT:
        raise StateFileError(f"of layout {state.layout}, {LAYOUT} is the newest known here")
    return state


def write(path: Path, raw: bytes) -> None:
    """OSError where it can't be written; then the former file stands."""
    beside = path.with_name(path.name + ".new")
    descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with os.fdopen(descriptor, "wb") as out:
        out.write(raw)
        out.flush()
        os.fsync(out.fileno())
    os.replace(beside, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)  # the rename itself
    finally:
        os.close(folder)


def read(path: Path) -> bytes:
    """OSError where there is none, DurableError for one that is too long."""
    with open(path, "rb") as lines:
        raw = lines.read(MOST + 1)
    if len(raw) > MOST:
        raise StateFileError(f"over {MOST} bytes")
    return raw
