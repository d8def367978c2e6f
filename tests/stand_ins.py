"""Stand-ins for the platform in tests: discovery over HTTP, clients over RESP2, a configuration, the node process."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from hollyridge.resp.codec import FrameReader, encode

ROOT = Path(__file__).parents[1]
ZONES, METHOD_NAMES = ["khalda", "sahab"], ["read-chapter", "redeem-code"]
SETTINGS = {
    "balancers": 1,
    "discovery": "subscribe",
    "zones": ZONES,
    "round": 0.005,
    "weights": "rough",
    "profiles": [
        {
            "name": METHOD_NAMES[0],
            "slo": 0.5,
            "deadline": 1.5,
            "worth": 3.0,
            "repeat": "repeatable",
            "group": "all",
            "window": 5.0,
            "late_share": 0.2,
        },
        {
            "name": METHOD_NAMES[1],
            "slo": 0.6,
            "deadline": 1.5,
            "worth": 2.0,
            "repeat": "once",
            "group": "all",
            "window": 5.0,
            "late_share": 0.1,
        },
    ],
    "family_info": {
        "admit": "fraction",
        "agents": 400,
        "bare": 5.0,
        "counted_over": 10.0,
        "initial_set": 5,
        "lines_per_s": 2900.0,
        "messages_most": 30,
        "most_waiting": 5800.0,
        "one_owner": False,
        "outlier_after": 3,
        "overhead": 10.0,
        "partitions_n": 0,
        "per_try": 1.2,
        "period": 0.4,
        "pick": "p2c",
        "retry_default": 0,
        "transit": 0.1,
        "worst_transit": 0.3,
        "class_own_zone": [False, False],
    },
    "report": {"how": "inline", "names": ["util", "queue"]},
    "rules": {
        "ask_within": 10.0,
        "cold_from": 0.2,
        "drain_grace": 3.0,
        "fall": 2.0,
        "fall_multiple": 4.0,
        "warm_up": 10.0,
    },
    "tariffs": {"cross_zone": 0.12},
}
CONFIG_DOCUMENT = {
    "name": "n3",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "8c1f",
    "settings": SETTINGS,
}


def server(name, zone=0, state="in_service", started_ms=0, **more):
    return {
        "id": name,
        "addr": "10.1.0.18:8081",
        "zone": ZONES[zone],
        "kind": "m2",
        "cell": 3,
        "state": state,
        "weight": 1.0,
        "started_ms": started_ms,
        **more,
    }


def list_page(version, servers, full=True):
    return {"version": version, "full": full, "servers": servers}


def field_parts(**fields):
    return [part.encode() for name, value in fields.items() for part in (name, str(value))]


def message(kind, **fields):
    return encode([kind.encode(), *field_parts(**fields)])


def wait_for(condition, seconds=8.0):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.01)
    raise AssertionError(f"the condition did not hold within {seconds} s")


class DiscoveryServer:
    """HTTP server that answers each watch with the first list and with the updates published later.

    Attributes:
        first: List that a new watch receives.
        beat: Interval between heartbeats, in seconds.
        mode: Behavior on a request: "ok", "refuse" (503) or "hang".
        requests: Time and target of each request.
        open: Sockets of the open watches.
        invalid_page: Bytes that a new watch receives instead of the list, if not empty.
    """

    def __init__(self, first, beat=0.3):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.first, self.beat, self.mode = first, beat, "ok"
        self.requests, self.open, self.lock = [], [], threading.Lock()
        self.invalid_page = b""
        self.stopped = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.stopped:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                piece = sock.recv(4096)
                if not piece:
                    return
                head += piece
            self.requests.append((time.monotonic(), head.split(b" ")[1].decode()))
            if self.mode == "hang":
                time.sleep(30)
            if self.mode == "refuse":
                sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                sock.close()
                return
            with self.lock:
                sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.put(sock, self.invalid_page or json.dumps(self.first).encode())
                self.open.append(sock)
            while not self.stopped:
                time.sleep(self.beat)
                with self.lock:
                    self.put(sock, b"")
        except OSError:
            pass

    @staticmethod
    def put(sock, line):
        line += b"\n"
        sock.sendall(b"%x\r\n%b\r\n" % (len(line), line))

    def publish(self, update):
        with self.lock:
            for sock in self.open:
                with contextlib.suppress(OSError):
                    self.put(sock, json.dumps(update).encode())

    def stop(self):
        self.stopped = True
        self.sock.close()
        for sock in self.open:
            sock.close()


def apply_lines(table, fields):
    """Apply the lines of an `assign` message, given by its fields, to the table that a proxy holds."""
    if fields.get(b"whole") == b"1":
        table.clear()
    for pair in filter(None, fields.get(b"lines", b"").split(b",")):
        name, weight = pair.decode().split(":")
        table[name] = float(weight)
        if float(weight) == 0:
            del table[name]


class RespClient:
    """A RESP2 client of the assigner: a proxy if it has a node number, otherwise one that has not joined.

    Attributes:
        received: Messages received so far.
        table: Weight of each task in the proxy's table.
        levels: Admission level and retry mode, by methods.
        marks: Marks that the proxy has acknowledged.
    """

    def __init__(self, port, node=None, zone=0):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=8)
        self.reader, self.received = FrameReader(), []
        self.node, self.table, self.levels, self.marks = node, {}, {}, []
        if node is not None:
            self.send("attach", node=node, locality=ZONES[zone], w=5.0, cold=1)

    def send(self, kind, **fields):
        self.sock.sendall(message(kind, **fields))

    def receive(self, seconds=0.05):
        """Read until no message arrives for this time; return all messages so far, or None once closed."""
        self.sock.settimeout(seconds)
        try:
            while True:
                chunk = self.sock.recv(65536)
                if not chunk:
                    return None
                for parts in self.reader.feed(chunk):
                    self.received.append(parts)
                    self.apply_assign(parts)
        except TimeoutError:
            return self.received
        except ConnectionError:
            return None

    def apply_assign(self, parts):
        fields = dict(zip(parts[1::2], parts[2::2]))
        if parts[0] != b"assign":
            return
        if fields.get(b"whole") == b"1":
            self.levels = {}
        apply_lines(self.table, fields)
        if b"level" in fields:
            self.levels[fields.get(b"classes", b"all").decode()] = float(fields[b"level"]), int(fields[b"retry"])
        if b"ticket" in fields:
            self.marks.append(int(fields[b"ticket"]))
            self.send("done", node=self.node, nonce=fields[b"ticket"].decode(), latency=120.0)

    def wait_for_table(self, names, seconds=8.0):
        wait_for(lambda: self.receive() is not None and set(self.table) == set(names), seconds)

    def closed(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.receive() is None:
                return True
        return False


class NodeProcess:
    """A running node process with a configuration file in `folder`."""

    def __init__(self, folder, discovery, known=None, sockets=512, settings=SETTINGS, log=None, **more):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.path = folder / "config.json"
        self.document = {
            "name": "n3",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "settings": settings,
            **more,
        }
        if known is not None:
            self.document["known"] = known
        self.write(json.dumps(self.document))
        self.log = (folder / "log").open("w+") if log is None else log
        self.start()

    def start(self):
        """Start the process with the current configuration file and return it."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hollyridge.node"],
            cwd=ROOT,
            stderr=self.log,
            stdout=self.log,
            env={**os.environ, "BALANCER_CONFIG": str(self.path)},
        )
        return self.process

    def write(self, text):
        self.path.write_text(text)

    def wait_until_ready(self):
        def is_answering():
            assert self.process.poll() is None, self.read_log()
            try:
                peer = RespClient(self.port)
            except OSError:
                return False
            peer.send("hb")
            return wait_for(peer.receive) == [[b"hb_ok"]]

        wait_for(is_answering)
        return self

    def read_log(self):
        return (self.path.parent / "log").read_text()

    def wait_for_log(self, text, seconds=8.0):
        wait_for(lambda: text in self.read_log(), seconds)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        """Send SIGTERM and return the exit code and the seconds until the process ended."""
        started_s = time.monotonic()
        self.signal(signal.SIGTERM)
        return self.process.wait(10), time.monotonic() - started_s
