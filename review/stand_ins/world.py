"""A small deployment: discovery, tasks, proxies with their clients, collectors and one assigner."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.stand_ins import resp, settings
from review.stand_ins.assigner import ROOT, Assigner
from review.stand_ins.discovery import Discovery
from review.stand_ins.proxy import Proxy, Sums
from review.stand_ins.record import Record
from review.stand_ins.tasks import Task

REPORTS_LATE_S = 0.5
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class World:
    """All parts of the deployment, and the parts of a run that every case has in common."""

    def __init__(self, folder: Path, record: Record, own_zone: tuple[bool, ...]) -> None:
        self.record = record
        self.discovery = Discovery(record)
        self.tasks: dict[str, Task] = {}
        self.proxies: list[Proxy] = []
        self.folder = folder
        self.own_zone = own_zone
        self.assigner: Assigner | None = None
        self.jobs: list[asyncio.Task] = []

    def add_task(self, name: str, zone: int) -> Task:
        """Add a task that has not started."""
        address = f"127.66.{zone + 1}.{len(self.tasks) + 1}"
        task = self.tasks[name] = Task(name, zone, address, self.record)
        return task

    async def start(self, until_s: float) -> None:
        """Start everything; the clients send until the given time."""
        for zone, zone_name in enumerate(settings.ZONES):
            for number in range(settings.TASKS[zone]):
                await self.add_task(f"s-{zone_name}-{number}", zone).start(cold=False)
        self.discovery.entries = {name: task.entry("in_service") for name, task in self.tasks.items()}
        await self.discovery.start()
        document = {
            "name": "n0",
            "discovery": self.discovery.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": settings.settings(self.own_zone),
        }
        self.assigner = Assigner(self.folder, self.record, document)
        await self.assigner.start(self.discovery.whole())
        zones = [zone for zone, count in enumerate(settings.PROXIES) for _ in range(count)]
        for node, zone in enumerate(zones):
            self.proxies.append(Proxy(node, zone, self.tasks, self.record))
        for proxy in self.proxies:
            self.spawn(proxy.run(self.assigner.address, self.assigner.ready))
            for method in settings.METHODS:
                self.spawn(proxy.serve_clients(method, until_s))
        for zone in range(len(settings.ZONES)):
            self.spawn(self._collect(zone))

    def spawn(self, job: Awaitable[None]) -> None:
        """Run a job until the end of the run."""
        self.jobs.append(asyncio.ensure_future(job))

    async def until(self, at_s: float) -> None:
        """Wait until a time of the record."""
        await asyncio.sleep(max(0.0, at_s - self.record.now()))

    def check(self) -> None:
        """Raise RuntimeError if a part of the world has failed, so that the run says nothing about the rule."""
        failed = [job.exception() for job in self.jobs if job.done() and not job.cancelled() and job.exception()]
        if failed or not self.assigner.running:
            raise RuntimeError(f"the assigner runs: {self.assigner.running}, failed jobs: {failed}")

    async def stop(self) -> None:
        """End all that was started."""
        for job in self.jobs:
            job.cancel()
        if self.assigner is not None:
            await self.assigner.end(signal.SIGKILL)
        results: Counter[str] = Counter()
        for proxy in self.proxies:
            results.update(proxy.results)
        self.record.add("results", **results)

    async def _collect(self, zone: int) -> None:
        """Forward the sums of a zone once a period, late, on a connection to the assigner."""
        proxies = [proxy for proxy in self.proxies if proxy.zone == zone]
        sums = Sums()
        for proxy in proxies:
            proxy.sums = sums
        while True:
            await self.assigner.ready.wait()
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.assigner.address)
                writer.write(resp.encode("telemetry", locality=settings.ZONES[zone]))
                while self.assigner.ready.is_set():
                    await asyncio.sleep(settings.PERIOD_S)
                    messages = sums.messages(settings.ZONES[zone])
                    sums.__init__()
                    await asyncio.sleep(REPORTS_LATE_S)
                    writer.write(b"".join(messages))
                    await writer.drain()
                writer.close()


def play(case: Path, own_zone: tuple[bool, ...], run: Callable[[World, bool], Awaitable[str]]) -> int:
    """Play a case and return its exit code.

    Args:
        case: Folder of the case, in which `record.txt` is written.
        own_zone: The methods that keep to the proxy's zone.
        run: The case itself, which gets the world and whether the disruption is played, and returns what broke the
            rule, or an empty text.
    """
    record = Record(case / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole() -> str:
        world = World(folder, record, own_zone)
        try:
            broken = await run(world, trouble)
            world.check()
            return broken
        finally:
            await world.stop()

    try:
        broken = asyncio.run(whole())
    except Exception as error:  # whatever it is, it says nothing about the rule
        record.add("could_not_run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.add("verdict", broken=broken or "no")
    record.close()
    print(broken or "the rule held")
    return BROKEN if broken else HELD


__all__ = ["ROOT", "World", "play"]
