"""The simulated stage: the same core, module, channel, fronts and codecs, client libraries, stand-ins and story, in one
process under a simulated clock and network. The same seed gives the same recordings, byte for byte, in any process.

What is simulated otherwise: sockets (frames are handed over after a delay, in order), reports (points without
OTLP's bytes), and TCP's acknowledgements (one round trip after a frame was read).
"""

from __future__ import annotations

from collections.abc import Callable
from copy import copy
from random import Random

from greenlet import GreenletExit

from hollyridge.client.gateway import Gateway
from hollyridge.decisions.assigner import Assigner
from hollyridge.lab import rpc
from hollyridge.lab.agent import Agent
from hollyridge.lab.command_handler import CommandHandler
from hollyridge.lab.day import Day, DayError
from hollyridge.lab.policies import POLICIES
from hollyridge.lab.proxy import Proxy
from hollyridge.lab.record import STATE, Recorder
from hollyridge.lab.scenario import Scenario
from hollyridge.lab.sockets import Context, Library, Network
from hollyridge.lab.streams import VirtualChpGateway, VirtualRegistrar, VirtualSaspGateway
from hollyridge.lab.task import Task
from hollyridge.lab.task_model import Build
from hollyridge.lab.world import VirtualWorld
from hollyridge.otlp.reading import METRICS
from hollyridge.otlp.sender import Figure
from hollyridge.peers.peer_service import PeerConfig
from hollyridge.sasp.client import ConnectionLostError
from hollyridge.service import Service
from hollyridge.settings.assigner import ServiceConfig
from hollyridge.telemetry.report_aggregator import LOADS, DataPoint, Kind

STATE_EVERY = 500_000  # us


class QuietLog:
    """Keeps what went wrong, says nothing."""

    def __init__(self) -> None:
        self.errors: list[str] = []

    def info(self, event: str, **facts) -> None:
        pass

    debug = warning = info

    def error(self, event: str, **facts) -> None:
        self.errors.append(f"{event}: {facts.get('error', '')}")


class VirtualPipe:
    def __init__(self, stage: VirtualStage, proxy: Proxy, name: str) -> None:
        self.stage, self.proxy, self.name, self.task, self.number = stage, proxy, name, None, 0
        near = proxy.host.split(".")[1] == name.split(".")[1]
        self.way = stage.net.near_ms if near else stage.net.far_ms

    def call(self, proxy: str, method: int, token: str, work: float, timeout: float, key: int = -1):
        world, stage = self.stage.world, self.stage
        task = stage.at.get(self.name)
        if task is not None and task.silent and task is not self.task:
            world.sleep(min(timeout, 0.25))
            return rpc.NOT_SENT, None
        if task is None or task.down:
            self.task = None
            world.sleep(stage.delay(self.way) * 2)
            return rpc.NOT_SENT, None
        if task is not self.task:  # dial
            world.sleep(stage.delay(self.way) * 2 + task.dial_s)
            if not task.connect():
                return rpc.NOT_SENT, None
            self.task = task
        self.number += 1
        result = world.result()
        call = rpc.Call(self.number, proxy, method, token, work, key)
        world.later(
            stage.delay(self.way),
            task.take,
            call,
            lambda answer: world.later(stage.delay(self.way), result.set, answer),
        )
        try:
            answer = result.get(timeout=timeout)
        except TimeoutError:
            return rpc.NO_ANSWER, None
        return (answer.outcome if answer else rpc.NO_ANSWER), answer

    def close(self) -> None:
        if self.task is not None:
            self.task.disconnect()
            self.task = None


