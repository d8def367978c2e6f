"""Base class of protocol servers that have one connection per proxy or agent."""

from __future__ import annotations

import contextlib
import errno
import socket
from typing import Any, Protocol

from gevent.server import StreamServer

from hollyridge.core.event_loop import EventLoop

ACCEPT_BACKLOG = 1024  # connections that the operating system queues until they are accepted


class Stream(Protocol):
    """One connection.

    Attributes:
        number: Number of the connection, never reused.
        sock: Socket of the connection.
        close_reason: Reason why it was closed, or empty while it is open.
        proxy: Index of the proxy that joined on it, or -1.
    """

    number: int
    sock: socket.socket
    close_reason: str
    proxy: int


class ProtocolStreamServer:
    """Server that listens on `host:port` and keeps the open connections.

    Attributes:
        streams: The connections by number, added by `serve`.
        by_proxy: The connection on which each proxy joined last.
        number: Number of the last connection.
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
        """Serve one connection until it ends, in a greenlet of its own."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop accepting connections and close those that are open."""
        self.server.stop(timeout=0)
        for stream in list(self.streams.values()):
            self.close(stream, "the assigner stops")

    def close(self, stream: Stream, reason: str) -> None:
        """Shut a connection down. The greenlet that reads from it then ends and cleans up."""
        if not stream.close_reason:
            stream.close_reason = reason
            with contextlib.suppress(OSError):  # the peer has closed it already
                stream.sock.shutdown(socket.SHUT_RDWR)

    def forget(self, now_us: int, stream: Stream) -> bool:
        """Remove a connection that has ended.

        Returns:
            Whether its proxy has left. A proxy that has joined again on a newer connection has not.
        """
        self.streams.pop(stream.number, None)
        if stream.proxy < 0 or self.by_proxy.get(stream.proxy) is not stream:
            return False
        del self.by_proxy[stream.proxy]
        self.engine.leave(now_us, stream.proxy)
        return True


def connection_lost_reason(error: OSError) -> str:
    """Return the reason why a connection was closed, from the error of its socket.

    >>> connection_lost_reason(ConnectionResetError(104, "reset"))
    'connection lost: ECONNRESET'
    """
    return f"connection lost: {errno.errorcode.get(error.errno, error)}"
