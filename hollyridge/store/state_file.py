"""State that outlives its process: one file, read whole or not at all.

    8 bytes "HRSTATE1" | u32 length | u64 xxh64 of the rest | msgpack of a `SavedState`

It is written beside the old file, flushed to the disk and then renamed over it: a crash at any moment leaves the old
file or the new one. Later layouts add members with defaults; a file of an unknown layout is rejected, not guessed at.
The names and the order of members are the format, so they are pinned here whatever the attributes are called.
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
MAX_FILE_BYTES = 1 << 24  # far more than the estimates of any fleet; bounds what a wrong file costs
LAYOUT = 1
FILE_MODE = 0o600


class StateFileError(HollyridgeError):
    """The file is no state file, is not whole, or is of an unknown layout."""


class TaskEstimate(msgspec.Struct, array_like=True):
    """What is known of a task by its name (`host:port`); figures as in `interface.LearnedEstimate`.

    Written as an array: the order of the members is the format.
    """

    name: str
    capacity: float
    busy_periods: float
    efficiency: float = 1.0
    weight_ratio: float = 1.0


class SavedState(msgspec.Struct):
    """The estimates of one fleet.

    Attributes:
        fleet: Tells fleets apart (`learned_estimates.fleet_identity`).
        saved_ms: The time of day when they were saved.
        estimates: One for each task that something is known of.
        push_price: Of the push gate.
        layout: Of this structure.
    """

    fleet: str
    saved_ms: int = msgspec.field(name="saved")
    estimates: list[TaskEstimate] = msgspec.field(name="rows")
    push_price: float = msgspec.field(default=0.0, name="price")
    layout: int = LAYOUT


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(SavedState)


def pack(state: SavedState) -> bytes:
    """The bytes of a state file.

    >>> unpack(pack(SavedState("f", 5, [TaskEstimate("a:1", 2.0, 1.0)]))).estimates[0].name
    'a:1'
    """
    body = _ENCODER.encode(state)
    return HEADER.pack(MAGIC, len(body), xxh64_intdigest(body)) + body


def unpack(raw: bytes) -> SavedState:
    """The state in the bytes of a state file.

    Raises:
        StateFileError: The bytes are no state file, are not whole, or are of an unknown layout.
    """
    try:
        magic, length, checksum = HEADER.unpack_from(raw)
    except struct.error:
        raise StateFileError(f"state file cut off in its header: {len(raw)} bytes") from None
    body = raw[HEADER.size :]
    if magic != MAGIC:
        raise StateFileError("not a state file: it starts with other bytes")
    if len(body) != length or xxh64_intdigest(body) != checksum:
        raise StateFileError("state file cut off or damaged: its checksum does not match")
    try:
        state = _DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise StateFileError(f"state file holds something else: {error}") from None
    if not 1 <= state.layout <= LAYOUT:
        raise StateFileError(f"state file of layout {state.layout}; {LAYOUT} is the newest known here")
    return state


def write(path: Path, raw: bytes) -> None:
    """Replace the file by these bytes.

    Raises:
        OSError: It can't be written; the old file stands.
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
        os.fsync(folder)  # the rename itself has to reach the disk too
    finally:
        os.close(folder)


def read(path: Path) -> bytes:
    """The bytes of the file.

    Raises:
        OSError: There is none, or it can't be read.
        StateFileError: It is too long to be a state file.
    """
    with path.open("rb") as file:
        raw = file.read(MAX_FILE_BYTES + 1)
    if len(raw) > MAX_FILE_BYTES:
        raise StateFileError(f"state file over {MAX_FILE_BYTES} bytes")
    return raw
