"""Benchmark of a push by each protocol: bytes, messages, time until the last proxy has received it, CPU and memory.

    .venv/bin/python benchmarks/fronts.py --front clone --proxies 130 --tasks 114 [--slow 0.1] [--json]

All proxies join; then one task is drained, and later ten tasks are added in each zone. `--slow` is the fraction of
proxies that read slowly.
"""

from __future__ import annotations

import time
import urllib.request
from collections.abc import Callable
from contextlib import ExitStack
from typing import NamedTuple

import click
import msgspec
from proxy_group import ExpectedTables, GroupSpec, ProxyGroup, run_group
from service_process import TASK_PORT, Service, members, name_of, print_result, running_service, usage_of

from hollyridge.lab.stand_ins.ports import free_ports
from hollyridge.sasp.client import MemberRegistrar
from hollyridge.sasp.codec import Member

START_S = 2.0  # wait until the assigner listens
SETTLE_S = 1.0  # wait until the list of members is complete
PAUSE_S = 3.0  # pause before each push, so that the previous push is complete
IDLE_S = 5.0  # measurement time of the CPU at rest
JOIN_TIMEOUT_S = 60.0
PUSH_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01
STATUS_TIMEOUT_S = 5.0
PROXIES_PER_PROCESS = 125
ZONE_OCTETS = (1, 2, 3)  # second octet of the addresses of each zone
NEW_TASKS_PER_ZONE = 10
ANY_TABLE = ExpectedTables({}, "")


class Received(NamedTuple):
    """Totals of the received messages of all proxies, and the time until their tables were complete.

    Attributes:
        complete_s: Time until every fast proxy held the expected tables, in seconds; -1 after a timeout.
        received_bytes: Bytes of all messages so far.
        messages: Number of messages so far.
    """

    complete_s: float
    received_bytes: int
    messages: int


class PushBenchmark:
    """Measurement of pushes from one assigner to groups of proxies."""

    def __init__(self, service: Service, groups: list[ProxyGroup]) -> None:
        self.service = service
        self.groups = groups

    def wait_until_complete(self, expected: ExpectedTables, timeout_s: float, since_s: float) -> Received:
        """Query all groups until their proxies hold the expected tables, or until the timeout."""
        while True:
            states = [group.query(expected) for group in self.groups]
            complete = all(state.complete for state in states)
            if complete or time.monotonic() - since_s > timeout_s:
                return Received(
                    round(time.monotonic() - since_s, 3) if complete else -1.0,
                    sum(state.received_bytes for state in states),
                    sum(state.messages for state in states),
                )
            time.sleep(POLL_INTERVAL_S)

    def measure(self, name: str, change: Callable[[], object], expected: ExpectedTables) -> dict:
        """Make a change and measure its push; the keys of the result start with the name."""
        time.sleep(PAUSE_S)
        before = self.wait_until_complete(ANY_TABLE, 0, time.monotonic())
        cpu_before_s = usage_of(self.service.pid).cpu_s
        since_s = time.monotonic()
        change()
        after = self.wait_until_complete(expected, PUSH_TIMEOUT_S, since_s)
        cpu_s = usage_of(self.service.pid).cpu_s - cpu_before_s
        return {
            f"{name}_last_s": after.complete_s,
            f"{name}_bytes": after.received_bytes - before.received_bytes,
            f"{name}_messages": after.messages - before.messages,
            f"{name}_cpu_ms": round(1000 * cpu_s, 1),
        }

    def idle_cpu_share(self) -> float:
        """Return the CPU use of the assigner while nothing changes, as a share of a core."""
        started_s = time.monotonic()
        cpu_before_s = usage_of(self.service.pid).cpu_s
        time.sleep(IDLE_S)
        cpu_s = usage_of(self.service.pid).cpu_s - cpu_before_s
        return round(cpu_s / (time.monotonic() - started_s), 4)


