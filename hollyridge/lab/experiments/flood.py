"""A flood of load reports against a real assigner on loopback, beside one that reads them all: what is kept, what it
costs, and how far the weights of the two end up apart."""

from __future__ import annotations

import configparser
import http.client
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import gevent
import msgspec
from gevent import socket, subprocess

from hollyridge.lab.stand_ins.live import free_port
from hollyridge.otlp.sender import Figure, post, request_of
from hollyridge.sasp.client import HeldWeights, LoadBalancerClient, MemberRegistrar
from hollyridge.sasp.codec import Member

SETTINGS = Path(__file__).resolve().parents[3] / "examples" / "loopback.ini"
SOURCES = 20  # quiet ones, each at an address of its own; one more floods
EACH = 60  # points in a request


class Assigner:
    """`hollyridge serve` in a process of its own."""

    def __init__(self, folder: Path, settings: Path, name: str, points_per_s: float) -> None:
        self.sasp, self.otlp = free_port(), free_port()
        parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
        parser.read(settings)
        parser["sasp"]["listen"], parser["otlp"]["listen"] = f"127.0.0.1:{self.sasp}", f"127.0.0.1:{self.otlp}"
        parser["otlp"]["points_per_s"] = str(points_per_s)
        self.zones = {zone: nets.split(".")[1] for zone, nets in parser["zones"].items()}
        self.methods = [word.partition(" ")[2] for word in parser.sections() if word.startswith("method ")]
        path = folder / f"{name}.ini"
        with open(path, "w") as out:
            parser.write(out)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hollyridge.cli.main", "serve", str(path)], stderr=open(folder / f"{name}.log", "wb")
        )
        for _ in range(200):
            if self.process.poll() is not None:
                raise OSError(f"the assigner ended with {self.process.returncode}")
            try:
                socket.create_connection(("127.0.0.1", self.otlp), timeout=1).close()
                break
            except OSError:
                gevent.sleep(0.05)

    def line(self, source: str) -> http.client.HTTPConnection:
        line = http.client.HTTPConnection("127.0.0.1", self.otlp, timeout=10, source_address=(source, 0))
        line._create_connection = socket.create_connection
        return line

    def status(self) -> dict:
        line = self.line("127.0.0.1")
        line.request("GET", "/status")
        try:
            return msgspec.json.decode(line.getresponse().read())
        finally:
            line.close()

    def rss_mb(self) -> float:
        for row in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if row.startswith("VmRSS"):
                return int(row.split()[1]) / 1024
        return 0.0

    def stop(self) -> None:
        self.process.terminate()
        try:
            self.process.wait(timeout=10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Truth:
    """What is met at each task: two in five are half as quick, and as busy again."""

    def __init__(self, tasks: list[str], zones: list[str], methods: list[str], seed: int) -> None:
        self.rng = Random(seed)
        self.pairs = [(zone, task, method) for zone in zones for task in tasks for method in methods]
        self.slow = {task: 2.0 if k % 5 < 2 else 1.0 for k, task in enumerate(tasks)}

    def figures(self, source: str, pairs: list[tuple[str, str, str]], begun: int, end: int) -> list[Figure]:
        found = []
        for zone, task, method in pairs:
            tries = 1 + self.rng.randrange(4)
            spent = sum(self.rng.expovariate(1 / (0.08 * self.slow[task])) for _ in range(tries))
            place = {"proxy": source, "zone": zone, "task": task, "method": method}
            found += [
                Figure("hollyridge.tries", tries, place, end, begun),
                Figure("hollyridge.tries.time", spent, place, end, begun),
            ]
            found.append(Figure("hollyridge.task.util", min(0.95, 0.35 * self.slow[task]), {"task": task}, end))
        return found


def flood(
    reports_per_s: float, seconds: float, budget: float, settings: Path = SETTINGS, tasks: int = 30, seed: int = 1
) -> dict:
    """`reports_per_s` points in all, half of them by one sender that does not listen; `budget`: points a second that
    the assigner reads. OSError where it does not start."""
    with tempfile.TemporaryDirectory(prefix="hollyridge-flood-") as folder:
        pair = [Assigner(Path(folder), settings, "tight", budget), Assigner(Path(folder), settings, "whole", 1e9)]
        try:
            return against(*pair, reports_per_s, seconds, tasks, seed)
        finally:
            for one in pair:
                one.stop()


def against(tight: Assigner, whole: Assigner, reports_per_s: float, seconds: float, tasks: int, seed: int) -> dict:
    octets = list(tight.zones.values())
    members = [Member.at(f"127.{octets[k % len(octets)]}.1.{k + 1}", 9000, f"t{k} run=a up=100") for k in range(tasks)]
    names = [f"{member.host}:9000" for member in members]
    clients = []
    for one in (tight, whole):
        agent = MemberRegistrar(("127.0.0.1", one.sasp), "shelf", connect=socket.create_connection)
        agent.register(members)
        clients.append(agent)
    gevent.sleep(1.0)
    held = {}
    for one in (tight, whole):
        for zone, octet in one.zones.items():
            reader = LoadBalancerClient(
                ("127.0.0.1", one.sasp), f"gw-{zone}", source=f"127.{octet}.0.200", connect=socket.create_connection
            )
            reader.start(one.methods[:1])
            clients.append(reader)
            held[one, zone] = HeldWeights()
            gevent.spawn(follow, reader, held[one, zone])
    truth = Truth(names, list(tight.zones), tight.methods, seed)
    before, until = tight.rss_mb(), time.monotonic() + seconds
    counts = {"sent": 0, "kept": 0, "shed": 0, "quiet_sent": 0, "quiet_kept": 0}
    quiet = reports_per_s / 2 / SOURCES

    def say(source: str, address: str, rate: float, share: list) -> None:
        """All pairs of a source in turn, so many points a request, to both assigners."""
        at, lines = 0, [one.line(address) for one in (tight, whole)]
        while time.monotonic() < until:
            some = [share[(at + k) % len(share)] for k in range(EACH // 3)]
            at += len(some)
            end = time.time_ns()
            figures = truth.figures(source, some, end - 1_000_000_000, end)
            request = request_of(source, figures)
            begun = time.monotonic()
            for one, line in zip((tight, whole), lines):
                try:
                    status, _ = post(line, request, packed=False)
                except (OSError, http.client.HTTPException):
                    line.close()
                    status = 0
                if one is tight:
                    counts["sent"] += len(figures)
                    counts["kept" if status == 200 else "shed"] += len(figures)
                    if address != "127.0.0.2":
                        counts["quiet_sent"] += len(figures)
                        counts["quiet_kept"] += len(figures) * (status == 200)
            gevent.sleep(max(0.0, len(figures) / rate - (time.monotonic() - begun)))
        for line in lines:
            line.close()

    jobs = [gevent.spawn(say, f"src-{k}", f"127.0.1.{k + 1}", quiet, truth.pairs[k::SOURCES]) for k in range(SOURCES)]
    jobs += [gevent.spawn(say, f"flood-{k}", "127.0.0.2", reports_per_s / 8, truth.pairs) for k in range(4)]
    gevent.joinall(jobs, raise_error=True)
    gevent.sleep(1.5)
    status = tight.status()
    gaps = [
        distance(held[tight, zone].lines(tight.methods[0]), held[whole, zone].lines(whole.methods[0]))
        for zone in tight.zones
    ]
    for client in clients:
        client.close()
    return {
        **counts,
        "offered_per_s": round(counts["sent"] / seconds),
        "kept_per_s": round(counts["kept"] / seconds),
        "quiet_kept_part": round(counts["quiet_kept"] / max(1, counts["quiet_sent"]), 4),
        "rss_growth_mb": round(tight.rss_mb() - before, 1),
        "decision_p99_ms": round(status["core"]["turn_us"]["p99"] / 1e3, 2),
        "weight_distance": round(sum(gaps) / len(gaps), 4),
        "waiting_most": status["core"]["waiting_most"],
    }


def follow(reader: LoadBalancerClient, held: HeldWeights) -> None:
    try:
        while True:
            pushed = reader.receive(1.0)
            if pushed:
                held.take(pushed[1].groups)
    except Exception:  # its stream is closed at the end
        pass


def distance(one: dict, two: dict) -> float:
    """Half the sum of the gaps between shares: 0 the same, 1 nothing in common.

    >>> from hollyridge.sasp.client import Entry
    >>> distance({"a": Entry(3, 0), "b": Entry(1, 0)}, {"a": Entry(1, 0), "b": Entry(1, 0)})
    0.25
    """
    shares = []
    for lines in (one, two):
        whole = sum(entry.weight for entry in lines.values()) or 1
        shares.append({task: entry.weight / whole for task, entry in lines.items()})
    return sum(abs(shares[0].get(task, 0.0) - shares[1].get(task, 0.0)) for task in {**one, **two}) / 2
