"""A stand-in task: cores and a queue behind a socket, with the troubles that a real one has."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from random import Random

import gevent
from gevent.server import StreamServer

from hollyridge.lab.reports.record import Recorder
from hollyridge.lab.stand_ins import rpc
from hollyridge.lab.stand_ins.task_model import Budget, Build, Busy, Cache, Warmth, service_us

TOKENED, NON_IDEMPOTENT = "tokened", "non-idempotent"


class Task:
    """What a task does with RPCs, in whichever world. `effects` drops repeated tokens for the tasks that share it:
    token to when its first try came. `kinds` tells of each method whether it is tokened or non-idempotent, `window`
    (us) how long repeats drop. `fell` is called when it falls over."""

    def __init__(
        self,
        world,
        name: str,
        key: str,
        run: str,
        build: Build,
        cold: bool,
        kinds: list[str],
        window: list[int],
        effects: dict[str, int],
        record: Recorder,
        seed: int,
        fell: Callable,
    ) -> None:
        self.world, self.name, self.key, self.run = world, name, key, run
        self.build, self.record, self.on_fall = build, record, fell
        self.warmth = Warmth(build, world.now() if cold else None)
        self.budget = Budget(build, self.warmth)
        self.busy = Busy(build.cores, world.now())
        self.kinds, self.window, self.effects = kinds, window, effects
        self.chance = Random(seed).random
        self.slots = world.slots(build.slots)
        self.waiting = self.held = self.connections = 0
        self.down = self.hung = self.draining = False
        self.silent = False  # gone without a word: takes nothing, answers nothing
        self.errors = 0.0
        self.fails: list = []  # method, part, and whether by silence: one method's RPCs only
        self.slow = 1.0
        self.handshake, self.dial_s = 1.0, 0.0  # times the work; seconds on top
        self.lie: list = []  # how, part: what it tells of its load is not so
        self.cache = Cache(build)
        self.paused_until = 0
        self.util, self.queue = 0.0, 0
        world.spawn(self.look)
        record(
            "task_up",
            task=self.key,
            run=run,
            cold=cold,
            born=self.warmth.born or 0,
            cores=build.cores,
            speed=build.speed,
            cold_from=build.cold_from,
            cold_us=build.cold_us,
        )

    def look(self) -> None:
        while not self.down:
            self.world.sleep(0.5)
            how, part = self.lie or ("", 1.0)
            util, queue = self.busy.read(self.world.now()), self.waiting
            if how == "busy":
                util, queue = 1.0, self.build.queue
            if how != "stuck":
                part = 0.0 if how == "zero" else part if how == "low" else 1.0
                self.util, self.queue = util * part, round(queue * part)

    def connect(self) -> bool:
        """A connection is opened; its handshake is work. False where no more are taken."""
        if self.down or self.connections >= self.build.connections:
            return False
        self.connections += 1
        self.record("connected", task=self.key)
        self.world.spawn(self.work, self.build.handshake_us * self.build.speed * self.handshake)
        return True

    def disconnect(self) -> None:
        self.connections -= 1

    def take(self, call: rpc.Call, answer: Callable[[rpc.Answer], None]) -> None:
        now = self.world.now()
        if self.down or self.silent:
            return
        used = self.budget.came(now, call.work)
        self.record(
            "rpc",
            task=self.key,
            run=self.run,
            proxy=call.proxy,
            method=call.method,
            token=call.token,
            work=round(call.work),
            used=round(used, 4),
        )
        if used > 1:
            self.record("fell", task=self.key, run=self.run)
            self.stop("fell")
            self.on_fall(self)
        elif self.draining or self.waiting >= self.build.queue:
            self.answer(answer, call, rpc.PUSHED_BACK)
        elif self.errors and self.chance() < self.errors:
            self.answer(answer, call, rpc.ERROR)
        elif self.fails and self.fails[0] == call.method and self.chance() < self.fails[1]:
            if not self.fails[2]:
                self.answer(answer, call, rpc.ERROR)
        else:
            self.world.spawn(self.handle, answer, call)

    def work(self, amount: float) -> None:
        self.held += 1
        self.busy.change(self.world.now(), 1)
        self.world.sleep(service_us(self.build, self.warmth, self.world.now(), amount, self.held) * self.slow / 1e6)
        while self.paused_until > self.world.now():
            self.world.sleep((self.paused_until - self.world.now()) / 1e6)
        self.held -= 1
        self.busy.change(self.world.now(), -1)

    def handle(self, answer: Callable[[rpc.Answer], None], call: rpc.Call) -> None:
        self.waiting += 1
        with self.slots:
            self.waiting -= 1
            if self.down:
                return
            self.effect(call)
            self.work(call.work * self.cache.part(self.world.now(), call.key))
        self.answer(answer, call, rpc.OK)

    def effect(self, call: rpc.Call) -> None:
        """It takes effect when work begins, so that even an answer that is lost has had one."""
        kind = self.kinds[call.method]
        now = self.world.now()
        if kind == TOKENED:
            first = self.effects.setdefault(call.token, now)
            if first != now and now - first < self.window[call.method]:
                return
        if kind in (TOKENED, NON_IDEMPOTENT):
            self.record("effect", task=self.key, method=call.method, token=call.token)

    def answer(self, answer: Callable[[rpc.Answer], None], call: rpc.Call, outcome: int) -> None:
        if not (self.hung or self.down or self.silent):
            answer(rpc.Answer(call.number, outcome, self.util, self.queue))

    def stop(self, why: str) -> None:
        """At once, as when a process is killed."""
        if not self.down:
            self.down = True
            self.record("task_down", task=self.key, run=self.run, why=why)

    def pause(self, seconds: float) -> None:
        self.paused_until = self.world.now() + round(seconds * 1e6)


class TaskServer:
    """A task behind a real socket."""

    def __init__(self, world, name: str, host: str, port: int, **terms) -> None:
        self.socks: set = set()
        listener = gevent.socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(256)
        bound = listener.getsockname()
        self.task = Task(world, name, f"{bound[0]}:{bound[1]}", **terms)
        self.server = StreamServer(listener, self.serve)
        self.server.start()

    def serve(self, sock, _address) -> None:
        if not self.task.connect():
            return
        self.socks.add(sock)

        def answer(message: rpc.Answer) -> None:
            try:
                rpc.send(sock, message)
            except OSError:
                pass

        try:
            self.task.world.sleep(self.task.dial_s)
            for call in rpc.receive(sock, calls=True):
                self.task.take(call, answer)
                if self.task.down:
                    self.reset()
        except (OSError, ValueError):
            pass
        finally:
            self.socks.discard(sock)
            self.task.disconnect()
            sock.close()

    def stop(self, why: str) -> None:
        self.task.stop(why)
        self.reset()

    def reset(self) -> None:
        """Connections are reset, new ones refused."""
        self.server.stop(timeout=0)
        for sock in list(self.socks):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
            except OSError:
                pass
