"""The simulated stage: the same core, module, channel, SASP front and codec, stand-ins and story, in one process
under a simulated clock and network. The same seed gives the same recordings, byte for byte, in any process.

What is simulated otherwise: sockets (frames are handed over after a delay, in order), reports (points without
OTLP's bytes), and TCP's acknowledgements (one round trip after a frame was read).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from hollyridge.client.surface import Gateway
from hollyridge.lab import rpc
from hollyridge.lab.agent import Agent
from hollyridge.lab.cast import Cast
from hollyridge.lab.day import Day, DayError
from hollyridge.lab.physics import Build
from hollyridge.lab.policies import POLICIES
from hollyridge.lab.proxy import Proxy
from hollyridge.lab.record import STATE, Recorder
from hollyridge.lab.script import Script
from hollyridge.lab.task import Task
from hollyridge.lab.world import VirtualWorld
from hollyridge.otlp.reading import METRICS
from hollyridge.otlp.sender import Figure
from hollyridge.rules import Assigner
from hollyridge.sasp import codec
from hollyridge.sasp.client import Held, LostError, Registrar
from hollyridge.sasp.codec import Group, Wants
from hollyridge.sasp.front import Stream
from hollyridge.service import Service
from hollyridge.steering.news import LOADS, Kind, Point


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


class Signal:
    """Stands for an event that a writer waits for: calls instead."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.set = call

    def clear(self) -> None:
        pass


class Line:
    """A stream between one client and the assigner, both ends. `got` is called with each frame that arrives."""

    def __init__(self, stage: VirtualStage, host: str, got: Callable[[bytes | None], None]) -> None:
        self.stage, self.host, self.got, self.open = stage, host, got, True
        front = stage.service.front
        front.number += 1
        self.stream = Stream(front.number, self, (host, 0), front.keeper.answers())
        self.stream.due = Signal(self.wake)
        front.streams[self.stream.number] = self.stream
        self.front = front
        self.woken = False
        self.consumed = 0
        self.arrives = [0, 0]  # when the last frame each way arrives: none overtakes another

    def shutdown(self, _how: int) -> None:  # as the front closes a socket
        self.stage.world.spawn(self.close)

    def close(self) -> None:
        if self.open:
            self.open = False
            self.stream.closed = self.stream.closed or "closed"
            if self.stage.service is not None and self.front is self.stage.service.front:
                self.front.end(self.stream)
            self.stage.world.spawn(self.got, None)

    def pass_on(self, way: int, call: Callable, *words) -> None:
        world, stage = self.stage.world, self.stage
        self.arrives[way] = max(self.arrives[way] + 1, world.now() + round(stage.delay(stage.net.orders_ms) * 1e6))
        world.when(self.arrives[way], world.start, call, words)

    def say(self, frame: bytes) -> None:
        self.pass_on(0, self.hear, frame)

    def hear(self, frame: bytes) -> None:
        if self.stage.stalls(self.hear, frame):
            return
        if self.open:
            self.front.take(self.stream, frame)
            self.wake()

    def wake(self) -> None:
        if not self.woken:
            self.woken = True
            self.stage.world.spawn(self.flush)

    def flush(self) -> None:
        if self.stage.stalls(self.flush):
            return
        self.woken = False
        if not self.open or self.stream.closed:
            return
        while self.stream.replies:
            self.send(self.stream.replies.popleft(), [])
        if self.stream.push and self.stream.proxy >= 0:
            marks, self.stream.pending = self.stream.pending, []
            frames = self.front.compose(self.stream)
            for frame in frames[:-1]:
                self.send(frame, [])
            if frames:
                self.send(frames[-1], marks)
            else:
                self.acknowledged(0, marks)

    def send(self, frame: bytes, marks: list) -> None:
        self.stream.sent += len(frame)
        self.front.counts["frames_out"] += 1
        self.pass_on(1, self.arrived, frame, marks)

    def arrived(self, frame: bytes, marks: list) -> None:
        if self.open:
            self.got(frame)
            self.pass_on(0, self.acknowledged, len(frame), marks)

    def acknowledged(self, size: int, marks: list) -> None:
        if self.open and not self.stage.stalls(self.acknowledged, size, marks):
            self.consumed += size
            now = self.stage.world.now()
            for mark, at in marks:
                self.front.machine.receipt(now, self.stream.proxy, mark, now - at)
            if marks:
                self.front.loop.nudge()


