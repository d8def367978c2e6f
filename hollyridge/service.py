"""A complete assigner of `hollyridge serve`: engine, loop, servers and receivers, built from the settings.

This module only connects the parts. The command line and the laboratory run it.
"""

from __future__ import annotations

import math
import os
from collections.abc import Callable
from typing import NamedTuple

import gevent
import msgspec
import zmq.green as zmq
from structlog.typing import FilteringBoundLogger as BoundLogger

from hollyridge.chp.server import ChpServer
from hollyridge.core.engine import Engine, percentiles
from hollyridge.core.event_loop import EventLoop, monotonic_us
from hollyridge.core.persistence import EstimatePersistence
from hollyridge.core.solver_service import SolverService
from hollyridge.decisions.assigner import Assigner
from hollyridge.keys.curve import Curve
from hollyridge.keys.tls import load_keys, server_context, server_handshake
from hollyridge.limits.connection_limiter import ConnectionLimiter
from hollyridge.otlp.intake import HttpOptions, MetricsServer, Page
from hollyridge.otlp.reading import AttributeNames
from hollyridge.peers.datagram_transport import DatagramTransport
from hollyridge.peers.estimate_exchange import TaskLookup
from hollyridge.peers.peer_service import PeerConfig, PeerService
from hollyridge.registration.members import MemberRegistry
from hollyridge.sasp.codec import Member
from hollyridge.sasp.server import SaspServer
from hollyridge.sessions.access import AccessControl
from hollyridge.sessions.session_tracker import SessionTracker
from hollyridge.settings.fleet_file import write
from hollyridge.settings.service_config import ServiceConfig
from hollyridge.solver.engine_adapter import fleet_of, without_removed_tasks

MAX_CACHED_NAMES = 100_000  # task names in load reports whose parsed keys are cached
MAX_TASK_NAME_CHARS = 64  # longest address and port, with room for a zone of IPv6


class ServiceEnvironment(NamedTuple):
    """Functions and values that an assigner takes from its process. Simulations supply their own.

    Attributes:
        clock: Returns the time of a clock that never steps, in microseconds.
        make_context: Factory of the context of the pub-sub server's sockets.
        epoch: Name of this run of the process, generated if empty.
        random_bytes: Returns the given number of random bytes.
    """

    clock: Callable[[], int] = monotonic_us
    make_context: Callable = zmq.Context
    epoch: str = ""
    random_bytes: Callable[[int], bytes] = os.urandom


