"""Flood of load reports against an assigner process on loopback, and against a second one without a limit.

The experiment measures which reports are accepted, what that costs, and how far the weights of the two differ.
"""

from __future__ import annotations

import http.client
import tempfile
import time
from pathlib import Path

import gevent
from gevent import socket

from hollyridge.lab.experiments.flood_assigner import Assigner
from hollyridge.lab.experiments.flood_reports import FLOODING_ADDRESS, ReportGenerator, Sender
from hollyridge.otlp.sender import MetricPoint, build_export_request, post
from hollyridge.sasp.client import ConnectionLostError, Entry, HeldWeights, LoadBalancerClient, MemberRegistrar
from hollyridge.sasp.codec import Member

UNLIMITED_POINTS_PER_S = 1e9  # budget of the assigner without a limit
QUIET_SENDERS = 20  # each sends from its own address
FLOODING_SENDERS = 4  # connections from the address that floods
QUIET_SHARE = 0.5  # share of the data points that quiet senders send
SERIES_PER_REQUEST = 20
PERIOD_NS = 1_000_000_000  # period that a report covers
SETTLE_S = 1.0  # from the registration of the members until load balancers connect
LAST_UPDATE_S = 1.5  # from the last report until the weights are compared
TASK_PORT = 9000


class Flood:
    """The two assigners, their clients, and counts of the data points sent to the limited one.

    Attributes:
        limited: Assigner with the report budget under test.
        unlimited: Assigner that reads all reports.
        assigners: Both assigners.
        members: Tasks that are registered with both.
        reports: Generator of the reports.
        clients: Open SASP connections to both assigners.
        followers: Greenlets that apply pushed weights.
        weights: Weights that load balancers received, by assigner and zone.
        counts: Data points sent, accepted (`kept`) and rejected (`shed`), and those of quiet senders.
    """

    def __init__(self, limited: Assigner, unlimited: Assigner, tasks: int, seed: int) -> None:
        self.limited = limited
        self.unlimited = unlimited
        self.assigners = (limited, unlimited)
        self.members = loopback_members(list(limited.zones.values()), tasks)
        names = [f"{member.host}:{TASK_PORT}" for member in self.members]
        self.reports = ReportGenerator(names, list(limited.zones), limited.methods, seed)
        self.clients: list[MemberRegistrar | LoadBalancerClient] = []
        self.followers: list[gevent.Greenlet] = []
        self.weights: dict[tuple[Assigner, str], HeldWeights] = {}
        self.counts = {"sent": 0, "kept": 0, "shed": 0, "quiet_sent": 0, "quiet_kept": 0}

    def register_members(self) -> None:
        """Register the tasks with both assigners."""
        for assigner in self.assigners:
            registrar = MemberRegistrar(("127.0.0.1", assigner.sasp), "shelf", connect=socket.create_connection)
            registrar.register(self.members)
            self.clients.append(registrar)

    def follow_weights(self) -> None:
        """Connect a load balancer in each zone to both assigners and keep the weights that it receives."""
        for assigner in self.assigners:
            for zone, octet in assigner.zones.items():
                client = LoadBalancerClient(
                    ("127.0.0.1", assigner.sasp),
                    f"gw-{zone}",
                    source=f"127.{octet}.0.200",
                    connect=socket.create_connection,
                )
                client.start(assigner.methods[:1])
                self.clients.append(client)
                self.weights[assigner, zone] = HeldWeights()
                self.followers.append(gevent.spawn(follow, client, self.weights[assigner, zone]))

    def close(self) -> None:
        """Close all connections, which ends the greenlets that read from them."""
        for client in self.clients:
            client.close()
        gevent.killall(self.followers)

    def senders(self, points_per_s: float) -> list[Sender]:
        """Return quiet senders that divide the series among them, and flooding ones that report on all series."""
        quiet_rate = QUIET_SHARE * points_per_s / QUIET_SENDERS
        flooding_rate = (1 - QUIET_SHARE) * points_per_s / FLOODING_SENDERS
        quiet = [
            Sender(f"src-{number}", f"127.0.1.{number + 1}", quiet_rate, self.reports.series[number::QUIET_SENDERS])
            for number in range(QUIET_SENDERS)
        ]
        flooding = [
            Sender(f"flood-{number}", FLOODING_ADDRESS, flooding_rate, self.reports.series)
            for number in range(FLOODING_SENDERS)
        ]
        return quiet + flooding

    def count(self, sender: Sender, points: int, status: int) -> None:
        """Count data points sent to the limited assigner, as accepted or rejected by status."""
        accepted = status == http.HTTPStatus.OK
        self.counts["sent"] += points
        self.counts["kept" if accepted else "shed"] += points
        if sender.quiet:
            self.counts["quiet_sent"] += points
            self.counts["quiet_kept"] += points * accepted

    def next_figures(self, sender: Sender, position: int) -> list[MetricPoint]:
        """Return the figures of a sender's next request, whose series begin at this position in the sender's list."""
        series = [sender.series[(position + step) % len(sender.series)] for step in range(SERIES_PER_REQUEST)]
        end_ns = time.time_ns()
        return self.reports.figures(sender.source, series, end_ns - PERIOD_NS, end_ns)

    def send_reports(self, sender: Sender, until_s: float) -> None:
        """Send the same reports to both assigners until a time on the monotonic clock, in seconds."""
        connections = [assigner.connection(sender.address) for assigner in self.assigners]
        position = 0
        while time.monotonic() < until_s:
            figures = self.next_figures(sender, position)
            position += SERIES_PER_REQUEST
            request = build_export_request(sender.source, figures)
            started_s = time.monotonic()
            for assigner, connection in zip(self.assigners, connections):
                try:
                    status, _ = post(connection, request, use_gzip=False)
                except (OSError, http.client.HTTPException):
                    connection.close()
                    status = 0
                if assigner is self.limited:
                    self.count(sender, len(figures), status)
            took_s = time.monotonic() - started_s
            gevent.sleep(max(0.0, len(figures) / sender.points_per_s - took_s))
        for connection in connections:
            connection.close()

    def send_all(self, points_per_s: float, seconds: float) -> None:
        """Run all senders for this time."""
        until_s = time.monotonic() + seconds
        jobs = [gevent.spawn(self.send_reports, sender, until_s) for sender in self.senders(points_per_s)]
        gevent.joinall(jobs, raise_error=True)

    def weight_distance(self) -> float:
        """Return the distance between the two assigners' weights for the first method, as the mean over zones."""
        method = self.limited.methods[0]
        distances = [
            distance(
                self.weights[self.limited, zone].lines(method),
                self.weights[self.unlimited, zone].lines(method),
            )
            for zone in self.limited.zones
        ]
        return sum(distances) / len(distances)


