"""Blocking client of the CHP server.

The module in `zmq` provides the sockets, by default pyzmq's own; pass `zmq.green` to use a client in greenlets.
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
FIRST_HEARTBEAT_S = 1.0  # assumed until the assigner's interval is known
MIN_HEARTBEAT_S, MAX_HEARTBEAT_S = 0.05, 10.0  # bounds of the interval that the assigner announces
RETRY_HEARTBEATS = 2  # number of heartbeat intervals after which a missing snapshot is requested again


class Subscriber:
    """Session of the proxy `uid` with the assigner at `address` (host, port of the snapshot socket).

    `on_receive(parts)`, if given, is called with every received message; `keys(sock)` prepares a socket for CURVE. When
    a session ends, start another one with the same `client` to keep the tables. `insist` is true if the assigner that
    the proxy was redirected to could not be reached.

    Attributes:
        requested_at: Time of the pending snapshot request, by subtree, in seconds.
        heartbeat_s: Interval between the assigner's heartbeats, in seconds.
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
        self.requested_at: dict[str, float] = {}
        self.heartbeat_s = FIRST_HEARTBEAT_S
        self.joined = False
        self.acked_at = 0.0
        for subtree in self.client.replicas:
            self.sub.subscribe(subtree.encode())
        self.request_snapshot(self.client.home)

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

    def request_snapshot(self, subtree: str) -> None:
        """Request a snapshot of a subtree, and subscribe to its changes."""
        self.requested_at[subtree] = self.clock()
        self.sub.subscribe(subtree.encode())
        self.dealer.send_multipart(codec.encode(codec.Icanhaz(subtree)))

    def ack(self) -> None:
        """Send the applied heads to the assigner, which is also the heartbeat."""
        self.acked_at = self.clock()
        home = self.client.replicas[self.client.home]
        value = codec.Ack(home.head.epoch, self.client.applied_heads(), self.client.fencing.newest_token)
        uuid = codec.uuid_of(self.routing_id.hex())
        message = codec.Kvset(self.client.home + "ack", uuid, codec.PROPERTIES, codec.json(value))
        with suppress(self.zmq.ZMQError):  # the assigner does not read at present; the next message replaces this one
            self.push.send_multipart(codec.encode(message), flags=self.zmq.NOBLOCK)

    def step(self, timeout: float) -> ReplicaTables | None:
        """Process messages for up to `timeout` seconds, polling at least once; return the tables if they changed."""
        deadline = self.clock() + timeout
        changed = False
        while True:
            remaining_s = max(0.0, min(deadline, self.acked_at + self.heartbeat_s) - self.clock())
            for sock, _ in self.poller.poll(remaining_s * 1000):
                changed = self.handle_message(sock.recv_multipart()) or changed
            now = self.clock()
            if changed or now >= self.acked_at + self.heartbeat_s:
                self.ack()
            self._retry_snapshots(now)
            if changed:
                return self.client.tables
            if self.client.redirect() is not None or now >= deadline:
                return None

    def _retry_snapshots(self, now: float) -> None:
        """Repeat the requests for snapshots that did not arrive in time."""
        for subtree, sent_at in list(self.requested_at.items()):
            replica = self.client.replicas.get(subtree)
            if replica is None or not replica.awaiting_snapshot:
                del self.requested_at[subtree]
            elif now - sent_at > RETRY_HEARTBEATS * self.heartbeat_s:
                replica.begin()
                self.request_snapshot(subtree)

    def handle_message(self, parts: list[bytes]) -> bool:
        """Process one message, and return whether the tables changed."""
        if self.on_receive:
            self.on_receive(parts)
        try:
            message = codec.decode(parts)
            self.last_message = self.clock()
            needed, unused, changed = self.client.handle_message(message)
        except codec.ChpError:
            return False  # corrupted or of a later layout; if it belongs to a change, the next head reveals the gap
        for subtree in needed:
            self.request_snapshot(subtree)
        for subtree in unused:
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
    def silence_s(self) -> float:
        """Return the seconds since the last heartbeat of the proxy's own subtree, which only joined sessions receive.

        Before the session has joined, return the seconds since the last message of any kind.
        """
        return self.clock() - (self.last_heartbeat if self.joined else self.last_message)
