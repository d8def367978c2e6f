"""Simulated process of one assigner: the real service on a simulated clock, network and disk."""

from __future__ import annotations

from collections.abc import Callable
from copy import copy
from random import Random

from greenlet import GreenletExit

from hollyridge.decisions.assigner import Assigner
from hollyridge.lab.experiments.policies import POLICIES
from hollyridge.lab.reports.record import RECORDED_STATUS_KEYS
from hollyridge.lab.stand_ins.simulation import OTLP_PORT, SASP_PORT, US_PER_S, Simulation
from hollyridge.lab.stand_ins.sockets import Context
from hollyridge.otlp.reading import KIND_BY_METRIC
from hollyridge.otlp.sender import MetricPoint
from hollyridge.peers.peer_service import PeerConfig
from hollyridge.sasp.server import SaspServer
from hollyridge.service import Service, ServiceEnvironment
from hollyridge.settings.service_config import PeerAddress, ServiceConfig
from hollyridge.telemetry.report_aggregator import LOADS, DataPoint, Kind

STATE_INTERVAL_US = 500_000  # between two records of the assigner's status
CONNECTION_CHECK_S = 0.1  # interval between checks of the connections, as in the real server
MIN_RUN_INTERVAL_US = 500  # minimum time between two runs of the engine
SIMULATED_KEY = b"simulated" * 4  # key of the shared fleet


