"""The record of a run: one line for each thing that was sent, answered or run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writer of `record.txt`, with seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_s

    def add(self, kind: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")

    def close(self) -> None:
        """End the record."""
        self.file.close()
