"""A stand-in roster agent: knows which processes run, seconds late, and says so over SASP."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import gevent
from gevent.event import Event

from hollyridge.lab.reports.record import Recorder
from hollyridge.sasp.client import ConnectionLostError, MemberRegistrar, RefusedError
from hollyridge.sasp.codec import Member


class Known(NamedTuple):
    name: str
    run: str
    born: int  # us; 0 for long past
    draining: bool


class Agent:
    """Its list is kept through breaks and said again on every new stream. Whoever calls it hears late itself."""

    def __init__(
        self, address: tuple[str, int], fleet: str, record: Recorder, spawn: Callable = gevent.spawn, number: int = 0
    ) -> None:
        self.who = f"agent-{number}"
        self.address, self.fleet, self.record = address, fleet, record
        self.known: dict[str, Known] = {}
        self.left: dict[str, None] = {}
        self.due = Event()
        self.stream = 0
        self.told: dict[str, Known] = {}
        self.synced = Event()
        self.job = spawn(self.run)

    def member(self, key: str, known: Known | None = None) -> Member:
        host, _, port = key.rpartition(":")
        label = ""
        if known is not None:
            up = (self.record.clock() - known.born) / 1e6 if known.born else 1e6
            label = f"{known.name} run={known.run} up={up:.3f}"
        return Member.at(host, int(port), label)

    def running(self, key: str, name: str, run: str, born: int) -> None:
        self.known[key] = Known(name, run, born, False)
        self.left.pop(key, None)
        self.due.set()

    def drains(self, key: str) -> None:
        if key in self.known:
            self.known[key] = self.known[key]._replace(draining=True)
            self.due.set()

    def gone(self, key: str, run: str) -> None:
        if key in self.known and self.known[key].run == run:  # a newer run under this address is not meant
            del self.known[key]
            self.left[key] = None
            self.due.set()

    def run(self) -> None:
        while True:
            self.stream += 1
            stream = self.stream
            try:
                client = MemberRegistrar(
                    self.address,
                    self.fleet,
                    heard=partial(self.record.frame, "heard", self.who, stream),
                    said=partial(self.record.frame, "said", self.who, stream),
                )
                self.told = {}
                self.due.set()
                while True:
                    if self.due.wait(0.5):
                        self.due.clear()
                        self.sync(client)
                        self.synced.set()
                    elif not self.alive(client):
                        raise ConnectionLostError("closed by the service")
            except (OSError, ConnectionLostError, RefusedError) as trouble:
                self.record("stream", who=self.who, stream=stream, up=False, why=str(trouble))
                gevent.sleep(0.2)

    @staticmethod
    def alive(client: MemberRegistrar) -> bool:
        client.sock.settimeout(0.001)
        try:
            return client.sock.recv(1) != b""
        except TimeoutError:
            return True

    def sync(self, client: MemberRegistrar) -> None:
        """Say what differs from what this stream has said."""
        known = dict(self.known)
        gone = [key for key in {**self.told, **self.left} if key not in known]
        new = [key for key, row in known.items() if key not in self.told or self.told[key].run != row.run]
        if new:
            client.register([self.member(key, known[key]) for key in new])
        drains = [
            key for key, row in known.items() if row.draining and not (key in self.told and self.told[key] == row)
        ]
        if drains:
            client.quiesce([self.member(key) for key in drains])
        for key in gone:
            try:
                client.deregister([self.member(key)])
            except RefusedError:
                pass
            self.left.pop(key, None)
        self.told = known
