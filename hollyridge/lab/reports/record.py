"""Recordings: one JSON line for each thing that happened, with the monotonic time (us) that all processes share.

Kinds and keys of records are a format: callers give the keys as keyword arguments.
"""

from __future__ import annotations

import base64
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

STATE = ("waiting", "decisions", "messages", "puts", "events")  # keys of the assigner's status kept in recordings
BUFFER_BYTES = 1 << 16
FLUSH_INTERVAL_US = 500_000


def now_us() -> int:
    """Monotonic time."""
    return time.monotonic_ns() // 1000


class Recorder:
    """Writes records to a file of its own, or keeps them; a process that is killed loses at most the last second.

    Attributes:
        rows: The records, where there is no file.
    """

    def __init__(self, path: Path | str | None, clock: Callable[[], int] = now_us) -> None:
        """Append to the file at `path`; None to keep the records in `rows`."""
        self.file = None
        if path is not None:
            self.file = open(path, "ab", buffering=BUFFER_BYTES)  # noqa: SIM115 - open as long as the recorder
        self.clock = clock
        self.rows: list[dict] = []
        self.encoder = msgspec.json.Encoder()
        self.flushed_at = now_us()

    def __call__(self, kind: str, **facts: object) -> None:
        """Write a record of this kind; the facts' names are its keys."""
        now = self.clock()
        row = {"k": kind, "t": now, **facts}
        if self.file is None:
            self.rows.append(row)
            return
        self.file.write(self.encoder.encode(row) + b"\n")
        if now - self.flushed_at > FLUSH_INTERVAL_US:
            self.flush()

    def frame(self, kind: str, who: str, stream: int, raw: bytes) -> None:
        """Write a message of one frame that passed on a stream."""
        self(kind, who=who, stream=stream, frame=base64.b64encode(raw).decode())

    def parts(self, kind: str, who: str, stream: int, parts: list[bytes]) -> None:
        """Write a message of several parts that passed on a stream."""
        self(kind, who=who, stream=stream, parts=[base64.b64encode(part).decode() for part in parts])

    def flush(self) -> None:
        """Hand to the system what is buffered."""
        if self.file is not None:
            self.file.flush()
            self.flushed_at = now_us()


def read_all(folder: Path | str) -> list[dict]:
    """All records in a folder, by time; equal times keep the order of files and lines."""
    rows = []
    for path in sorted(Path(folder).glob("*.jsonl")):
        rows += read_lines(path)
    rows.sort(key=lambda row: row["t"])
    return rows


def read_lines(path: Path) -> list[dict]:
    """The JSON lines of a file; one that was cut off by a kill is passed over."""
    rows = []
    for line in path.read_bytes().splitlines():
        try:
            rows.append(msgspec.json.decode(line))
        except msgspec.DecodeError:
            continue
    return rows


def frame_of(row: dict) -> bytes:
    """The frame that a record holds."""
    return base64.b64decode(row["frame"])


def parts_of(row: dict) -> list[bytes]:
    """The parts of the message that a record holds."""
    return [base64.b64decode(part) for part in row["parts"]]