class VirtualProxy(Proxy):
    def __init__(self, stage: VirtualStage, **terms) -> None:
        self.stage = stage
        super().__init__(stage.world, record=stage.record, **terms)

    def open(self, front: str, standing: list[str]) -> Gateway:
        stage = self.stage
        terms = dict(
            standing=dict.fromkeys(standing, 1.0),
            pick=self.plan["pick"],
            rng=self.rng,
            sleep=self.world.sleep,
            clock=self.seconds,
            numbers_from=self.wall() >> 16,
        )
        if front == "sasp":
            return VirtualSaspGateway(stage, self, **terms)
        context = Context(stage.network, cut=lambda _endpoint: self.gateway.way in self.away)
        how = dict(
            source=self.host,
            zmq=Library(self.world),
            context=context,
            heard=lambda parts: self.record.parts("told", self.uid, self.stream, parts),
        )
        return VirtualChpGateway(stage.addresses["clone"], self.uid, self.names, how, before=self.apply, **terms)

    def wall(self) -> int:
        return self.world.now() * 1000

    def dial(self, task: str) -> VirtualPipe:
        return VirtualPipe(self.stage, self, task)

    def say(self, figures: list[Figure]) -> None:
        self.stage.seats[self.gateway.way].report(self.uid, figures)


class VirtualCommandHandler(CommandHandler):
    """Houses as the day speaks to them, all in this process."""

    def __init__(self, stage: VirtualStage, heard: Callable[[dict], None]) -> None:
        self.stage, self.heard = stage, heard
        self.tasks: dict[str, Task] = {}
        self.proxies: dict[str, VirtualProxy] = {}
        self.effects: dict[str, int] = {}

    def do_task(self, name: str, host: str, port: int, run: str, build: dict, **terms) -> None:
        self.stage.port += not port
        key = f"{host}:{port or self.stage.port}"
        task = Task(
            self.stage.world,
            name,
            key,
            run,
            Build(**build),
            effects=self.effects,
            record=self.stage.record,
            fell=lambda task: self.heard({"fell": task.name}),
            **terms,
        )
        self.tasks[name] = self.stage.at[key] = task
        self.heard({"started": name, "key": key, "run": run})

    def do_proxy(self, **terms) -> None:
        self.proxies[terms["uid"]] = VirtualProxy(self.stage, **terms)


class VirtualAgent(Agent):
    def __init__(self, seat: SimulatedProcess) -> None:
        self.seat = seat
        super().__init__(
            ("", 0), seat.stage.script.terms.sasp.fleet, seat.stage.record, seat.stage.world.spawn, seat.number
        )

    def run(self) -> None:
        seat, world = self.seat, self.seat.stage.world
        while True:
            if seat.service is None:
                world.sleep(0.2)
                continue
            self.stream += 1
            client, self.told = VirtualRegistrar(seat, self.fleet, self.who, self.stream), {}
            self.due.set()
            try:
                while client.line.open and not client.lost:
                    while seat.stalled > world.now():
                        world.sleep(0.02)
                    if self.due.is_set():
                        self.due.clear()
                        self.sync(client)
                    world.sleep(0.02)
            except ConnectionLostError:
                pass
            self.record("stream", who=self.who, stream=self.stream, up=False)
            world.sleep(0.2)