class Mailbox:
    """What arrives for a greenlet that reads it one by one."""

    def __init__(self, world: VirtualWorld) -> None:
        self.world, self.rows, self.there = world, deque(), world.result()

    def put(self, row) -> None:
        self.rows.append(row)
        self.there.set()

    def take(self):
        while not self.rows:
            self.there = self.world.result()
            self.there.get()
        return self.rows.popleft()


class VirtualGateway(Gateway):
    """A SASP gateway on a simulated line."""

    def __init__(self, stage: VirtualStage, proxy: Proxy, standing: list[str]) -> None:
        super().__init__(proxy.uid, proxy.names, dict.fromkeys(standing, 1.0), proxy.plan["pick"], proxy.rng)
        self.stage, self.proxy, self.held, self.line = stage, proxy, Held(), None
        self.groups = {m["name"]: m["group"] for m in proxy.methods}

    def run(self) -> None:
        wait = 0.1
        while not self.stopped:
            if self.proxy.away:
                self.stage.world.sleep(0.1)
                continue
            self.watch(True)
            if self.stage.service is not None:
                self.session()
                wait = 0.1
            self.watch(False)
            self.hang_up()
            self.stage.world.sleep(0.02 + self.rng.random() * wait)
            wait = min(1.5, 2 * wait)

    def session(self) -> None:
        mail, proxy = Mailbox(self.stage.world), self.proxy
        line = self.line = Line(self.stage, proxy.host, mail.put)
        self.held.new_stream()
        groups = tuple(codec.MembersOf(Group(self.uid, name), ()) for name in dict.fromkeys(self.groups.values()))
        for number, message in enumerate((codec.SetBalancer(self.uid, 0x7F, int(Wants.PUSH | Wants.NO_CHANGE)),
                                          codec.Register(True, groups)), 1):
            frame = codec.encode(number, message)
            proxy.record.frame("said", self.uid, proxy.stream, frame)
            line.say(frame)
        while (frame := mail.take()) is not None and not self.stopped:
            proxy.record.frame("heard", self.uid, proxy.stream, frame)
            _, message = codec.decode(frame)
            if isinstance(message, codec.SendWeights):
                proxy.apply(sum(len(g.weights) for g in message.groups))
                self.held.take(message.groups)
                self.lay({m: {f"{o.host}:{o.port}": float(e.weight) for o, e in self.held.lines(group).items()}
                          for m, group in self.groups.items() if group in self.held.fresh}, {})
            elif getattr(message, "code", 0):
                break

    def hang_up(self) -> None:
        line, self.line = self.line, None
        if line is not None:
            line.close()


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
        world.later(stage.delay(self.way), task.take, call,
                    lambda answer: world.later(stage.delay(self.way), result.set, answer))
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
        return VirtualGateway(self.stage, self, standing)

    def wall(self) -> int:
        return self.world.now() * 1000

    def dial(self, task: str) -> VirtualPipe:
        return VirtualPipe(self.stage, self, task)

    def say(self, figures: list[Figure]) -> None:
        self.stage.report(self.uid, figures)


class VirtualHouse(Cast):
    """Houses as the day speaks to them, all in this process."""

    def __init__(self, stage: VirtualStage, heard: Callable[[dict], None]) -> None:
        self.stage, self.heard = stage, heard
        self.tasks: dict[str, Task] = {}
        self.proxies: dict[str, VirtualProxy] = {}
        self.effects: dict[str, int] = {}

    def do_task(self, name: str, host: str, port: int, run: str, build: dict, **terms) -> None:
        self.stage.port += not port
        key = f"{host}:{port or self.stage.port}"
        task = Task(self.stage.world, name, key, run, Build(**build), effects=self.effects,
                    record=self.stage.record, fell=lambda task: self.heard({"fell": task.name}), **terms)
        self.tasks[name] = self.stage.at[key] = task
        self.heard({"started": name, "key": key, "run": run})

    def do_proxy(self, **terms) -> None:
        self.proxies[terms["uid"]] = VirtualProxy(self.stage, **terms)


