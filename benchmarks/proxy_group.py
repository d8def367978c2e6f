"""Process with a group of a benchmark's proxies; it reports over pipes whether they hold the expected tables."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import gevent
import msgspec
import zmq.green as zmq
from gevent import socket
from gevent.fileobject import FileObject
from service_process import METHODS, name_of

from hollyridge.client import ChpGateway
from hollyridge.sasp.client import ConnectionLostError, HeldWeights, LoadBalancerClient

TIMEOUT_S = 60.0  # of a proxy's requests
SLOW_READ_S = 0.05  # time that a slow proxy takes for each message
SOCKETS_PER_PROXY = 3  # in the CHP protocol
SPARE_SOCKETS = 100
PROGRAM = Path(__file__).with_name("fronts.py")


class GroupSpec(NamedTuple):
    """Specification of a group.

    Attributes:
        front: Protocol of the proxies, `sasp` or `clone`.
        port: Port of the assigner's server for this protocol.
        first: Number of the first proxy of the group.
        count: Number of proxies.
        slow: Number of proxies that read slowly.
    """

    front: str
    port: int
    first: int
    count: int
    slow: int


class ExpectedTables(NamedTuple):
    """Tables that every fast proxy is expected to hold.

    Attributes:
        present: Tasks that must be in the tables of a zone's proxies, by the second octet of the zone's addresses.
        absent: Task that must be in no table; empty for none.
    """

    present: dict[str, list[str]]
    absent: str


class GroupState(NamedTuple):
    """State of a group.

    Attributes:
        complete: Whether every fast proxy holds the expected table.
        received_bytes: Bytes that all proxies have received so far.
        messages: Number of messages that all proxies have received so far.
    """

    complete: bool
    received_bytes: int
    messages: int


class Proxy:
    """Proxy that uses one of the protocols and keeps its table for the first method."""

    def __init__(self, number: int, spec: GroupSpec, context: zmq.Context, slow: bool) -> None:
        self.uid = f"gw-{number}"
        self.zone_octet = 1 + number % 3
        self.source = f"127.{self.zone_octet}.9.{1 + number // 3 % 250}"
        self.slow = slow
        self.received_bytes = 0
        self.messages = 0
        self.tasks: set[str] = set()
        self.context = context
        gevent.spawn(self.run_sasp if spec.front == "sasp" else self.run_chp, spec.port)

    def count(self, raw: bytes | list[bytes]) -> None:
        """Count a received message; a slow proxy then waits."""
        self.messages += 1
        self.received_bytes += len(raw) if isinstance(raw, bytes) else sum(map(len, raw))
        if self.slow:
            gevent.sleep(SLOW_READ_S)

    def run_sasp(self, port: int) -> None:
        """Receive updates by SASP until the connection ends."""
        client = LoadBalancerClient(
            ("127.0.0.1", port),
            self.uid,
            source=self.source,
            timeout=TIMEOUT_S,
            connect=socket.create_connection,
            on_receive=self.count,
        )
        client.start(METHODS)
        weights = HeldWeights()
        try:
            while pushed := client.receive():
                weights.handle_message(pushed[1].groups)
                self.tasks = {name_of(member) for member in weights.lines(METHODS[0])}
        except ConnectionLostError:
            return

    def run_chp(self, port: int) -> None:
        """Receive updates by CHP until the program ends."""
        options = {"zmq": zmq, "context": self.context, "source": self.source, "on_receive": self.count}
        gateway = ChpGateway(("127.0.0.1", port), self.uid, list(METHODS), options, sleep=gevent.sleep)

        def store_tasks(_: ChpGateway) -> None:
            self.tasks = set(gateway.table_for(METHODS[0]))

        gateway.on_change(store_tasks)
        gateway.run()

    def holds(self, expected: ExpectedTables) -> bool:
        """Return whether the proxy holds the expected table."""
        present = set(expected.present.get(str(self.zone_octet), ()))
        return bool(self.tasks) and expected.absent not in self.tasks and present <= self.tasks


class ProxyGroup:
    """Handle of a group's process, which is killed on leaving the context."""

    def __init__(self, spec: GroupSpec) -> None:
        self.process = subprocess.Popen(
            [sys.executable, str(PROGRAM), "--crowd", msgspec.json.encode(spec).decode()],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def __enter__(self) -> ProxyGroup:
        return self

    def __exit__(self, *exception: object) -> None:
        self.process.kill()
        self.process.wait()

    def query(self, expected: ExpectedTables) -> GroupState:
        """Send the expected tables and wait for the state of the group."""
        self.process.stdin.write(msgspec.json.encode(expected) + b"\n")
        self.process.stdin.flush()
        return msgspec.json.decode(self.process.stdout.readline(), type=GroupState)


def run_group(raw_spec: str) -> None:
    """Run the proxies of a group, and answer queries from standard input until it is closed."""
    spec = msgspec.json.decode(raw_spec, type=GroupSpec)
    context = zmq.Context()
    context.max_sockets = SOCKETS_PER_PROXY * spec.count + SPARE_SOCKETS
    proxies = [Proxy(spec.first + index, spec, context, index < spec.slow) for index in range(spec.count)]
    for line in FileObject(sys.stdin.buffer, "rb"):
        expected = msgspec.json.decode(line, type=ExpectedTables)
        state = GroupState(
            complete=all(proxy.holds(expected) for proxy in proxies if not proxy.slow),
            received_bytes=sum(proxy.received_bytes for proxy in proxies),
            messages=sum(proxy.messages for proxy in proxies),
        )
        sys.stdout.buffer.write(msgspec.json.encode(state) + b"\n")
        sys.stdout.buffer.flush()
