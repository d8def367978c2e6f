"""A stand-in task: cores and a queue behind a socket, with the troubles that a real one has."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from random import Random

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

from hollyridge.lab import rpc
from hollyridge.lab.physics import Budget, Build, Busy, Warmth, service_us
from hollyridge.lab.record import Recorder, now_us

TOKENED, NON_IDEMPOTENT = "tokened", "non-idempotent"


class Task:
    """`effects` drops repeated tokens for the tasks that share it: token to when its first try came.
    `kinds` tells of each method whether it is tokened or non-idempotent, `window` (us) how long repeats drop."""

    def __init__(self, name: str, host: str, port: int, run: str, build: Build, cold: bool, kinds: list[str],
                 window: list[int], effects: dict[str, int], record: Recorder, seed: int, fell: Callable) -> None:
        self.name, self.run, self.build, self.record, self.on_fall = name, run, build, record, fell
        self.warmth = Warmth(build, now_us() if cold else None)
        self.budget = Budget(build, self.warmth)
        self.busy = Busy(build.cores, now_us())
        self.kinds, self.window, self.effects = kinds, window, effects
        self.chance = Random(seed).random
        self.slots = BoundedSemaphore(build.slots)
        self.waiting = self.held = 0
        self.down = self.hung = self.draining = False
        self.errors = 0.0
        self.going = Event()
        self.going.set()
        self.socks: set = set()
        self.util, self.queue = 0.0, 0
        listener = gevent.socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(256)
        self.server = StreamServer(listener, self.serve)
        self.server.start()
        self.host, self.port = listener.getsockname()
        self.looking = gevent.spawn(self.look)
        record("task_up", task=self.key, run=run, cold=cold, born=self.warmth.born or 0, cores=build.cores,
               speed=build.speed, cold_from=build.cold_from, cold_us=build.cold_us)

    @property
    def key(self) -> str:
        return f"{self.host}:{self.port}"

    def look(self) -> None:
        while not self.down:
            gevent.sleep(0.5)
            self.util, self.queue = self.busy.read(now_us()), self.waiting

    def serve(self, sock, _address) -> None:
        if self.down or len(self.socks) >= self.build.connections:
            return
        self.socks.add(sock)
        gevent.spawn(self.work, self.build.handshake_us * self.build.speed)
        try:
            for call in rpc.receive(sock, calls=True):
                self.take(sock, call)
        except (OSError, ValueError):
            pass
        finally:
            self.socks.discard(sock)
            sock.close()

    def take(self, sock, call: rpc.Call) -> None:
        now = now_us()
        used = self.budget.came(now, call.work)
        self.record("rpc", task=self.key, run=self.run, proxy=call.proxy, method=call.method, token=call.token,
                    work=round(call.work), used=round(used, 4))
        if used > 1:
            self.record("fell", task=self.key, run=self.run)
            self.stop("fell")
            self.on_fall(self)
        elif self.draining or self.waiting >= self.build.queue:
            self.answer(sock, call, rpc.PUSHED_BACK)
        elif self.errors and self.chance() < self.errors:
            self.answer(sock, call, rpc.ERROR)
        else:
            gevent.spawn(self.handle, sock, call)

    def work(self, amount: float) -> None:
        self.held += 1
        self.busy.change(now_us(), 1)
        try:
            gevent.sleep(service_us(self.build, self.warmth, now_us(), amount, self.held) / 1e6)
            self.going.wait()
        finally:
            self.held -= 1
            self.busy.change(now_us(), -1)

    def handle(self, sock, call: rpc.Call) -> None:
        self.waiting += 1
        with self.slots:
            self.waiting -= 1
            if self.down:
                return
            self.effect(call)
            self.work(call.work)
        if not self.down and not self.hung:
            self.answer(sock, call, rpc.OK)

    def effect(self, call: rpc.Call) -> None:
        """It takes effect when work begins, so that even an answer that is lost has had one."""
        kind = self.kinds[call.method]
        now = now_us()
        if kind == TOKENED:
            first = self.effects.setdefault(call.token, now)
            if first != now and now - first < self.window[call.method]:
                return
        if kind in (TOKENED, NON_IDEMPOTENT):
            self.record("effect", task=self.key, method=call.method, token=call.token)

    def answer(self, sock, call: rpc.Call, outcome: int) -> None:
        if self.hung or self.down:
            return
        try:
            rpc.send(sock, rpc.Answer(call.number, outcome, self.util, self.queue))
        except OSError:
            pass

    def stop(self, why: str) -> None:
        """At once, as when a process is killed: connections are reset."""
        if self.down:
            return
        self.down = True
        self.record("task_down", task=self.key, run=self.run, why=why)
        self.server.stop(timeout=0)
        for sock in list(self.socks):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
            except OSError:
                pass
        self.looking.kill(block=False)

    def pause(self, seconds: float) -> None:
        self.going.clear()
        gevent.spawn_later(seconds, self.going.set)
