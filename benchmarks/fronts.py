"""What a push costs by each front: bytes, messages, time till the last proxy holds it, CPU a line, memory.

    .venv/bin/python benchmarks/fronts.py --front clone --proxies 130 --tasks 114 [--slow 0.1] [--json]

Joins all proxies, then drains one task and, later, adds ten. `--slow` is the part of proxies that read slowly.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

import click
import gevent
import msgspec
import zmq.green as zmq
from gevent import socket
from gevent.fileobject import FileObject
from joins import settings
from soak import usage

from hollyridge.client import ChpGateway
from hollyridge.lab.stand_ins.ports import free_port, free_ports
from hollyridge.sasp.client import ConnectionLostError, HeldWeights, LoadBalancerClient, MemberRegistrar
from hollyridge.sasp.codec import Member

METHODS = ["read-chapter", "unlock-chapter", "redeem-code"]


class Proxy:
    def __init__(self, k: int, front: str, ports: tuple[int, int], context, slow: bool) -> None:
        self.uid, self.source, self.slow = f"gw-{k}", f"127.{1 + k % 3}.9.{1 + k // 3 % 250}", slow
        self.bytes = self.messages = 0
        self.tasks: set[str] = set()
        self.context = context
        gevent.spawn(self.sasp if front == "sasp" else self.clone, ports[front == "clone"])

    def heard(self, raw) -> None:
        self.messages += 1
        self.bytes += len(raw) if isinstance(raw, bytes) else sum(map(len, raw))
        if self.slow:
            gevent.sleep(0.05)

    def sasp(self, port: int) -> None:
        gw = LoadBalancerClient(
            ("127.0.0.1", port),
            self.uid,
            source=self.source,
            timeout=60,
            connect=socket.create_connection,
            heard=self.heard,
        )
        gw.start(METHODS)
        held = HeldWeights()
        try:
            while pushed := gw.receive():
                held.take(pushed[1].groups)
                self.tasks = {f"{m.host}:{m.port}" for m in held.lines(METHODS[0])}
        except ConnectionLostError:
            return

    def clone(self, port: int) -> None:
        how = dict(zmq=zmq, context=self.context, source=self.source, heard=self.heard)
        gateway = ChpGateway(("127.0.0.1", port), self.uid, METHODS, how, sleep=gevent.sleep)

        def changed(_: ChpGateway) -> None:
            self.tasks = set(gateway.table_for(METHODS[0]))

        gateway.on_change(changed)
        gateway.run()


class Crowd:
    """A process with some of the proxies, asked by lines what they hold."""

    def __init__(self, front: str, ports: tuple[int, int], first: int, count: int, slow: int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, __file__, "--crowd", msgspec.json.encode([front, ports, first, count, slow]).decode()],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def ask(self, near: dict, gone: str) -> list:
        self.process.stdin.write(msgspec.json.encode([near, gone]) + b"\n")
        self.process.stdin.flush()
        return msgspec.json.decode(self.process.stdout.readline())


def be_crowd(front: str, ports: tuple[int, int], first: int, count: int, slow: int) -> None:
    context = zmq.Context()
    context.max_sockets = 3 * count + 100
    many = [Proxy(first + k, front, ports, context, k < slow) for k in range(count)]
    for line in FileObject(sys.stdin.buffer, "rb"):
        near, gone = msgspec.json.decode(line)
        fine = all(
            p.tasks and gone not in p.tasks and set(near.get(p.source.split(".")[1], ())) <= p.tasks
            for p in many
            if not p.slow
        )
        sys.stdout.buffer.write(
            msgspec.json.encode([fine, sum(p.bytes for p in many), sum(p.messages for p in many)]) + b"\n"
        )
        sys.stdout.buffer.flush()


@click.command()
@click.option("--front", type=click.Choice(["sasp", "clone"]), default="clone")
@click.option("--proxies", default=130)
@click.option("--tasks", default=114)
@click.option("--lines-per-s", default=100000.0)
@click.option("--slow", default=0.0)
@click.option("--crowd", default="", hidden=True)
@click.option("--json", "as_json", is_flag=True)
def main(front: str, proxies: int, tasks: int, lines_per_s: float, slow: float, crowd: str, as_json: bool) -> None:
    if crowd:
        be_crowd(*msgspec.json.decode(crowd))
        return
    with tempfile.TemporaryDirectory() as folder:
        ports = free_port(), free_port()
        path, clone = settings(Path(folder), ports, lines_per_s), free_ports(3)
        path.write_text(path.read_text() + f"\n[clone]\nlisten = 127.0.0.1:{clone}\n")
        service = subprocess.Popen(
            [sys.executable, "-m", "hollyridge.cli.main", "serve", str(path)], stderr=subprocess.DEVNULL
        )
        crowds = []
        try:
            time.sleep(2)
            agent = MemberRegistrar(("127.0.0.1", ports[0]), "shelf")
            members = [Member.at(f"127.{1 + k % 3}.0.{1 + k // 3}", 9000, "run=a up=100") for k in range(tasks)]
            agent.register(members)
            time.sleep(1)
            result = dict(front=front, proxies=proxies, tasks=tasks, slow=slow)
            begun = time.monotonic()
            crowds = [
                Crowd(
                    front, (ports[0], clone), first, min(125, proxies - first), round(slow * min(125, proxies - first))
                )
                for first in range(0, proxies, 125)
            ]

            def until(near: dict, gone: str, seconds: float, since: float) -> tuple:
                while True:
                    told = [crowd.ask(near, gone) for crowd in crowds]
                    fine = all(row[0] for row in told)
                    if fine or time.monotonic() - since > seconds:
                        return (
                            round(time.monotonic() - since, 3) if fine else -1.0,
                            sum(r[1] for r in told),
                            sum(r[2] for r in told),
                        )
                    time.sleep(0.01)

            result["joined_s"], octets, messages = until({}, "", 60, begun)

            def measured(name: str, act, near: dict, gone: str) -> None:
                time.sleep(3)
                _, octets, messages = until({}, "", 0, time.monotonic())
                cpu, since = usage(service.pid)[0], time.monotonic()
                act()
                last, octets_after, messages_after = until(near, gone, 20, since)
                result[f"{name}_last_s"] = last
                result[f"{name}_bytes"] = octets_after - octets
                result[f"{name}_messages"] = messages_after - messages
                result[f"{name}_cpu_ms"] = round(1000 * (usage(service.pid)[0] - cpu), 1)

            gone = f"{members[0].host}:9000"
            measured("drain", lambda: agent.quiesce([members[0]]), {}, gone)
            new = [Member.at(f"127.{z}.1.{k}", 9000, "run=b up=100") for z in (1, 2, 3) for k in range(1, 11)]
            near = {str(z): [f"127.{z}.1.{k}:9000" for k in range(1, 11)] for z in (1, 2, 3)}
            measured("ten_a_zone", lambda: agent.register(new), near, gone)
            begun, cpu = time.monotonic(), usage(service.pid)[0]
            time.sleep(5)
            result["quiet_cpu_share"] = round((usage(service.pid)[0] - cpu) / (time.monotonic() - begun), 4)
            with urllib.request.urlopen(f"http://127.0.0.1:{ports[1]}/status", timeout=5) as answer:
                result["front_counts"] = msgspec.json.decode(answer.read())[front]
            result["rss_mb"] = round(usage(service.pid)[1], 1)
        finally:
            for one in crowds:
                one.process.kill()
                one.process.wait()
            service.terminate()
            service.wait()
    click.echo(msgspec.json.encode(result) if as_json else "\n".join(f"{k}: {v}" for k, v in result.items()))


if __name__ == "__main__":
    main()
