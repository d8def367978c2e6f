"""Transport of SASP connections: reading under rate limits, writing, and tracking acknowledged bytes.

Each connection has a greenlet that reads and one that writes; one more greenlet monitors all connections.
"""

from __future__ import annotations

import fcntl
import socket as plain
import struct
import termios
from typing import TYPE_CHECKING

import gevent

from hollyridge.core.input_turns import TurnCounter
from hollyridge.core.peer_state import has_peer_closed
from hollyridge.core.stream_server import connection_lost_reason
from hollyridge.limits.buffer_budget import BufferBudget
from hollyridge.limits.connection_limiter import TokenBucket
from hollyridge.sasp import codec
from hollyridge.sasp.connection import Connection, SentMark

if TYPE_CHECKING:
    from hollyridge.sasp.server import SaspServer

MAX_WAITING_REPLIES = 64  # from this number on, no more requests of the connection are handled
RECEIVE_BYTES = 16384
MAX_BUFFERED_BYTES = 16 << 20  # in unfinished frames of all connections together
BACKPRESSURE_SLEEP_S = 0.02  # interval between checks of whether reading may continue
MONITOR_INTERVAL_S = 0.02  # interval between checks of acknowledged bytes
OVERDUE_EVERY = 5  # number of monitor intervals between checks for overdue connections
MIN_TIMEOUT_S = 0.001  # 0 would make the socket non-blocking
KEEPALIVE = ((plain.TCP_KEEPIDLE, 5), (plain.TCP_KEEPINTVL, 2), (plain.TCP_KEEPCNT, 3))  # s, s, probes


