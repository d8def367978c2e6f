"""A blocking client of the CHP server.

Sockets come from `zmq`, by default pyzmq's own module; pass `zmq.green` to use it in greenlets.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from contextlib import suppress
from types import ModuleType
from typing import TYPE_CHECKING

from hollyridge.chp import codec
from hollyridge.chp.proxy_replicas import ProxyReplicas, ReplicaTables

if TYPE_CHECKING:
    import zmq as pyzmq

ROUTING_ID_RANDOM_BYTES = 12
FIRST_HEARTBEAT_S = 1.0  # until the assigner's own is known
MIN_HEARTBEAT_S, MAX_HEARTBEAT_S = 0.05, 10.0  # whatever it tells
RETRY_HEARTBEATS = 2  # a snapshot that is not here after so many heartbeats is asked for again


class Subscriber:
    """One session of the proxy `uid` with the assigner at `address` (host, port of the snapshot socket).

    `on_receive(parts)`, if given, is called with every message received; `keys(sock)` prepares a socket for CURVE.
    When a session is over, begin another with the same `client` to keep what is held. `insist`: the assigner that it
    was redirected to could not be reached.

    Attributes:
        heartbeat_s: The assigner's time between two heartbeats.
        joined: Whether the assigner serves this session.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - a library's public constructor, used with keywords
        self,
        address: tuple[str, int],
        uid: str,
        methods: list[str],
        zmq: ModuleType | None = None,
        context: pyzmq.Context | None = None,
        source: str = "",
        client: ProxyReplicas | None = None,
        on_receive: Callable | None = None,
        keys: Callable = lambda sock: None,
        clock: Callable[[], float] = time.monotonic,
        insist: bool = False,
    ) -> None:
        if zmq is None:
            import zmq
        self.zmq = zmq
        self.uid = uid
        self.on_receive = on_receive
        self.clock = clock
        self.client = client or ProxyReplicas(uid, methods)
        for replica in self.client.replicas.values():
            replica.begin()
        request = codec.OwnershipRequest(self.client.fencing.next_token(), insist)
        self.routing_id = codec.routing_id_of(request, os.urandom(ROUTING_ID_RANDOM_BYTES))
        self._connect(context or zmq.Context.instance(), address, source, keys)
        self.last_message = self.clock()
        self.last_heartbeat = self.last_message
        self.asked: dict[str, float] = {}  # when a snapshot was asked for, by subtree
        self.heartbeat_s = FIRST_HEARTBEAT_S
        self.joined = False
        self.acked_at = 0.0
        for subtree in self.client.replicas:
            self.sub.subscribe(subtree.encode())
        self.ask(self.client.home)

    def _connect(self, context: pyzmq.Context, address: tuple[str, int], source: str, keys: Callable) -> None:
        zmq = self.zmq
        self.dealer = context.socket(zmq.DEALER)
        self.sub = context.socket(zmq.SUB)
        self.push = context.socket(zmq.PUSH)
        self.dealer.identity = self.routing_id
        host, port = address
        endpoint_host = f"{source}:0;{host}" if source else host
        for offset, sock in enumerate((self.dealer, self.sub, self.push)):
            sock.linger = 0
            keys(sock)
            sock.connect(f"tcp://{endpoint_host}:{port + offset}")
        self.sub.subscribe(b"HUGZ")
        self.poller = zmq.Poller()
        for sock in (self.dealer, self.sub):
            self.poller.register(sock, zmq.POLLIN)

    def close(self) -> None:
        """Close the sockets."""
        for sock in (self.dealer, self.sub, self.push):
            sock.close()

    def ask(self, subtree: str) -> None:
        """Ask for a snapshot of a subtree, and subscribe to its changes."""
        self.asked[subtree] = self.clock()
        self.sub.subscribe(subtree.encode())
        self.dealer.send_multipart(codec.encode(codec.Icanhaz(subtree)))

    def ack(self) -> None:
        """Tell the assigner what is applied; also the heartbeat."""
        self.acked_at = self.clock()
        home = self.client.replicas[self.client.home]
        value = codec.Ack(home.head.epoch, self.client.applied_heads(), self.client.fencing.newest_token)
        uuid = codec.uuid_of(self.routing_id.hex())
        message = codec.Kvset(self.client.home + "ack", uuid, codec.PROPERTIES, codec.json(value))
        with suppress(self.zmq.ZMQError):  # nobody reads it now; the next one makes up for it
            self.push.send_multipart(codec.encode(message), flags=self.zmq.NOBLOCK)

    def step(self, timeout: float) -> ReplicaTables | None:
        """Take what comes within `timeout` seconds, at least one look; the tables if they changed."""
        deadline = self.clock() + timeout
        changed = False
        while True:
            left_s = max(0.0, min(deadline, self.acked_at + self.heartbeat_s) - self.clock())
            for sock, _ in self.poller.poll(left_s * 1000):
                changed = self.take(sock.recv_multipart()) or changed
            now = self.clock()
            if changed or now >= self.acked_at + self.heartbeat_s:
                self.ack()
            self._ask_again(now)
            if changed:
                return self.client.tables
            if self.client.redirect() is not None or now >= deadline:
                return None

    def _ask_again(self, now: float) -> None:
        """Ask again for snapshots that are not here in time."""
        for subtree, asked_at in list(self.asked.items()):
            replica = self.client.replicas.get(subtree)
            if replica is None or not replica.asking:
                del self.asked[subtree]
            elif now - asked_at > RETRY_HEARTBEATS * self.heartbeat_s:
                replica.begin()
                self.ask(subtree)

    def take(self, parts: list[bytes]) -> bool:
        """Take one message; whether the tables changed."""
        if self.on_receive:
            self.on_receive(parts)
        try:
            message = codec.decode(parts)
            self.last_message = self.clock()
            ask, drop, changed = self.client.take(message)
        except codec.ChpError:
            return False  # of a later layout, or corrupted: not applied; the next head shows the gap if it mattered
        for subtree in ask:
            self.ask(subtree)
        for subtree in drop:
            self.sub.unsubscribe(subtree.encode())
        self._note_heartbeat(message)
        return changed

    def _note_heartbeat(self, message: codec.Message) -> None:
        home = self.client.replicas[self.client.home]
        if not home.synced:
            return
        if type(message) is codec.Kthxbai and message.subtree == self.client.home:
            self.joined = True
            self.last_heartbeat = self.clock()
        self.heartbeat_s = min(MAX_HEARTBEAT_S, max(MIN_HEARTBEAT_S, home.head.heartbeat_ms / 1000))
        if type(message) is codec.Kvpub and message.key == self.client.home + "head":
            self.last_heartbeat = self.clock()

    @property
    def silent_for(self) -> float:
        """Seconds since a heartbeat of its own subtree, which only joined sessions get; before it joins, since any."""
        return self.clock() - (self.last_heartbeat if self.joined else self.last_message)