class VirtualRegistrar(Registrar):
    """The agent's stream: requests are taken and answered at once."""

    def __init__(self, stage: VirtualStage, fleet: str, number: int) -> None:
        self.stage, self.group, self.stream_number = stage, Group(fleet, "tasks"), number
        self.number, self.lost = 0, False
        self.line = Line(stage, "127.0.0.1", self.end)

    def end(self, frame: bytes | None) -> None:
        self.lost = self.lost or frame is None

    def call(self, message: codec.Message) -> codec.Message:
        if self.lost or not self.line.open:
            raise LostError("closed by the service")
        self.number += 1
        frame = codec.encode(self.number, message)
        record, stream = self.stage.record, self.line.stream
        record.frame("said", "agent", self.stream_number, frame)
        self.line.front.take(stream, frame)
        reply = stream.replies.pop()
        record.frame("heard", "agent", self.stream_number, reply)
        return codec.decode(reply)[1]


class VirtualAgent(Agent):
    def __init__(self, stage: VirtualStage) -> None:
        self.stage = stage
        super().__init__(("", 0), stage.script.terms.sasp.fleet, stage.record, stage.world.spawn)

    def run(self) -> None:
        while True:
            if self.stage.service is None:
                self.stage.world.sleep(0.2)
                continue
            self.stream += 1
            client, self.told = VirtualRegistrar(self.stage, self.fleet, self.stream), {}
            self.due.set()
            try:
                while client.line.open and not client.lost:
                    while self.stage.stalled > self.stage.world.now():
                        self.stage.world.sleep(0.02)
                    if self.due.is_set():
                        self.due.clear()
                        self.sync(client)
                    self.stage.world.sleep(0.02)
            except LostError:
                pass
            self.record("stream", who="agent", stream=self.stream, up=False)
            self.stage.world.sleep(0.2)


class VirtualStage:
    """`ties` shuffles what is due at the same moment (see `VirtualWorld`)."""

    addresses = {"sasp": ["", 0], "otlp": ["", 0], "clone": ["", 0]}

    def __init__(self, script: Script, policy: str = "", seed: int = 1, ties: int | None = None,
                 record: str | None = None) -> None:
        self.script, self.policy = script, policy
        self.world = VirtualWorld(ties)
        self.record = Recorder(None, self.world.now)
        self.file = record
        self.rng = Random(seed + 7)
        self.net = script.net
        self.at: dict[str, Task] = {}
        self.stalled = 0  # until when the assigner has no turn
        self.port = 20000
        self.service: Service | None = None
        self.log = QuietLog()
        self.failures: list[str] = []
        self.turn = 0
        self.status: list[dict] = []

    def delay(self, ms: float) -> float:
        """Seconds, varied."""
        return ms / 1e3 * (1 + self.net.jitter * (2 * self.rng.random() - 1))

    def house(self, _name: str, heard: Callable[[dict], None]) -> VirtualHouse:
        return VirtualHouse(self, heard)

    def agent(self) -> VirtualAgent:
        return VirtualAgent(self)

    def settle(self, _agent: Agent) -> None:
        self.world.sleep(1.0)

    # The assigner.

    def start_assigner(self) -> None:
        service = Service(self.script.terms, self.log, POLICIES.get(self.policy, Assigner), self.world.now)
        service.loop.nudge = self.nudge
        self.service, self.names = service, service.names()
        self.nudge()
        self.world.spawn(self.look, service)

    def kill_assigner(self) -> None:
        service, self.service = self.service, None
        self.status.append(service.status())
        for stream in list(service.front.streams.values()):
            self.world.spawn(stream.sock.close)

    def stall_assigner(self, seconds: float) -> None:
        self.stalled = self.world.now() + round(seconds * 1e6)

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
        due = self.service.machine.run(self.world.now())
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
                status = service.machine.status()
                self.record("state", **{key: status[key] for key in STATE}, **status["module"])
            for number, stream in list(front.streams.items()):
                front.presence.unread(now, number, stream.sock.consumed,
                                      stream.sent - stream.sock.consumed > self.script.terms.sasp.send_buffer_bytes)
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
                self.service.machine.report(now, Point(source, kind, place, 0 if kind in LOADS else method,
                                                       figure.value, figure.start or figure.end, figure.end))

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
        if self.service is not None:
            self.status.append(self.service.status())
        self.failures += self.log.errors