class ConnectionTransport:
    """Reader, writer and monitor of the connections of one server.

    Attributes:
        unacknowledged: Connections that may have sent bytes without acknowledgement, by number.
        buffers: Budget of the bytes in unfinished frames.
    """

    def __init__(self, server: SaspServer) -> None:
        self.server = server
        self.config = server.config
        self.clock = server.clock
        self.unacknowledged: dict[int, Connection] = {}
        self.buffers = BufferBudget(max(MAX_BUFFERED_BYTES, self.config.max_message_bytes))

    def set_options(self, sock: plain.socket) -> None:
        """Set the options of an accepted socket."""
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
        sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, self.config.send_buffer_bytes)
        sock.setsockopt(plain.SOL_SOCKET, plain.SO_KEEPALIVE, 1)
        for option, value in KEEPALIVE:
            sock.setsockopt(plain.IPPROTO_TCP, option, value)

    # Reading.

    def read_until_closed(self, connection: Connection) -> None:
        """Read requests and pass them to the server; OSError and SaspError end the connection."""
        framer = codec.Framer(self.config.max_message_bytes)
        requests = self.server.limiter.request_bucket()
        counter = TurnCounter(self.server.loop.input_turns.wait)
        opened_us = self.clock()
        frame_began_us = opened_us
        while not connection.close_reason:
            connection.sock.settimeout(self._read_timeout(connection, framer.partial, frame_began_us, opened_us))
            try:
                chunk = connection.sock.recv(RECEIVE_BYTES)
            except TimeoutError:
                timeout_reason = "frame was not complete in time" if framer.partial else "peer did not identify in time"
                connection.close_reason = timeout_reason
                return
            if not chunk:
                return
            if not framer.partial:
                frame_began_us = self.clock()
            for frame in framer.feed(chunk):
                self._apply_backpressure(connection, requests, counter)
                if connection.close_reason:
                    return
                self.server.counts["frames_in"] += 1
                self.server.handle_message(connection, frame)
                frame_began_us = self.clock()
            self._limit_buffers(connection, len(framer.buffer))
            if framer.partial and len(framer.buffer) == len(chunk):
                frame_began_us = self.clock()

    def _read_timeout(
        self, connection: Connection, in_frame: bool, frame_began_us: int, opened_us: int
    ) -> float | None:
        """Return the seconds to wait for bytes; a frame has to be complete in time, even if its bytes arrive slowly."""
        if in_frame:
            left_s = self.config.frame_timeout_s - (self.clock() - frame_began_us) / 1e6
        elif not connection.uid and not connection.registers_members:
            left_s = self.config.hello_timeout_s - (self.clock() - opened_us) / 1e6
        else:
            return None
        return max(MIN_TIMEOUT_S, left_s)

    def _apply_backpressure(self, connection: Connection, requests: TokenBucket, counter: TurnCounter) -> None:
        """Wait while the peer exceeds its request rate or does not read; its full TCP window then slows it down.

        A peer that leaves meanwhile has its connection closed, so that its requests are not handled afterwards.
        """
        if counter.count():
            self._close_if_left(connection)
        while not requests.take(self.clock()) and not connection.close_reason:
            gevent.sleep(BACKPRESSURE_SLEEP_S)
            self._close_if_left(connection)
        while len(connection.replies) >= MAX_WAITING_REPLIES and not connection.close_reason:
            gevent.sleep(BACKPRESSURE_SLEEP_S)
            self._close_if_left(connection)

    @staticmethod
    def _close_if_left(connection: Connection) -> None:
        if not connection.close_reason and has_peer_closed(connection.sock):
            connection.close_reason = "closed by the peer before its requests were handled"

    def _limit_buffers(self, connection: Connection, held_bytes: int) -> None:
        """Record the bytes of an unfinished frame; close the connections with the most bytes if there are too many."""
        for number in self.buffers.hold(connection.number, held_bytes):
            if number in self.server.streams:
                self.server.close(self.server.streams[number], "no room for unfinished frames of this size")

    # Writing.

    def write_until_closed(self, connection: Connection) -> None:
        """Write replies, and pushes as they become due."""
        try:
            while not connection.close_reason:
                connection.due.wait()
                connection.due.clear()
                while connection.replies and not connection.close_reason:
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
        while unsent and not connection.close_reason:
            try:
                accepted_bytes = connection.sock.send(unsent)
            except TimeoutError:  # the socket has the reader's timeout; writing has no time limit
                continue
            connection.sent += accepted_bytes
            unsent = unsent[accepted_bytes:]

    # Monitoring.

    def monitor(self) -> None:
        """Record acknowledged bytes and close overdue connections until the greenlet is killed."""
        intervals = 0
        while True:
            gevent.sleep(MONITOR_INTERVAL_S)
            now = self.clock()
            for connection in list(self.unacknowledged.values()):
                self._check_acknowledged(now, connection)
            intervals += 1
            if intervals % OVERDUE_EVERY == 0:
                for number, reason in self.server.session_tracker.overdue(now):
                    if number in self.server.streams:
                        self.server.close(self.server.streams[number], reason)
                self.server.member_requests.forget_stale()

    def _check_acknowledged(self, now: int, connection: Connection) -> None:
        """Derive the acknowledged bytes from the kernel's send queue.

        With TLS, the queue counts encrypted bytes, so that only an empty queue shows how much was acknowledged.
        """
        try:
            raw = fcntl.ioctl(connection.sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        except OSError:
            self.unacknowledged.pop(connection.number, None)
            return
        (queued_bytes,) = struct.unpack("i", raw)
        acknowledged_bytes = (
            connection.sent - queued_bytes if self.server.secure is None else connection.sent * (queued_bytes == 0)
        )
        self.server.session_tracker.check_backlog(now, connection.number, acknowledged_bytes, queued_bytes > 0)
        if connection.push:
            marks = connection.sent_marks
            while marks and marks[0].sent_bytes <= acknowledged_bytes:
                sent = marks.popleft()
                self.server.engine.acknowledge(now, connection.proxy, sent.mark, now - sent.decided_at_us)
                self.server.loop.wake()
        if queued_bytes == 0:
            self.unacknowledged.pop(connection.number, None)
