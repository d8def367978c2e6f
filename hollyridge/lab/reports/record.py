"""Recordings of a day: one JSON line for each event, stamped with a monotonic clock that all processes share."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

# Keys of an assigner's status that recordings keep.
RECORDED_STATUS_KEYS = ("waiting", "decisions", "messages", "puts", "events")
BUFFER_BYTES = 1 << 16  # a day writes thousands of short lines a second
FLUSH_INTERVAL_US = 500_000  # bounds what a killed process loses


def now_us() -> int:
    """Return the monotonic clock in microseconds; readings are comparable between processes of one machine."""
    return time.monotonic_ns() // 1000


class Recorder:
    """Writer that appends records to a file, or collects them in `rows` if no path is given.

    A call writes one record: `recorder("done", ok=True)`. Its keyword names become keys of the record and are a part
    of the format of recordings. A process that is killed loses at most the last second.

    Attributes:
        rows: Records collected so far; empty if they are written to a file.
    """

    def __init__(self, path: Path | str | None, clock: Callable[[], int] = now_us) -> None:
        self.file = (
            open(path, "ab", buffering=BUFFER_BYTES)  # noqa: SIM115 - stays open as long as the process records
            if path is not None
            else None
        )
        self.clock = clock
        self.rows: list[dict] = []
        self.encoder = msgspec.json.Encoder()
        self.flushed_us = now_us()

    def __call__(self, kind: str, **facts: object) -> None:
        """Write one record with its kind, the current time and the given keys."""
        now = self.clock()
        row = {"k": kind, "t": now, **facts}
        if self.file is None:
            self.rows.append(row)
            return
        self.file.write(self.encoder.encode(row) + b"\n")
        if now - self.flushed_us > FLUSH_INTERVAL_US:
            self.flush()

    def frame(self, kind: str, who: str, stream: int, raw: bytes) -> None:
        """Record one frame of a stream protocol.

        Args:
            kind: Kind of the record.
            who: Client that sent or received it; the name is also a key of the record.
            stream: Number of the client's connection, counted from its first.
            raw: The frame as sent on the wire.
        """
        self(kind, who=who, stream=stream, frame=base64.b64encode(raw).decode())

    def parts(self, kind: str, who: str, stream: int, parts: list[bytes]) -> None:
        """Record one multipart message; the other arguments are those of `frame`."""
        self(kind, who=who, stream=stream, parts=[base64.b64encode(part).decode() for part in parts])

    def flush(self) -> None:
        """Write buffered records to the operating system."""
        if self.file is not None:
            self.file.flush()
            self.flushed_us = now_us()


def decode_lines(raw: bytes) -> list[dict]:
    """Decode JSON lines; omit lines that do not parse, such as one truncated when its writer was killed."""
    rows = []
    for line in raw.splitlines():
        try:
            rows.append(msgspec.json.decode(line))
        except msgspec.DecodeError:
            continue
    return rows


def read_all(folder: Path | str) -> list[dict]:
    """Read all recordings in a folder, sorted by time.

    Records of equal time keep the order of file names and lines.
    """
    rows = []
    for path in sorted(Path(folder).glob("*.jsonl")):
        rows += decode_lines(path.read_bytes())
    rows.sort(key=lambda row: row["t"])
    return rows


def frame_of(row: dict) -> bytes:
    """Return the frame in a record that `Recorder.frame` wrote."""
    return base64.b64decode(row["frame"])


def parts_of(row: dict) -> list[bytes]:
    """Return the message parts in a record that `Recorder.parts` wrote."""
    return [base64.b64decode(part) for part in row["parts"]]
