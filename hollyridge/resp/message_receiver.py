"""Reading of messages from connections, in turns and within a shared budget of buffered bytes."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from hollyridge.core.event_loop import EventLoop
from hollyridge.core.input_turns import MAX_MESSAGES_PER_TURN, TurnCounter
from hollyridge.core.peer_state import has_peer_closed
from hollyridge.limits.buffer_budget import BufferBudget
from hollyridge.limits.pending_connections import PendingConnections
from hollyridge.resp.codec import MAX_MESSAGE_BYTES, FrameReader
from hollyridge.resp.connection import Connection

MAX_UNJOINED_MESSAGE_BYTES = 4096  # limit for connections that have not joined
RECEIVE_BYTES = 16384  # bytes per read; bounds how long the decoding of one read delays the others
CLOSED_WITH_INPUT_REASON = "closed by the peer before its messages were handled"


class MessageReceiver:
    """Reader of the connections of one server.

    Args:
        loop: Event loop with the clock and with the turns of busy connections.
        pending: Connections that have not joined, told of each connection that has sent something.
        buffers: Budget of the bytes in unfinished messages.
        handle: Function that handles one message.
        evict: Function that closes a connection, by number, for a given reason.
    """

    def __init__(
        self,
        loop: EventLoop,
        pending: PendingConnections,
        buffers: BufferBudget,
        handle: Callable[[Connection, list[bytes]], None],
        evict: Callable[[int, str], None],
    ) -> None:
        self.clock = loop.clock
        self.turns = loop.input_turns
        self.pending = pending
        self.buffers = buffers
        self.handle = handle
        self.evict = evict

    def receive_until_closed(self, connection: Connection) -> None:
        """Read and handle messages until either side closes the connection.

        Raises:
            OSError: The connection was lost.
            RespError: The peer sent invalid RESP2.
        """
        reader = FrameReader(MAX_UNJOINED_MESSAGE_BYTES)
        counter = TurnCounter(self.turns.wait)
        while not connection.close_reason:
            chunk = connection.sock.recv(RECEIVE_BYTES)
            if not chunk or connection.close_reason:
                return
            connection.last_received_us = self.clock()
            self.pending.mark_active(connection.number)
            messages = reader.feed(chunk, MAX_MESSAGES_PER_TURN)
            while messages and not connection.close_reason:
                self._handle_messages(connection, messages, counter)
                messages = [] if reader.fault is not None else reader.feed(b"", MAX_MESSAGES_PER_TURN)
            if reader.fault is not None and not connection.close_reason:
                raise reader.fault
            if connection.joined:
                reader.max_bytes = MAX_MESSAGE_BYTES
            for number in self.buffers.hold(connection.number, reader.held_bytes):
                self.evict(number, "no room for unfinished messages of this size")
            if len(chunk) < RECEIVE_BYTES:
                counter.restart()
            gevent.sleep(0)

    def _handle_messages(self, connection: Connection, messages: list[list[bytes]], counter: TurnCounter) -> None:
        """Handle messages until the connection is closed; drop the rest if its peer has left meanwhile."""
        for parts in messages:
            self.handle(connection, parts)
            if connection.close_reason:
                return
            if counter.count() and has_peer_closed(connection.sock):
                connection.close_reason = CLOSED_WITH_INPUT_REASON
                return
