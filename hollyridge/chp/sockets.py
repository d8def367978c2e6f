"""Sockets of the CHP server: the snapshot socket (ROUTER), the publisher (PUB) and the collector (PULL)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

import zmq.green as zmq

from hollyridge.chp import codec
from hollyridge.chp.config import ChpConfig
from hollyridge.keys.curve import Curve

if TYPE_CHECKING:
    from structlog import BoundLogger

REBIND_ATTEMPTS = 50  # ZeroMQ closes the former listener in another thread, with a short delay
REBIND_INTERVAL_S = 0.02


class ReceivedMessage(NamedTuple):
    """Received message.

    Attributes:
        parts: Parts of the message.
        address: IP address of the sender, empty if unknown.
        user: Name of the principal that the sender's key belongs to, empty without keys.
    """

    parts: list[bytes]
    address: str
    user: str


class ServerSockets:
    """The three sockets of a server; `counts` are the server's counters."""

    def __init__(self, context: zmq.Context, config: ChpConfig, curve: Curve | None, counts: dict[str, int]) -> None:
        self.config = config
        self.curve = curve
        self.counts = counts
        self.snapshot = self._open(context, zmq.ROUTER)
        self.publisher = self._open(context, zmq.PUB)
        self.collector = self._open(context, zmq.PULL)
        self.snapshot.router_mandatory = True

    def _open(self, context: zmq.Context, socket_type: int) -> zmq.Socket:
        sock = context.socket(socket_type)
        sock.linger = 0
        sock.sndhwm = sock.rcvhwm = self.config.max_waiting_messages
        sock.maxmsgsize = codec.MAX_PART_BYTES
        if self.curve is not None:
            self.curve.secure(sock)
        return sock

    def _endpoints(self) -> list[tuple[zmq.Socket, str]]:
        sockets = (self.snapshot, self.publisher, self.collector)
        return [(sock, f"tcp://{self.config.host}:{self.config.port + offset}") for offset, sock in enumerate(sockets)]

    def bind(self) -> None:
        """Listen; raise OSError if a port is in use."""
        first = self.config.port
        try:
            for sock, endpoint in self._endpoints():
                sock.bind(endpoint)
        except zmq.ZMQError as error:
            raise OSError(error.errno, f"{error}: ports {first} to {first + 2}") from None

    def rebind(self, sleep: Callable[[float], None], log: BoundLogger) -> None:
        """Listen again with the present key of `curve`; open connections continue."""
        for sock, endpoint in self._endpoints():
            sock.unbind(endpoint)
            self.curve.secure(sock)
            for _ in range(REBIND_ATTEMPTS):
                try:
                    sock.bind(endpoint)
                    break
                except zmq.ZMQError:
                    sleep(REBIND_INTERVAL_S)
            else:
                log.error("listen_failed", endpoint=endpoint)

    def close(self) -> None:
        """Close the sockets."""
        for sock, _ in self._endpoints():
            sock.close()

    @staticmethod
    def receive(sock: zmq.Socket) -> ReceivedMessage:
        """Wait for the next message of a socket and return it."""
        frames = sock.recv_multipart(copy=False)
        properties = []
        for name in ("Peer-Address", "User-Id"):
            try:
                properties.append(frames[-1].get(name))
            except zmq.ZMQError:
                properties.append("")
        address, user = properties
        return ReceivedMessage([bytes(frame) for frame in frames], address, user)

    def publish(self, messages: Iterable[codec.Message]) -> None:
        """Send messages to all subscribers without blocking.

        A subscriber whose queue is full loses messages, detects the gap and requests a snapshot.
        """
        for message in messages:
            parts = codec.encode(message)
            self.counts["published"] += 1
            self.counts["bytes_out"] += sum(map(len, parts))
            self.publisher.send_multipart(parts)

    def send_to(self, routing_id: bytes, parts: list[bytes]) -> bool:
        """Send a message to one session; return False if its pipe is full."""
        try:
            self.snapshot.send_multipart([routing_id, *parts], flags=zmq.NOBLOCK)
        except zmq.Again:
            return False
        except zmq.ZMQError:  # its connection is closed; the proxy starts a new session, or the old one becomes overdue
            self.counts["unreachable"] += 1
            return True
        self.counts["bytes_out"] += sum(map(len, parts))
        return True
