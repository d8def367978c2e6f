"""The stand-in agent: knows, late, which tasks run, and registers them with an assigner over SASP."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import NamedTuple

import gevent
from gevent.event import Event

from hollyridge.lab.reports.record import Recorder
from hollyridge.sasp.client import ConnectionLostError, MemberRegistrar, RefusedError
from hollyridge.sasp.codec import Member

POLL_S = 0.5  # how often a stream without news is checked
PROBE_S = 0.001
RETRY_S = 0.2
LONG_AGO_S = 1e6  # the uptime that a task has whose start is not known


class KnownTask(NamedTuple):
    """A task that runs, as far as the agent knows.

    Attributes:
        born_us: When the run started; 0 for long ago.
    """

    name: str
    run: str
    born_us: int
    draining: bool


class Agent:
    """Registers the tasks that run, again on every new stream. Who calls it lets it notice late.

    Attributes:
        known: Running tasks by address.
        stopped: Addresses to deregister, in order.
        registered: What the present stream has registered.
        due: Set when there is something to send.
        synced: Set once the first stream has sent all.
    """

    def __init__(
        self, address: tuple[str, int], fleet: str, record: Recorder, spawn: Callable = gevent.spawn, number: int = 0
    ) -> None:
        """Start the agent of assigner `number`, which listens at `address`."""
        self.who = f"agent-{number}"
        self.address = address
        self.fleet = fleet
        self.record = record
        self.known: dict[str, KnownTask] = {}
        self.stopped: dict[str, None] = {}
        self.registered: dict[str, KnownTask] = {}
        self.due = Event()
        self.synced = Event()
        self.stream = 0
        self.job = spawn(self.run)

    # What the day lets it notice.

    def task_running(self, key: str, name: str, run: str, born_us: int) -> None:
        """A run of a task has started at this address."""
        self.known[key] = KnownTask(name, run, born_us, False)
        self.stopped.pop(key, None)
        self.due.set()

    def task_draining(self, key: str) -> None:
        """The task at this address is to get nothing new."""
        if key in self.known:
            self.known[key] = self.known[key]._replace(draining=True)
            self.due.set()

    def task_stopped(self, key: str, run: str) -> None:
        """A run of a task has ended; a newer one under its address is not meant."""
        if key in self.known and self.known[key].run == run:
            del self.known[key]
            self.stopped[key] = None
            self.due.set()

    # Its streams.

    def run(self) -> None:
        """Keep a stream to the assigner, for ever."""
        while True:
            self.stream += 1
            stream = self.stream
            try:
                self._keep_stream(self._connect(stream))
            except (OSError, ConnectionLostError, RefusedError) as error:
                self.record("stream", who=self.who, stream=stream, up=False, why=str(error))
                gevent.sleep(RETRY_S)

    def _connect(self, stream: int) -> MemberRegistrar:
        return MemberRegistrar(
            self.address,
            self.fleet,
            on_receive=partial(self.record.frame, "heard", self.who, stream),
            on_send=partial(self.record.frame, "said", self.who, stream),
        )

    def _keep_stream(self, client: MemberRegistrar) -> None:
        self.registered = {}
        self.due.set()
        while True:
            if self.due.wait(POLL_S):
                self.due.clear()
                self.sync(client)
                self.synced.set()
            elif not self._is_open(client):
                raise ConnectionLostError("closed by the service")

    @staticmethod
    def _is_open(client: MemberRegistrar) -> bool:
        client.sock.settimeout(PROBE_S)
        try:
            return client.sock.recv(1) != b""
        except TimeoutError:
            return True

    def sync(self, client: MemberRegistrar) -> None:
        """Send what differs from what this stream has registered."""
        known, registered = dict(self.known), self.registered
        removed = [key for key in {**registered, **self.stopped} if key not in known]
        started = [key for key, task in known.items() if key not in registered or registered[key].run != task.run]
        if started:
            client.register([self._member(key, known[key]) for key in started])
        draining = [key for key, task in known.items() if task.draining and registered.get(key) != task]
        if draining:
            client.quiesce([self._member(key) for key in draining])
        for key in removed:
            with suppress(RefusedError):  # the assigner may not know it
                client.deregister([self._member(key)])
            self.stopped.pop(key, None)
        self.registered = known

    def _member(self, key: str, task: KnownTask | None = None) -> Member:
        host, _, port = key.rpartition(":")
        label = ""
        if task is not None:
            up_s = (self.record.clock() - task.born_us) / 1e6 if task.born_us else LONG_AGO_S
            label = f"{task.name} run={task.run} up={up_s:.3f}"
        return Member.at(host, int(port), label)
