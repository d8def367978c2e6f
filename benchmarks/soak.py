"""Benchmark of an assigner's CPU and memory over time, idle or with proxies that report each second.

    .venv/bin/python benchmarks/soak.py --seconds 600 --proxies 130 --tasks 114 [--json]

With --proxies 0 the assigner is idle. The latencies of tasks are drawn by a seed and drift, so that weights keep
changing.
"""

from __future__ import annotations

import http.client
import time
from itertools import pairwise
from random import Random

import click
import gevent
import msgspec
from gevent import socket
from service_process import METHODS, ZONES, Ports, Usage, members, name_of, print_result, running_service, usage_of

from hollyridge.otlp.sender import MetricPoint, build_export_request, post
from hollyridge.sasp.client import ConnectionLostError, LoadBalancerClient, MemberRegistrar

LINES_PER_S = 9000
START_S = 1.5  # wait until the assigner listens
WARM_UP_S = 10.0  # wait until all proxies hold tables and report
SAMPLING_INTERVAL_S = 10
REPORT_INTERVAL_S = 1.0
TIMEOUT_S = 60.0  # of a proxy's requests
HTTP_TIMEOUT_S = 5.0
TASKS_PER_REPORT = 12
RPCS_PER_REPORT = 30
MIN_LATENCY_S = 0.03


def http_connection(ports: Ports) -> http.client.HTTPConnection:
    """Return a connection for reports and the status page that lets other greenlets run while it waits."""
    connection = http.client.HTTPConnection("127.0.0.1", ports.otlp, timeout=HTTP_TIMEOUT_S)
    connection._create_connection = socket.create_connection
    return connection


class Proxy:
    """Proxy that receives updates and reports on some tasks each second.

    Attributes:
        messages: Number of received updates.
        lines: Number of lines in them.
    """

    def __init__(self, number: int, ports: Ports, tasks: list[str], latencies_s: list[float]) -> None:
        """Connect the proxy and run it until the program ends.

        Args:
            number: Number of the proxy, which determines its zone and seed.
            ports: Ports of the assigner.
            tasks: Names of the tasks.
            latencies_s: Latency of each task, in seconds; the benchmark changes the list in place.
        """
        self.uid = f"gw-{number}"
        self.zone = number % len(ZONES)
        self.ports = ports
        self.tasks = tasks
        self.latencies_s = latencies_s
        self.rng = Random(number)
        self.messages = 0
        self.lines = 0
        gevent.spawn(self.receive)
        gevent.spawn(self.report)

    def receive(self) -> None:
        """Receive updates until the connection ends."""
        client = LoadBalancerClient(
            ("127.0.0.1", self.ports.sasp),
            self.uid,
            source=f"127.{1 + self.zone}.9.{self.zone + 1}",
            timeout=TIMEOUT_S,
            connect=socket.create_connection,
        )
        client.start(METHODS)
        try:
            while pushed := client.receive():
                self.messages += 1
                self.lines += sum(len(group.weights) for group in pushed[1].groups)
        except ConnectionLostError:
            return

    def figures_of(self, task: int, start_ns: int, end_ns: int) -> list[MetricPoint]:
        """Draw the figures of a task in a period, as this proxy measures them."""
        name = self.tasks[task]
        attributes = {"proxy": self.uid, "zone": ZONES[self.zone], "task": name, "method": METHODS[0]}
        attempts = self.rng.randrange(1, 6)
        spent_s = attempts * self.latencies_s[task] * self.rng.uniform(0.7, 1.4)
        return [
            MetricPoint("hollyridge.tries", attempts, attributes, end_ns, start_ns),
            MetricPoint("hollyridge.tries.failed", 0, attributes, end_ns, start_ns),
            MetricPoint("hollyridge.tries.time", spent_s, attributes, end_ns, start_ns),
            MetricPoint("hollyridge.task.util", self.rng.uniform(0.4, 0.7), {"task": name}, end_ns),
        ]

    def next_report(self, start_ns: int, end_ns: int) -> list[MetricPoint]:
        """Draw the report of a period on some of the tasks."""
        figures: list[MetricPoint] = []
        for task in self.rng.sample(range(len(self.tasks)), min(TASKS_PER_REPORT, len(self.tasks))):
            figures += self.figures_of(task, start_ns, end_ns)
        attributes = {"proxy": self.uid, "method": METHODS[0]}
        return [*figures, MetricPoint("hollyridge.rpcs", RPCS_PER_REPORT, attributes, end_ns, start_ns)]

    def report(self) -> None:
        """Send a report each second until the program ends; a report that cannot be sent is dropped."""
        gevent.sleep(self.rng.random())  # so that proxies do not all report at the same time
        connection = http_connection(self.ports)
        start_ns = time.time_ns()
        while True:
            gevent.sleep(REPORT_INTERVAL_S)
            end_ns = time.time_ns()
            figures = self.next_report(start_ns, end_ns)
            start_ns = end_ns
            try:
                post(connection, build_export_request(self.uid, figures))
            except (OSError, http.client.HTTPException):
                connection.close()


