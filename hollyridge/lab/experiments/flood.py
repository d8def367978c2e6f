"""A flood of load reports against a real assigner on loopback, beside one that reads them all.

Shows what is kept, what it costs, and how far the weights of the two end up apart.
"""

from __future__ import annotations

import http.client
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import NamedTuple

import gevent
from gevent import socket

from hollyridge.lab.experiments.flood_assigner import FloodAssigner
from hollyridge.otlp.sender import Figure, post, request_of
from hollyridge.sasp.client import ConnectionLostError, HeldWeights, LoadBalancerClient, MemberRegistrar
from hollyridge.sasp.codec import Member

SETTINGS = Path(__file__).resolve().parents[3] / "examples" / "loopback.ini"
QUIET_SOURCES = 20  # each at an address of its own
FLOOD_JOBS = 4  # of the one that floods
FLOOD_ADDRESS = "127.0.0.2"
POINTS_PER_REQUEST = 60
POINTS_PER_PLACE = 3  # see `Truth.figures`
UNLIMITED_POINTS_PER_S = 1e9
TASK_PORT = 9000
SETTLE_S = 1.0  # for the tasks to be listed
LAST_UPDATES_S = 1.5  # for what was reported last to arrive in tables
SPAN_NS = 1_000_000_000  # of time that each figure covers
RECEIVE_S = 1.0
HTTP_OK = 200


class Place(NamedTuple):
    """Where a figure was met."""

    zone: str
    task: str
    method: str


class Truth:
    """What is met at each task: two in five are half as fast, and twice as busy."""

    def __init__(self, tasks: list[str], zones: list[str], methods: list[str], seed: int) -> None:
        self.rng = Random(seed)
        self.places = [Place(zone, task, method) for zone in zones for task in tasks for method in methods]
        self.slowdown = {task: 2.0 if number % 5 < 2 else 1.0 for number, task in enumerate(tasks)}  # noqa: PLR2004 - two in five

    def figures(self, source: str, places: Sequence[Place], begun_ns: int, end_ns: int) -> list[Figure]:
        """Three figures for each place: attempts, their time, and the task's utilization."""
        figures = []
        for place in places:
            slowdown = self.slowdown[place.task]
            attempts = 1 + self.rng.randrange(4)
            spent_s = sum(self.rng.expovariate(1 / (0.08 * slowdown)) for _ in range(attempts))
            attributes = {"proxy": source, **place._asdict()}
            figures += [
                Figure("hollyridge.tries", attempts, attributes, end_ns, begun_ns),
                Figure("hollyridge.tries.time", spent_s, attributes, end_ns, begun_ns),
                Figure("hollyridge.task.util", min(0.95, 0.35 * slowdown), {"task": place.task}, end_ns),
            ]
        return figures


def flood(  # noqa: PLR0913, PLR0917 - the options of the command
    reports_per_s: float, seconds: float, budget: float, settings: Path = SETTINGS, tasks: int = 30, seed: int = 1
) -> dict:
    """Post load reports to two assigners; returns the figures, as `--json` has them.

    Args:
        reports_per_s: Points in all, half of them by one sender that does not listen.
        seconds: How long.
        budget: Points a second that the assigner reads.
        settings: Of both assigners.
        tasks: In the fleet.
        seed: Of what is reported.

    Raises:
        OSError: An assigner does not start.
    """
    with tempfile.TemporaryDirectory(prefix="hollyridge-flood-") as folder:
        limited = FloodAssigner(Path(folder), settings, "tight", budget)
        unlimited = FloodAssigner(Path(folder), settings, "whole", UNLIMITED_POINTS_PER_S)
        try:
            return _Flood(limited, unlimited, tasks, seed).run(reports_per_s, seconds)
        finally:
            for assigner in (limited, unlimited):
                assigner.stop()


