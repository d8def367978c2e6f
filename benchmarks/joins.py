"""Benchmark of joining: many SASP load balancers connect to one assigner at once, until each of them holds a table.

.venv/bin/python benchmarks/joins.py --proxies 130 --tasks 114 [--json]
"""

from __future__ import annotations

import resource
import time
from typing import NamedTuple

import click
import gevent
from gevent import socket
from service_process import METHODS, Ports, members, print_result, running_service

from hollyridge.sasp.client import LoadBalancerClient, MemberRegistrar

START_S = 1.5  # wait until the assigner listens
SETTLE_S = 1.0  # wait until the list of members is complete
TIMEOUT_S = 60.0  # maximum wait for a table
LAST_FRAMES_S = 2.0  # time that a proxy stays connected after its table has arrived


class Join(NamedTuple):
    """Arrival of a proxy's table: seconds since the start of the benchmark, and number of lines."""

    after_s: float
    lines: int


class JoinBenchmark:
    """Proxies that join at once.

    Attributes:
        joins: Tables that have arrived so far.
        received_bytes: Bytes of all received frames.
    """

    def __init__(self, ports: Ports) -> None:
        self.ports = ports
        self.joins: list[Join] = []
        self.received_bytes = 0
        self.started_s = time.monotonic()

    def count_bytes(self, raw: bytes) -> None:
        """Add the size of a received frame."""
        self.received_bytes += len(raw)

    def join(self, number: int) -> None:
        """Connect a proxy and wait for its table."""
        client = LoadBalancerClient(
            ("127.0.0.1", self.ports.sasp),
            f"gw-{number}",
            source=f"127.{1 + number % 3}.9.{1 + number // 3}",
            timeout=TIMEOUT_S,
            connect=socket.create_connection,
            on_receive=self.count_bytes,
        )
        client.start(METHODS)
        _, update = client.receive(TIMEOUT_S)
        lines = sum(len(group.weights) for group in update.groups)
        self.joins.append(Join(time.monotonic() - self.started_s, lines))
        client.receive(LAST_FRAMES_S)

    def run(self, proxies: int) -> None:
        """Connect all proxies at once and wait for them."""
        gevent.joinall([gevent.spawn(self.join, number) for number in range(proxies)])


@click.command()
@click.option("--proxies", default=130)
@click.option("--tasks", default=114)
@click.option("--lines-per-s", default=3000.0)
@click.option("--json", "as_json", is_flag=True)
def main(proxies: int, tasks: int, lines_per_s: float, as_json: bool) -> None:
    """Start an assigner, connect all proxies at once, and print the times until their tables arrive."""
    with running_service(lines_per_s) as service:
        gevent.sleep(START_S)
        registrar = MemberRegistrar(("127.0.0.1", service.ports.sasp), "shelf", connect=socket.create_connection)
        registrar.register(members(tasks))
        gevent.sleep(SETTLE_S)
        benchmark = JoinBenchmark(service.ports)
        benchmark.run(proxies)
    used = resource.getrusage(resource.RUSAGE_CHILDREN)  # use of the assigner's process, which has ended
    times = sorted(join.after_s for join in benchmark.joins)
    result = {
        "proxies": proxies,
        "tasks": tasks,
        "lines_per_s": lines_per_s,
        "first_s": round(times[0], 3),
        "median_s": round(times[len(times) // 2], 3),
        "last_s": round(times[-1], 3),
        "lines": sum(join.lines for join in benchmark.joins),
        "bytes": benchmark.received_bytes,
        "joins_per_s": round(len(times) / times[-1], 1),
        "cpu_s": round(used.ru_utime + used.ru_stime, 2),
        "rss_mb": round(used.ru_maxrss / 1024, 1),
    }
    print_result(result, as_json)


if __name__ == "__main__":
    main()
