"""Writes to connections without ever waiting: what the other side does not take is sent by a greenlet of its own.

A reader that leaves its messages unread has one in flight at most: what follows merges into the newest state.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping

import gevent

from hollyridge.delivery.update_builder import ProxyUpdate, merge_updates
from hollyridge.resp.assign_message import NO_MARK
from hollyridge.resp.connection import Connection
from hollyridge.resp.update_encoder import UpdateEncoder

MAX_UNACKNOWLEDGED_MARKS = 4096  # of one connection; a proxy that never answers drops its oldest


class UpdateSender:
    """Sends bytes and updates to connections.

    Args:
        encoder: Makes the messages.
        connections_by_proxy: The connections that proxies have joined on; read only.
        counts: Of the server; `merged`, `slow` and `bytes_out` are counted here.
        close: Closes a connection for a reason.
    """

    def __init__(
        self,
        encoder: UpdateEncoder,
        connections_by_proxy: Mapping[int, Connection],
        counts: dict[str, int],
        close: Callable[[Connection, str], None],
    ) -> None:
        self.encoder = encoder
        self.connections_by_proxy = connections_by_proxy
        self.counts = counts
        self.close = close
        self.sent_tasks: set[int] | None = None  # tasks in the tables that proxies hold; None once it may have changed

    def send_update(self, connection: Connection, update: ProxyUpdate) -> None:
        """Send an update, or merge it into the one that waits for a slow reader."""
        if connection.unsent:
            pending = connection.pending_update
            connection.pending_update = update if pending is None else merge_updates(pending, update)
            self.counts["merged"] += 1
            return
        self.send(connection, self._encode(connection, update))

    def send(self, connection: Connection, data: bytes) -> None:
        """Send bytes behind what waits already."""
        if connection.unsent:
            connection.unsent += data
            return
        try:
            sent_bytes = os.write(connection.sock.fileno(), data)
        except BlockingIOError:
            sent_bytes = 0
        except OSError:  # the greenlet that reads the connection sees it too
            self.close(connection, "connection lost")
            return
        self.counts["bytes_out"] += sent_bytes
        if sent_bytes < len(data):
            self.counts["slow"] += 1
            connection.unsent = data[sent_bytes:]
            gevent.spawn(self._flush, connection)  # ends with the connection: sending on a closed socket fails

    def discard(self, connection: Connection) -> None:
        """Drop what waits for a connection that has ended."""
        self.sent_tasks = None
        connection.pending_update = None
        connection.unsent = b""

    def is_task_sent(self, task: int) -> bool:
        """Whether a table that was sent last on some connection names a task, however long ago that was."""
        if self.sent_tasks is None:  # made once for all tasks of a list, however many indices are asked about
            tables = {
                id(table): table
                for connection in self.connections_by_proxy.values()
                for table in connection.view.sent_tables.values()
            }
            self.sent_tasks = {task for table in tables.values() for task in table.lines}
        return task in self.sent_tasks

    def _encode(self, connection: Connection, update: ProxyUpdate) -> bytes:
        self.sent_tasks = None
        if update.mark > NO_MARK:
            marks = connection.unacknowledged_marks
            marks[update.mark] = None
            if len(marks) > MAX_UNACKNOWLEDGED_MARKS:
                del marks[next(iter(marks))]
        return self.encoder.encode(connection.view, update)

    def _flush(self, connection: Connection) -> None:
        """Send what waits, waiting for the other side; then what has been merged meanwhile."""
        try:
            while connection.unsent and not connection.closed:
                sent_bytes = connection.sock.send(connection.unsent)
                self.counts["bytes_out"] += sent_bytes
                connection.unsent = connection.unsent[sent_bytes:]
                update = connection.pending_update
                if not connection.unsent and update is not None:
                    connection.pending_update = None
                    connection.unsent = self._encode(connection, update)
        except OSError:
            self.close(connection, "connection lost")