class SimulatedProcess:
    """Where one assigner runs, and runs again after it was killed."""

    def __init__(self, stage: VirtualStage, number: int) -> None:
        self.stage, self.number, self.world = stage, number, stage.world
        self.service: Service | None = None
        self.context: Context | None = None
        self.stalled = 0  # until when it has no turn
        self.turn = self.starts = 0
        self.disk = b""

    def start(self) -> None:
        stage = self.stage
        self.starts += 1
        epoch = f"{self.number:08x}{self.starts:08x}"
        terms, port = copy(stage.script.terms), stage.port_of(self.number)
        if terms.clone.listen:
            terms.clone = terms.clone.model_copy(update={"listen": f"127.0.0.1:{port}"})
        terms.sasp = terms.sasp.model_copy(update={"listen": f"127.0.0.1:{port + 4}"})
        terms.otlp = terms.otlp.model_copy(update={"listen": f"127.0.0.1:{port + 5}"})
        service = Service(
            terms,
            stage.log,
            POLICIES.get(stage.policy, Assigner),
            self.world.now,
            self.open_context,
            epoch,
            Random(f"{stage.seed} {epoch}").randbytes,
            self.peers(terms),
        )
        if service.fleet is not None:
            service.fleet.send = self.send
        service.loop.wake, service.loop.spawn = self.nudge, self.world.spawn
        service.loop.sleep = lambda seconds: self.sleep(service, seconds)
        self.service, self.names = service, service.names()
        if service.clone is not None:
            service.clone.start()
        if service.solving is not None:
            service.solving.apply = lambda call, words: call(*words)
        if service.keeping is not None:  # the disk outlives a killed assigner
            service.keeping.apply = lambda call, words: call(*words)
            service.keeping.write, service.keeping.read = self.keep, self.kept
            service.keeping.wall_ms = lambda: self.world.now() // 1000
        service.begin()
        self.nudge()
        self.world.spawn(self.look, service)

    def peers(self, terms: ServiceConfig) -> PeerConfig | None:
        """Its part in a shared fleet."""
        if not self.stage.script.fleet.shared:
            return None
        zones = terms.zone_names
        at = [self.stage.peer_at(number) for number in range(len(self.stage.seats))]
        return terms.fleet_terms_of(
            f"a{self.number}",
            ("127.0.0.1", int(at[self.number].rpartition(":")[2])),
            tuple(at),
            b"simulated" * 4,
            zones[self.number % len(zones)],
        )

    def send(self, address: str, raw: bytes) -> None:
        """A datagram to a peer."""
        stage, to = self.stage, self.stage.peers.get(address)
        if to is None or (self.number, to.number) in stage.peers_cut or stage.rng.random() < stage.peers_lost:
            return
        self.world.later(stage.delay(stage.net.far_ms), to.packet, stage.peer_at(self.number), raw)

    def packet(self, address: str, raw: bytes) -> None:
        if self.service is not None and not self.stalls(self.packet, address, raw):
            self.service.fleet.heard(address, raw)

    def keep(self, _path, raw: bytes) -> None:
        self.disk = raw

    def kept(self, _path) -> bytes:
        if not self.disk:
            raise FileNotFoundError
        return self.disk

    def open_context(self) -> Context:
        self.context = Context(self.stage.network, idle=self.idle)
        return self.context

    def kill(self) -> None:
        service, self.service = self.service, None
        self.stage.status.append(service.status())
        for stream in list(service.front.streams.values()):
            self.world.spawn(stream.sock.close)
        if self.context is not None:
            self.context.end()

    def sleep(self, service: Service, seconds: float) -> None:
        """For the greenlets of a front; they end with their assigner."""
        self.world.sleep(seconds)
        self.idle()
        if self.service is not service:
            raise GreenletExit

    def idle(self) -> None:
        while self.stalled > self.world.now():
            self.world.sleep((self.stalled - self.world.now()) / 1e6)

    def stalls(self, call: Callable, *words) -> bool:
        """Whether the assigner has no turn now; then the call comes when it has."""
        if self.stalled <= self.world.now():
            return False
        self.world.when(self.stalled, self.world.start, call, words)
        return True

    def nudge(self) -> None:
        self.turn += 1
        self.world.when(self.world.now() + 500, self.world.start, self.run_machine, (self.turn,))

    def run_machine(self, turn: int) -> None:
        if turn != self.turn or self.service is None or self.stalls(self.run_machine, turn):
            return
        due = self.service.engine.run(self.world.now())
        self.turn += 1
        self.world.when(max(due, self.world.now() + 500), self.world.start, self.run_machine, (self.turn,))

    def look(self, service: Service) -> None:
        """As the front looks after streams."""
        front, told = service.front, 0
        while self.service is service:
            self.world.sleep(0.1)
            now = self.world.now()
            if self.stalled > now:
                continue
            if now >= told:
                told = now + STATE_EVERY
                status = service.engine.status()
                self.stage.record(
                    "state", assigner=self.number, **{key: status[key] for key in STATE}, **status["module"]
                )
                if service.fleet is not None:
                    self.stage.record("claims", assigner=self.number, uids=list(service.fleet.owners.mine))
            for number, stream in list(front.streams.items()):
                front.presence.check_backlog(
                    now,
                    number,
                    stream.sock.consumed,
                    stream.sent - stream.sock.consumed > self.stage.script.terms.sasp.send_buffer_bytes,
                )
            for number, why in front.presence.overdue(now):
                if number in front.streams:
                    front.close(front.streams[number], why)

    def report(self, source: str, figures: list[Figure]) -> None:
        if self.service is None or self.stalls(self.report, source, figures):
            return
        names, now = self.names, self.world.now()
        for figure in figures:
            kind, told = METRICS[figure.name], figure.attributes
            method = names.method(told["method"]) if "method" in told else 0
            if kind in (Kind.RPCS, Kind.UNANSWERED):
                place = names.proxy(told["proxy"]), method
            else:
                place = names.zone(told.get("zone", "")) or 0, names.task(told["task"])
            if None not in place:
                self.service.engine.report(
                    now,
                    DataPoint(
                        source,
                        kind,
                        place,
                        0 if kind in LOADS else method,
                        figure.value,
                        figure.start_ns or figure.end_ns,
                        figure.end_ns,
                    ),
                )


