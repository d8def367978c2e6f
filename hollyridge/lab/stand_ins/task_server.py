"""Server that runs a stand-in task on a real socket."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress

import gevent.socket
from gevent.server import StreamServer

from hollyridge.lab.environment import World
from hollyridge.lab.stand_ins import rpc
from hollyridge.lab.stand_ins.task import Task

BACKLOG = 256
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0, so that closing resets the connection


class TaskServer:
    """Server of one task's RPCs."""

    def __init__(self, world: World, name: str, host: str, port: int, **options: object) -> None:
        """Listen and start the task; port 0 selects a free port. `options` are passed to `Task`."""
        self.connections: set[gevent.socket.socket] = set()
        listener = gevent.socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
        bound = listener.getsockname()
        self.task = Task(world, name, f"{bound[0]}:{bound[1]}", **options)
        self.server = StreamServer(listener, self._serve)
        self.server.start()

    def _serve(self, sock: gevent.socket.socket, _address: tuple) -> None:
        if not self.task.connect():
            return
        self.connections.add(sock)

        def answer(message: rpc.Answer) -> None:
            with suppress(OSError):  # the proxy has disconnected
                rpc.send(sock, message)

        try:
            self.task.world.sleep(self.task.connect_delay_s)
            for call in rpc.receive(sock, calls=True):
                self.task.receive_rpc(call, answer)
                if self.task.down:
                    self.reset()
        except (OSError, ValueError):
            pass  # a connection that broke or sent an invalid message ends
        finally:
            self.connections.discard(sock)
            self.task.disconnect()
            sock.close()

    def stop(self, reason: str) -> None:
        """End the task as a killed process does."""
        self.task.stop(reason)
        self.reset()

    def reset(self) -> None:
        """Reset all connections and refuse new ones."""
        self.server.stop(timeout=0)
        for sock in list(self.connections):
            with suppress(OSError):  # closed already
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                sock.close()
