"""Handle by which a day controls a worker process."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

import gevent
import msgspec
from gevent import subprocess

from hollyridge.lab.environment import DayError

END_TIMEOUT_S = 5


class WorkerHandle:
    """Process that runs stand-ins and exchanges JSON lines with the day."""

    def __init__(self, folder: Path, name: str, on_message: Callable[[dict], None]) -> None:
        """Start the process, which writes its recording and its log to the folder."""
        with open(folder / f"{name}.log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hollyridge.lab.stand_ins.worker_process", str(folder / f"{name}.jsonl")],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self.reader = gevent.spawn(self._read, on_message)

    def _read(self, on_message: Callable[[dict], None]) -> None:
        for line in self.process.stdout:
            on_message(msgspec.json.decode(line))

    def execute(self, command: str, **arguments: object) -> None:
        """Send a command to the process (see `CommandHandler`).

        Raises:
            DayError: The process has ended.
        """
        if self.process.poll() is not None:
            raise DayError(
                f"worker process of stand-ins exited with status {self.process.returncode} before command {command!r}"
            )
        self.process.stdin.write(msgspec.json.encode({"command": command, **arguments}) + b"\n")
        self.process.stdin.flush()

    def end(self) -> None:
        """Close the standard input of the process, which ends it, and kill it if it does not end in time."""
        try:
            self.process.stdin.close()
            self.process.wait(timeout=END_TIMEOUT_S)
        except (OSError, subprocess.TimeoutExpired):
            self.process.kill()
            self.process.wait()