class VirtualStage:
    """`ties` shuffles what is due at the same moment (see `VirtualWorld`)."""

    def __init__(
        self, script: Scenario, policy: str = "", seed: int = 1, ties: int | None = None, record: str | None = None
    ) -> None:
        self.script, self.policy, self.seed = script, policy, seed
        self.peers_cut: set[tuple[int, int]] = set()  # pairs of assigners, from and to
        self.peers_lost = 0.0
        self.world = VirtualWorld(ties)
        self.record = Recorder(None, self.world.now)
        self.file = record
        self.rng = Random(seed + 7)
        self.net = script.net
        self.network = Network(self.world, lambda: self.delay(self.net.orders_ms))
        self.at: dict[str, Task] = {}
        self.port = 20000
        self.log = QuietLog()
        self.failures: list[str] = []
        self.status: list[dict] = []
        count = script.terms.assigner.assigners
        self.addresses = {
            name: [["127.0.0.1", self.port_of(k) + at] for k in range(count)]
            for name, at in (("sasp", 4), ("otlp", 5), ("clone", 0))
        }
        self.seats = [SimulatedProcess(self, number) for number in range(count)]
        self.peers = {self.peer_at(seat.number): seat for seat in self.seats}

    @staticmethod
    def port_of(number: int) -> int:
        return 6000 + 10 * number

    def peer_at(self, number: int) -> str:
        return f"127.0.0.1:{self.port_of(number) + 6}"

    def cut_peers(self, pairs: set[tuple[int, int]], lost: float) -> None:
        """Between these assigners nothing passes from the first to the second; so much of the rest is lost."""
        self.peers_cut, self.peers_lost = pairs, lost

    def delay(self, ms: float) -> float:
        """Seconds, varied."""
        return ms / 1e3 * (1 + self.net.jitter * (2 * self.rng.random() - 1))

    def house(self, _name: str, heard: Callable[[dict], None]) -> VirtualCommandHandler:
        return VirtualCommandHandler(self, heard)

    def agent(self, number: int) -> VirtualAgent:
        return VirtualAgent(self.seats[number])

    def settle(self, _agent: Agent) -> None:
        self.world.sleep(1.0)

    def start_assigner(self, number: int) -> None:
        self.seats[number].start()

    def kill_assigner(self, number: int) -> None:
        self.seats[number].kill()

    def stall_assigner(self, number: int, seconds: float) -> None:
        self.seats[number].stalled = self.world.now() + round(seconds * 1e6)

    # The day.

    def act(self, day: Day) -> int:
        begun: list[int] = []

        def story() -> None:
            day.lay_out()
            begun.append(self.world.now())
            for name, trouble in self.script.troubles.items():
                self.world.spawn(day.cause, name, trouble)

        self.world.spawn(story)
        passed, length = 0.0, self.script.day.length_s
        while not begun or (self.world.now() - begun[0]) / 1e6 < length:
            passed += 0.25
            self.world.run(passed)
            if day.failures:
                raise DayError("; ".join(day.failures))
            if begun:
                day.tick(min(1.0, (self.world.now() - begun[0]) / 1e6 / length))
            elif passed > 60:
                raise DayError("the stage was never laid out")
        return begun[0]

    def recorded(self) -> list[dict]:
        if self.file:
            keeper = Recorder(self.file)
            for row in self.record.rows:
                keeper.file.write(keeper.encoder.encode(row) + b"\n")
            keeper.flush()
        return self.record.rows

    def end(self) -> None:
        self.status += [seat.service.status() for seat in self.seats if seat.service is not None]
        self.failures += self.log.errors
