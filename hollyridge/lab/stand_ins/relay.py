"""A relay for the datagrams of assigners on real sockets: cuts some ways, loses some, passes the rest on."""

from __future__ import annotations

from random import Random

import gevent
from gevent import socket


class Relay:
    """For each assigner a port that the others know it by; `real` are the ports that they listen on. What assigner j
    sends to k's known port comes to k from j's known port."""

    def __init__(self, real: list[int], seed: int) -> None:
        self.real, self.chance = real, Random(seed).random
        self.cut: set[tuple[int, int]] = set()
        self.lost = 0.0
        self.socks = []
        for _ in real:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            self.socks.append(sock)
        self.known = [sock.getsockname()[1] for sock in self.socks]
        self.jobs = [gevent.spawn(self.listen, to) for to in range(len(real))]

    def listen(self, to: int) -> None:
        while True:
            try:
                raw, (_, port) = self.socks[to].recvfrom(65535)
                sender = self.real.index(port)
                if (sender, to) not in self.cut and self.chance() >= self.lost:
                    self.socks[sender].sendto(raw, ("127.0.0.1", self.real[to]))
            except (OSError, ValueError):  # nobody listens there now, or a stranger
                gevent.sleep(0)

    def stop(self) -> None:
        gevent.killall(self.jobs, block=False)
        for sock in self.socks:
            sock.close()
