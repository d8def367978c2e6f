"""What protocol servers with one connection per proxy or agent have in common, whatever they speak on it."""

from __future__ import annotations

import contextlib
import errno
import socket
from typing import Any, Protocol

from gevent.server import StreamServer

from hollyridge.core.event_loop import EventLoop

ACCEPT_BACKLOG = 1024  # connections that the system holds until they are accepted


class Stream(Protocol):
    """One connection.

    Attributes:
        number: Of the connection, never used twice.
        sock: Its socket.
        closed: Why it was closed; empty while it is open.
        proxy: The index of the proxy that joined on it; -1 for none.
    """

    number: int
    sock: socket.socket
    closed: str
    proxy: int


class ProtocolStreamServer:
    """Listens on `host:port` and keeps the open connections.

    Attributes:
        streams: The connections by number, entered by `serve`.
        by_proxy: The connection that each proxy joined on last.
        number: Of the last connection.
    """

    def __init__(self, loop: EventLoop, host: str, port: int) -> None:
        self.loop = loop
        self.engine = loop.engine
        self.clock = loop.clock
        self.streams: dict[int, Any] = {}
        self.by_proxy: dict[int, Any] = {}
        self.number = 0
        self.server = StreamServer((host, port), self.serve, backlog=ACCEPT_BACKLOG)

    def serve(self, sock: socket.socket, address: tuple) -> None:
        """Serve one connection until it ends; runs in a greenlet of its own."""
        raise NotImplementedError

    def stop(self) -> None:
        """Accept no more connections and close those that are open."""
        self.server.stop(timeout=0)
        for stream in list(self.streams.values()):
            self.close(stream, "the assigner stops")

    def close(self, stream: Stream, why: str) -> None:
        """Shut a connection down; the greenlet that reads it sees the end and cleans up."""
        if not stream.closed:
            stream.closed = why
            with contextlib.suppress(OSError):  # the other end was faster
                stream.sock.shutdown(socket.SHUT_RDWR)

    def forget(self, now_us: int, stream: Stream) -> bool:
        """Take out a connection that has ended.

        Returns:
            Whether a proxy has left with it; one that has joined again on a newer connection has not.
        """
        self.streams.pop(stream.number, None)
        if stream.proxy < 0 or self.by_proxy.get(stream.proxy) is not stream:
            return False
        del self.by_proxy[stream.proxy]
        self.engine.leave(now_us, stream.proxy)
        return True


def connection_lost_reason(error: OSError) -> str:
    """Why a connection was closed, from the error of its socket.

    >>> connection_lost_reason(ConnectionResetError(104, "reset"))
    'connection lost: ECONNRESET'
    """
    return f"connection lost: {errno.errorcode.get(error.errno, error)}"
