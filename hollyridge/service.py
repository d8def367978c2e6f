"""A whole assigner from its terms: machine, loop, fronts, intake. Used by the command line and the laboratory."""

from __future__ import annotations

import math
import os
from collections.abc import Callable

import gevent
import msgspec
import zmq.green as zmq

from hollyridge.chp.server import ChpServer
from hollyridge.core.engine import Engine, spread
from hollyridge.core.event_loop import EventLoop, monotonic_us
from hollyridge.core.persistence import EstimatePersistence
from hollyridge.core.solver_service import SolverService
from hollyridge.decisions.assigner import Assigner
from hollyridge.keys.curve import Curve
from hollyridge.keys.tls import context_of, load, shake
from hollyridge.limits.connection_limiter import ConnectionLimiter
from hollyridge.otlp.intake import MetricsServer
from hollyridge.otlp.reading import AttributeNames
from hollyridge.peers.datagram_transport import DatagramTransport
from hollyridge.peers.estimate_exchange import TaskLookup
from hollyridge.peers.peer_service import PeerConfig, PeerService
from hollyridge.registration.members import MemberRegistry
from hollyridge.sasp.codec import Member
from hollyridge.sasp.server import SaspServer
from hollyridge.sessions.access import AccessControl
from hollyridge.sessions.session_tracker import SessionTracker
from hollyridge.settings.assigner import ServiceConfig
from hollyridge.settings.solve import write
from hollyridge.solver.engine_adapter import fleet_of, without_the_gone


