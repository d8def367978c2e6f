"""What fronts with a connection for each peer have in common, whatever is spoken on it."""

from __future__ import annotations

import errno
import socket

from gevent.server import StreamServer

from hollyridge.core.event_loop import EventLoop


class ProtocolStreamServer:
    """Listens on `host:port`; `serve(sock, address)`, the front's own, keeps each connection in `streams` by number,
    as something with `sock`, `closed` (why, empty while it stands) and `proxy` (-1 for none)."""

    def __init__(self, loop: EventLoop, host: str, port: int) -> None:
        self.loop, self.engine, self.clock = loop, loop.engine, loop.clock
        self.streams: dict = {}
        self.by_proxy: dict = {}
        self.number = 0
        self.server = StreamServer((host, port), self.serve, backlog=1024)

    def serve(self, sock, address: tuple) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        self.server.stop(timeout=0)
        for stream in list(self.streams.values()):
            self.close(stream, "the assigner stops")

    def close(self, stream, why: str) -> None:
        """Its reader sees that, and tells of its end."""
        if not stream.closed:
            stream.closed = why
            try:
                stream.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def forget(self, now: int, stream) -> bool:
        """It has ended. Whether a proxy has left with it: one that a newer stream has taken over has not."""
        self.streams.pop(stream.number, None)
        if stream.proxy < 0 or self.by_proxy.get(stream.proxy) is not stream:
            return False
        del self.by_proxy[stream.proxy]
        self.engine.leave(now, stream.proxy)
        return True


def connection_lost_reason(trouble: OSError) -> str:
    """
    >>> connection_lost_reason(ConnectionResetError(104, "reset"))
    'connection lost: ECONNRESET'
    """
    return f"connection lost: {errno.errorcode.get(trouble.errno, trouble)}"
