"""Simulated ZeroMQ sockets: what the CHP server and the client library use of the library, over a simulated network.

ROUTER, DEALER, PUB, SUB, PUSH and PULL behave as the library's own pages describe them. Messages arrive in order, late,
or not at all where a queue is full or the network is cut; a socket that waits for its peer finds it when it comes back.
"""

from __future__ import annotations

import errno
from collections import defaultdict, deque
from collections.abc import Callable
from contextlib import suppress

import zmq

from hollyridge.lab.stand_ins.world import US_PER_S, VirtualWorld

DEFAULT_HIGH_WATER_MARK = 1000  # messages, as the library has it
MIN_POLL_S = 1e-6  # time must pass while polling, however little is left


class Frame(bytes):
    """One part of a message, which knows where it came from."""

    address = ""

    def get(self, name: str) -> str:
        """A property of the message, as the library's frames have it."""
        return self.address if name == "Peer-Address" else ""


class Network:
    """All sockets by what they are bound or connected to.

    Attributes:
        bound: The socket that is bound to an endpoint.
        connected: The sockets that are connected to it, in order.
        named: Of these, by their identity.
    """

    def __init__(self, world: VirtualWorld, delay_s: Callable[[], float]) -> None:
        """`delay_s` draws the time that one message takes."""
        self.world = world
        self.delay_s = delay_s
        self.bound: dict[str, Socket] = {}
        self.connected: dict[str, dict[Socket, None]] = defaultdict(dict)
        self.named: dict[tuple[str, bytes], Socket] = {}


class Context:
    """The sockets of one process."""

    def __init__(
        self,
        network: Network,
        cut: Callable[[str], bool] = lambda endpoint: False,
        idle: Callable[[], None] = lambda: None,
    ) -> None:
        """Open no socket yet.

        Args:
            network: Where the sockets are.
            cut: Whether nothing passes between this process and an endpoint now.
            idle: Lets time pass while the process gets no turn.
        """
        self.network = network
        self.cut = cut
        self.idle = idle
        self.open: list[Socket] = []

    def socket(self, kind: int) -> Socket:
        """A new socket of this kind."""
        self.open.append(Socket(self, kind))
        return self.open[-1]

    def end(self) -> None:
        """Close all sockets, as when the process is killed."""
        for sock in self.open:
            sock.close()


