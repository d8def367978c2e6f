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
from hollyridge.settings.service_config import ServiceConfig
from hollyridge.settings.solve import write
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
        front: The SASP server.
        clone: The pub-sub server (CHP), or None.
        fleet: The exchange with other assigners, or None.
        intake: The receiver of load reports, which also serves the status pages.
        solving: The weight solver beside the loop, or None.
        keeping: What keeps learned estimates on disk, or None.
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
        self.report_names = self.names()
        self.zone_name = dict(enumerate(terms.zone_names)).get  # by index; None for none
        self.link: DatagramTransport | None = None
        self.jobs: list[gevent.Greenlet] = []  # that would run as long as the process; `stop` ends them
        self.fleet = self.build_peers(fleet or terms.peer_config(), environment.random_bytes)
        self.access = AccessControl(terms.tls_files() is not None or bool(terms.curve_file()), terms.principals)
        self.tls = server_context(terms.tls_files()) if terms.tls_files() else None
        self.limiter = self.build_limiter()
        self.front = self.build_sasp_server()
        self.curve: Curve | None = None
        self.clone = self.build_chp_server(environment) if terms.clone.listen else None
        self.solving = self.build_solver()
        self.keeping = self.build_persistence()
        self.intake = self.build_metrics_server()

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
            self.fleet,
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
            self.fleet,
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
            "/fleet": Page("text/plain; charset=utf-8", self.described),
        }
        actions = {}
        if self.fleet is not None:
            pages["/peers"] = Page("application/json", lambda: msgspec.json.encode(self.fleet.status()))
            actions = {"/peers/drain": self.fleet.drain, "/peers/undrain": lambda: self.fleet.drain(False)}
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

    def names(self) -> AttributeNames:
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

    def described(self) -> bytes | None:
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
        if self.fleet is not None:
            self.link = DatagramTransport(*self.fleet.config.listen, self.fleet.receive_datagram)
            self.fleet.send = self.link.send
        ports = self.front.start(), self.intake.start()
        if self.clone is not None:
            self.clone.start()
        self.begin()
        if self.terms.log.status_every_s:
            self.jobs.append(gevent.spawn(self.tell_status))
        return ports

    def begin(self) -> None:
        """Start what needs no socket."""
        if self.fleet is not None:
            self.fleet.begin()
            self.loop.spawn(self.fleet.run)
        if self.keeping is not None:
            self.loop.spawn(self.keeping.run)
        if self.solving is not None:
            self.jobs.append(self.loop.spawn(self.solving.run))

    def run(self) -> None:
        """Decide until `stop`."""
        self.loop.run()

    def stop(self) -> None:
        """End every part; estimates are saved once more."""
        if self.fleet is not None:
            self.fleet.leave()
        if self.link is not None:
            self.link.stop()
        if self.keeping is not None:
            self.keeping.stopped = True
            self.keeping.save()
        gevent.killall(self.jobs, block=False)
        self.loop.stop()
        self.front.stop()
        if self.clone is not None:
            self.clone.stop()
        if self.curve is not None:
            self.curve.stop()
        self.intake.stop()

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
                self.clone.rebind()
        self.access.replace(terms.principals)
        self.front.recheck()
        if self.clone is not None:
            self.clone.recheck()
        self.log.info("keys_reloaded", principals=len(terms.principals))

    def status(self) -> dict:
        """The status page."""
        fronts = {"sasp": self.front.status(), **({"clone": self.clone.status()} if self.clone else {})}
        solver = {"solver": self.solving.status()} if self.solving is not None else {}
        peers = {"peers": self.fleet.status()} if self.fleet is not None else {}
        kept = {"kept": self.keeping.status()} if self.keeping is not None else {}
        core = {**self.engine.status(), "turn_us": spread(self.loop.run_durations)}
        return {"core": core, **fronts, "otlp": self.intake.status(), **solver, **peers, **kept}

    def tell_status(self) -> None:
        """Log the status at the interval of the settings."""
        while True:
            gevent.sleep(self.terms.log.status_every_s)
            self.log.info("status_reported", **self.status())