def sample_usage(pid: int, seconds: int, latencies_s: list[float], rng: Random) -> list[Usage]:
    """Sample the resource use of a process every ten seconds, and change the tasks' latencies after each sample.

    Returns:
        Resource use at the start and at each sample.
    """
    started_s = time.monotonic()
    samples = [usage_of(pid)]
    while time.monotonic() - started_s < seconds:
        gevent.sleep(min(SAMPLING_INTERVAL_S, seconds))
        samples.append(usage_of(pid))
        latencies_s[:] = [max(MIN_LATENCY_S, latency * rng.uniform(0.85, 1.18)) for latency in latencies_s]
    return samples


def status_of(ports: Ports) -> dict:
    """Return the assigner's status page."""
    connection = http_connection(ports)
    connection.request("GET", "/status")
    return msgspec.json.decode(connection.getresponse().read())


@click.command()
@click.option("--seconds", default=600)
@click.option("--proxies", default=130)
@click.option("--tasks", default=114)
@click.option("--json", "as_json", is_flag=True)
def main(seconds: int, proxies: int, tasks: int, as_json: bool) -> None:
    """Run an assigner with proxies for some time and print its use of resources."""
    with running_service(LINES_PER_S) as service:
        gevent.sleep(START_S)
        rng = Random(1)
        registrar = MemberRegistrar(("127.0.0.1", service.ports.sasp), "shelf", connect=socket.create_connection)
        registered = members(tasks)
        registrar.register(registered)
        latencies_s = [rng.uniform(0.05, 0.2) for _ in registered]
        names = [name_of(member) for member in registered]
        running = [Proxy(number, service.ports, names, latencies_s) for number in range(proxies)]
        gevent.sleep(WARM_UP_S)
        started_s = time.monotonic()
        samples = sample_usage(service.pid, seconds, latencies_s, rng)
        lasted_s = time.monotonic() - started_s
        status = status_of(service.ports)
    cpu_s = [after.cpu_s - before.cpu_s for before, after in pairwise(samples)]
    result = {
        "seconds": round(lasted_s),
        "proxies": proxies,
        "tasks": tasks,
        "cpu_share": round((samples[-1].cpu_s - samples[0].cpu_s) / lasted_s, 4),
        "worst_10s_cpu_share": round(max(cpu_s) / SAMPLING_INTERVAL_S, 4),
        "rss_first_mb": round(samples[1].rss_mb, 1),
        "rss_last_mb": round(samples[-1].rss_mb, 1),
        "messages": sum(proxy.messages for proxy in running),
        "lines": sum(proxy.lines for proxy in running),
        "points": status["otlp"]["points"],
        "decisions": status["core"]["decisions"],
        "news_to_frame_us": status["core"]["news_to_frame_us"],
        "waiting_most": status["core"]["waiting_most"],
    }
    print_result(result, as_json)


if __name__ == "__main__":
    main()