def loopback_members(octets: list[str], count: int) -> list[Member]:
    """Return members, each with its own address, spread over zones by the second octet."""
    return [
        Member.at(f"127.{octets[number % len(octets)]}.1.{number + 1}", TASK_PORT, f"t{number} run=a up=100")
        for number in range(count)
    ]


def follow(client: LoadBalancerClient, weights: HeldWeights) -> None:
    """Apply pushed weights until the connection ends."""
    try:
        while True:
            pushed = client.receive(1.0)
            if pushed:
                weights.handle_message(pushed[1].groups)
    except ConnectionLostError:
        return


def flood(reports_per_s: float, seconds: float, budget: float, tasks: int = 30, seed: int = 1) -> dict:
    """Start two assigners and run a flood against them.

    Args:
        reports_per_s: Data points to send per second, half of them from one address that ignores rejections.
        seconds: Length of the flood, in seconds.
        budget: Data points per second that the limited assigner reads.
        tasks: Number of tasks that are reported on.
        seed: Seed of the contents of the reports.

    Returns:
        The result as `lab flood --json` prints it.

    Raises:
        AssignerStartError: If an assigner does not start.
    """
    with tempfile.TemporaryDirectory(prefix="hollyridge-flood-") as folder:
        assigners = [
            Assigner(Path(folder), "tight", budget),
            Assigner(Path(folder), "whole", UNLIMITED_POINTS_PER_S),
        ]
        try:
            return measure(Flood(*assigners, tasks, seed), reports_per_s, seconds)
        finally:
            for assigner in assigners:
                assigner.stop()


def measure(run: Flood, reports_per_s: float, seconds: float) -> dict:
    """Run a flood against its assigners; the other arguments and the result are those of `flood`."""
    run.register_members()
    gevent.sleep(SETTLE_S)
    run.follow_weights()
    rss_before_mb = run.limited.rss_mb()
    run.send_all(reports_per_s, seconds)
    gevent.sleep(LAST_UPDATE_S)
    status = run.limited.status()
    weight_distance = run.weight_distance()
    run.close()
    counts = run.counts
    return {
        **counts,
        "offered_per_s": round(counts["sent"] / seconds),
        "kept_per_s": round(counts["kept"] / seconds),
        "quiet_kept_part": round(counts["quiet_kept"] / max(1, counts["quiet_sent"]), 4),
        "rss_growth_mb": round(run.limited.rss_mb() - rss_before_mb, 1),
        "decision_p99_ms": round(status["core"]["turn_us"]["p99"] / 1e3, 2),
        "weight_distance": round(weight_distance, 4),
        "waiting_most": status["core"]["waiting_most"],
    }


def shares_of(lines: dict[Member, Entry]) -> dict[Member, float]:
    """Return each task's share of a table's total weight."""
    total = sum(entry.weight for entry in lines.values()) or 1
    return {task: entry.weight / total for task, entry in lines.items()}


def distance(first: dict[Member, Entry], second: dict[Member, Entry]) -> float:
    """Return half the sum of the differences between shares of weight.

    The result is 0 for equal shares and 1 for tables with no task in common.

    >>> from hollyridge.sasp.client import Entry
    >>> distance({"a": Entry(3, 0), "b": Entry(1, 0)}, {"a": Entry(1, 0), "b": Entry(1, 0)})
    0.25
    """
    first_shares = shares_of(first)
    second_shares = shares_of(second)
    tasks = {**first, **second}
    return sum(abs(first_shares.get(task, 0.0) - second_shares.get(task, 0.0)) for task in tasks) / 2
