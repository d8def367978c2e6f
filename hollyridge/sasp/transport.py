"""Bytes of SASP connections: reading under limits, writing, and what the other side has acknowledged.

Each connection has a greenlet that reads and one that writes; one more looks after all connections.
"""

from __future__ import annotations

import fcntl
import socket as plain
import struct
import termios
from typing import TYPE_CHECKING

import gevent

from hollyridge.core.stream_server import connection_lost_reason
from hollyridge.limits.connection_limiter import TokenBucket
from hollyridge.sasp import codec
from hollyridge.sasp.connection import Connection, SentMark

if TYPE_CHECKING:
    from hollyridge.sasp.server import SaspServer

MAX_WAITING_REPLIES = 64  # above it, no more requests of that connection are read
RECEIVE_BYTES = 65536
BACKPRESSURE_SLEEP_S = 0.02  # between two looks at whether reading may go on
MONITOR_INTERVAL_S = 0.02  # between two looks at what the other sides have acknowledged
OVERDUE_EVERY = 5  # looks for connections that are overdue come once in so many of these
MIN_TIMEOUT_S = 0.001  # 0 would mean not to wait at all
KEEPALIVE = ((plain.TCP_KEEPIDLE, 5), (plain.TCP_KEEPINTVL, 2), (plain.TCP_KEEPCNT, 3))  # s, s, probes


class ConnectionTransport:
    """Reads and writes the connections of one server.

    Attributes:
        unacknowledged: Connections that have bytes under way, as far as is known, by number.
    """

    def __init__(self, server: SaspServer) -> None:
        self.server = server
        self.config = server.config
        self.clock = server.clock
        self.unacknowledged: dict[int, Connection] = {}

    def set_options(self, sock: plain.socket) -> None:
        """Set the options of an accepted socket."""
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, self.config.send_buffer_bytes)
        sock.setsockopt(plain.SOL_SOCKET, plain.SO_KEEPALIVE, 1)
        for option, value in KEEPALIVE:
            sock.setsockopt(plain.IPPROTO_TCP, option, value)

    # Reading.

    def read_until_closed(self, connection: Connection) -> None:
        """Read requests and have them carried out; OSError and SaspError end the connection."""
        framer = codec.Framer(self.config.max_message_bytes)
        requests = self.server.limiter.request_bucket()
        opened_us = self.clock()
        frame_began_us = opened_us
        while not connection.closed:
            connection.sock.settimeout(self._read_timeout(connection, framer.partial, frame_began_us, opened_us))
            try:
                chunk = connection.sock.recv(RECEIVE_BYTES)
            except TimeoutError:
                late = "a frame was not complete in time" if framer.partial else "it did not say in time who it is"
                connection.closed = late
                return
            if not chunk:
                return
            if not framer.partial:
                frame_began_us = self.clock()
            for frame in framer.feed(chunk):
                self._wait_for_turn(connection, requests)
                self.server.counts["frames_in"] += 1
                self.server.take(connection, frame)
                frame_began_us = self.clock()
            if framer.partial and len(framer.held) == len(chunk):
                frame_began_us = self.clock()

    def _read_timeout(
        self, connection: Connection, in_frame: bool, frame_began_us: int, opened_us: int
    ) -> float | None:
        """Seconds to wait for bytes: a frame that has begun must end in time, however slowly its bytes drip."""
        if in_frame:
            left_s = self.config.frame_timeout_s - (self.clock() - frame_began_us) / 1e6
        elif not connection.uid and not connection.registers_members:
            left_s = self.config.hello_timeout_s - (self.clock() - opened_us) / 1e6
        else:
            return None
        return max(MIN_TIMEOUT_S, left_s)

    def _wait_for_turn(self, connection: Connection, requests: TokenBucket) -> None:
        """Wait while the other side asks too often or does not read; its own full window slows it."""
        while not requests.take(self.clock()) and not connection.closed:
            gevent.sleep(BACKPRESSURE_SLEEP_S)
        while len(connection.replies) >= MAX_WAITING_REPLIES and not connection.closed:
            gevent.sleep(BACKPRESSURE_SLEEP_S)

    # Writing.

    def write_until_closed(self, connection: Connection) -> None:
        """Write replies, and pushes as they fall due."""
        try:
            while not connection.closed:
                connection.due.wait()
                connection.due.clear()
                while connection.replies and not connection.closed:
                    self._send(connection, connection.replies.popleft())
                if connection.push and connection.proxy >= 0:
                    self._push(connection)
        except OSError as error:
            self.server.close(connection, connection_lost_reason(error))

    def _push(self, connection: Connection) -> None:
        marks = connection.pending
        connection.pending = []
        for frame in self.server.compose(connection):
            self._send(connection, frame)
        connection.sent_marks.extend(SentMark(connection.sent, *mark) for mark in marks)

    def _send(self, connection: Connection, frame: bytes) -> None:
        unsent = memoryview(frame)
        self.unacknowledged[connection.number] = connection
        self.server.counts["frames_out"] += 1
        while unsent and not connection.closed:
            try:
                taken_bytes = connection.sock.send(unsent)
            except TimeoutError:  # the reader's time limit, which the socket shares; writing has none
                continue
            connection.sent += taken_bytes
            unsent = unsent[taken_bytes:]

    # Watching over connections.

    def monitor(self) -> None:
        """Acknowledge what the other sides have taken, close what is overdue; runs until it is killed."""
        turn = 0
        while True:
            gevent.sleep(MONITOR_INTERVAL_S)
            now = self.clock()
            for connection in list(self.unacknowledged.values()):
                self._check_acknowledged(now, connection)
            turn += 1
            if turn % OVERDUE_EVERY == 0:
                for number, reason in self.server.session_tracker.overdue(now):
                    if number in self.server.streams:
                        self.server.close(self.server.streams[number], reason)
                self.server.member_requests.forget_stale()

    def _check_acknowledged(self, now: int, connection: Connection) -> None:
        """Look at what the kernel still holds for the other side; with TLS only 0 tells how much was taken."""
        try:
            raw = fcntl.ioctl(connection.sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        except OSError:
            self.unacknowledged.pop(connection.number, None)
            return
        (queued_bytes,) = struct.unpack("i", raw)
        taken_bytes = (
            connection.sent - queued_bytes if self.server.secure is None else connection.sent * (queued_bytes == 0)
        )
        self.server.session_tracker.check_backlog(now, connection.number, taken_bytes, queued_bytes > 0)
        if connection.push:
            marks = connection.sent_marks
            while marks and marks[0].sent_bytes <= taken_bytes:
                sent = marks.popleft()
                self.server.engine.acknowledge(now, connection.proxy, sent.mark, now - sent.decided_at_us)
                self.server.loop.wake()
        if queued_bytes == 0:
            self.unacknowledged.pop(connection.number, None)
