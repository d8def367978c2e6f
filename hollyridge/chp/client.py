"""A blocking client of the pub-sub front. Sockets come from `zmq`, by default pyzmq's own module; hand in
`zmq.green` to use it in greenlets."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

from hollyridge.chp import codec
from hollyridge.chp.replica import Client, ReplicaTables


class Subscriber:
    """One session of a proxy `uid` with the assigner at `address` (host, first port). `heard(parts)`, if given,
    sees every message that comes in. A session that has heard nothing for `silence` seconds is over: begin
    another, with the same `Client` to keep what is held. `plea`: whom it was sent to could not be reached."""

    def __init__(
        self,
        address: tuple[str, int],
        uid: str,
        methods: list[str],
        zmq=None,
        context=None,
        source: str = "",
        client: Client | None = None,
        heard: Callable | None = None,
        keys: Callable = lambda sock: None,
        clock: Callable[[], float] = time.monotonic,
        plea: bool = False,
    ) -> None:
        if zmq is None:
            import zmq
        self.zmq, self.uid, self.heard = zmq, uid, heard
        self.client = client or Client(uid, methods)
        for replica in self.client.replicas.values():
            replica.begin()
        question = codec.Question(self.client.judge.next_token(), plea)
        self.clock, self.identity = clock, codec.identity_of(question, os.urandom(12))
        context = context or zmq.Context.instance()
        self.dealer, self.sub, self.push = (context.socket(kind) for kind in (zmq.DEALER, zmq.SUB, zmq.PUSH))
        self.dealer.identity = self.identity
        host, port = address
        at = f"{source}:0;{host}" if source else host
        for offset, sock in enumerate((self.dealer, self.sub, self.push)):
            sock.linger = 0
            keys(sock)
            sock.connect(f"tcp://{at}:{port + offset}")
        self.sub.subscribe(b"HUGZ")
        self.poller = zmq.Poller()
        for sock in (self.dealer, self.sub):
            self.poller.register(sock, zmq.POLLIN)
        self.last_heard = self.last_beat = self.clock()
        self.asked: dict[str, float] = {}
        self.beat_s, self.joined = 1.0, False
        self.said_at = 0.0
        for subtree in self.client.replicas:
            self.sub.subscribe(subtree.encode())
        self.ask(self.client.home)

    def close(self) -> None:
        for sock in (self.dealer, self.sub, self.push):
            sock.close()

    def ask(self, subtree: str) -> None:
        self.asked[subtree] = self.clock()
        self.sub.subscribe(subtree.encode())
        self.dealer.send_multipart(codec.encode(codec.Icanhaz(subtree)))

    def ack(self) -> None:
        """Say what is applied; also the sign of life."""
        self.said_at = self.clock()
        home = self.client.replicas[self.client.home]
        word = codec.Ack(home.head.epoch, self.client.seqs(), self.client.judge.newest_token)
        message = codec.Kvset(
            self.client.home + "ack", codec.uuid_of(self.identity.hex()), f"v={codec.LAYOUT}\n", codec.json(word)
        )
        try:
            self.push.send_multipart(codec.encode(message), flags=self.zmq.NOBLOCK)
        except self.zmq.ZMQError:
            pass  # nobody is there to hear it

    def step(self, timeout: float) -> ReplicaTables | None:
        """Take what comes within `timeout` seconds, at the least one look; the tables if they changed."""
        until, changed = self.clock() + timeout, False
        while True:
            left = max(0.0, min(until, self.said_at + self.beat_s) - self.clock())
            for sock, _ in self.poller.poll(left * 1000):
                changed = self.take(sock.recv_multipart()) or changed
            now = self.clock()
            if changed or now >= self.said_at + self.beat_s:
                self.ack()
            for subtree, at in list(self.asked.items()):  # an answer that never comes must not end the asking
                replica = self.client.replicas.get(subtree)
                if replica is None or not replica.asking:
                    del self.asked[subtree]
                elif now - at > 2 * self.beat_s:
                    replica.begin()
                    self.ask(subtree)
            if changed:
                return self.client.tables
            if self.client.go() is not None:
                return None
            if now >= until:
                return None

    def take(self, parts: list[bytes]) -> bool:
        if self.heard:
            self.heard(parts)
        try:
            message = codec.decode(parts)
            self.last_heard = self.clock()
            ask, drop, changed = self.client.take(message)
        except codec.ChpError:
            return False  # of a later layout, or spoilt: not applied; a gap if it mattered
        for subtree in ask:
            self.ask(subtree)
        for subtree in drop:
            self.sub.unsubscribe(subtree.encode())
        home = self.client.replicas[self.client.home]
        if type(message) is codec.Kthxbai and message.subtree == self.client.home and home.synced:
            self.joined, self.last_beat = True, self.clock()
        if home.synced:
            self.beat_s = min(10.0, max(0.05, home.head.beat / 1000))
            if type(message) is codec.Kvpub and message.key == self.client.home + "head":
                self.last_beat = self.clock()
        return changed

    @property
    def silent_for(self) -> float:
        """Seconds since a heartbeat of its own subtree, which only who is joined gets; before it is, since any."""
        return self.clock() - (self.last_beat if self.joined else self.last_heard)