class Service:
    """A complete assigner.

    `start` opens the listening sockets and raises OSError if an address is taken. `run` blocks until `stop` and raises
    DecisionModuleError if the decision module fails too often.

    Attributes:
        sasp_server: The SASP server.
        chp_server: The pub-sub server (CHP), or None.
        peers: The exchange with other assigners, or None.
        metrics_server: The receiver of load reports, which also serves the status pages.
        solver_service: The weight solver beside the loop, or None.
        persistence: The service that saves learned estimates on disk, or None.
    """

    def __init__(
        self,
        settings: ServiceConfig,
        log: BoundLogger,
        make_assigner: Callable = Assigner,
        environment: ServiceEnvironment | None = None,
        peer_config: PeerConfig | None = None,
    ) -> None:
        """Build all parts, without listening yet.

        Args:
            settings: The validated settings.
            log: Logger of all parts.
            make_assigner: Factory of the decision module.
            environment: Clock, randomness and sockets. Those of the process by default.
            peer_config: Configuration of the exchange with other assigners, in place of [peers] in the settings.
        """
        environment = environment or ServiceEnvironment()
        self.settings, self.log = settings, log
        now = environment.clock()
        registry = MemberRegistry(settings.registration_config(), now)
        self.engine = Engine(
            settings.assigner_config(),
            settings.assigner.seed,
            settings.engine_limits(),
            registry,
            now,
            log,
            make_assigner,
        )
        self.loop = EventLoop(self.engine, environment.clock)
        self.report_names = self.attribute_names()
        self.zone_name = dict(enumerate(settings.zone_names)).get  # returns the name of a zone by its index, or None
        self.jobs: list[gevent.Greenlet] = []  # endless greenlets that `stop` kills
        self.peer_transport: DatagramTransport | None = None
        self.peers = self.build_peers(peer_config or settings.peer_config(), environment.random_bytes)
        self.access = AccessControl(
            settings.tls_files() is not None or bool(settings.curve_file()), settings.principals
        )
        self.tls = server_context(settings.tls_files()) if settings.tls_files() else None
        self.limiter = self.build_limiter()
        self.sasp_server = self.build_sasp_server()
        self.curve: Curve | None = None
        self.chp_server = self.build_chp_server(environment) if settings.clone.listen else None
        self.solver_service = self.build_solver()
        self.persistence = self.build_persistence()
        self.metrics_server = self.build_metrics_server()

    # Construction of the parts.

    def build_peers(self, config: PeerConfig | None, random_bytes: Callable[[int], bytes]) -> PeerService | None:
        """Return the exchange with other assigners, or None if nothing is shared."""
        if config is None:
            return None
        settings = self.settings
        addresses = {"sasp": settings.sasp.listen, "otlp": settings.otlp.listen, "clone": settings.clone.listen}
        services = tuple(sorted((name, address) for name, address in addresses.items() if address))
        tasks = TaskLookup(self.task_name, self.report_names.task)
        return PeerService(self.loop, config._replace(services=services), self.log, random_bytes, tasks)

    def build_limiter(self) -> ConnectionLimiter:
        """Return the limiter of connections, requests and replies that all servers share."""
        sasp, channel = self.settings.sasp, self.settings.channel
        return ConnectionLimiter(
            sasp.connections_most,
            sasp.connections_each,
            sasp.connects_per_s,
            sasp.requests_per_s,
            channel.messages_most / channel.messages_over_s,
        )

    def build_sessions(self) -> SessionTracker:
        """Return a session tracker for the proxies of one server."""
        config = self.engine.config
        return SessionTracker(config.drain_grace_us, config.empty_table_limit_us)

    def build_sasp_server(self) -> SaspServer:
        """Return the SASP server."""
        return SaspServer(
            self.loop,
            self.settings.sasp_config(),
            self.build_sessions(),
            self.limiter,
            self.settings.zone_finder(),
            self.log,
            self.access,
            self.secure_handshake(),
            self.peers,
            self.zone_name,
        )

    def build_chp_server(self, environment: ServiceEnvironment) -> ChpServer:
        """Return the pub-sub server."""
        context = environment.make_context()
        if self.settings.curve_file():
            self.curve = Curve(
                context, self.settings.curve_file(), self.access.is_curve_key_known, self.principal_of_key
            )
        return ChpServer(
            self.loop,
            self.settings.chp_config(),
            self.build_sessions(),
            self.limiter,
            self.settings.zone_finder(),
            self.task_name,
            self.log,
            context,
            self.curve,
            self.access,
            environment.epoch,
            self.peers,
            self.zone_name,
        )

    def build_solver(self) -> SolverService | None:
        """Return the weight solver beside the loop, or None if it is off."""
        config = self.settings.solver_config()
        if config is None:
            return None
        return SolverService(self.loop, config, self.log, gevent.get_hub().threadpool.apply)

    def build_persistence(self) -> EstimatePersistence | None:
        """Return the service that saves learned estimates on disk, or None if none are saved."""
        config = self.settings.persistence_config()
        if config is None:
            return None
        in_thread = gevent.get_hub().threadpool.apply
        return EstimatePersistence(self.loop, config, self.log, self.task_name, self.report_names.task, in_thread)

    def build_metrics_server(self) -> MetricsServer:
        """Return the receiver of load reports, which also serves the status pages."""
        pages = {
            "/status": Page("application/json", lambda: msgspec.json.encode(self.status())),
            "/fleet": Page("text/plain; charset=utf-8", self.fleet_page),
        }
        actions = {}
        if self.peers is not None:
            pages["/peers"] = Page("application/json", lambda: msgspec.json.encode(self.peers.status()))
            actions = {"/peers/drain": self.peers.drain, "/peers/undrain": lambda: self.peers.drain(False)}
        options = HttpOptions(pages, actions, self.access, self.secure_handshake())
        return MetricsServer(self.loop, self.settings.otlp_config(), self.report_names, options, self.log)

    def secure_handshake(self) -> Callable | None:
        """Return the function that wraps an accepted socket in TLS, or None if connections are not encrypted."""
        if self.tls is None:
            return None
        return lambda sock: server_handshake(sock, self.tls, self.settings.sasp.hello_s)

    # Names of principals, tasks and attributes.

    def principal_of_key(self, key: str) -> str:
        """Return the name of the principal with this CURVE public key, or the key itself if none has it."""
        return self.access.principal_by_curve_key.get(key, key)

    def task_name(self, task: int) -> str:
        """Return the address and port of a task, given its index."""
        address, port, _ = self.engine.task_indices.names[task]
        return f"{Member(address, port).host}:{port}"

    def attribute_names(self) -> AttributeNames:
        """Return the look-ups that translate names in load reports into indices."""
        zones = {name: z for z, name in enumerate(self.settings.zone_names)}
        methods = {name: k for k, name in enumerate(self.settings.method_names)}
        key_by_name: dict[str, tuple] = {}

        def task(name: str) -> int | None:
            key = key_by_name.get(name)
            if key is None:
                if len(name) > MAX_TASK_NAME_CHARS:
                    return None
                host, _, port = name.rpartition(":")
                try:
                    key = Member.at(host.strip("[]"), int(port)).key
                except ValueError:
                    return None
                if len(key_by_name) < MAX_CACHED_NAMES:
                    key_by_name[name] = key
            return self.engine.task_indices.index.get(key)

        return AttributeNames(zones.get, task, self.engine.proxy_indices.index.get, methods.get)

    def fleet_page(self) -> bytes | None:
        """Return the solver's current input as a fleet file of `hollyridge solve`, or None if nothing is known."""
        assigner, solver = self.engine.assigner, self.settings.solver
        if not isinstance(assigner, Assigner):  # a baseline of the laboratory has no estimates
            return None
        fleet = fleet_of(assigner, self.loop.clock(), solver.handshake, solver.connections or math.inf)
        if fleet is None:
            return None
        zones = tuple(zone._replace(name=name) for zone, name in zip(fleet.zones, self.settings.zone_names))
        tasks = tuple(task._replace(name=self.task_name(i)) for i, task in enumerate(fleet.tasks))
        return write(without_removed_tasks(fleet._replace(zones=zones, tasks=tasks))).encode()

    # Start and stop.

    def start(self) -> tuple[int, int]:
        """Start listening. Return the ports of SASP and OTLP."""
        if self.peers is not None:
            self.peer_transport = DatagramTransport(*self.peers.config.listen, self.peers.receive_datagram)
            self.peers.send = self.peer_transport.send
        ports = self.sasp_server.start(), self.metrics_server.start()
        if self.chp_server is not None:
            self.chp_server.start()
        self.start_background()
        if self.settings.log.status_every_s:
            self.jobs.append(gevent.spawn(self.log_status))
        return ports

    def start_background(self) -> None:
        """Start the parts that need no listening socket."""
        if self.peers is not None:
            self.peers.register_self()
            self.loop.spawn(self.peers.run)
        if self.persistence is not None:
            self.loop.spawn(self.persistence.run)
        if self.solver_service is not None:
            self.jobs.append(self.loop.spawn(self.solver_service.run))

    def run(self) -> None:
        """Run the engine until `stop`."""
        self.loop.run()

    def stop(self) -> None:
        """Stop all parts and save the estimates once more."""
        if self.peers is not None:
            self.peers.leave()
        if self.peer_transport is not None:
            self.peer_transport.stop()
        if self.persistence is not None:
            self.persistence.stopped = True
            self.persistence.save()
        self.loop.stop()
        self.sasp_server.stop()
        if self.chp_server is not None:
            self.chp_server.stop()
        if self.curve is not None:
            self.curve.stop()
        self.metrics_server.stop()
        gevent.killall(self.jobs, block=False)

    def reload(self, settings: ServiceConfig) -> None:
        """Apply new keys and access rights. Streams of principals that keep their rights stay open.

        Raises:
            OSError: A file can't be read. Nothing is changed.
            ValueError: A file contains no key. Nothing is changed.
        """
        if self.tls is not None and settings.tls_files():
            load_keys(self.tls, settings.tls_files())
        if self.curve is not None and settings.curve_file():
            before = self.curve.public
            self.curve.load(settings.curve_file())
            if self.curve.public != before:
                self.chp_server.rebind()
        self.access.replace(settings.principals)
        self.sasp_server.recheck()
        if self.chp_server is not None:
            self.chp_server.recheck()
        self.log.info("keys_reloaded", principals=len(settings.principals))

    def status(self) -> dict:
        """Return the content of the status page."""
        servers = {
            "sasp": self.sasp_server.status(),
            **({"clone": self.chp_server.status()} if self.chp_server else {}),
        }
        solver = {"solver": self.solver_service.status()} if self.solver_service is not None else {}
        peers = {"peers": self.peers.status()} if self.peers is not None else {}
        persistence = {"kept": self.persistence.status()} if self.persistence is not None else {}
        core = {**self.engine.status(), "turn_us": percentiles(self.loop.run_durations)}
        return {"core": core, **servers, "otlp": self.metrics_server.status(), **solver, **peers, **persistence}

    def log_status(self) -> None:
        """Log the status periodically, at the interval of the settings."""
        while True:
            gevent.sleep(self.settings.log.status_every_s)
            self.log.info("status_reported", **self.status())
