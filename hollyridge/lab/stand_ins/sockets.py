"""Simulated sockets of the pub-sub library: what the front and the client library use of ROUTER, DEALER, PUB, SUB, PUSH
and PULL, as the library's own pages describe them, over a simulated network. Messages arrive in order, late, or not at
all where a queue is full or the way is cut; a socket that waits for its peer finds it when it comes back."""

from __future__ import annotations

import errno
from collections import defaultdict, deque
from collections.abc import Callable

import zmq

from hollyridge.lab.stand_ins.world import VirtualWorld


class Frame(bytes):
    """One part of a message, which knows where it came from."""

    address = ""

    def get(self, name: str) -> str:
        return self.address if name == "Peer-Address" else ""


class Network:
    """`delay()` gives the seconds that one message takes."""

    def __init__(self, world: VirtualWorld, delay: Callable[[], float]) -> None:
        self.world, self.delay = world, delay
        self.bound: dict[str, Socket] = {}
        self.joined: dict[str, dict[Socket, None]] = defaultdict(dict)  # by endpoint
        self.named: dict[tuple[str, bytes], Socket] = {}


class Context:
    """`cut(endpoint)`: whether nothing passes there now; `idle()`: let time pass while its owner has no turn."""

    def __init__(
        self,
        network: Network,
        cut: Callable[[str], bool] = lambda endpoint: False,
        idle: Callable[[], None] = lambda: None,
    ) -> None:
        self.network, self.cut, self.idle = network, cut, idle
        self.open: list[Socket] = []

    def socket(self, kind: int) -> Socket:
        self.open.append(Socket(self, kind))
        return self.open[-1]

    def end(self) -> None:
        """As when its process is killed."""
        for sock in self.open:
            sock.close()


class Socket:
    sndhwm = rcvhwm = 1000
    identity = b""

    def __init__(self, context: Context, kind: int) -> None:
        self.context, self.kind, self.network = context, kind, context.network
        self.queue: deque[list[Frame]] = deque()
        self.there = self.network.world.result()
        self.coming = 0  # messages on their way to it
        self.arrives: dict[Socket, int] = {}
        self.topics: dict[bytes, int] = {}
        self.endpoint = self.address = ""
        self.closed = False

    def bind(self, endpoint: str) -> None:
        if endpoint in self.network.bound:
            raise zmq.ZMQError(errno.EADDRINUSE)
        self.endpoint = endpoint
        self.network.bound[endpoint] = self

    def connect(self, endpoint: str) -> None:
        """`tcp://source:0;host:port`, the first part left out where it matters not."""
        source, _, target = endpoint.removeprefix("tcp://").rpartition(";")
        self.address, self.endpoint = source.rpartition(":")[0] or "127.0.0.1", f"tcp://{target}"
        self.network.joined[self.endpoint][self] = None
        self.network.named[self.endpoint, self.identity] = self

    def close(self) -> None:
        self.closed = True
        self.network.joined[self.endpoint].pop(self, None)
        self.network.named.pop((self.endpoint, self.identity), None)
        if self.network.bound.get(self.endpoint) is self:
            del self.network.bound[self.endpoint]

    def subscribe(self, topic: bytes) -> None:
        self.topics[topic] = self.topics.get(topic, 0) + 1

    def unsubscribe(self, topic: bytes) -> None:
        if self.topics.get(topic, 0) > 1:
            self.topics[topic] -= 1
        else:
            self.topics.pop(topic, None)

    # What passes.

    @property
    def full(self) -> bool:
        return len(self.queue) + self.coming >= 2 * self.rcvhwm

    def pass_on(self, peer: Socket, parts: list[bytes]) -> None:
        near = self if self.address else peer  # the end that a cut is told of
        if self.closed or near.context.cut(near.endpoint):
            return
        world, frames = self.network.world, []
        for part in parts:
            frames.append(Frame(part))
            frames[-1].address = self.address
        at = max(self.arrives.get(peer, 0) + 1, world.now() + round(self.network.delay() * 1e6))
        self.arrives[peer] = at
        peer.coming += 1
        world.when(at, world.start, peer.arrive, (frames,))

    def arrive(self, frames: list[Frame]) -> None:
        self.coming -= 1
        if not self.closed:
            self.queue.append(frames)
            self.there.set()

    def send_multipart(self, parts: list[bytes], flags: int = 0) -> None:
        """ZMQError where a ROUTER knows no such peer, Again where its queue is full; the others drop."""
        if self.kind == zmq.PUB:
            for peer in list(self.network.joined[self.endpoint]):
                if any(parts[0].startswith(topic) for topic in peer.topics) and not peer.full:
                    self.pass_on(peer, parts)
        elif self.kind == zmq.ROUTER:
            peer = self.network.named.get((self.endpoint, bytes(parts[0])))
            if peer is None:
                raise zmq.ZMQError(errno.EHOSTUNREACH)
            if peer.full:
                raise zmq.Again
            self.pass_on(peer, parts[1:])
        else:
            peer = self.network.bound.get(self.endpoint)
            if peer is not None and not peer.full:
                self.pass_on(peer, [self.identity, *parts] if self.kind == zmq.DEALER else parts)

    def recv_multipart(self, copy: bool = True) -> list[Frame]:
        self.context.idle()
        while not self.queue:
            self.there = self.network.world.result()
            self.there.get()
            self.context.idle()
        return self.queue.popleft()


class Poller:
    def __init__(self, world: VirtualWorld) -> None:
        self.world, self.socks = world, []

    def register(self, sock: Socket, _flags: int) -> None:
        self.socks.append(sock)

    def poll(self, ms: float) -> list[tuple[Socket, int]]:
        if not any(sock.queue for sock in self.socks) and ms > 0:
            first = self.world.result()
            for sock in self.socks:
                sock.there = first
            try:
                first.get(timeout=max(ms / 1e3, 1e-6))  # time must pass, however little is left
            except TimeoutError:
                pass
        return [(sock, zmq.POLLIN) for sock in self.socks if sock.queue]


class Library:
    """Stands for the library's module in the client library."""

    DEALER, SUB, PUSH, POLLIN, NOBLOCK = zmq.DEALER, zmq.SUB, zmq.PUSH, zmq.POLLIN, zmq.NOBLOCK
    ZMQError = zmq.ZMQError

    def __init__(self, world: VirtualWorld) -> None:
        self.world = world

    def Poller(self) -> Poller:  # noqa: N802  the library's name
        return Poller(self.world)
