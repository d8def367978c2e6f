"""UDP transport between assigners, on gevent."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from hollyridge.core.input_turns import PAUSE_S, TurnCounter
from hollyridge.peers.codec import MAX_PACKET_BYTES

READ_BYTES = MAX_PACKET_BYTES + 1  # the additional byte reveals that a datagram is too long
# Pause after a failed read. The ICMP errors of unreachable peers are raised by reads, possibly many in a row.
ERROR_PAUSE_S = 0.01


class DatagramTransport:
    """A bound UDP socket and the greenlet that reads it, until `stop`.

    Attributes:
        host: Address to which the socket is bound.
        port: Port to which the socket is bound.
        unsent: Number of datagrams that could not be sent.
    """

    def __init__(self, host: str, port: int, on_datagram: Callable[[str, bytes], None]) -> None:
        """Bind the socket and start reading.

        Args:
            host: Address to bind to, IPv4 or IPv6.
            port: Port to bind to, 0 for any free port.
            on_datagram: Called with the sender's address (host:port) and the content of each datagram.

        Raises:
            OSError: The address is already in use.
        """
        self._on_datagram = on_datagram
        self._socket = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self.host, self.port = self._socket.getsockname()[:2]
        self.unsent = 0
        self._reader = gevent.spawn(self._read)

    def send(self, address: str, raw: bytes) -> None:
        """Send a datagram to host:port; if that fails, count the datagram and drop it, as UDP may lose any datagram."""
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(raw, (host.strip("[]"), int(port)))
        except (OSError, ValueError, OverflowError):
            self.unsent += 1

    def stop(self) -> None:
        """Stop reading and close the socket."""
        self._reader.kill(block=False)
        self._socket.close()

    def _read(self) -> None:
        counter = TurnCounter(lambda: gevent.sleep(PAUSE_S))  # a flood must leave time for other work of the process
        while True:
            try:
                raw, (host, port, *_) = self._socket.recvfrom(READ_BYTES)
            except OSError:
                gevent.sleep(ERROR_PAUSE_S)
                continue
            self._on_datagram(f"{host}:{port}", raw)
            counter.count()
