"""Simulated ZeroMQ sockets over a simulated network, with the calls that the CHP server and the client library use.

ROUTER, DEALER, PUB, SUB, PUSH and PULL behave as documented by ZeroMQ. Messages arrive in order after a delay, and are
lost if a queue is full or the network is cut. A socket that waits for its peer is connected when the peer is back.
"""

from __future__ import annotations

import errno
from collections import defaultdict, deque
from collections.abc import Callable
from contextlib import suppress

import zmq

from hollyridge.lab.stand_ins.world import US_PER_S, VirtualWorld

DEFAULT_HIGH_WATER_MARK = 1000  # messages, the default of ZeroMQ
MIN_POLL_S = 1e-6  # minimum wait of a poll, because a loop that polls without advancing the clock never ends


class Frame(bytes):
    """One part of a message, with the address of its sender."""

    address = ""

    def get(self, name: str) -> str:
        """Return a property of the message, as `zmq.Frame.get` does."""
        return self.address if name == "Peer-Address" else ""


class Network:
    """All sockets, by the endpoint that they are bound or connected to.

    Attributes:
        bound: The socket that is bound to an endpoint, by endpoint.
        connected: The sockets that are connected to an endpoint, in order, by endpoint.
        by_identity: The connected sockets, by (endpoint, identity).
    """

    def __init__(self, world: VirtualWorld, delay_s: Callable[[], float]) -> None:
        """Create a network without sockets; `delay_s` draws the delay of one message, in seconds."""
        self.world = world
        self.delay_s = delay_s
        self.bound: dict[str, Socket] = {}
        self.connected: dict[str, dict[Socket, None]] = defaultdict(dict)
        self.by_identity: dict[tuple[str, bytes], Socket] = {}


class Context:
    """The sockets of one process."""

    def __init__(
        self,
        network: Network,
        cut: Callable[[str], bool] = lambda endpoint: False,
        wait_while_stalled: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a context without sockets.

        Args:
            network: Network of the sockets.
            cut: Function that returns whether this process is currently cut off from an endpoint.
            wait_while_stalled: Function that waits until the process is no longer stalled.
        """
        self.network = network
        self.cut = cut
        self.wait_while_stalled = wait_while_stalled
        self.open: list[Socket] = []

    def socket(self, kind: int) -> Socket:
        """Return a new socket of this type."""
        self.open.append(Socket(self, kind))
        return self.open[-1]

    def end(self) -> None:
        """Close all sockets, as when the process is killed."""
        for sock in self.open:
            sock.close()


class Socket:
    """Simulated socket, whose options and methods are named as those of `zmq.Socket`.

    Attributes:
        queue: Messages that have arrived.
        in_flight: Number of messages that were sent to this socket and have not arrived.
        available: Result that is set when a message arrives.
        last_arrival_us: Time at which the last message to a peer arrives, so that none overtakes another.
        topics: Number of subscriptions of a SUB socket, by topic.
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
        """Listen; raise ZMQError if the endpoint is in use."""
        if endpoint in self.network.bound:
            raise zmq.ZMQError(errno.EADDRINUSE)
        self.endpoint = endpoint
        self.network.bound[endpoint] = self

    def connect(self, endpoint: str) -> None:
        """Connect to `tcp://source:0;host:port`; the source may be omitted."""
        source, _, target = endpoint.removeprefix("tcp://").rpartition(";")
        self.address = source.rpartition(":")[0] or "127.0.0.1"
        self.endpoint = f"tcp://{target}"
        self.network.connected[self.endpoint][self] = None
        self.network.by_identity[self.endpoint, self.identity] = self

    def close(self) -> None:
        """Close the socket; messages in flight to it are lost."""
        self.closed = True
        self.network.connected[self.endpoint].pop(self, None)
        self.network.by_identity.pop((self.endpoint, self.identity), None)
        if self.network.bound.get(self.endpoint) is self:
            del self.network.bound[self.endpoint]

    def subscribe(self, topic: bytes) -> None:
        """Subscribe to messages that begin with this topic; subscriptions are counted."""
        self.topics[topic] = self.topics.get(topic, 0) + 1

    def unsubscribe(self, topic: bytes) -> None:
        """Cancel one subscription of this topic."""
        if self.topics.get(topic, 0) > 1:
            self.topics[topic] -= 1
        else:
            self.topics.pop(topic, None)

    # Messages.

    @property
    def is_full(self) -> bool:
        """Return whether the sender's and the receiver's queue together are full."""
        return len(self.queue) + self.in_flight >= 2 * self.rcvhwm

    def _send_to(self, peer: Socket, parts: list[bytes]) -> None:
        client = self if self.address else peer  # cuts are set at the client's end
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
        world.call_at(self.last_arrival_us[peer], world.start_greenlet, peer._on_arrival, (frames,))

    def _on_arrival(self, frames: list[Frame]) -> None:
        self.in_flight -= 1
        if not self.closed:
            self.queue.append(frames)
            self.available.set()

    def send_multipart(self, parts: list[bytes], flags: int = 0) -> None:
        """Send a message; sockets other than ROUTER drop it if no peer can receive it.

        Raises:
            zmq.ZMQError: The peer of a ROUTER is not connected.
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
        peer = self.network.by_identity.get((self.endpoint, bytes(parts[0])))
        if peer is None:
            raise zmq.ZMQError(errno.EHOSTUNREACH)
        if peer.is_full:
            raise zmq.Again
        self._send_to(peer, parts[1:])

    def recv_multipart(self, copy: bool = True) -> list[Frame]:
        """Wait for the next message and return it."""
        self.context.wait_while_stalled()
        while not self.queue:
            self.available = self.network.world.result()
            self.available.get()
            self.context.wait_while_stalled()
        return self.queue.popleft()


class Poller:
    """Poller that waits for messages at several sockets."""

    def __init__(self, world: VirtualWorld) -> None:
        self.world = world
        self.socks: list[Socket] = []

    def register(self, sock: Socket, _flags: int) -> None:
        """Wait for messages at this socket too."""
        self.socks.append(sock)

    def poll(self, timeout_ms: float) -> list[tuple[Socket, int]]:
        """Return (socket, POLLIN) for each socket with messages; if there is none, wait for one until the timeout."""
        if not any(sock.queue for sock in self.socks) and timeout_ms > 0:
            first_message = self.world.result()
            for sock in self.socks:
                sock.available = first_message
            with suppress(TimeoutError):  # a timeout means that no socket has a message
                first_message.get(timeout=max(timeout_ms / 1e3, MIN_POLL_S))
        return [(sock, zmq.POLLIN) for sock in self.socks if sock.queue]


class ZmqModule:
    """Replacement of the `zmq` module in the client library."""

    DEALER, SUB, PUSH, POLLIN, NOBLOCK = zmq.DEALER, zmq.SUB, zmq.PUSH, zmq.POLLIN, zmq.NOBLOCK
    ZMQError = zmq.ZMQError

    def __init__(self, world: VirtualWorld) -> None:
        self.world = world

    def Poller(self) -> Poller:  # noqa: N802 - the name in `zmq`
        """Return a new poller."""
        return Poller(self.world)
