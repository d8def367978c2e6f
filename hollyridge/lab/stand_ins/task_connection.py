"""Connection of a stand-in proxy to one task, on a real socket."""

from __future__ import annotations

import gevent
import gevent.socket
from gevent.event import AsyncResult

from hollyridge.lab.stand_ins import rpc

CONNECT_TIMEOUT_S = 0.25


class TaskConnection:
    """Connection that is opened by the first call and carries many calls at once.

    Attributes:
        waiting: Results of the calls without an answer, by number.
    """

    def __init__(self, task_key: str) -> None:
        self.task_key = task_key
        self.sock: gevent.socket.socket | None = None
        self.last_number = 0
        self.waiting: dict[int, AsyncResult] = {}

    def _connect(self, timeout_s: float) -> bool:
        if self.sock is not None:
            return True
        host, _, port = self.task_key.rpartition(":")
        try:
            sock = gevent.socket.create_connection((host, int(port)), timeout=timeout_s)
            sock.settimeout(None)
        except OSError:
            return self.sock is not None
        if self.sock is not None:  # another call has connected meanwhile
            sock.close()
            return True
        self.sock = sock
        gevent.spawn(self._receive, sock)
        return True

    def _receive(self, sock: gevent.socket.socket) -> None:
        try:
            for answer in rpc.receive(sock, calls=False):
                waiter = self.waiting.pop(answer.number, None)
                if waiter is not None:
                    waiter.set(answer)
        except (OSError, ValueError):
            pass  # a broken connection is closed like one that ended
        self.close(sock)

    def close(self, sock: gevent.socket.socket | None = None) -> None:
        """Close the given socket, by default the current one; its calls get no answer."""
        sock = sock or self.sock
        if sock is None:
            return
        if sock is self.sock:
            self.sock = None
            for waiter in self.waiting.values():
                waiter.set(None)
            self.waiting = {}
        sock.close()

    def call(self, call: rpc.Call, timeout_s: float) -> tuple[int, rpc.Answer | None]:
        """Set the number of an RPC, send it, and return its outcome and answer.

        The outcome `NOT_SENT` proves that the RPC never ran.
        """
        if not self._connect(min(timeout_s, CONNECT_TIMEOUT_S)):
            return rpc.NOT_SENT, None
        self.last_number += 1
        call.number = number = self.last_number
        waiter = self.waiting[number] = AsyncResult()
        try:
            rpc.send(self.sock, call)
        except OSError:
            self.waiting.pop(number, None)
            self.close()
            return rpc.NO_ANSWER, None
        try:
            answer = waiter.get(timeout=timeout_s)
        except gevent.Timeout:
            self.waiting.pop(number, None)
            return rpc.NO_ANSWER, None
        return (answer.outcome if answer else rpc.NO_ANSWER), answer