class _Flood:
    """One flood against a pair of assigners.

    Attributes:
        held: The first method's table, by assigner and zone.
        counts: Points that were sent to the limited assigner, kept and shed; and those of quiet senders.
    """

    def __init__(self, limited: FloodAssigner, unlimited: FloodAssigner, tasks: int, seed: int) -> None:
        self.limited = limited
        self.pair = (limited, unlimited)
        octets = list(limited.zones.values())
        self.members = [
            Member.at(f"127.{octets[number % len(octets)]}.1.{number + 1}", TASK_PORT, f"t{number} run=a up=100")
            for number in range(tasks)
        ]
        names = [f"{member.host}:{TASK_PORT}" for member in self.members]
        self.truth = Truth(names, list(limited.zones), limited.methods, seed)
        self.clients: list[MemberRegistrar | LoadBalancerClient] = []
        self.held: dict[tuple[FloodAssigner, str], HeldWeights] = {}
        self.counts = {"sent": 0, "kept": 0, "shed": 0, "quiet_sent": 0, "quiet_kept": 0}
        self.until_s = 0.0

    def run(self, reports_per_s: float, seconds: float) -> dict:
        """Let the fleet start, flood it, and compare."""
        self._register()
        gevent.sleep(SETTLE_S)
        self._subscribe()
        rss_before_mb = self.limited.rss_mb()
        self.until_s = time.monotonic() + seconds
        self._send_all(reports_per_s)
        gevent.sleep(LAST_UPDATES_S)
        figures = self._figures(seconds, rss_before_mb)
        for client in self.clients:
            client.close()
        return figures

    def _register(self) -> None:
        for assigner in self.pair:
            agent = MemberRegistrar(("127.0.0.1", assigner.sasp), "shelf", connect=socket.create_connection)
            agent.register(self.members)
            self.clients.append(agent)

    def _subscribe(self) -> None:
        for assigner in self.pair:
            for zone, octet in assigner.zones.items():
                reader = LoadBalancerClient(
                    ("127.0.0.1", assigner.sasp),
                    f"gw-{zone}",
                    source=f"127.{octet}.0.200",
                    connect=socket.create_connection,
                )
                reader.start(assigner.methods[:1])
                self.clients.append(reader)
                self.held[assigner, zone] = HeldWeights()
                gevent.spawn(_follow, reader, self.held[assigner, zone])

    def _send_all(self, reports_per_s: float) -> None:
        quiet_rate = reports_per_s / 2 / QUIET_SOURCES
        flood_rate = reports_per_s / 2 / FLOOD_JOBS
        places = self.truth.places
        jobs = [
            gevent.spawn(
                self._send, f"src-{number}", f"127.0.1.{number + 1}", quiet_rate, places[number::QUIET_SOURCES]
            )
            for number in range(QUIET_SOURCES)
        ]
        jobs += [
            gevent.spawn(self._send, f"flood-{number}", FLOOD_ADDRESS, flood_rate, places)
            for number in range(FLOOD_JOBS)
        ]
        gevent.joinall(jobs, raise_error=True)

    def _send(self, source: str, address: str, rate: float, places: list[Place]) -> None:
        """Report on a source's places in turn, to both assigners, so many points a second."""
        connections = [assigner.connect(address) for assigner in self.pair]
        first, count = 0, POINTS_PER_REQUEST // POINTS_PER_PLACE
        while time.monotonic() < self.until_s:
            batch = [places[(first + offset) % len(places)] for offset in range(count)]
            first += count
            end_ns = time.time_ns()
            figures = self.truth.figures(source, batch, end_ns - SPAN_NS, end_ns)
            request = request_of(source, figures)
            begun_s = time.monotonic()
            statuses = [_post(connection, request) for connection in connections]
            self._count(len(figures), statuses[0] == HTTP_OK, quiet=address != FLOOD_ADDRESS)
            gevent.sleep(max(0.0, len(figures) / rate - (time.monotonic() - begun_s)))
        for connection in connections:
            connection.close()

    def _count(self, points: int, kept: bool, quiet: bool) -> None:
        self.counts["sent"] += points
        self.counts["kept" if kept else "shed"] += points
        if quiet:
            self.counts["quiet_sent"] += points
            self.counts["quiet_kept"] += points * kept

    def _figures(self, seconds: float, rss_before_mb: float) -> dict:
        counts, status, method = self.counts, self.limited.status(), self.limited.methods[0]
        limited, unlimited = self.pair
        gaps = [
            distance(self.held[limited, zone].lines(method), self.held[unlimited, zone].lines(method))
            for zone in limited.zones
        ]
        return {
            **counts,
            "offered_per_s": round(counts["sent"] / seconds),
            "kept_per_s": round(counts["kept"] / seconds),
            "quiet_kept_part": round(counts["quiet_kept"] / max(1, counts["quiet_sent"]), 4),
            "rss_growth_mb": round(self.limited.rss_mb() - rss_before_mb, 1),
            "decision_p99_ms": round(status["core"]["turn_us"]["p99"] / 1e3, 2),
            "weight_distance": round(sum(gaps) / len(gaps), 4),
            "waiting_most": status["core"]["waiting_most"],
        }


def _post(connection: http.client.HTTPConnection, request: bytes) -> int:
    """The status of the answer; 0 if there is none."""
    try:
        return post(connection, request, packed=False)[0]
    except (OSError, http.client.HTTPException):
        connection.close()
        return 0


def _follow(reader: LoadBalancerClient, held: HeldWeights) -> None:
    """Keep what is pushed, until the stream is closed."""
    while True:
        try:
            pushed = reader.receive(RECEIVE_S)
        except (OSError, ValueError, ConnectionLostError):
            return
        if pushed:
            held.take(pushed[1].groups)


def distance(one: dict, other: dict) -> float:
    """Half the sum of the gaps between shares: 0 the same, 1 nothing in common.

    >>> from hollyridge.sasp.client import Entry
    >>> distance({"a": Entry(3, 0), "b": Entry(1, 0)}, {"a": Entry(1, 0), "b": Entry(1, 0)})
    0.25
    """
    shares = []
    for lines in (one, other):
        total = sum(entry.weight for entry in lines.values()) or 1
        shares.append({task: entry.weight / total for task, entry in lines.items()})
    tasks = {**one, **other}
    return sum(abs(shares[0].get(task, 0.0) - shares[1].get(task, 0.0)) for task in tasks) / 2
