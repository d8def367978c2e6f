"""A stand-in proxy: holds tables, sends its clients' RPCs, reports what it met, and has a real proxy's faults."""

from __future__ import annotations

import time
from collections import defaultdict
from random import Random
from typing import ClassVar, Protocol

import gevent
import msgspec
import zmq.green as zmq

from hollyridge.client import ChpGateway, Gateway, Reporter, SaspGateway
from hollyridge.lab.environment import World
from hollyridge.lab.reports.record import Recorder
from hollyridge.lab.stand_ins import rpc
from hollyridge.lab.stand_ins.clients import Clients
from hollyridge.lab.stand_ins.proxy_plan import ProxyPlan
from hollyridge.lab.stand_ins.task_connection import TaskConnection
from hollyridge.otlp.sender import MetricPoint

RECEIVE_S = 0.5  # how often a SASP stream without news is known to stand
READ_POLL_S = 0.05  # how often one that has stopped reading looks whether it may go on
MIN_TIMEOUT_S = 0.01
MIN_LEFT_S = 0.001  # of an RPC's time, behind a slow link
AVOID_S = (2.0, 4.0)  # how long an outlier is avoided
REPORT_JITTER_S = 0.1


class Connection(Protocol):
    """A connection to one task, real or simulated."""

    def call(self, call: rpc.Call, timeout_s: float) -> tuple[int, rpc.Answer | None]:
        """Send an RPC; returns its outcome and answer."""

    def close(self) -> None:
        """Close the connection, if it is open."""


