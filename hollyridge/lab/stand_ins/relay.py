"""A relay for datagrams between assigners on real sockets, which cuts some paths and loses some packets."""

from __future__ import annotations

from random import Random

import gevent
from gevent import socket

MAX_DATAGRAM_BYTES = 65535


class Relay:
    """Stands between assigners: each knows the others by a port of the relay.

    What assigner j sends to k's known port comes to k from j's known port.

    Attributes:
        real: The ports that the assigners listen on.
        known: The ports that they know each other by.
        cut: Pairs, from and to, between which nothing passes.
        lost: Fraction of the rest that is lost.
    """

    def __init__(self, real: list[int], seed: int) -> None:
        self.real = real
        self.chance = Random(seed).random
        self.cut: set[tuple[int, int]] = set()
        self.lost = 0.0
        self.socks = [self._bind() for _ in real]
        self.known = [sock.getsockname()[1] for sock in self.socks]
        self.jobs = [gevent.spawn(self._forward, receiver) for receiver in range(len(real))]

    @staticmethod
    def _bind() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        return sock

    def _forward(self, receiver: int) -> None:
        while True:
            try:
                raw, (_, port) = self.socks[receiver].recvfrom(MAX_DATAGRAM_BYTES)
                sender = self.real.index(port)
                if (sender, receiver) not in self.cut and self.chance() >= self.lost:
                    self.socks[sender].sendto(raw, ("127.0.0.1", self.real[receiver]))
            except (OSError, ValueError):  # nobody listens there now, or the sender is unknown
                gevent.sleep(0)

    def stop(self) -> None:
        """Forward nothing more."""
        gevent.killall(self.jobs, block=False)
        for sock in self.socks:
            sock.close()
