"""The assigner: its process, started by the deploy file's `run`, and its configuration."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from review.stand_ins import resp
from review.stand_ins.record import Record

ROOT = Path(__file__).parents[2]
READY_S = 30.0
TRIES_PER_S = 20
HOST = "127.66.0.1"  # outgoing connections leave from 127.0.0.1, so that none takes the port during a restart


class Assigner:
    """One assigner under its name and address, over restarts.

    Attributes:
        ready: Set while it has answered `hb` since its last start.
        first_answer_s: Time of the first answer since the last start.
        exits: Exit codes so far.
    """

    def __init__(self, folder: Path, record: Record, document: dict[str, Any]) -> None:
        self.folder, self.record, self.document = folder, record, document
        self.address = (HOST, _free_port())
        self.ready = asyncio.Event()
        self.first_answer_s = 0.0
        self.exits: list[int] = []
        self.starts = 0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, known: dict[str, Any]) -> None:
        """Start the process with the list that it is to know, and wait until it answers."""
        self.starts += 1
        listen = "{}:{}".format(*self.address)
        document = {**self.document, "listen": listen, "known": known, "seed": f"8c1f30d27a5be9{self.starts:02x}"}
        path = self.folder / "config.json"
        path.write_text(json.dumps(document))
        environment = {
            **os.environ,
            "BALANCER_NAME": document["name"],
            "BALANCER_LISTEN": listen,
            "BALANCER_DISCOVERY": document["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with (self.folder / "assigner.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("assigner_started", pid=self.process.pid)
        await asyncio.wait_for(self._wait_until_ready(), READY_S)
        self.first_answer_s = self.record.now()
        self.record.add("assigner_ready")
        self.ready.set()

    async def _wait_until_ready(self) -> None:
        while True:
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(resp.encode("hb"))
                kind, _ = await resp.read(reader)
                writer.close()
                if kind == "hb_ok":
                    return
            await asyncio.sleep(1 / TRIES_PER_S)

    async def end(self, number: signal.Signals) -> None:
        """Send a signal that ends the process, and wait for its end."""
        if self.process is None or self.process.returncode is not None:
            return
        self.ready.clear()
        self.record.add("assigner_signal", signal=number.name)
        self.process.send_signal(number)
        self.exits.append(await asyncio.wait_for(self.process.wait(), READY_S))
        self.record.add("assigner_ended", code=self.exits[-1])

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]
