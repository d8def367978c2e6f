"""Datagrams between assigners, on gevent."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from hollyridge.peers.codec import MAX_PACKET_BYTES

READ_BYTES = MAX_PACKET_BYTES + 1  # one more shows that a datagram is too long
ERROR_PAUSE_S = 0.01  # after a failed read: an unreachable peer's ICMP error surfaces there, and may do so in a row


class DatagramTransport:
    """A bound UDP socket and the greenlet that reads it, until `stop`.

    Attributes:
        host: Address that it is bound to.
        port: Port that it is bound to.
        unsent: Datagrams that could not be sent.
    """

    def __init__(self, host: str, port: int, on_datagram: Callable[[str, bytes], None]) -> None:
        """Binds the socket and starts reading.

        Args:
            host: Address to bind to, IPv4 or IPv6.
            port: Port to bind to, 0 for any free one.
            on_datagram: Called with address (host:port) and content of each datagram.

        Raises:
            OSError: The address is taken.
        """
        self._on_datagram = on_datagram
        self._socket = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self.host, self.port = self._socket.getsockname()[:2]
        self.unsent = 0
        self._reader = gevent.spawn(self._read)

    def send(self, address: str, raw: bytes) -> None:
        """Sends a datagram to host:port; one that can't be sent is lost, as any may be."""
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(raw, (host.strip("[]"), int(port)))
        except (OSError, ValueError, OverflowError):
            self.unsent += 1

    def stop(self) -> None:
        """Stops reading and closes the socket."""
        self._reader.kill(block=False)
        self._socket.close()

    def _read(self) -> None:
        while True:
            try:
                raw, (host, port, *_) = self._socket.recvfrom(READ_BYTES)
            except OSError:
                gevent.sleep(ERROR_PAUSE_S)
                continue
            self._on_datagram(f"{host}:{port}", raw)