class Service:
    """`make` builds the decision module, `context` that of the pub-sub library's sockets, `epoch` names this run,
    `fresh(n)` gives random bytes, `fleet` stands in for the settings' [peers].
    `start` listens (OSError if an address is taken), `run` blocks until `stop` and raises what the machine raises when
    it gives up."""

    def __init__(
        self,
        terms: ServiceConfig,
        log,
        make: Callable = Assigner,
        clock: Callable = monotonic_us,
        context: Callable = zmq.Context,
        epoch: str = "",
        fresh: Callable[[int], bytes] = os.urandom,
        fleet: PeerConfig | None = None,
    ) -> None:
        self.terms, self.log = terms, log
        config = terms.bootstrap()
        now = clock()
        members = MemberRegistry(terms.members_terms(), now)
        self.engine = Engine(config, terms.assigner.seed, terms.limits(), members, now, log, make)
        self.loop = EventLoop(self.engine, clock)
        sasp, channel, names = terms.sasp, terms.channel, self.names()
        self.fleet = self.link = None
        fleet = fleet or terms.fleet_terms()
        if fleet is not None:
            fronts = {"sasp": sasp.listen, "otlp": terms.otlp.listen, "clone": terms.clone.listen}
            services = tuple(sorted((name, at) for name, at in fronts.items() if at))
            tasks = TaskLookup(self.task_name, names.task)
            self.fleet = PeerService(self.loop, fleet._replace(services=services), log, fresh, tasks)
        zone_name = dict(enumerate(terms.zone_names)).get
        keeper = ConnectionLimiter(
            sasp.connections_most,
            sasp.connections_each,
            sasp.connects_per_s,
            sasp.requests_per_s,
            channel.messages_most / channel.messages_over_s,
        )
        presence = SessionTracker(config.drain_grace_us, config.empty_table_limit_us)
        self.access = AccessControl(terms.tls_files() is not None or bool(terms.curve_file()), terms.bearers)
        self.tls = context_of(terms.tls_files()) if terms.tls_files() else None
        secure = None if self.tls is None else lambda sock: shake(sock, self.tls, sasp.hello_s)
        self.front = SaspServer(
            self.loop,
            terms.sasp_terms(),
            presence,
            keeper,
            terms.zone_finder(),
            log,
            self.access,
            secure,
            self.fleet,
            zone_name,
        )
        self.clone = self.curve = None
        if terms.clone.listen:
            context = context()
            if terms.curve_file():
                self.curve = Curve(
                    context, terms.curve_file(), self.access.curve_known, lambda key: self.access.by_curve.get(key, key)
                )
            self.clone = ChpServer(
                self.loop,
                terms.clone_terms(),
                SessionTracker(config.drain_grace_us, config.empty_table_limit_us),
                keeper,
                terms.zone_finder(),
                self.task_name,
                log,
                context,
                self.curve,
                self.access,
                epoch,
                self.fleet,
                zone_name,
            )
        self.solving = None
        if terms.solver_terms() is not None:
            self.solving = SolverService(self.loop, terms.solver_terms(), log, gevent.get_hub().threadpool.apply)
        self.keeping = None
        if terms.keeping_terms() is not None:
            self.keeping = EstimatePersistence(
                self.loop, terms.keeping_terms(), log, self.task_name, names.task, gevent.get_hub().threadpool.apply
            )
        pages = {
            "/status": ("application/json", lambda: msgspec.json.encode(self.status())),
            "/fleet": ("text/plain; charset=utf-8", self.described),
        }
        deeds = {}
        if self.fleet is not None:
            pages["/peers"] = "application/json", lambda: msgspec.json.encode(self.fleet.status())
            deeds = {"/peers/drain": self.fleet.drain, "/peers/undrain": lambda: self.fleet.drain(False)}
        self.intake = MetricsServer(self.loop, terms.otlp_terms(), names, pages, log, self.access, secure, deeds)

    def task_name(self, task: int) -> str:
        address, port, _ = self.engine.task_indices.names[task]
        return f"{Member(address, port).host}:{port}"

    def described(self) -> bytes | None:
        """What the weight solver would be told now, as `hollyridge solve` reads it; None if nothing is known."""
        module, solver = self.engine.assigner, self.terms.solver
        if not isinstance(module, Assigner):  # a baseline of the laboratory knows nothing of the kind
            return None
        fleet = fleet_of(module, self.loop.clock(), solver.handshake, solver.connections or math.inf)
        if fleet is None:
            return None
        zones = tuple(zone._replace(name=name) for zone, name in zip(fleet.zones, self.terms.zone_names))
        tasks = tuple(task._replace(name=self.task_name(i)) for i, task in enumerate(fleet.tasks))
        return write(without_the_gone(fleet._replace(zones=zones, tasks=tasks))).encode()

    def names(self) -> AttributeNames:
        zones = {name: z for z, name in enumerate(self.terms.zone_names)}
        methods = {name: k for k, name in enumerate(self.terms.method_names)}
        known: dict[str, tuple] = {}

        def task(name: str) -> int | None:
            key = known.get(name)
            if key is None:
                host, _, port = name.rpartition(":")
                try:
                    key = Member.at(host.strip("[]"), int(port)).key
                except ValueError:
                    return None
                if len(known) < 100_000:
                    known[name] = key
            return self.engine.task_indices.index.get(key)

        return AttributeNames(zones.get, task, self.engine.proxy_indices.index.get, methods.get)

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
            gevent.spawn(self.tell_status)
        return ports

    def begin(self) -> None:
        """Start what needs no socket."""
        if self.fleet is not None:
            self.fleet.begin()
            self.loop.spawn(self.fleet.run)
        if self.keeping is not None:
            self.loop.spawn(self.keeping.run)
        if self.solving is not None:
            self.loop.spawn(self.solving.run)

    def run(self) -> None:
        self.loop.run()

    def stop(self) -> None:
        if self.fleet is not None:
            self.fleet.leave()
        if self.link is not None:
            self.link.stop()
        if self.keeping is not None:
            self.keeping.stopped = True
            self.keeping.save()
        self.loop.stop()
        self.front.stop()
        if self.clone is not None:
            self.clone.stop()
        if self.curve is not None:
            self.curve.stop()
        self.intake.stop()

    def reload(self, terms: ServiceConfig) -> None:
        """New keys and a new table of who may what, without dropping a stream of those who keep theirs. Faulty
        files change nothing: OSError or ValueError."""
        if self.tls is not None and terms.tls_files():
            load(self.tls, terms.tls_files())
        if self.curve is not None and terms.curve_file():
            before = self.curve.public
            self.curve.load(terms.curve_file())
            if self.curve.public != before:
                self.clone.rebind()
        self.access.replace(terms.bearers)
        self.front.recheck()
        if self.clone is not None:
            self.clone.recheck()
        self.log.info("keys read again", bearers=len(terms.bearers))

    def status(self) -> dict:
        fronts = {"sasp": self.front.status(), **({"clone": self.clone.status()} if self.clone else {})}
        solver = {"solver": self.solving.status()} if self.solving is not None else {}
        peers = {"peers": self.fleet.status()} if self.fleet is not None else {}
        kept = {"kept": self.keeping.status()} if self.keeping is not None else {}
        core = {**self.engine.status(), "turn_us": spread(self.loop.run_durations)}
        return {"core": core, **fronts, "otlp": self.intake.status(), **solver, **peers, **kept}

    def tell_status(self) -> None:
        while True:
            gevent.sleep(self.terms.log.status_every_s)
            self.log.info("status", **self.status())
