"""Stand-in agent, which registers the running tasks with an assigner over SASP."""

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

POLL_INTERVAL_S = 0.5  # between two checks whether an idle stream is still open
PROBE_TIMEOUT_S = 0.001  # maximum wait of the read that checks whether a stream is open
RETRY_DELAY_S = 0.2  # pause before a new stream
UNKNOWN_UPTIME_S = 1e6  # reported for a task whose start is not known


class KnownTask(NamedTuple):
    """A task that runs, as far as the agent knows.

    Attributes:
        name: Name of the task.
        run: Identifier of the run.
        started_us: Start of the run, in microseconds; 0 if it is not known.
        draining: Whether the task gets no new RPCs.
    """

    name: str
    run: str
    started_us: int
    draining: bool


class Agent:
    """Agent that registers the running tasks, again on every new stream.

    It notices a change when one of the `task_` methods is called; the caller delays these calls.

    Attributes:
        known: Running tasks, by address.
        stopped: Addresses to deregister, in order.
        registered: Tasks that are registered on the current stream, by address.
        sync_needed: Event that is set while there are changes to send.
        synced: Event that is set once the first stream has sent all changes.
        stream: Number of the current stream.
    """

    def __init__(
        self, address: tuple[str, int], fleet: str, record: Recorder, spawn: Callable = gevent.spawn, number: int = 0
    ) -> None:
        """Start the agent of one assigner.

        Args:
            address: (host, port) at which the assigner listens for SASP.
            fleet: UID under which the assigner expects the tasks to be registered.
            record: Recorder of the agent's streams.
            spawn: Function that runs a function in its own greenlet.
            number: Index of the assigner.
        """
        self.name = f"agent-{number}"
        self.address = address
        self.fleet = fleet
        self.record = record
        self.known: dict[str, KnownTask] = {}
        self.stopped: dict[str, None] = {}
        self.registered: dict[str, KnownTask] = {}
        self.sync_needed = Event()
        self.synced = Event()
        self.stream = 0
        self.job = spawn(self.run)

    # Changes of tasks, called by the day.

    def task_running(self, key: str, name: str, run: str, started_us: int) -> None:
        """Register the new run of the task at this address."""
        self.known[key] = KnownTask(name, run, started_us, False)
        self.stopped.pop(key, None)
        self.sync_needed.set()

    def task_draining(self, key: str) -> None:
        """Quiesce the task at this address, so that it gets no new RPCs."""
        if key in self.known:
            self.known[key] = self.known[key]._replace(draining=True)
            self.sync_needed.set()

    def task_stopped(self, key: str, run: str) -> None:
        """Deregister the task at this address unless a newer run has started there."""
        if key in self.known and self.known[key].run == run:
            del self.known[key]
            self.stopped[key] = None
            self.sync_needed.set()

    # Streams to the assigner.

    def run(self) -> None:
        """Keep a stream to the assigner open forever."""
        while True:
            self.stream += 1
            stream = self.stream
            try:
                self._keep_stream(self._connect(stream))
            except (OSError, ConnectionLostError, RefusedError) as error:
                self.record("stream", who=self.name, stream=stream, up=False, why=str(error))
                gevent.sleep(RETRY_DELAY_S)

    def _connect(self, stream: int) -> MemberRegistrar:
        return MemberRegistrar(
            self.address,
            self.fleet,
            on_receive=partial(self.record.frame, "heard", self.name, stream),
            on_send=partial(self.record.frame, "said", self.name, stream),
        )

    def _keep_stream(self, client: MemberRegistrar) -> None:
        self.registered = {}
        self.sync_needed.set()
        while True:
            if self.sync_needed.wait(POLL_INTERVAL_S):
                self.sync_needed.clear()
                self.sync(client)
                self.synced.set()
            elif not self._is_open(client):
                raise ConnectionLostError("closed by the service")

    @staticmethod
    def _is_open(client: MemberRegistrar) -> bool:
        client.sock.settimeout(PROBE_TIMEOUT_S)
        try:
            return client.sock.recv(1) != b""
        except TimeoutError:
            return True

    def sync(self, client: MemberRegistrar) -> None:
        """Send the differences between the known tasks and those registered on this stream."""
        known, registered = dict(self.known), self.registered
        removed = [key for key in {**registered, **self.stopped} if key not in known]
        started = [key for key, task in known.items() if key not in registered or registered[key].run != task.run]
        if started:
            client.register([self._member(key, known[key]) for key in started])
        draining = [key for key, task in known.items() if task.draining and registered.get(key) != task]
        if draining:
            client.quiesce([self._member(key) for key in draining])
        for key in removed:
            with suppress(RefusedError):  # the assigner may not know this member
                client.deregister([self._member(key)])
            self.stopped.pop(key, None)
        self.registered = known

    def _member(self, key: str, task: KnownTask | None = None) -> Member:
        host, _, port = key.rpartition(":")
        label = ""
        if task is not None:
            up_s = (self.record.clock() - task.started_us) / 1e6 if task.started_us else UNKNOWN_UPTIME_S
            label = f"{task.name} run={task.run} up={up_s:.3f}"
        return Member.at(host, int(port), label)
