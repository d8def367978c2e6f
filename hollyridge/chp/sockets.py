"""The three sockets of the CHP server: snapshots (ROUTER), the publisher (PUB) and the collector (PULL)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

import zmq.green as zmq

from hollyridge.chp import codec
from hollyridge.chp.config import ChpConfig
from hollyridge.keys.curve import Curve

if TYPE_CHECKING:
    from structlog import BoundLogger

REBIND_ATTEMPTS = 50  # the listener is closed by another thread of the library, a little later
REBIND_INTERVAL_S = 0.02


class ReceivedMessage(NamedTuple):
    """A message's parts, the address of its sender and the user that the sender's key stands for."""

    parts: list[bytes]
    address: str
    user: str


class ServerSockets:
    """Opens, binds and writes the sockets; `counts` are the server's figures."""

    def __init__(self, context: zmq.Context, config: ChpConfig, curve: Curve | None, counts: dict[str, int]) -> None:
        self.config = config
        self.curve = curve
        self.counts = counts
        self.snapshot = self._open(context, zmq.ROUTER)
        self.publisher = self._open(context, zmq.PUB)
        self.collector = self._open(context, zmq.PULL)
        self.snapshot.router_mandatory = True

    def _open(self, context: zmq.Context, kind: int) -> zmq.Socket:
        sock = context.socket(kind)
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
        """Listen; OSError if a port is taken."""
        first = self.config.port
        try:
            for sock, endpoint in self._endpoints():
                sock.bind(endpoint)
        except zmq.ZMQError as error:
            raise OSError(error.errno, f"{error}: ports {first} to {first + 2}") from None

    def rebind(self, sleep: Callable[[float], None], log: BoundLogger) -> None:
        """Listen anew with the key that `curve` has now; connections that stand go on."""
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
        """Close all three."""
        for sock, _ in self._endpoints():
            sock.close()

    @staticmethod
    def receive(sock: zmq.Socket) -> ReceivedMessage:
        """Wait for the next message of a socket."""
        frames = sock.recv_multipart(copy=False)
        facts = []
        for name in ("Peer-Address", "User-Id"):
            try:
                facts.append(frames[-1].get(name))
            except zmq.ZMQError:
                facts.append("")
        address, user = facts
        return ReceivedMessage([bytes(frame) for frame in frames], address, user)

    def publish(self, messages: Iterable[codec.Message]) -> None:
        """Send to all subscribers. Never blocks: a full reader loses it, sees the gap, and asks."""
        for message in messages:
            parts = codec.encode(message)
            self.counts["published"] += 1
            self.counts["bytes_out"] += sum(map(len, parts))
            self.publisher.send_multipart(parts)

    def send_to(self, routing_id: bytes, parts: list[bytes]) -> bool:
        """Send to one session; False if it can't take more now."""
        try:
            self.snapshot.send_multipart([routing_id, *parts], flags=zmq.NOBLOCK)
        except zmq.Again:
            return False
        except zmq.ZMQError:  # its connection is closed: it will ask again in a new session, or be overdue
            self.counts["unreachable"] += 1
            return True
        self.counts["bytes_out"] += sum(map(len, parts))
        return True
