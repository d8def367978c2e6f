"""Recordings: one JSON line for each thing that passed, with the monotonic time (us) that all processes share."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

STATE = ("waiting", "decisions", "messages", "puts", "events")  # of the assigner's status, kept in recordings


def now_us() -> int:
    return time.monotonic_ns() // 1000


class Recorder:
    """Appends to a file of its own, or to `rows` where no path is given; a process that is killed loses at most the
    last second."""

    def __init__(self, path: Path | str | None, clock: Callable[[], int] = now_us) -> None:
        self.file = open(path, "ab", buffering=1 << 16) if path is not None else None
        self.clock, self.rows = clock, []
        self.encoder = msgspec.json.Encoder()
        self.flushed = now_us()

    def __call__(self, kind: str, **facts) -> None:
        now = self.clock()
        row = {"k": kind, "t": now, **facts}
        if self.file is None:
            self.rows.append(row)
            return
        self.file.write(self.encoder.encode(row) + b"\n")
        if now - self.flushed > 500_000:
            self.flush()

    def frame(self, kind: str, who: str, stream: int, raw: bytes) -> None:
        self(kind, who=who, stream=stream, frame=base64.b64encode(raw).decode())

    def parts(self, kind: str, who: str, stream: int, parts: list[bytes]) -> None:
        self(kind, who=who, stream=stream, parts=[base64.b64encode(part).decode() for part in parts])

    def flush(self) -> None:
        if self.file is not None:
            self.file.flush()
            self.flushed = now_us()


def read_all(folder: Path | str) -> list[dict]:
    """All records below a folder, by time; equal times keep the order of files and lines. A line cut off by a
    kill is passed over."""
    rows = []
    for path in sorted(Path(folder).glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            try:
                rows.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                continue
    rows.sort(key=lambda row: row["t"])
    return rows


def frame_of(row: dict) -> bytes:
    return base64.b64decode(row["frame"])


def parts_of(row: dict) -> list[bytes]:
    return [base64.b64decode(part) for part in row["parts"]]