class SimulatedProcess:
    """Process that runs one assigner and starts it again after it was killed.

    Attributes:
        service: The assigner; None while it is down.
        names: Look-ups of the names in load reports; set by `start`.
        context: ZeroMQ sockets of the assigner; None if it has opened none.
        stalled_until_us: End of the current stall, in microseconds.
        run_number: Number of the engine's next run. A scheduled run with a lower number is obsolete.
        start_count: Number of starts.
        saved_state: Content of the state file, which survives a kill.
    """

    def __init__(self, simulation: Simulation, number: int) -> None:
        self.simulation = simulation
        self.number = number
        self.world = simulation.world
        self.service: Service | None = None
        self.context: Context | None = None
        self.stalled_until_us = 0
        self.run_number = 0
        self.start_count = 0
        self.saved_state = b""

    # Start and end.

    def start(self) -> None:
        """Start the assigner."""
        self.start_count += 1
        service = self._make_service()
        self._attach(service)
        self.service, self.names = service, service.attribute_names()
        if service.chp_server is not None:
            service.chp_server.start()
        if service.solver_service is not None:
            service.solver_service.apply = lambda call, arguments: call(*arguments)  # not on another thread
        self._attach_disk(service)
        service.start_background()
        self.schedule_engine()
        self.world.spawn(self._watch_connections, service)

    def _make_service(self) -> Service:
        simulation = self.simulation
        epoch = f"{self.number:08x}{self.start_count:08x}"
        config = self._config()
        return Service(
            config,
            simulation.log,
            POLICIES.get(simulation.policy, Assigner),
            ServiceEnvironment(
                self.world.now, self._open_context, epoch, Random(f"{simulation.seed} {epoch}").randbytes
            ),
            self._peer_config(config),
        )

    def _config(self) -> ServiceConfig:
        """Return the scenario's settings with this process's addresses."""
        config, port = copy(self.simulation.scenario.config), self.simulation.first_port(self.number)
        if config.clone.listen:
            config.clone = config.clone.model_copy(update={"listen": f"127.0.0.1:{port}"})
        config.sasp = config.sasp.model_copy(update={"listen": f"127.0.0.1:{port + SASP_PORT}"})
        config.otlp = config.otlp.model_copy(update={"listen": f"127.0.0.1:{port + OTLP_PORT}"})
        return config

    def _peer_config(self, config: ServiceConfig) -> PeerConfig | None:
        """Return the configuration of this assigner in a shared fleet; None if the fleet is not shared."""
        simulation = self.simulation
        if not simulation.scenario.fleet.shared:
            return None
        zones = config.zone_names
        addresses = [simulation.peer_address(number) for number in range(len(simulation.processes))]
        return config.peer_config_for(
            PeerAddress(
                f"a{self.number}",
                ("127.0.0.1", int(addresses[self.number].rpartition(":")[2])),
                tuple(addresses),
                SIMULATED_KEY,
                zones[self.number % len(zones)],
            )
        )

    def _attach(self, service: Service) -> None:
        """Connect the service to the simulated clock and network."""
        if service.peers is not None:
            service.peers.send = self._send_datagram
        service.loop.wake = self.schedule_engine
        service.loop.spawn = self.world.spawn
        service.loop.sleep = lambda seconds: self._sleep(service, seconds)

    def _attach_disk(self, service: Service) -> None:
        if service.persistence is not None:
            service.persistence.apply = lambda call, arguments: call(*arguments)  # not on another thread
            service.persistence.write = self._write_disk
            service.persistence.read = self._read_disk
            service.persistence.wall_ms = lambda: self.world.now() // 1000

    def kill(self) -> None:
        """Kill the assigner: its connections break, its state file is kept."""
        service, self.service = self.service, None
        self.simulation.status.append(service.status())
        for connection in list(service.sasp_server.streams.values()):
            self.world.spawn(connection.sock.close)
        if self.context is not None:
            self.context.end()

    def _open_context(self) -> Context:
        self.context = Context(self.simulation.network, wait_while_stalled=self._wait_while_stalled)
        return self.context

    def _write_disk(self, _path: object, raw: bytes) -> None:
        self.saved_state = raw

    def _read_disk(self, _path: object) -> bytes:
        if not self.saved_state:
            raise FileNotFoundError
        return self.saved_state

    # Peers.

    def _send_datagram(self, address: str, raw: bytes) -> None:
        simulation, peer = self.simulation, self.simulation.peers.get(address)
        if peer is None or (self.number, peer.number) in simulation.peers_cut:
            return
        if simulation.rng.random() < simulation.peers_lost:
            return
        delay_s = simulation.delay_s(simulation.net.far_ms)
        self.world.spawn_later(delay_s, peer.receive_datagram, simulation.peer_address(self.number), raw)

    def receive_datagram(self, address: str, raw: bytes) -> None:
        """Handle a datagram from a peer."""
        if self.service is not None and not self.defer_if_stalled(self.receive_datagram, address, raw):
            self.service.peers.receive_datagram(address, raw)

    # Scheduling.

    def _sleep(self, service: Service, seconds: float) -> None:
        """Sleep in a greenlet of the service; end the greenlet if the service is no longer running."""
        self.world.sleep(seconds)
        self._wait_while_stalled()
        if self.service is not service:
            raise GreenletExit

    def _wait_while_stalled(self) -> None:
        while self.stalled_until_us > self.world.now():
            self.world.sleep((self.stalled_until_us - self.world.now()) / US_PER_S)

    def defer_if_stalled(self, call: Callable, *arguments: object) -> bool:
        """Return whether the process is stalled; if so, run `call` when the stall is over."""
        if self.stalled_until_us <= self.world.now():
            return False
        self.world.call_at(self.stalled_until_us, self.world.start_greenlet, call, arguments)
        return True

    def schedule_engine(self) -> None:
        """Run the engine soon, in place of the run that is scheduled."""
        self.run_number += 1
        self.world.call_at(
            self.world.now() + MIN_RUN_INTERVAL_US, self.world.start_greenlet, self._run_engine, (self.run_number,)
        )

    def _run_engine(self, run_number: int) -> None:
        if run_number != self.run_number or self.service is None or self.defer_if_stalled(self._run_engine, run_number):
            return
        due = self.service.engine.run(self.world.now())
        self.run_number += 1
        next_run = max(due, self.world.now() + MIN_RUN_INTERVAL_US)
        self.world.call_at(next_run, self.world.start_greenlet, self._run_engine, (self.run_number,))

    # Work that the real server does in its own greenlets.

    def _watch_connections(self, service: Service) -> None:
        """Check connections and record the status until the assigner ends."""
        recorded_at = 0
        while self.service is service:
            self.world.sleep(CONNECTION_CHECK_S)
            now = self.world.now()
            if self.stalled_until_us > now:
                continue
            if now >= recorded_at:
                recorded_at = now + STATE_INTERVAL_US
                self._record_state(service)
            self._check_connections(service.sasp_server, now)

    def _record_state(self, service: Service) -> None:
        status = service.engine.status()
        core = {key: status[key] for key in RECORDED_STATUS_KEYS}
        self.simulation.record("state", assigner=self.number, **core, **status["module"])
        if service.peers is not None:
            self.simulation.record("claims", assigner=self.number, uids=list(service.peers.lease_manager.held))

    def _check_connections(self, server: SaspServer, now: int) -> None:
        send_buffer_bytes = self.simulation.scenario.config.sasp.send_buffer_bytes
        for number, connection in list(server.streams.items()):
            consumed = connection.sock.consumed_bytes
            server.session_tracker.check_backlog(now, number, consumed, connection.sent - consumed > send_buffer_bytes)
        for number, reason in server.session_tracker.overdue(now):
            if number in server.streams:
                server.close(server.streams[number], reason)

    # Load reports.

    def report(self, source: str, metric_points: list[MetricPoint]) -> None:
        """Handle a load report as the OTLP intake handles a decoded one."""
        if self.service is None or self.defer_if_stalled(self.report, source, metric_points):
            return
        now = self.world.now()
        for metric_point in metric_points:
            point = self._data_point(source, metric_point)
            if point is not None:
                self.service.engine.report(now, point)

    def _data_point(self, source: str, metric_point: MetricPoint) -> DataPoint | None:
        """Return the data point of a metric point; None if a name in it is unknown."""
        names, kind, attributes = self.names, KIND_BY_METRIC[metric_point.name], metric_point.attributes
        method = names.method(attributes["method"]) if "method" in attributes else 0
        if kind in (Kind.RPCS, Kind.UNANSWERED):
            subject = names.proxy(attributes["proxy"]), method
        else:
            subject = names.zone(attributes.get("zone", "")) or 0, names.task(attributes["task"])
        if None in subject:
            return None
        start = metric_point.start_ns or metric_point.end_ns
        return DataPoint(
            source, kind, subject, 0 if kind in LOADS else method, metric_point.value, start, metric_point.end_ns
        )
