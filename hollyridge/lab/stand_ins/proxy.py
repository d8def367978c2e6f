"""Stand-in proxy: holds tables, sends its clients' RPCs, sends load reports, and has the faults of a real proxy."""

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

RECEIVE_INTERVAL_S = 0.5  # interval after which the gateway confirms that an idle SASP stream is open
READ_POLL_INTERVAL_S = 0.05  # interval at which a proxy that has stopped reading checks whether it may read again
MIN_TIMEOUT_S = 0.01  # minimum timeout of an attempt
MIN_REMAINING_S = 0.001  # minimum timeout of a call after the delay of a slow link
AVOID_S = (2.0, 4.0)  # range of the time for which an outlier is avoided
REPORT_JITTER_S = 0.1  # maximum random delay of a load report


class Connection(Protocol):
    """Connection to one task, real or simulated."""

    def call(self, call: rpc.Call, timeout_s: float) -> tuple[int, rpc.Answer | None]:
        """Send an RPC and return its outcome and its answer, if there is one."""

    def close(self) -> None:
        """Close the connection, if it is open."""


class Proxy:
    """A proxy with its clients, on real sockets and a real clock; `VirtualProxy` simulates these.

    Attributes:
        stream: Number of the current stream to an assigner, for recordings.
        in_flight: Number of RPCs without an answer, by task.
        consecutive_failures: Number of consecutive failures, by task.
        avoid_until: End of the time for which an outlier is avoided, in seconds, by task.
        down: Whether the proxy has stopped.
        stalled_until: End of the current stall, in microseconds.
        rate_factors: Factors by which faults multiply the clients' rate, by cause.
        unreachable_zones: Second octets of the addresses that RPCs do not reach.
        unreachable_assigners: Indices of the assigners that streams and reports do not reach.
        link_faults: (additional one-way delay in seconds, fraction lost), by second octet of addresses.
        report_delay_s: Additional delay of load reports, in seconds.
        reading_stopped: Whether the proxy reads nothing from its stream.
        read_delay_s: Additional time to read an update, in seconds.
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

    def __init__(  # noqa: PLR0913 - the keywords of the command that starts a proxy
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
            world: Clock and scheduler.
            uid: Name of the proxy.
            host: Address that it connects from.
            zone: Name of its zone.
            rate: Rate of its clients, in RPCs per second.
            plan: Configuration that it shares with the other proxies of its protocol.
            standing: Addresses of the tasks in its first table.
            seed: Seed of its random generator.
            record: Recorder of its events.
            home: Index of the assigner that it connects to first.
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
        self.consecutive_failures: dict[str, int] = defaultdict(int)
        self.avoid_until: dict[str, float] = {}
        self.reporter = Reporter(uid, zone)
        self.down = False
        self.stalled_until = 0
        self.rate_factors: dict[str, float] = {}
        self._clear_faults()
        self.gateway = self._make_gateway(standing, home)
        self.clients = Clients(self, rate, seed)
        self.jobs = [world.spawn(job) for job in (self.gateway.run, self.clients.run, self._report)]

    def _clear_faults(self) -> None:
        self.unreachable_zones: set[str] = set()
        self.unreachable_assigners: set[int] = set()
        self.link_faults: dict[str, list] = {}
        self.report_delay_s = 0.0
        self.reading_stopped = False
        self.read_delay_s = 0.0

    def _record_start(self, zone: str, first_table: list[str]) -> None:
        groups = list(dict.fromkeys(method.group for method in self.methods))
        self.record(
            "standing",
            proxy=self.uid,
            zone=zone,
            tasks=first_table,
            groups=groups,
            names=self.names,
            front=self.plan.front,
        )

    # Streams to assigners.

    def _make_gateway(self, first_table: list[str], home: int) -> Gateway:
        gateway = self.create_gateway(self.plan.front, first_table)
        gateway.assigner_index = home % gateway.assigner_count
        gateway.on_change(self._close_unused)
        gateway.on_change(
            lambda changed: self.record(
                "applied", proxy=self.uid, assigner=changed.assigner_index, asked=changed.fencing.accepted_token
            )
        )
        gateway.on_session_change = self._on_session
        return gateway

    def create_gateway(self, front: str, first_table: list[str]) -> Gateway:
        """Return a gateway for one protocol, with the tasks of its first table."""
        options = {
            "standing": dict.fromkeys(first_table, 1.0),
            "pick": self.plan.pick,
            "rng": self.rng,
            "sleep": gevent.sleep,
        }
        if front == "sasp":
            return self._create_sasp_gateway(options)
        connection_options = {
            "source": self.host,
            "zmq": zmq,
            "on_receive": lambda parts: self.record.parts("told", self.uid, self.stream, parts),
        }
        return ChpGateway(
            self.plan.clone, self.uid, self.names, connection_options, before_update=self.apply, **options
        )

    def _create_sasp_gateway(self, options: dict) -> Gateway:
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
            receive_s=RECEIVE_INTERVAL_S,
            before_update=lambda groups: self.apply(sum(len(group.weights) for group in groups)),
            **options,
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
        """Wait for the time that reading and applying an update of this many lines takes."""
        self.world.sleep(self.plan.apply_us * lines / 1e6 + self.read_delay_s)
        while self.reading_stopped:
            self.world.sleep(READ_POLL_INTERVAL_S)
        self.wait_while_stalled()

    def pause(self, seconds: float) -> None:
        """Stall the proxy for this time."""
        self.stalled_until = self.world.now() + round(seconds * 1e6)

    def wait_while_stalled(self) -> None:
        """Wait until the current stall is over."""
        while self.stalled_until > self.world.now():
            self.world.sleep((self.stalled_until - self.world.now()) / 1e6)

    def disconnect(self) -> None:
        """Close the stream to the assigner, if there is one."""
        self.gateway.disconnect()

    def _close_unused(self, gateway: Gateway) -> None:
        """Close the connections to tasks that are no longer in any table."""
        used = {task for lines in gateway.tables.values() for task in lines}
        for task in [task for task in self.connections if task not in used and not self.in_flight[task]]:
            self.connections.pop(task).close()

    # Clocks and connections, which a simulated proxy replaces.

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self.world.now() / 1e6

    def wall_clock_ns(self) -> int:
        """Return the time of day in nanoseconds."""
        return time.time_ns()

    def dial(self, task: str) -> Connection:
        """Return a connection to the task at this address."""
        return TaskConnection(task)

    def send_report(self, metric_points: list[MetricPoint]) -> None:
        """Send a load report to the current assigner."""
        self.reporter.send(self.plan.otlp[self.gateway.assigner_index], metric_points, gevent.sleep)

    # RPCs.

    def send(self, call: rpc.Call, deadline_s: float) -> int:
        """Make one attempt of an RPC at a task of the method's table, and return its outcome."""
        now, name = self.now_s(), self.names[call.method]
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
        self.reporter.add_attempt(task, name, outcome == rpc.OK, self.now_s() - now)
        self._count_failures(task, outcome, now)
        if answer is not None:
            self.reporter.set_load(task, util=answer.util, queue=answer.queue)
        return outcome

    def _count_failures(self, task: str, outcome: int, begun_s: float) -> None:
        """Count consecutive failures of a task, and avoid it for a while once there are too many."""
        if outcome == rpc.OK:
            self.consecutive_failures[task] = 0
            return
        self.consecutive_failures[task] += 1
        limit = self.plan.outlier_after
        if limit and self.consecutive_failures[task] >= limit:
            self.consecutive_failures[task] = 0
            self.avoid_until[task] = begun_s + self.rng.uniform(*AVOID_S)

    def _call_over_link(
        self, connection: Connection, zone_octet: str, call: rpc.Call, timeout_s: float
    ) -> tuple[int, rpc.Answer | None]:
        """Call a task over the link to its zone, which may be faulty, and return the outcome and the answer.

        Either the RPC or its answer may be lost. An RPC whose answer is lost or arrives too late has run all the same.
        """
        delay_s, lost = self.link_faults.get(zone_octet, (0.0, self.plan.lost))
        if zone_octet in self.unreachable_zones or (lost and self.rng.random() < lost):
            self.world.sleep(timeout_s)
            return rpc.NO_ANSWER, None
        if not (delay_s or lost):
            return connection.call(call, timeout_s)
        begun_s = self.now_s()
        self.world.sleep(min(delay_s, timeout_s))
        time_left_s = timeout_s - 2 * delay_s
        outcome, answer = connection.call(call, max(time_left_s, MIN_REMAINING_S))
        remaining_s = begun_s + timeout_s - self.now_s()
        if answer is not None and (time_left_s <= 0 or self.rng.random() < lost):
            outcome, answer = rpc.NO_ANSWER, None
        self.world.sleep(remaining_s if outcome == rpc.NO_ANSWER else min(delay_s, remaining_s))
        return outcome, answer

    # Load reports.

    def _report(self) -> None:
        period_s = self.plan.period_us / 1e6
        self.world.sleep(self.rng.uniform(0, period_s))
        begun = self.wall_clock_ns()
        while not self.down:
            self.world.sleep(period_s)
            end = self.wall_clock_ns()
            metric_points = self.reporter.metric_points(begun, end)
            begun = end
            if metric_points:
                delay_s = self.report_delay_s + self.rng.uniform(0, REPORT_JITTER_S)
                self.world.spawn_later(delay_s, self._post, metric_points)

    def _post(self, metric_points: list[MetricPoint]) -> None:
        if not self.down and self.gateway.assigner_index not in self.unreachable_assigners:
            self.send_report(metric_points)

    def stop(self) -> None:
        """Stop immediately."""
        self.down = True
        self.gateway.stop()
        gevent.killall([job for job in self.jobs if job is not None], block=False)
        for connection in self.connections.values():
            connection.close()
        self.record("proxy_down", proxy=self.uid)
