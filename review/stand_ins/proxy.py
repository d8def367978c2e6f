"""Proxies: they keep a stream to the assigner, obey their tables, and send the RPCs of their clients to tasks."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from typing import NamedTuple

from review.stand_ins import resp, settings
from review.stand_ins.record import Record
from review.stand_ins.tasks import Task

DIAL_S = (0.13, 2.4)  # a proxy dials again within this of noticing that its stream has broken
ANSWERED, NEVER_RAN, FAILED = "answered", "never_ran", "failed"
LOAD_HEADER = "X-Load: "


class Try(NamedTuple):
    """One try of an RPC.

    Attributes:
        sent_s: Time at which it was sent.
        proxy: Number of the proxy.
        task: Name of the task.
        method: Name of the method.
        work_s: Its work in seconds on a warm core.
        joined_s: Time at which the proxy had joined; None if it was not joined.
        ordered_s: Time at which the last message of the assigner had reached the proxy's channel.
    """

    sent_s: float
    proxy: int
    task: str
    method: str
    work_s: float
    joined_s: float | None
    ordered_s: float


class Sums:
    """What the proxies of a zone met since the last report, for its collector."""

    def __init__(self) -> None:
        self.total: Counter[str] = Counter()
        self.errors: Counter[str] = Counter()
        self.time_ms: Counter[str] = Counter()
        self.load: dict[str, str] = {}
        self.arrived: Counter[tuple[int, str]] = Counter()
        self.unanswered: Counter[tuple[int, str]] = Counter()

    def messages(self, zone: str) -> list[bytes]:
        """Return the report as messages."""
        found = []
        for name, total in sorted(self.total.items()):
            fields: dict[str, object] = {"locality": zone, "endpoint": name, "total": total}
            fields["errors"] = self.errors[name]
            fields["rtt"] = round(self.time_ms[name] / max(1, total - self.errors[name]), 3)
            fields["interval"] = settings.PERIOD_S * 1000
            if name in self.load:
                fields["metrics"] = self.load[name]
            found.append(resp.encode("upstream_stats", **fields))
        for (node, method), total in sorted(self.arrived.items()):
            fields = {"node": node, "route": method, "total": total, "errors": self.unanswered[node, method]}
            found.append(resp.encode("client_stats", **fields, interval=settings.PERIOD_S * 1000))
        return found


class Proxy:
    """One proxy.

    Attributes:
        tables: Weight by task, by method.
        levels: Admitted share and way of trying again, by method.
        joined_s: Time at which its present stream was joined; None without one.
        ordered_s: Time at which the last message that it has applied had arrived.
        tries: All tries so far.
    """

    def __init__(self, node: int, zone: int, tasks: dict[str, Task], record: Record) -> None:
        self.node, self.zone, self.tasks, self.record = node, zone, tasks, record
        self.random = random.Random(node)
        names = [method.name for method in settings.METHODS]
        own = sorted(task.name for task in tasks.values() if task.zone == zone)
        self.tables: dict[str, dict[str, float]] = {name: dict.fromkeys(own, 1.0) for name in names}
        self.levels = dict.fromkeys(names, (1.0, 0))
        self.has_ordered_table = False
        self.joined_s: float | None = None
        self.ordered_s = 0.0
        self.tries: list[Try] = []
        self.out: Counter[str] = Counter()
        self.idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.sums = Sums()
        self.results: Counter[str] = Counter()
        self.number = 0

    # The stream.

    async def run(self, address: tuple[str, int], ready: asyncio.Event) -> None:
        """Keep a stream to the assigner open."""
        while True:
            await ready.wait()
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    await self._stream(reader, writer)
                finally:
                    self.joined_s = None
                    writer.close()
            self.record.add("stream_ended", proxy=self.node)
            await asyncio.sleep(self.random.uniform(*DIAL_S))

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        cold = int(not self.has_ordered_table)
        rate = round(settings.RPCS_PER_PROXY_S, 1)
        writer.write(resp.encode("attach", node=self.node, locality=settings.ZONES[self.zone], w=rate, cold=cold))
        self.joined_s = self.record.now()
        self.record.add("joined", proxy=self.node, cold=cold)
        parts: list[dict[str, str]] = []
        while True:
            kind, fields = await resp.read(reader)
            if kind != "assign":
                self.record.add("got", proxy=self.node, kind=kind, fields=fields)
                continue
            parts.append(fields)
            if fields.get("more") != "1":
                received_s = self.record.now()
                await asyncio.sleep(settings.TRANSIT_S)  # the channel's way to the proxy
                self._apply(parts, writer)
                self.ordered_s = received_s
                parts = []

    def _apply(self, parts: list[dict[str, str]], writer: asyncio.StreamWriter) -> None:
        self.has_ordered_table = True
        for fields in parts:
            self.record.add("ordered", proxy=self.node, fields=fields)
            methods = fields["classes"].split("+") if "classes" in fields else list(self.tables)
            for method in methods:
                self._change(method, fields)
            if "ticket" in fields:
                latency_ms = settings.TRANSIT_S * 1000
                writer.write(resp.encode("done", node=self.node, nonce=fields["ticket"], latency=latency_ms))

    def _change(self, method: str, fields: dict[str, str]) -> None:
        table = self.tables[method]
        if fields.get("whole") == "1":
            table.clear()
            self.levels[method] = (1.0, 0)
        for pair in filter(None, fields.get("lines", "").split(",")):
            name, weight = pair.rsplit(":", 1)
            table[name] = float(weight)
            if not table[name]:
                del table[name]
        if "level" in fields:
            self.levels[method] = (float(fields["level"]), int(fields["retry"]))

    # RPCs.

    async def serve_clients(self, method: settings.Method, until_s: float) -> None:
        """Take in the RPCs of one method at random times until the end."""
        rate = settings.RPCS_PER_PROXY_S * method.share
        running: set[asyncio.Task] = set()
        while self.record.now() < until_s:
            await asyncio.sleep(self.random.expovariate(rate))
            self.number += 1
            job = asyncio.create_task(self._rpc(f"{self.node}-{self.number}", method))
            running.add(job)
            job.add_done_callback(running.discard)

    async def _rpc(self, rpc: str, method: settings.Method) -> None:
        self.sums.arrived[self.node, method.name] += 1
        share, way = self.levels[method.name]
        if self.random.random() >= share:
            self.results["refused"] += 1
            return
        work_s = method.work_s * self.random.uniform(0.5, 1.5)
        result, tried = NEVER_RAN, ""
        try:
            async with asyncio.timeout(method.deadline_s):
                for _ in range(2 if way else 1):
                    picked = self._pick(method.name, tried)
                    if not picked or result != NEVER_RAN:
                        break
                    tried = picked
                    result = await self._try(rpc, picked, method.name, work_s)
        except TimeoutError:
            result = FAILED
        self.results[result if tried else "no_line"] += 1
        self.record.add("client_got", rpc=rpc, result=result if tried else "no_line")
        if result != ANSWERED:
            self.sums.unanswered[self.node, method.name] += 1

    def _pick(self, method: str, other_than: str) -> str:
        """Return the task of two drawn by weight at which it has less work out; empty if there is no line."""
        table = {name: weight for name, weight in self.tables[method].items() if name != other_than}
        if not table:
            return ""
        return min(self.random.choices(list(table), list(table.values()), k=2), key=lambda name: self.out[name])

    async def _try(self, rpc: str, name: str, method: str, work_s: float) -> str:
        now_s = self.record.now()
        self.tries.append(Try(now_s, self.node, name, method, work_s, self.joined_s, self.ordered_s))
        self.record.add("sent", rpc=rpc, proxy=self.node, task=name, method=method)
        self.sums.total[name] += 1
        self.out[name] += 1
        result = FAILED
        try:
            result = await self._exchange(rpc, name, work_s)
        except ConnectionRefusedError:
            result = NEVER_RAN
        except (OSError, EOFError):
            result = FAILED
        finally:
            self.out[name] -= 1
            if result == ANSWERED:
                self.sums.time_ms[name] += (self.record.now() - now_s) * 1000
            else:
                self.sums.errors[name] += 1
        return result

    async def _exchange(self, rpc: str, name: str, work_s: float) -> str:
        task = self.tasks[name]
        idle = self.idle.setdefault(name, [])
        reader, writer = idle.pop() if idle else await asyncio.open_connection(task.host, task.port)
        try:
            writer.write(f"POST /rpc HTTP/1.1\r\nX-Rpc: {rpc}\r\nX-Work: {work_s:.6f}\r\n\r\n".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except BaseException:
            writer.close()
            raise
        idle.append((reader, writer))
        if " 200 " not in head:
            return NEVER_RAN
        self.sums.load[name] = head.split(LOAD_HEADER)[1].split("\r\n")[0]
        return ANSWERED