class Socket:
    """A socket; options and methods are named as the library's.

    Attributes:
        queue: Messages that have arrived; `in_flight` more are on their way.
        available: Set when a message arrives.
        last_arrival_us: When the last message to a peer arrives: none overtakes another.
        topics: What a SUB socket has subscribed, and how often.
    """

    sndhwm = rcvhwm = DEFAULT_HIGH_WATER_MARK
    identity = b""

    def __init__(self, context: Context, kind: int) -> None:
        self.context = context
        self.kind = kind
        self.network = context.network
        self.queue: deque[list[Frame]] = deque()
        self.in_flight = 0
        self.available = self.network.world.result()
        self.last_arrival_us: dict[Socket, int] = {}
        self.topics: dict[bytes, int] = {}
        self.endpoint = ""
        self.address = ""
        self.closed = False

    def bind(self, endpoint: str) -> None:
        """Listen; ZMQError if the endpoint is taken."""
        if endpoint in self.network.bound:
            raise zmq.ZMQError(errno.EADDRINUSE)
        self.endpoint = endpoint
        self.network.bound[endpoint] = self

    def connect(self, endpoint: str) -> None:
        """Connect to `tcp://source:0;host:port`; the source may be left out."""
        source, _, target = endpoint.removeprefix("tcp://").rpartition(";")
        self.address = source.rpartition(":")[0] or "127.0.0.1"
        self.endpoint = f"tcp://{target}"
        self.network.connected[self.endpoint][self] = None
        self.network.named[self.endpoint, self.identity] = self

    def close(self) -> None:
        """Close; messages on their way to it are lost."""
        self.closed = True
        self.network.connected[self.endpoint].pop(self, None)
        self.network.named.pop((self.endpoint, self.identity), None)
        if self.network.bound.get(self.endpoint) is self:
            del self.network.bound[self.endpoint]

    def subscribe(self, topic: bytes) -> None:
        """Receive messages that begin with this topic; may be asked for more than once."""
        self.topics[topic] = self.topics.get(topic, 0) + 1

    def unsubscribe(self, topic: bytes) -> None:
        """Take one subscription back."""
        if self.topics.get(topic, 0) > 1:
            self.topics[topic] -= 1
        else:
            self.topics.pop(topic, None)

    # Messages.

    @property
    def is_full(self) -> bool:
        """Whether no more messages fit, at the sender's and the receiver's end together."""
        return len(self.queue) + self.in_flight >= 2 * self.rcvhwm

    def _send_to(self, peer: Socket, parts: list[bytes]) -> None:
        client = self if self.address else peer  # whose end of the connection a cut is asked for
        if self.closed or client.context.cut(client.endpoint):
            return
        world, frames = self.network.world, []
        for part in parts:
            frame = Frame(part)
            frame.address = self.address
            frames.append(frame)
        arrival = world.now() + round(self.network.delay_s() * US_PER_S)
        self.last_arrival_us[peer] = max(self.last_arrival_us.get(peer, 0) + 1, arrival)
        peer.in_flight += 1
        world.when(self.last_arrival_us[peer], world.start, peer._on_arrival, (frames,))

    def _on_arrival(self, frames: list[Frame]) -> None:
        self.in_flight -= 1
        if not self.closed:
            self.queue.append(frames)
            self.available.set()

    def send_multipart(self, parts: list[bytes], flags: int = 0) -> None:
        """Send a message; sockets other than ROUTER drop it where nobody takes it.

        Raises:
            zmq.ZMQError: A ROUTER knows no such peer.
            zmq.Again: The queue of a ROUTER's peer is full.
        """
        if self.kind == zmq.PUB:
            self._publish(parts)
        elif self.kind == zmq.ROUTER:
            self._route(parts)
        else:
            peer = self.network.bound.get(self.endpoint)
            if peer is not None and not peer.is_full:
                self._send_to(peer, [self.identity, *parts] if self.kind == zmq.DEALER else parts)

    def _publish(self, parts: list[bytes]) -> None:
        for peer in list(self.network.connected[self.endpoint]):
            if any(parts[0].startswith(topic) for topic in peer.topics) and not peer.is_full:
                self._send_to(peer, parts)

    def _route(self, parts: list[bytes]) -> None:
        peer = self.network.named.get((self.endpoint, bytes(parts[0])))
        if peer is None:
            raise zmq.ZMQError(errno.EHOSTUNREACH)
        if peer.is_full:
            raise zmq.Again
        self._send_to(peer, parts[1:])

    def recv_multipart(self, copy: bool = True) -> list[Frame]:
        """Wait for the next message."""
        self.context.idle()
        while not self.queue:
            self.available = self.network.world.result()
            self.available.get()
            self.context.idle()
        return self.queue.popleft()


class Poller:
    """Waits for messages at several sockets."""

    def __init__(self, world: VirtualWorld) -> None:
        self.world = world
        self.socks: list[Socket] = []

    def register(self, sock: Socket, _flags: int) -> None:
        """Wait for messages at this socket too."""
        self.socks.append(sock)

    def poll(self, timeout_ms: float) -> list[tuple[Socket, int]]:
        """The sockets with messages; waits for one until the time-out."""
        if not any(sock.queue for sock in self.socks) and timeout_ms > 0:
            first = self.world.result()
            for sock in self.socks:
                sock.available = first
            with suppress(TimeoutError):  # then none has a message
                first.get(timeout=max(timeout_ms / 1e3, MIN_POLL_S))
        return [(sock, zmq.POLLIN) for sock in self.socks if sock.queue]


class Library:
    """Takes the place of the library's module in the client library."""

    DEALER, SUB, PUSH, POLLIN, NOBLOCK = zmq.DEALER, zmq.SUB, zmq.PUSH, zmq.POLLIN, zmq.NOBLOCK
    ZMQError = zmq.ZMQError

    def __init__(self, world: VirtualWorld) -> None:
        self.world = world

    def Poller(self) -> Poller:  # noqa: N802 - the library's name
        """A poller."""
        return Poller(self.world)
