"""Streams of the simulated world: SASP lines between clients and an assigner's front, and the two kinds of gateway."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from hollyridge.client import ChpGateway
from hollyridge.client.sasp import BEATS, SaspTables
from hollyridge.lab.stand_ins.proxy import Proxy
from hollyridge.lab.stand_ins.world import VirtualWorld
from hollyridge.sasp import codec, ownership_extension
from hollyridge.sasp.client import (
    ConnectionLostError,
    HeartbeatTimeoutError,
    HeldWeights,
    MemberRegistrar,
    RefusedError,
)
from hollyridge.sasp.codec import BalancerFlags, Group
from hollyridge.sasp.server import Connection

if TYPE_CHECKING:
    from hollyridge.lab.stand_ins.virtual import SimulatedProcess, VirtualStage


class Signal:
    """Stands for an event that a writer waits for: calls instead."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.set = call

    def clear(self) -> None:
        pass


class Line:
    """A stream between one client and the assigner, both ends. `got` is called with each frame that arrives."""

    def __init__(self, seat: SimulatedProcess, host: str, got: Callable[[bytes | None], None]) -> None:
        self.seat, self.stage, self.host, self.got, self.open = seat, seat.stage, host, got, True
        front = seat.service.front
        front.number += 1
        self.stream = Connection(front.number, self, (host, 0), front.keeper.reply_bucket())
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
            if self.seat.service is not None and self.front is self.seat.service.front:
                self.front.end(self.stream)
            self.stage.world.spawn(self.got, None)

    def pass_on(self, way: int, call: Callable, *words) -> None:
        world, stage = self.stage.world, self.stage
        self.arrives[way] = max(self.arrives[way] + 1, world.now() + round(stage.delay(stage.net.orders_ms) * 1e6))
        world.when(self.arrives[way], world.start, call, words)

    def say(self, frame: bytes) -> None:
        self.pass_on(0, self.hear, frame)

    def hear(self, frame: bytes) -> None:
        if self.seat.stalls(self.hear, frame):
            return
        if self.open:
            self.front.take(self.stream, frame)
            self.wake()

    def wake(self) -> None:
        if not self.woken:
            self.woken = True
            self.stage.world.spawn(self.flush)

    def flush(self) -> None:
        if self.seat.stalls(self.flush):
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
        if self.open and not self.seat.stalls(self.acknowledged, size, marks):
            self.consumed += size
            now = self.stage.world.now()
            for mark, at in marks:
                self.front.engine.acknowledge(now, self.stream.proxy, mark, now - at)
            if marks:
                self.front.loop.wake()


class Mailbox:
    """What arrives for a greenlet that reads it one by one."""

    def __init__(self, world: VirtualWorld) -> None:
        self.world, self.rows, self.there = world, deque(), world.result()

    def put(self, row) -> None:
        self.rows.append(row)
        self.there.set()

    def take(self, timeout: float | None = None):
        """TimeoutError if nothing came in time."""
        while not self.rows:
            self.there = self.world.result()
            self.there.get(timeout=timeout)
        return self.rows.popleft()


class VirtualWaits:
    """Waits between sessions, drawn from the proxy's own generator."""

    def wait(self, failed: int) -> float:
        return self.rng.random() * min(1.5, 0.1 * 2 ** min(failed, 5))


class VirtualSaspGateway(VirtualWaits, SaspTables):
    """A SASP gateway on a simulated line to one of the stage's assigners."""

    def __init__(self, stage: VirtualStage, proxy: Proxy, **terms) -> None:
        super().__init__(proxy.uid, proxy.names, **terms)
        self.stage, self.proxy, self.held, self.line = stage, proxy, HeldWeights(), None
        self.addresses = [tuple(address) for address in stage.addresses["sasp"]]
        self.ways = len(stage.seats)
        self.groups = {m["name"]: m["group"] for m in proxy.methods}

    def session(self) -> None:
        seat = self.stage.seats[self.way]
        if seat.service is None:
            raise ConnectionError("nobody listens")
        mail, proxy, asked = Mailbox(self.stage.world), self.proxy, self.begin()
        line = self.line = Line(seat, proxy.host, mail.put)
        groups = tuple(codec.MembersOf(Group(self.uid, name), ()) for name in dict.fromkeys(self.groups.values()))
        hello = codec.SetBalancer(self.uid, 0x7F, int(BalancerFlags.PUSH | BalancerFlags.NO_CHANGE))
        registration = 3
        for number, message in enumerate(
            (hello, ownership_extension.write_request(self.uid, asked, self.pleads), codec.Register(True, groups)), 1
        ):
            self.say(line, number, message)
        number, beat, answered, hello_s = registration, self.clock(), False, self.patience(5.0)
        while not self.stopped:
            try:
                frame = mail.take(self.own.lease_s / BEATS if self.own.lease_s else None if answered else hello_s)
            except TimeoutError:
                frame = b""
            if frame is None:
                return
            if frame:
                proxy.record.frame("heard", self.uid, proxy.stream, frame)
                replied, message = codec.decode(frame)
                if isinstance(message, codec.SendWeights):
                    proxy.apply(sum(len(g.weights) for g in message.groups))
                    self.take(message)
                elif getattr(message, "code", 0) and replied == registration:
                    raise RefusedError(message.code)
                answered = answered or replied >= number
                if replied >= registration or isinstance(message, codec.SendWeights):
                    self.alive()
            waited = self.clock() - beat
            if not answered and waited >= (self.own.lease_s / 2 if number > registration else hello_s):
                raise HeartbeatTimeoutError("no answer in time")
            if self.own.lease_s and waited >= self.own.lease_s / BEATS:
                if answered:
                    beat, answered, number = self.clock(), False, number + 1
                    self.say(line, number, hello)

    def say(self, line: Line, number: int, message: codec.Message) -> None:
        frame = codec.encode(number, message)
        self.proxy.record.frame("said", self.uid, self.proxy.stream, frame)
        line.say(frame)

    def hang_up(self) -> None:
        line, self.line = self.line, None
        if line is not None:
            line.close()


class VirtualChpGateway(VirtualWaits, ChpGateway):
    """The client library's own, on simulated sockets."""


class VirtualRegistrar(MemberRegistrar):
    """The agent's stream: requests are taken and answered at once."""

    def __init__(self, seat: SimulatedProcess, fleet: str, who: str, number: int) -> None:
        self.stage, self.who, self.group, self.stream_number = seat.stage, who, Group(fleet, "tasks"), number
        self.number, self.lost = 0, False
        self.line = Line(seat, "127.0.0.1", self.end)

    def end(self, frame: bytes | None) -> None:
        self.lost = self.lost or frame is None

    def call(self, message: codec.Message) -> codec.Message:
        if self.lost or not self.line.open:
            raise ConnectionLostError("closed by the service")
        self.number += 1
        frame = codec.encode(self.number, message)
        record, stream = self.stage.record, self.line.stream
        record.frame("said", self.who, self.stream_number, frame)
        self.line.front.take(stream, frame)
        reply = stream.replies.pop()
        record.frame("heard", self.who, self.stream_number, reply)
        return codec.decode(reply)[1]
