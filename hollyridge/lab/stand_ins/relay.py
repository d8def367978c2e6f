"""Relay of datagrams between assigners on real sockets, which drops those of cut paths and some of the others."""

from __future__ import annotations

from random import Random

import gevent
from gevent import socket

MAX_DATAGRAM_BYTES = 65535


class Relay:
    """Relay with one port per assigner, at which the other assigners address it.

    A datagram that assigner j sends to k's relay port arrives at k from j's relay port.

    Attributes:
        assigner_ports: Ports that the assigners listen on.
        relay_ports: Ports of the relay, by number of the assigner.
        cut: (sender, receiver) pairs between which all datagrams are dropped.
        lost: Fraction of the other datagrams that is dropped.
    """

    def __init__(self, assigner_ports: list[int], seed: int) -> None:
        self.assigner_ports = assigner_ports
        self.draw = Random(seed).random
        self.cut: set[tuple[int, int]] = set()
        self.lost = 0.0
        self.socks = [self._bind() for _ in assigner_ports]
        self.relay_ports = [sock.getsockname()[1] for sock in self.socks]
        self.jobs = [gevent.spawn(self._forward, receiver) for receiver in range(len(assigner_ports))]

    @staticmethod
    def _bind() -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        return sock

    def _forward(self, receiver: int) -> None:
        while True:
            try:
                raw, (_, port) = self.socks[receiver].recvfrom(MAX_DATAGRAM_BYTES)
                sender = self.assigner_ports.index(port)
                if (sender, receiver) not in self.cut and self.draw() >= self.lost:
                    self.socks[sender].sendto(raw, ("127.0.0.1", self.assigner_ports[receiver]))
            except (OSError, ValueError):  # no process listens on that port now, or the sender is unknown
                gevent.sleep(0)

    def stop(self) -> None:
        """Stop forwarding and close all sockets."""
        gevent.killall(self.jobs, block=False)
        for sock in self.socks:
            sock.close()
