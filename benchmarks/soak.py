"""CPU and memory of an assigner over a time: idle, or with proxies that report each second.

    .venv/bin/python benchmarks/soak.py --seconds 600 --proxies 130 --tasks 114 [--json]

With --proxies 0 it is idle. Tasks answer in times drawn by a seed that drift, so that weights keep moving.
"""

from __future__ import annotations

import http.client
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import click
import gevent
import msgspec
from gevent import socket
from joins import settings

from hollyridge.lab.stand_ins.ports import free_port
from hollyridge.otlp.sender import Figure, post, request_of
from hollyridge.sasp.client import ConnectionLostError, LoadBalancerClient, MemberRegistrar
from hollyridge.sasp.codec import Member

ZONES = ("abdali", "khalda", "sahab")
TICK = os.sysconf("SC_CLK_TCK")


def usage(pid: int) -> tuple[float, float]:
    """CPU seconds and resident MB."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK, int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Gateway:
    def __init__(self, k: int, ports: tuple[int, int], tasks: list[str], speeds: list[float]) -> None:
        self.uid, self.zone, self.ports = f"gw-{k}", k % 3, ports
        self.tasks, self.speeds, self.rng = tasks, speeds, Random(k)
        self.messages = self.lines = 0
        gevent.spawn(self.listen)
        gevent.spawn(self.report)

    def listen(self) -> None:
        gw = LoadBalancerClient(
            ("127.0.0.1", self.ports[0]),
            self.uid,
            source=f"127.{1 + self.zone}.9.{self.zone + 1}",
            timeout=60,
            connect=socket.create_connection,
        )
        gw.start(("read-chapter", "unlock-chapter", "redeem-code"))
        try:
            while pushed := gw.receive():
                self.messages += 1
                self.lines += sum(len(g.weights) for g in pushed[1].groups)
        except ConnectionLostError:
            return

    def report(self) -> None:
        gevent.sleep(self.rng.random())
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[1], timeout=5)
        connection._create_connection = socket.create_connection
        begun = time.time_ns()
        while True:
            gevent.sleep(1)
            end, figures = time.time_ns(), []
            for task in self.rng.sample(range(len(self.tasks)), min(12, len(self.tasks))):
                place = {
                    "proxy": self.uid,
                    "zone": ZONES[self.zone],
                    "task": self.tasks[task],
                    "method": "read-chapter",
                }
                tries = self.rng.randrange(1, 6)
                for name, value in (
                    ("tries", tries),
                    ("tries.failed", 0),
                    ("tries.time", tries * self.speeds[task] * self.rng.uniform(0.7, 1.4)),
                ):
                    figures.append(Figure(f"hollyridge.{name}", value, place, end, begun))
                figures.append(
                    Figure("hollyridge.task.util", self.rng.uniform(0.4, 0.7), {"task": self.tasks[task]}, end)
                )
            figures.append(Figure("hollyridge.rpcs", 30, {"proxy": self.uid, "method": "read-chapter"}, end, begun))
            begun = end
            try:
                post(connection, request_of(self.uid, figures))
            except (OSError, http.client.HTTPException):
                connection.close()


@click.command()
@click.option("--seconds", default=600)
@click.option("--proxies", default=130)
@click.option("--tasks", default=114)
@click.option("--json", "as_json", is_flag=True)
def main(seconds: int, proxies: int, tasks: int, as_json: bool) -> None:
    with tempfile.TemporaryDirectory() as folder:
        ports = free_port(), free_port()
        path = settings(Path(folder), ports, 9000)
        service = subprocess.Popen(
            [sys.executable, "-m", "hollyridge.cli.main", "serve", str(path)], stderr=subprocess.DEVNULL
        )
        try:
            gevent.sleep(1.5)
            rng, rows = Random(1), []
            agent = MemberRegistrar(("127.0.0.1", ports[0]), "shelf", connect=socket.create_connection)
            members = [Member.at(f"127.{1 + k % 3}.0.{1 + k // 3}", 9000, "run=a up=100") for k in range(tasks)]
            agent.register(members)
            speeds = [rng.uniform(0.05, 0.2) for _ in members]
            gateways = [Gateway(k, ports, [f"{m.host}:{m.port}" for m in members], speeds) for k in range(proxies)]
            gevent.sleep(10)
            begun, (cpu, _) = time.monotonic(), usage(service.pid)
            first_cpu = cpu
            while time.monotonic() - begun < seconds:
                gevent.sleep(min(10, seconds))
                now, mb = usage(service.pid)
                rows.append((now - cpu, mb))
                cpu = now
                speeds[:] = [max(0.03, s * rng.uniform(0.85, 1.18)) for s in speeds]
            lasted = time.monotonic() - begun
            connection = http.client.HTTPConnection("127.0.0.1", ports[1], timeout=5)
            connection._create_connection = socket.create_connection
            connection.request("GET", "/status")
            status = msgspec.json.decode(connection.getresponse().read())
        finally:
            service.terminate()
            service.wait()
    result = dict(
        seconds=round(lasted),
        proxies=proxies,
        tasks=tasks,
        cpu_share=round((cpu - first_cpu) / lasted, 4),
        worst_10s_cpu_share=round(max(row[0] for row in rows) / 10, 4),
        rss_first_mb=round(rows[0][1], 1),
        rss_last_mb=round(rows[-1][1], 1),
        messages=sum(g.messages for g in gateways),
        lines=sum(g.lines for g in gateways),
        points=status["otlp"]["points"],
        decisions=status["core"]["decisions"],
        news_to_frame_us=status["core"]["news_to_frame_us"],
        waiting_most=status["core"]["waiting_most"],
    )
    click.echo(msgspec.json.encode(result) if as_json else "\n".join(f"{k}: {v}" for k, v in result.items()))


if __name__ == "__main__":
    main()