class Proxy:
    """A proxy with its clients. Sockets and clock are real here; `VirtualProxy` simulates them.

    Attributes:
        stream: Counts the streams to assigners, for recordings.
        in_flight: RPCs without an answer, by task.
        rate_factors: What faults multiply the clients' RPCs by, by cause.
        unreachable_zones: Second octets of addresses that no RPC reaches.
        unreachable_assigners: Assigners that no stream or report reaches.
        link_faults: By second octet of addresses: seconds more each way, fraction lost.
        report_delay_s: How much later reports leave.
        reading_stopped: Whether it reads nothing from its stream.
        read_delay_s: How much longer it takes to read an update.
    """

    FAULT_ATTRIBUTES: ClassVar[frozenset[str]] = frozenset(
        {
            "unreachable_zones",
            "unreachable_assigners",
            "link_faults",
            "report_delay_s",
            "reading_stopped",
            "read_delay_s",
        }
    )

    def __init__(  # noqa: PLR0913 - what the command that starts a proxy says, by name
        self,
        world: World,
        uid: str,
        *,
        host: str,
        zone: str,
        rate: float,
        plan: ProxyPlan | dict,
        standing: list[str],
        seed: int,
        record: Recorder,
        home: int = 0,
    ) -> None:
        """Start a proxy.

        Args:
            world: Time and waiting.
            uid: Its name.
            host: The address it connects from.
            zone: Where it is.
            rate: RPCs a second of its clients.
            plan: What it goes by.
            standing: The tasks of its first table.
            seed: Of its own randomness.
            record: Takes what happens.
            home: The assigner that it dials first.
        """
        self.world = world
        self.uid = uid
        self.host = host
        self.plan = msgspec.convert(plan, ProxyPlan)
        self.record = record
        self.rng = Random(seed)
        self.methods = self.plan.methods
        self.names = [method.name for method in self.methods]
        self._record_start(zone, standing)
        self.stream = 0
        self.connections: dict[str, Connection] = {}
        self.in_flight: dict[str, int] = defaultdict(int)
        self.failed: dict[str, int] = defaultdict(int)  # in a row, by task
        self.avoid_until: dict[str, float] = {}
        self.reporter = Reporter(uid, zone)
        self.down = False
        self.stalled_until = 0
        self.rate_factors: dict[str, float] = {}
        self._clear_faults()
        self.gateway = self._open_gateway(standing, home)
        self.clients = Clients(self, rate, seed)
        self.jobs = [world.spawn(job) for job in (self.gateway.run, self.clients.run, self._report)]

    def _clear_faults(self) -> None:
        self.unreachable_zones: set[str] = set()
        self.unreachable_assigners: set[int] = set()
        self.link_faults: dict[str, list] = {}
        self.report_delay_s = 0.0
        self.reading_stopped = False
        self.read_delay_s = 0.0

    def _record_start(self, zone: str, standing: list[str]) -> None:
        groups = list(dict.fromkeys(method.group for method in self.methods))
        self.record(
            "standing",
            proxy=self.uid,
            zone=zone,
            tasks=standing,
            groups=groups,
            names=self.names,
            front=self.plan.front,
        )

    # Streams to assigners.

    def _open_gateway(self, standing: list[str], home: int) -> Gateway:
        gateway = self.open(self.plan.front, standing)
        gateway.assigner_index = home % gateway.assigner_count
        gateway.on_change(self._close_unused)
        gateway.on_change(
            lambda changed: self.record(
                "applied", proxy=self.uid, assigner=changed.assigner_index, asked=changed.fencing.accepted_token
            )
        )
        gateway.on_session_change = self._on_session
        return gateway

    def open(self, front: str, standing: list[str]) -> Gateway:
        """The gateway for one protocol, with a first table of `standing`."""
        terms = {
            "standing": dict.fromkeys(standing, 1.0),
            "pick": self.plan.pick,
            "rng": self.rng,
            "sleep": gevent.sleep,
        }
        if front == "sasp":
            return self._open_sasp(terms)
        connection_options = {
            "source": self.host,
            "zmq": zmq,
            "on_receive": lambda parts: self.record.parts("told", self.uid, self.stream, parts),
        }
        return ChpGateway(self.plan.clone, self.uid, self.names, connection_options, before_update=self.apply, **terms)

    def _open_sasp(self, terms: dict) -> Gateway:
        connection_options = {
            "source": self.host,
            "on_receive": lambda raw: self.record.frame("heard", self.uid, self.stream, raw),
            "on_send": lambda raw: self.record.frame("said", self.uid, self.stream, raw),
        }
        return SaspGateway(
            self.plan.sasp,
            self.uid,
            self.names,
            {method.name: method.group for method in self.methods},
            connection_options,
            receive_s=RECEIVE_S,
            before_update=lambda groups: self.apply(sum(len(group.weights) for group in groups)),
            **terms,
        )

    def _on_session(self, begins: bool) -> None:
        if begins and self.gateway.assigner_index in self.unreachable_assigners:
            raise ConnectionError("no way to the assigner")
        self.stream += begins
        self.record(
            "stream",
            who=self.uid,
            stream=self.stream,
            up=begins,
            why=self.gateway.end_reason,
            assigner=self.gateway.assigner_index,
        )

    def apply(self, lines: int) -> None:
        """Take the time that an update of so many lines takes to read and apply."""
        self.world.sleep(self.plan.apply_us * lines / 1e6 + self.read_delay_s)
        while self.reading_stopped:
            self.world.sleep(READ_POLL_S)
        self.wait_while_stalled()

    def pause(self, seconds: float) -> None:
        """Get no turn for a while."""
        self.stalled_until = self.world.now() + round(seconds * 1e6)

    def wait_while_stalled(self) -> None:
        """Wait for a turn."""
        while self.stalled_until > self.world.now():
            self.world.sleep((self.stalled_until - self.world.now()) / 1e6)

    def disconnect(self) -> None:
        """End the stream to the assigner, if there is one."""
        self.gateway.disconnect()

    def _close_unused(self, gateway: Gateway) -> None:
        """Close connections to tasks that no table has any more."""
        used = {task for lines in gateway.tables.values() for task in lines}
        for task in [task for task in self.connections if task not in used and not self.in_flight[task]]:
            self.connections.pop(task).close()

    # What a simulated proxy has otherwise.

    def seconds(self) -> float:
        """Monotonic time."""
        return self.world.now() / 1e6

    def wall(self) -> int:
        """Time of day (ns)."""
        return time.time_ns()

    def dial(self, task: str) -> Connection:
        """A connection to the task at this address."""
        return TaskConnection(task)

    def send_report(self, metric_points: list[MetricPoint]) -> None:
        """Send a load report to the assigner that it goes to."""
        self.reporter.send(self.plan.otlp[self.gateway.assigner_index], metric_points, gevent.sleep)

    # RPCs.

    def send(self, call: rpc.Call, deadline_s: float) -> int:
        """One attempt at an RPC, by a line of the method's table; returns its outcome."""
        now, name = self.seconds(), self.names[call.method]
        avoid = {task for task, until in self.avoid_until.items() if until > now}
        task = self.gateway.pick(name, self.in_flight.__getitem__, avoid)
        if task is None:
            self.record("no_line", proxy=self.uid, method=call.method)
            return rpc.NOT_SENT
        if task not in self.connections:
            self.connections[task] = self.dial(task)
        timeout_s = max(MIN_TIMEOUT_S, (deadline_s - now) * self.plan.try_share)
        self.record("try", proxy=self.uid, task=task, method=call.method, token=call.token)
        self.in_flight[task] += 1
        outcome, answer = self._call_over_link(self.connections[task], task.split(".")[1], call, timeout_s)
        self.in_flight[task] -= 1
        self.reporter.add_attempt(task, name, outcome == rpc.OK, self.seconds() - now)
        self._count_failures(task, outcome, now)
        if answer is not None:
            self.reporter.set_load(task, util=answer.util, queue=answer.queue)
        return outcome

    def _count_failures(self, task: str, outcome: int, begun_s: float) -> None:
        """Avoid a task for a while that failed too often in a row."""
        if outcome == rpc.OK:
            self.failed[task] = 0
            return
        self.failed[task] += 1
        limit = self.plan.outlier_after
        if limit and self.failed[task] >= limit:
            self.failed[task] = 0
            self.avoid_until[task] = begun_s + self.rng.uniform(*AVOID_S)

    def _call_over_link(
        self, connection: Connection, octet: str, call: rpc.Call, timeout_s: float
    ) -> tuple[int, rpc.Answer | None]:
        """Call over the link to a zone, with its faults.

        What is lost is lost on the way there or on the way back; what comes back too late has run.
        """
        delay_s, lost = self.link_faults.get(octet, (0.0, self.plan.lost))
        if octet in self.unreachable_zones or (lost and self.rng.random() < lost):
            self.world.sleep(timeout_s)
            return rpc.NO_ANSWER, None
        if not (delay_s or lost):
            return connection.call(call, timeout_s)
        begun_s = self.seconds()
        self.world.sleep(min(delay_s, timeout_s))
        left_s = timeout_s - 2 * delay_s
        outcome, answer = connection.call(call, max(left_s, MIN_LEFT_S))
        remaining_s = begun_s + timeout_s - self.seconds()
        if answer is not None and (left_s <= 0 or self.rng.random() < lost):
            outcome, answer = rpc.NO_ANSWER, None
        self.world.sleep(remaining_s if outcome == rpc.NO_ANSWER else min(delay_s, remaining_s))
        return outcome, answer

    # Load reports.

    def _report(self) -> None:
        period_s = self.plan.period_us / 1e6
        self.world.sleep(self.rng.uniform(0, period_s))
        begun = self.wall()
        while not self.down:
            self.world.sleep(period_s)
            end = self.wall()
            metric_points = self.reporter.metric_points(begun, end)
            begun = end
            if metric_points:
                delay_s = self.report_delay_s + self.rng.uniform(0, REPORT_JITTER_S)
                self.world.later(delay_s, self._post, metric_points)

    def _post(self, metric_points: list[MetricPoint]) -> None:
        if not self.down and self.gateway.assigner_index not in self.unreachable_assigners:
            self.send_report(metric_points)

    # Its end.

    def stop(self) -> None:
        """End at once."""
        self.down = True
        self.gateway.stop()
        gevent.killall([job for job in self.jobs if job is not None], block=False)
        for connection in self.connections.values():
            connection.close()
        self.record("proxy_down", proxy=self.uid)
