# ruff: noqa: ANN001, ANN002, ANN201, ANN202, ANN204, D102, D103, PLR2004, SIM115, TRY301, PLR0913, PLR0917
"""Stand-ins for the platform around one real assigner, as the pages describe it: discovery, proxies, collectors.

All of them live in one asyncio program and use loopback sockets to the assigner. Requests do not cross sockets: a proxy
picks a task from its table, and the arrival is noted at once. The channel of the assigner is a queue of whole messages,
as the page of the wire says: a message enters with its last byte, leaves at the pace of the settings, reaches its proxy
some time later, and is applied there.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import deque
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SLACK_S = 0.3  # the page of the protocol makes the time limits longer by this
HEARTBEAT_S = 2.0


class CouldNotRunError(Exception):
    """The case could not run as it should; says nothing about the rule."""


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def run_command():
    """Return the command `run` of the deploy file."""
    import tomllib

    return tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]


class Record:
    """The file record.txt: what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = Path(path).open("w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")


class Discovery:
    """One discovery service, which tells every watch all changes in order."""

    def __init__(self, record, entries):
        self.record = record
        self.version = 1
        self.entries = {entry["id"]: entry for entry in entries}
        self.changes = []  # (version, entry)
        self.watches = []
        self.on_told = lambda entry: None
        self.down = False
        self.server = None

    def listed(self):
        return [entry for entry in self.entries.values() if entry["state"] != "terminated"]

    def page(self, since=None):
        if since is None or since > self.version:
            return {"version": self.version, "full": True, "servers": self.listed()}
        newest = {entry["id"]: entry for version, entry in self.changes if version > since}
        return {"version": self.version, "full": False, "servers": list(newest.values())}

    async def start(self, host):
        if self.server is not None:
            return
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def go_down(self):
        """End all watches; further calls fail until `down` is false."""
        self.down = True
        self.record.line("discovery goes down")
        for writer in self.watches:
            writer.transport.abort()

    def change(self, *entries):
        """List these entries from now on, and tell the watches at once in one line."""
        self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self.changes.append((self.version, entry))
            self.record.line(f"listed {entry['id']} {entry['state']} version {self.version}")
        for writer in self.watches:
            self.write(writer, {"version": self.version, "full": False, "servers": list(entries)})

    def write(self, writer, page):
        line = (json.dumps(page) if page is not None else "") + "\n"
        writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
        for entry in page["servers"] if page is not None else ():
            self.record.line(f"told {entry['id']} {entry['state']} version {page['version']}")
            self.on_told(entry)

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
            since = int(query["index"]) if "index" in query else None
            self.record.line(f"discovery call {target}")
            if self.down:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                return
            if "stream" not in query:
                body = json.dumps(self.page()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.write(writer, self.page(since))
            self.watches.append(writer)
            while not writer.is_closing():
                await writer.drain()
                await asyncio.sleep(HEARTBEAT_S)
                self.write(writer, None)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()


def entry(name, zone, state="in_service", started_ms=0, cell=0, weight=1.0):
    return {
        "id": name,
        "addr": "127.0.0.1:9",
        "zone": zone,
        "kind": "m",
        "cell": cell,
        "state": state,
        "weight": weight,
        "started_ms": started_ms,
    }


def message(*words):
    parts = [str(word).encode() for word in words]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_message(reader):
    """Return the words of the next RESP2 array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2].decode())
    return words


class Channel:
    """The channel from one assigner to its proxies."""

    def __init__(self, record, settings, rng):
        family = settings["family_info"]
        self.record = record
        self.pace = family["lines_per_s"]
        self.overhead = family["overhead"]
        self.transit = family["transit"]
        self.worst_transit = family["worst_transit"]
        self.rng = rng
        self.waiting = deque()
        self.lines = 0.0
        self.peak = 0.0
        self.arrived = asyncio.Event()

    def enter(self, proxy, stream, parts):
        cost = self.overhead + sum(count_lines(fields) for fields in parts)
        self.lines += cost
        self.peak = max(self.peak, self.lines)
        self.waiting.append((cost, proxy, stream, parts))
        self.arrived.set()

    async def run(self):
        free_at = time.monotonic()
        while True:
            while not self.waiting:
                self.arrived.clear()
                await self.arrived.wait()
                free_at = max(free_at, time.monotonic())
            cost, proxy, stream, parts = self.waiting[0]
            free_at += cost / self.pace
            await asyncio.sleep(max(0.0, free_at - time.monotonic()))
            self.waiting.popleft()
            self.lines -= cost
            delay = min(self.worst_transit, self.rng.expovariate(1 / self.transit))
            proxy.applies_at = max(free_at + delay, proxy.applies_at + 0.001)
            asyncio.get_running_loop().call_at(proxy.applies_at, proxy.apply, stream, parts, free_at)


def count_lines(fields):
    lists = sum(len(fields[name].split(",")) for name in ("lines", "out", "back") if name in fields)
    return lists + sum(name in fields for name in ("whole", "level", "ticket"))


class Proxy:
    """One proxy, which obeys its tables and knows nothing else."""

    def __init__(self, platform, node, zone, rate, standing):
        self.platform = platform
        self.node = node
        self.zone = zone
        self.rate = rate
        self.classes = platform.classes
        self.tables = {name: dict.fromkeys(standing, 1.0) for name in self.classes}
        self.levels = {}
        self.current = {name: {} for name in self.classes}  # state of smooth weighted rotation
        self.cold = True
        self.joined_at = None
        self.applies_at = 0.0
        self.stream = 0
        self.writer = None
        self.counts = dict.fromkeys(self.classes, 0)
        self.times = deque()

    async def join(self):
        """Open a stream and read it until it ends."""
        host, port = self.platform.listen
        reader, writer = await asyncio.open_connection(host, port)
        self.stream += 1
        stream, self.writer, self.times = self.stream, writer, deque()
        writer.write(
            message(
                "attach", "node", self.node, "locality", self.zone, "w", round(self.rate, 2), "cold", int(self.cold)
            )
        )
        self.joined_at = time.monotonic()
        self.platform.record.line(f"proxy {self.node} joins, stream {stream}")
        parts = []
        try:
            while True:
                words = await read_message(reader)
                if words[0] == "reject":
                    self.platform.record.line(f"proxy {self.node} is rejected: {words}")
                if words[0] != "assign":
                    continue
                fields = dict(zip(words[1::2], words[2::2]))
                parts.append(fields)
                if fields.get("more") != "1":
                    self.note_message(parts)
                    self.platform.channel.enter(self, stream, parts)
                    parts = []
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if self.stream == stream:
                self.joined_at = None
                self.platform.record.line(f"proxy {self.node} has lost stream {stream}")
            writer.close()

    def leave(self):
        self.platform.record.line(f"proxy {self.node} leaves")
        self.joined_at = None
        self.stream += 1
        if self.writer is not None:
            self.writer.transport.abort()

    def note_message(self, parts):
        now = time.monotonic()
        self.times.append(now)
        while self.times[0] < now - self.platform.family["counted_over"]:
            self.times.popleft()
        self.platform.most_messages = max(self.platform.most_messages, len(self.times))
        self.platform.record.line(f"to proxy {self.node}, {len(self.times)} messages in the span: {parts}")

    def apply(self, stream, parts, left_channel_at):
        if stream != self.stream:
            return
        self.cold = False
        for fields in parts:
            for name in fields["classes"].split("+") if "classes" in fields else self.classes:
                self.apply_to(name, fields)
            if "ticket" in fields and self.writer is not None and not self.writer.is_closing():
                latency = max(0.0, time.monotonic() - left_channel_at) * 1000
                self.writer.write(
                    message("done", "node", self.node, "nonce", fields["ticket"], "latency", round(latency, 1))
                )

    def apply_to(self, name, fields):
        if fields.get("whole") == "1":
            self.tables[name] = {}
            self.levels.pop(name, None)
        for pair in fields["lines"].split(",") if "lines" in fields else ():
            task, _, weight = pair.rpartition(":")
            if task not in self.platform.discovery.entries or float(weight) < 0:
                self.platform.cannot_run(f"a line that no proxy can use: {pair}")
                return
            if float(weight) > 0:
                self.tables[name][task] = float(weight)
            else:
                self.tables[name].pop(task, None)
        if "level" in fields:
            self.levels[name] = float(fields["level"])

    def pick(self, name):
        """Return a task, evenly by weight, each proxy from another start; None without a line."""
        table = self.tables[name]
        if not table:
            return None
        before, rng = self.current[name], self.platform.rng
        current = {task: before[task] if task in before else rng.random() * table[task] for task in table}
        self.current[name] = current
        for task, weight in table.items():
            current[task] += weight
        task = max(current, key=current.get)
        current[task] -= sum(table.values())
        return task


class Platform:
    """The platform around one assigner process.

    Args:
        folder: The folder of the case; record.txt is written there.
        settings: The settings of the deployment.
        entries: The first list, which the configuration holds as well.
        seed: Seed of the random numbers of the stand-ins.
        name: Name of the assigner.
        beside: Platform around another assigner, whose record and discovery this one shares.
    """

    def __init__(self, folder, settings, entries, seed=1, host="127.0.0.1", name="n1", beside=None):
        self.name = name
        self.record = Record(Path(folder) / "record.txt") if beside is None else beside.record
        self.settings = settings
        self.family = settings["family_info"]
        self.classes = [profile["name"] for profile in settings["profiles"]]
        self.rng = random.Random(seed)
        self.host = host
        self.discovery = Discovery(self.record, entries) if beside is None else beside.discovery
        self.channel = Channel(self.record, settings, self.rng)
        self.proxies = []
        self.reports = deque()
        self.found = {}  # (zone, task) -> requests since the last sums
        self.on_request = lambda proxy, name, task: None
        self.failures = []
        self.faults = []  # reasons why the case could not run
        self.most_messages = 0
        self.most_lag_s = 0.0
        self.tasks = []
        self.process = None
        self.collectors = {}
        self.writers = []
        self.utilization = 0.5

    def start_task(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.append(task)
        return task

    async def start(self):
        """Start discovery and the assigner; return once it has answered `hb`."""
        await self.discovery.start(self.host)
        self.listen = (self.host, free_port(self.host))
        self.folder = tempfile.TemporaryDirectory()
        self.write_config()
        temporary = Path(self.folder.name) / "tmp"
        temporary.mkdir()
        environment = os.environ | {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": "{}:{}".format(*self.listen),
            "BALANCER_DISCOVERY": self.discovery.address,
            "BALANCER_CONFIG": str(self.config_path),
            "TMPDIR": str(temporary),
        }
        self.log = (Path(self.folder.name) / "log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.record.line(f"assigner {self.name} started: {run_command()}")
        await self.wait_ready()
        self.start_task(self.channel.run())
        self.start_task(self.measure_lag())

    def write_config(self):
        self.config_path = Path(self.folder.name) / "config.json"
        config = {
            "name": self.name,
            "listen": "{}:{}".format(*self.listen),
            "discovery": self.discovery.address,
            "seed": f"{self.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.page(),
            "settings": self.settings,
        }
        self.config_path.write_text(json.dumps(config))

    async def wait_ready(self):
        for _ in range(300):
            await asyncio.sleep(0.1)
            if self.process.returncode is not None:
                raise CouldNotRunError(f"the assigner ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(message("hb"))
                words = await asyncio.wait_for(read_message(reader), 5)
                writer.transport.abort()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                continue
            if words == ["hb_ok"]:
                self.ready_at = time.monotonic()
                self.record.line(f"assigner {self.name} ready")
                return
        raise CouldNotRunError("the assigner was not ready within 30 s")

    async def measure_lag(self):
        """Note how late this program's own timers are, which would falsify its times."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.most_lag_s = max(self.most_lag_s, time.monotonic() - before - 0.01)

    def add_proxy(self, zone, rate, node=None):
        entries = [item["id"] for item in self.discovery.listed() if item["zone"] == zone]
        standing = self.rng.sample(entries, min(len(entries), self.family["initial_set"]))
        proxy = Proxy(self, len(self.proxies) if node is None else node, zone, rate, standing)
        self.proxies.append(proxy)
        return proxy

    async def send_requests(self, proxy):
        """Send the requests of one proxy, class by class in turn."""
        await asyncio.sleep(self.rng.random() / proxy.rate)
        due = time.monotonic()
        while True:
            for name in self.classes:
                due += 1 / proxy.rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                self.request(proxy, name)

    def request(self, proxy, name):
        proxy.counts[name] += 1
        if self.rng.random() >= min(1.0, proxy.levels.get(name, 1.0)):
            return
        task = proxy.pick(name)
        if task is not None:
            key = proxy.zone, task
            self.found[key] = self.found.get(key, 0) + 1
        self.record.line(f"request {proxy.node} {name} -> {task}")
        self.on_request(proxy, name, task)

    async def report(self, late_s=0.5):
        """Gather sums once per period and send them late, the oldest first, at the pace of the settings."""
        for zone in self.settings["zones"]:
            _, writer = await asyncio.open_connection(*self.listen)
            writer.write(message("telemetry", "locality", zone))
            self.collectors[zone] = writer
        self.start_task(self.send_reports())
        period = self.family["period"]
        while True:
            await asyncio.sleep(period)
            due = time.monotonic() + late_s
            self.gather(due, period * 1000)

    def gather(self, due, interval_ms):
        found, self.found = self.found, {}
        for (zone, task), total in found.items():
            words = ("upstream_stats", "locality", zone, "endpoint", task, "total", total, "errors", 0)
            metrics = f"util:{self.utilization},queue:0"
            self.reports.append(
                (due, self.collectors[zone], message(*words, "rtt", 190, "interval", interval_ms, "metrics", metrics))
            )
        for proxy in self.proxies:
            for name, total in proxy.counts.items():
                words = ("client_stats", "node", proxy.node, "route", name, "total", total, "errors", 0)
                if proxy.joined_at is not None:
                    self.reports.append((due, proxy.writer, message(*words, "interval", interval_ms)))
                proxy.counts[name] = 0

    async def send_reports(self):
        while True:
            await asyncio.sleep(1 / self.family["intake_per_s"])
            if self.reports and self.reports[0][0] <= time.monotonic():
                _, writer, line = self.reports.popleft()
                if not writer.is_closing():
                    writer.write(line)

    def cannot_run(self, text):
        """Make the case end with 2; for callbacks, whose exceptions reach nobody."""
        self.faults.append(text)

    def fail(self, text):
        self.failures.append(text)
        self.record.line(f"BROKEN {text}")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in (*self.collectors.values(), *self.discovery.watches):
            writer.transport.abort()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 3)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self.process is not None:
            self.record.line(f"assigner {self.name} ended with {self.process.returncode}")
            log = (Path(self.folder.name) / "log").read_text(errors="replace").splitlines()
            for line in log[-5:]:
                self.record.line(f"log: {line[:600]}")
            self.folder.cleanup()
        await asyncio.sleep(0.1)


def main(play, platform, *others):
    """Play a case around one or several assigners.

    Exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
    """

    async def run():
        try:
            await asyncio.wait_for(play(platform, *others), 112)
            for one in (platform, *others):
                if one.faults:
                    raise CouldNotRunError(one.faults[0])
                if one.process.returncode is not None:
                    raise CouldNotRunError(f"assigner {one.name} ended with {one.process.returncode}")
        finally:
            for one in (platform, *others):
                await one.stop()

    try:
        asyncio.run(run())
        if platform.most_lag_s > 0.25:
            raise CouldNotRunError(f"the stand-ins were {platform.most_lag_s:.3f} s late")
    except (CouldNotRunError, OSError, TimeoutError) as error:
        platform.record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    print(f"{len(platform.failures)} times broken; first: {platform.failures[:1]}")
    sys.exit(1 if platform.failures else 0)
