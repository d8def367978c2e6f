"""The state file, which keeps state across restarts and is read completely or not at all.

    8 bytes "HRSTATE1" | u32 length | u64 xxh64 of the rest | msgpack of a `SavedState`

A new file is written beside the old one, flushed to the disk and renamed over it, so that a crash at any time leaves
either the old file or the new one. Later layouts add fields with defaults. A file of an unknown layout is rejected.
The names and the order of fields are the format, so they are pinned here independently of the names of attributes.
"""

from __future__ import annotations

import os
import struct
from pathlib import Path

import msgspec
from xxhash import xxh64_intdigest

from hollyridge.errors import HollyridgeError

MAGIC = b"HRSTATE1"
HEADER = struct.Struct(">8sIQ")
MAX_FILE_BYTES = 1 << 24  # far more than the estimates of any fleet; limits the cost of reading a wrong file
LAYOUT = 1
FILE_MODE = 0o600


class StateFileError(HollyridgeError):
    """The file is not a state file, is truncated or damaged, or has an unknown layout."""


class TaskEstimate(msgspec.Struct, array_like=True):
    """Estimates of a task by its name (`host:port`), with the values of `interface.LearnedEstimate`.

    It is written as an array, so the order of the fields is the format.
    """

    name: str
    capacity: float
    busy_periods: float
    efficiency: float = 1.0
    weight_ratio: float = 1.0


class SavedState(msgspec.Struct):
    """The estimates of one fleet.

    Attributes:
        fleet: Identity of the fleet, from `learned_estimates.fleet_identity`.
        saved_ms: Time of day at which they were saved, in milliseconds since the epoch.
        estimates: One entry for each task with estimates.
        push_price: Push price of the push gate.
        layout: Layout version of this structure.
    """

    fleet: str
    saved_ms: int = msgspec.field(name="saved")
    estimates: list[TaskEstimate] = msgspec.field(name="rows")
    push_price: float = msgspec.field(default=0.0, name="price")
    layout: int = LAYOUT


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(SavedState)


def pack(state: SavedState) -> bytes:
    """Return the content of a state file.

    >>> unpack(pack(SavedState("f", 5, [TaskEstimate("a:1", 2.0, 1.0)]))).estimates[0].name
    'a:1'
    """
    body = _ENCODER.encode(state)
    return HEADER.pack(MAGIC, len(body), xxh64_intdigest(body)) + body


def unpack(raw: bytes) -> SavedState:
    """Return the state in the content of a state file.

    Raises:
        StateFileError: The content is not a state file, is truncated or damaged, or has an unknown layout.
    """
    try:
        magic, length, checksum = HEADER.unpack_from(raw)
    except struct.error:
        raise StateFileError(
            f"state file is truncated: {len(raw)} bytes, expected a header of {HEADER.size} bytes"
        ) from None
    body = raw[HEADER.size :]
    if magic != MAGIC:
        raise StateFileError(f"not a state file: it starts with {magic!r}, expected {MAGIC!r}")
    if len(body) != length or xxh64_intdigest(body) != checksum:
        raise StateFileError(
            f"state file is truncated or damaged: {len(body)} bytes, expected {length} with a matching checksum"
        )
    try:
        state = _DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise StateFileError(f"state file does not contain a valid state: {error}") from None
    if not 1 <= state.layout <= LAYOUT:
        raise StateFileError(f"state file has unknown layout {state.layout}, expected 1 to {LAYOUT}")
    return state


def write(path: Path, raw: bytes) -> None:
    """Replace the content of the file.

    Raises:
        OSError: The file can't be written. The old file is unchanged.
    """
    new_path = path.with_name(path.name + ".new")
    descriptor = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    with os.fdopen(descriptor, "wb") as file:
        file.write(raw)
        file.flush()
        os.fsync(file.fileno())
    os.replace(new_path, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)  # flush the rename to the disk too
    finally:
        os.close(folder)


def read(path: Path) -> bytes:
    """Return the content of the file.

    Raises:
        OSError: The file does not exist or can't be read.
        StateFileError: The file is too long for a state file.
    """
    with path.open("rb") as file:
        raw = file.read(MAX_FILE_BYTES + 1)
    if len(raw) > MAX_FILE_BYTES:
        raise StateFileError(f"state file is too long: over {MAX_FILE_BYTES} bytes")
    return raw
