"""Datagrams between assigners, on gevent."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from hollyridge.peers.codec import MOST


class DatagramTransport:
    """`heard(address, raw)` is called with each datagram that comes. OSError if the address is taken."""

    def __init__(self, host: str, port: int, heard: Callable[[str, bytes], None]) -> None:
        self.heard = heard
        self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, port))
        self.host, self.port = self.sock.getsockname()[:2]
        self.job = gevent.spawn(self.listen)
        self.unsent = 0

    def listen(self) -> None:
        while True:
            try:
                raw, (host, port, *_) = self.sock.recvfrom(MOST + 1)
            except OSError:
                gevent.sleep(0.01)  # what a peer that is gone answers comes up here
                continue
            self.heard(f"{host}:{port}", raw)

    def send(self, address: str, raw: bytes) -> None:
        host, _, port = address.rpartition(":")
        try:
            self.sock.sendto(raw, (host.strip("[]"), int(port)))
        except (OSError, ValueError, OverflowError):
            self.unsent += 1

    def stop(self) -> None:
        self.job.kill(block=False)
        self.sock.close()
