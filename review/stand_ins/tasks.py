"""Tasks: HTTP/1.1 servers with two cores that are slow while they are cold, and fall over when pushed too far."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from typing import Any

from review.stand_ins import settings
from review.stand_ins.record import Record

MOST_QUEUED = 2 * settings.CORES * 8
SLACK = 1.25  # of the rule on cold tasks, for chance
STEP_S = 0.05  # of the integral of the capacity
MS = 1000


class Task:
    """One task.

    Attributes:
        state: "up", "draining", "down", or "fallen" after too much work while cold.
        started_s: Time of the start in seconds of the record; None for long ago.
        sent: Time and work of what was sent to it.
        fell_s: Time at which it fell over; 0 if it did not.
        worst: Largest share of the budget of the rule on cold tasks that was sent within a window.
    """

    def __init__(self, name: str, zone: int, address: str, record: Record) -> None:
        self.name, self.zone, self.host, self.record = name, zone, address, record
        self.state = "down"
        self.started_s: float | None = None
        self.started_ms = 0
        self.port = 0
        self.queued = 0
        self.cores = asyncio.Semaphore(settings.CORES)
        self.sent: deque[tuple[float, float]] = deque()
        self.worst = 0.0
        self.fell_s = 0.0
        self.busy_s = 0.0
        self.reported = (0.0, 0.0)
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    def entry(self, state: str) -> dict[str, Any]:
        """Return its entry in the list."""
        return {
            "id": self.name,
            "addr": f"{self.host}:{self.port}",
            "zone": settings.ZONES[self.zone],
            "kind": "std-2core",
            "cell": self.zone,
            "state": state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    async def start(self, cold: bool) -> None:
        """Start the process of the task."""
        self.state = "up"
        self.queued = 0
        self.cores = asyncio.Semaphore(settings.CORES)
        self.sent.clear()
        self.started_s = self.record.now() if cold else None
        self.started_ms = round(time.time() * MS) if cold else 0
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.record.add("task_started", task=self.name, cold=cold)

    def stop(self, state: str = "down") -> None:
        """End the process of the task: its connections are reset and new ones are refused."""
        self.state = state
        self.record.add("task_ended", task=self.name, state=state)
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def capacity(self, now_s: float) -> float:
        """Return the seconds of work that it can do in a second now."""
        if self.started_s is None:
            return settings.CORES
        part = settings.COLD_FROM + (1 - settings.COLD_FROM) * (now_s - self.started_s) / settings.WARM_UP_S
        return settings.CORES * max(settings.COLD_FROM, min(1.0, part))

    def _count(self, work_s: float) -> None:
        """Count what was sent; fall over after more than the multiple of the capacity, and slack, in a window."""
        now_s = self.record.now()
        self.sent.append((now_s, work_s))
        while self.sent[0][0] <= now_s - settings.FALL_S:
            self.sent.popleft()
        if self.started_s is None or now_s - self.started_s >= settings.WARM_UP_S:
            return
        steps = round(settings.FALL_S / STEP_S)
        budget = settings.FALL_MULTIPLE * STEP_S * sum(self.capacity(now_s - step * STEP_S) for step in range(steps))
        share = sum(work for _, work in self.sent) / budget
        if share > self.worst:
            self.worst = share
            self.record.add("cold_load", task=self.name, age=round(now_s - self.started_s, 3), share=round(share, 3))
        if share > SLACK and self.state == "up":
            self.fell_s = now_s
            self.stop("fallen")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):  # cancelled at the end of the run
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                await self._answer(writer, fields)
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, fields: dict[str, str]) -> None:
        work_s = float(fields["X-Work"])
        self.record.add("arrived", task=self.name, rpc=fields["X-Rpc"], state=self.state)
        self._count(work_s)
        if self.state != "up" or self.queued >= MOST_QUEUED:
            writer.write(b"HTTP/1.1 503 Never Ran\r\nContent-Length: 0\r\n\r\n")
            return
        self.queued += 1
        cores = self.cores
        async with cores:
            self.record.add("ran", task=self.name, rpc=fields["X-Rpc"])
            duration_s = work_s / self.capacity(self.record.now()) * settings.CORES
            self.busy_s += duration_s
            await asyncio.sleep(duration_s)
        self.queued -= 1
        load = f"util:{self._utilization():.3f},queue:{max(0, self.queued - settings.CORES)}"
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Load: {load}\r\n\r\n".encode())

    def _utilization(self) -> float:
        """Return how busy the cores were in the last second, refreshed once a second."""
        now_s = self.record.now()
        at_s, value = self.reported
        if now_s - at_s >= 1:
            value = min(1.0, self.busy_s / (now_s - at_s) / settings.CORES)
            self.busy_s = 0.0
            self.reported = (now_s, value)
        return value
