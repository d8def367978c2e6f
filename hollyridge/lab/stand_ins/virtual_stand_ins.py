"""Proxies, tasks and agents of the simulated environment: the same stand-ins, on simulated connections."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from hollyridge.client.gateway import Gateway
from hollyridge.lab.stand_ins import rpc
from hollyridge.lab.stand_ins.agent import Agent
from hollyridge.lab.stand_ins.command_handler import CommandHandler
from hollyridge.lab.stand_ins.gateways import VirtualChpGateway, VirtualRegistrar, VirtualSaspGateway
from hollyridge.lab.stand_ins.proxy import Proxy
from hollyridge.lab.stand_ins.simulation import AssignerProcess, Simulation
from hollyridge.lab.stand_ins.sockets import Context, ZmqModule
from hollyridge.lab.stand_ins.task import Task
from hollyridge.lab.stand_ins.task_connection import CONNECT_TIMEOUT_S
from hollyridge.lab.stand_ins.task_model import TaskSpec
from hollyridge.otlp.sender import MetricPoint
from hollyridge.sasp.client import ConnectionLostError

AGENT_POLL_INTERVAL_S = 0.02  # between two checks for changes to send
AGENT_RETRY_DELAY_S = 0.2  # pause before a new stream


class VirtualConnection:
    """Connection of a proxy to one task, opened by the first RPC."""

    def __init__(self, simulation: Simulation, proxy: Proxy, task_key: str) -> None:
        self.simulation = simulation
        self.proxy = proxy
        self.task_key = task_key
        self.task: Task | None = None
        same_zone = proxy.host.split(".")[1] == task_key.split(".")[1]
        self.one_way_ms = simulation.net.near_ms if same_zone else simulation.net.far_ms

    def _delay_s(self) -> float:
        return self.simulation.delay_s(self.one_way_ms)

    def _connect(self, task: Task | None, timeout_s: float) -> bool:
        """Connect to `task`, which listens at the address now, and return whether it is connected."""
        world = self.simulation.world
        if task is not None and task is self.task and not task.down:
            return True
        if task is not None and task.silent and task is not self.task:
            world.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            return False
        if task is None or task.down:
            self.task = None
            world.sleep(self._delay_s() * 2)
            return False
        world.sleep(self._delay_s() * 2 + task.connect_delay_s)
        if not task.connect():
            return False
        self.task = task
        return True

    def call(self, call: rpc.Call, timeout_s: float) -> tuple[int, rpc.Answer | None]:
        """Send an RPC and return its outcome and answer. The outcome `NOT_SENT` proves that it never ran."""
        world = self.simulation.world
        task = self.simulation.tasks_by_key.get(self.task_key)
        if not self._connect(task, timeout_s):
            return rpc.NOT_SENT, None
        result = world.result()
        world.spawn_later(
            self._delay_s(),
            task.receive_rpc,
            call,
            lambda answer: world.spawn_later(self._delay_s(), result.set, answer),
        )
        try:
            answer = result.get(timeout=timeout_s)
        except TimeoutError:
            return rpc.NO_ANSWER, None
        return (answer.outcome if answer else rpc.NO_ANSWER), answer

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self.task is not None:
            self.task.disconnect()
            self.task = None


class VirtualProxy(Proxy):
    """Proxy with simulated connections, clock and load reports."""

    def __init__(self, simulation: Simulation, **options: object) -> None:
        self.simulation = simulation
        super().__init__(simulation.world, record=simulation.record, **options)

    def create_gateway(self, front: str, first_table: list[str]) -> Gateway:
        """Return a gateway for one protocol, with the tasks of its first table."""
        simulation = self.simulation
        options = {
            "standing": dict.fromkeys(first_table, 1.0),
            "pick": self.plan.pick,
            "rng": self.rng,
            "sleep": self.world.sleep,
            "clock": self.now_s,
            "numbers_from": self.wall_clock_ns() >> 16,
        }
        if front == "sasp":
            return VirtualSaspGateway(simulation, self, **options)
        context = Context(
            simulation.network, cut=lambda _endpoint: self.gateway.assigner_index in self.unreachable_assigners
        )
        connection_options = {
            "source": self.host,
            "zmq": ZmqModule(self.world),
            "context": context,
            "on_receive": lambda parts: self.record.parts("told", self.uid, self.stream, parts),
        }
        return VirtualChpGateway(
            simulation.addresses["clone"], self.uid, self.names, connection_options, before_update=self.apply, **options
        )

    def wall_clock_ns(self) -> int:
        """Return the time of the simulated clock in nanoseconds."""
        return self.world.now() * 1000

    def dial(self, task: str) -> VirtualConnection:
        """Return a connection to the task at this address."""
        return VirtualConnection(self.simulation, self, task)

    def send_report(self, metric_points: list[MetricPoint]) -> None:
        """Pass a load report to the assigner without OTLP encoding."""
        self.simulation.processes[self.gateway.assigner_index].report(self.uid, metric_points)


class VirtualCommandHandler(CommandHandler):
    """Command handler that runs tasks and proxies in this process, on simulated connections."""

    def __init__(self, simulation: Simulation, on_message: Callable[[dict], None]) -> None:
        """Create a handler without stand-ins.

        Args:
            simulation: Simulation that the stand-ins run in.
            on_message: Function that is called with each message that a worker process would write.
        """
        self.simulation = simulation
        self.on_message = on_message
        self.tasks: dict[str, Task] = {}
        self.proxies: dict[str, VirtualProxy] = {}
        self.effects: dict[str, int] = {}

    def do_task(self, name: str, host: str, port: int, run: str, build: dict, **options: object) -> None:
        """Start a task; port 0 selects a free port."""
        simulation = self.simulation
        if not port:
            simulation.last_task_port += 1
        key = f"{host}:{port or simulation.last_task_port}"
        task = Task(
            simulation.world,
            name,
            key,
            run=run,
            build=TaskSpec(**build),
            effects=self.effects,
            record=simulation.record,
            on_crash=lambda task: self.on_message({"fell": task.name}),
            **options,
        )
        self.tasks[name] = simulation.tasks_by_key[key] = task
        self.on_message({"started": name, "key": key, "run": run})

    def do_proxy(self, **options: object) -> None:
        """Start a proxy."""
        self.proxies[options["uid"]] = VirtualProxy(self.simulation, **options)


class VirtualAgent(Agent):
    """Agent of one assigner, on simulated connections."""

    def __init__(self, process: AssignerProcess) -> None:
        self.process = process
        simulation = process.simulation
        fleet = simulation.scenario.config.sasp.fleet
        super().__init__(("", 0), fleet, simulation.record, simulation.world.spawn, process.number)

    def run(self) -> None:
        """Keep a stream to the assigner open forever."""
        world = self.process.simulation.world
        while True:
            if self.process.service is None:
                world.sleep(AGENT_RETRY_DELAY_S)
                continue
            self.stream += 1
            client = VirtualRegistrar(self.process, self.fleet, self.name, self.stream)
            self.registered = {}
            self.sync_needed.set()
            with suppress(ConnectionLostError):  # recorded below like any other end
                self._keep_in_sync(client)
            self.record("stream", who=self.name, stream=self.stream, up=False)
            world.sleep(AGENT_RETRY_DELAY_S)

    def _keep_in_sync(self, client: VirtualRegistrar) -> None:
        world = self.process.simulation.world
        while client.connected:
            while self.process.stalled_until_us > world.now():
                world.sleep(AGENT_POLL_INTERVAL_S)
            if self.sync_needed.is_set():
                self.sync_needed.clear()
                self.sync(client)
            world.sleep(AGENT_POLL_INTERVAL_S)
