"""A whole assigner of `hollyridge serve`: engine, loop, servers and receivers, built from its settings.

Wiring only; the command line and the laboratory run it.
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
from hollyridge.core.engine import Engine, spread
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
from hollyridge.solver.engine_adapter import fleet_of, without_the_gone

MAX_CACHED_NAMES = 100_000  # names of tasks in load reports whose key is remembered


class ServiceEnvironment(NamedTuple):
    """What an assigner takes from its process; simulations hand in their own.

    Attributes:
        clock: Microseconds of a clock that never steps.
        make_context: Makes the context of the pub-sub server's sockets.
        epoch: Names this run of the process; made up if empty.
        random_bytes: Gives so many random bytes.
    """

    clock: Callable[[], int] = monotonic_us
    make_context: Callable = zmq.Context
    epoch: str = ""
    random_bytes: Callable[[int], bytes] = os.urandom


class Service:
    """Everything that one assigner runs.

    `start` listens (OSError if an address is taken), `run` blocks until `stop` and raises what the engine raises when
    it gives up.

    Attributes:
        sasp_server: The SASP server.
        chp_server: The pub-sub server (CHP), or None.
        peers: The exchange with other assigners, or None.
        metrics_server: The receiver of load reports, which also serves the status pages.
        solver_service: The weight solver beside the loop, or None.
        persistence: What keeps learned estimates on disk, or None.
    """

    def __init__(
        self,
        terms: ServiceConfig,
        log: BoundLogger,
        make: Callable = Assigner,
        environment: ServiceEnvironment | None = None,
        fleet: PeerConfig | None = None,
    ) -> None:
        """Build all parts; nothing listens yet.

        Args:
            terms: The checked settings.
            log: Where every part logs.
            make: Builds the decisions.
            environment: Clock, randomness and sockets; those of the process if absent.
            fleet: Stands in for the [peers] of the settings.
        """
        environment = environment or ServiceEnvironment()
        self.terms, self.log = terms, log
        now = environment.clock()
        registry = MemberRegistry(terms.registration_config(), now)
        self.engine = Engine(
            terms.assigner_config(), terms.assigner.seed, terms.engine_limits(), registry, now, log, make
        )
        self.loop = EventLoop(self.engine, environment.clock)
        self.report_names = self.attribute_names()
        self.zone_name = dict(enumerate(terms.zone_names)).get  # by index; None for none
        self.jobs: list[gevent.Greenlet] = []  # that would run as long as the process; `stop` ends them
        self.peer_transport: DatagramTransport | None = None
        self.peers = self.build_peers(fleet or terms.peer_config(), environment.random_bytes)
        self.access = AccessControl(terms.tls_files() is not None or bool(terms.curve_file()), terms.principals)
        self.tls = server_context(terms.tls_files()) if terms.tls_files() else None
        self.limiter = self.build_limiter()
        self.sasp_server = self.build_sasp_server()
        self.curve: Curve | None = None
        self.chp_server = self.build_chp_server(environment) if terms.clone.listen else None
        self.solver_service = self.build_solver()
        self.persistence = self.build_persistence()
        self.metrics_server = self.build_metrics_server()

    # Building.

    def build_peers(self, config: PeerConfig | None, random_bytes: Callable[[int], bytes]) -> PeerService | None:
        """The exchange with other assigners; None where nothing is shared."""
        if config is None:
            return None
        terms = self.terms
        addresses = {"sasp": terms.sasp.listen, "otlp": terms.otlp.listen, "clone": terms.clone.listen}
        services = tuple(sorted((name, address) for name, address in addresses.items() if address))
        tasks = TaskLookup(self.task_name, self.report_names.task)
        return PeerService(self.loop, config._replace(services=services), self.log, random_bytes, tasks)

    def build_limiter(self) -> ConnectionLimiter:
        """What connections, requests and replies the servers take together."""
        sasp, channel = self.terms.sasp, self.terms.channel
        return ConnectionLimiter(
            sasp.connections_most,
            sasp.connections_each,
            sasp.connects_per_s,
            sasp.requests_per_s,
            channel.messages_most / channel.messages_over_s,
        )

    def build_sessions(self) -> SessionTracker:
        """The sessions of one server's proxies."""
        config = self.engine.config
        return SessionTracker(config.drain_grace_us, config.empty_table_limit_us)

    def build_sasp_server(self) -> SaspServer:
        """The SASP server."""
        return SaspServer(
            self.loop,
            self.terms.sasp_config(),
            self.build_sessions(),
            self.limiter,
            self.terms.zone_finder(),
            self.log,
            self.access,
            self.secure_handshake(),
            self.peers,
            self.zone_name,
        )

    def build_chp_server(self, environment: ServiceEnvironment) -> ChpServer:
        """The pub-sub server."""
        context = environment.make_context()
        if self.terms.curve_file():
            self.curve = Curve(context, self.terms.curve_file(), self.access.curve_known, self.principal_of_key)
        return ChpServer(
            self.loop,
            self.terms.chp_config(),
            self.build_sessions(),
            self.limiter,
            self.terms.zone_finder(),
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
        """The weight solver beside the loop; None where it is off."""
        config = self.terms.solver_config()
        if config is None:
            return None
        return SolverService(self.loop, config, self.log, gevent.get_hub().threadpool.apply)

    def build_persistence(self) -> EstimatePersistence | None:
        """What keeps learned estimates on disk; None where nothing is kept."""
        config = self.terms.persistence_config()
        if config is None:
            return None
        in_thread = gevent.get_hub().threadpool.apply
        return EstimatePersistence(self.loop, config, self.log, self.task_name, self.report_names.task, in_thread)

    def build_metrics_server(self) -> MetricsServer:
        """The receiver of load reports, with the status pages."""
        pages = {
            "/status": Page("application/json", lambda: msgspec.json.encode(self.status())),
            "/fleet": Page("text/plain; charset=utf-8", self.fleet_page),
        }
        actions = {}
        if self.peers is not None:
            pages["/peers"] = Page("application/json", lambda: msgspec.json.encode(self.peers.status()))
            actions = {"/peers/drain": self.peers.drain, "/peers/undrain": lambda: self.peers.drain(False)}
        options = HttpOptions(pages, actions, self.access, self.secure_handshake())
        return MetricsServer(self.loop, self.terms.otlp_config(), self.report_names, options, self.log)

    def secure_handshake(self) -> Callable | None:
        """What turns an accepted socket into a TLS one; None where connections are open."""
        if self.tls is None:
            return None
        return lambda sock: server_handshake(sock, self.tls, self.terms.sasp.hello_s)

    # Names.

    def principal_of_key(self, key: str) -> str:
        """The principal whose CURVE key this is; the key itself for a stranger's."""
        return self.access.by_curve.get(key, key)

    def task_name(self, task: int) -> str:
        """Address and port of a task by its index."""
        address, port, _ = self.engine.task_indices.names[task]
        return f"{Member(address, port).host}:{port}"

    def attribute_names(self) -> AttributeNames:
        """What turns the names in load reports into indices."""
        zones = {name: z for z, name in enumerate(self.terms.zone_names)}
        methods = {name: k for k, name in enumerate(self.terms.method_names)}
        key_by_name: dict[str, tuple] = {}

        def task(name: str) -> int | None:
            key = key_by_name.get(name)
            if key is None:
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
        """What the weight solver would be given now, as `hollyridge solve` reads it; None if nothing is known."""
        assigner, solver = self.engine.assigner, self.terms.solver
        if not isinstance(assigner, Assigner):  # a baseline of the laboratory learns nothing
            return None
        fleet = fleet_of(assigner, self.loop.clock(), solver.handshake, solver.connections or math.inf)
        if fleet is None:
            return None
        zones = tuple(zone._replace(name=name) for zone, name in zip(fleet.zones, self.terms.zone_names))
        tasks = tuple(task._replace(name=self.task_name(i)) for i, task in enumerate(fleet.tasks))
        return write(without_the_gone(fleet._replace(zones=zones, tasks=tasks))).encode()

    # Running.

    def start(self) -> tuple[int, int]:
        """The ports that SASP and OTLP listen on."""
        if self.peers is not None:
            self.peer_transport = DatagramTransport(*self.peers.config.listen, self.peers.receive_datagram)
            self.peers.send = self.peer_transport.send
        ports = self.sasp_server.start(), self.metrics_server.start()
        if self.chp_server is not None:
            self.chp_server.start()
        self.start_background()
        if self.terms.log.status_every_s:
            self.jobs.append(gevent.spawn(self.log_status))
        return ports

    def start_background(self) -> None:
        """Start what needs no socket."""
        if self.peers is not None:
            self.peers.begin()
            self.loop.spawn(self.peers.run)
        if self.persistence is not None:
            self.loop.spawn(self.persistence.run)
        if self.solver_service is not None:
            self.jobs.append(self.loop.spawn(self.solver_service.run))

    def run(self) -> None:
        """Decide until `stop`."""
        self.loop.run()

    def stop(self) -> None:
        """End every part; estimates are saved once more."""
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

    def reload(self, terms: ServiceConfig) -> None:
        """Take new keys and access rights without dropping a stream of a principal that keeps its own.

        Raises:
            OSError: A file can't be read; nothing changes.
            ValueError: A file holds no key; nothing changes.
        """
        if self.tls is not None and terms.tls_files():
            load_keys(self.tls, terms.tls_files())
        if self.curve is not None and terms.curve_file():
            before = self.curve.public
            self.curve.load(terms.curve_file())
            if self.curve.public != before:
                self.chp_server.rebind()
        self.access.replace(terms.principals)
        self.sasp_server.recheck()
        if self.chp_server is not None:
            self.chp_server.recheck()
        self.log.info("keys_reloaded", principals=len(terms.principals))

    def status(self) -> dict:
        """The status page."""
        fronts = {"sasp": self.sasp_server.status(), **({"clone": self.chp_server.status()} if self.chp_server else {})}
        solver = {"solver": self.solver_service.status()} if self.solver_service is not None else {}
        peers = {"peers": self.peers.status()} if self.peers is not None else {}
        kept = {"kept": self.persistence.status()} if self.persistence is not None else {}
        core = {**self.engine.status(), "turn_us": spread(self.loop.run_durations)}
        return {"core": core, **fronts, "otlp": self.metrics_server.status(), **solver, **peers, **kept}

    def log_status(self) -> None:
        """Log the status at the interval of the settings."""
        while True:
            gevent.sleep(self.terms.log.status_every_s)
            self.log.info("status_reported", **self.status())