def group_specs(front: str, port: int, proxies: int, slow: float) -> list[GroupSpec]:
    """Divide the proxies into groups, one per process, each with the same fraction of slow proxies."""
    specs = []
    for first in range(0, proxies, PROXIES_PER_PROCESS):
        count = min(PROXIES_PER_PROCESS, proxies - first)
        specs.append(GroupSpec(front, port, first, count, round(slow * count)))
    return specs


def new_members() -> dict[str, list[Member]]:
    """Return the added tasks, by the second octet of their zone's addresses."""
    return {
        str(octet): [
            Member.at(f"127.{octet}.1.{number}", TASK_PORT, "run=b up=100")
            for number in range(1, NEW_TASKS_PER_ZONE + 1)
        ]
        for octet in ZONE_OCTETS
    }


def measure_pushes(benchmark: PushBenchmark, registrar: MemberRegistrar, registered: list[Member]) -> dict:
    """Drain one task, then add ten tasks in each zone, and measure both pushes."""
    drained = registered[0]
    drained_name = name_of(drained)
    added = new_members()
    present = {octet: [name_of(member) for member in zone_members] for octet, zone_members in added.items()}
    all_added = [member for zone_members in added.values() for member in zone_members]
    return {
        **benchmark.measure("drain", lambda: registrar.quiesce([drained]), ExpectedTables({}, drained_name)),
        **benchmark.measure("ten_a_zone", lambda: registrar.register(all_added), ExpectedTables(present, drained_name)),
    }


def front_counts(service: Service, front: str) -> dict:
    """Return the counters of a protocol's server from the status page."""
    with urllib.request.urlopen(f"http://127.0.0.1:{service.ports.otlp}/status", timeout=STATUS_TIMEOUT_S) as response:
        return msgspec.json.decode(response.read())[front]


def run(front: str, proxies: int, tasks: int, lines_per_s: float, slow: float) -> dict:
    """Run the benchmark and return its figures."""
    chp_port = free_ports(3)
    chp_settings = f"\n[clone]\nlisten = 127.0.0.1:{chp_port}\n"
    with running_service(lines_per_s, chp_settings) as service, ExitStack() as stack:
        time.sleep(START_S)
        registrar = MemberRegistrar(("127.0.0.1", service.ports.sasp), "shelf")
        registered = members(tasks)
        registrar.register(registered)
        time.sleep(SETTLE_S)
        started_s = time.monotonic()
        port = service.ports.sasp if front == "sasp" else chp_port
        groups = [stack.enter_context(ProxyGroup(spec)) for spec in group_specs(front, port, proxies, slow)]
        benchmark = PushBenchmark(service, groups)
        joined = benchmark.wait_until_complete(ANY_TABLE, JOIN_TIMEOUT_S, started_s)
        return {
            "front": front,
            "proxies": proxies,
            "tasks": tasks,
            "slow": slow,
            "joined_s": joined.complete_s,
            **measure_pushes(benchmark, registrar, registered),
            "quiet_cpu_share": benchmark.idle_cpu_share(),
            "front_counts": front_counts(service, front),
            "rss_mb": round(usage_of(service.pid).rss_mb, 1),
        }


@click.command()
@click.option("--front", type=click.Choice(["sasp", "clone"]), default="clone")
@click.option("--proxies", default=130)
@click.option("--tasks", default=114)
@click.option("--lines-per-s", default=100000.0)
@click.option("--slow", default=0.0)
@click.option("--crowd", default="", hidden=True, help="Run a group of proxies; used by the benchmark itself.")
@click.option("--json", "as_json", is_flag=True)
def main(  # noqa: PLR0913, PLR0917 - click passes each option as an argument
    front: str, proxies: int, tasks: int, lines_per_s: float, slow: float, crowd: str, as_json: bool
) -> None:
    """Measure the cost of pushes by one protocol."""
    if crowd:
        run_group(crowd)
        return
    print_result(run(front, proxies, tasks, lines_per_s, slow), as_json)


if __name__ == "__main__":
    main()
