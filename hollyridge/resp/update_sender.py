"""Non-blocking writes to connections; a separate greenlet sends what the socket does not accept at once.

At most one update is in flight to a slow reader. The updates that follow are merged into one with the newest state.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping

import gevent

from hollyridge.delivery.update_builder import ProxyUpdate, merge_updates
from hollyridge.resp.assign_message import NO_MARK
from hollyridge.resp.connection import Connection
from hollyridge.resp.update_encoder import UpdateEncoder

MAX_UNACKNOWLEDGED_MARKS = 4096  # per connection; the oldest is dropped if a proxy never acknowledges


class UpdateSender:
    """Sender of bytes and updates to connections.

    Args:
        encoder: Encoder of the messages.
        connections_by_proxy: Connections of joined proxies by index; read only.
        counts: Counters of the server, of which this class increments `merged`, `slow` and `bytes_out`.
        close: Function that closes a connection for a given reason.
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
        self.sent_tasks: set[int] | None = None  # tasks in the last sent tables; None once outdated

    def send_update(self, connection: Connection, update: ProxyUpdate) -> None:
        """Send an update, or merge it into the pending update of a slow reader."""
        if connection.unsent:
            pending = connection.pending_update
            connection.pending_update = update if pending is None else merge_updates(pending, update)
            self.counts["merged"] += 1
            return
        self.send(connection, self._encode(connection, update))

    def send(self, connection: Connection, data: bytes) -> None:
        """Send bytes after those that are still unsent."""
        if connection.unsent:
            connection.unsent += data
            return
        try:
            sent_bytes = os.write(connection.sock.fileno(), data)
        except BlockingIOError:
            sent_bytes = 0
        except OSError:  # the greenlet that reads from the connection gets this error as well
            self.close(connection, "connection lost")
            return
        self.counts["bytes_out"] += sent_bytes
        if sent_bytes < len(data):
            self.counts["slow"] += 1
            connection.unsent = data[sent_bytes:]
            gevent.spawn(self._flush, connection)  # ends with the connection: sending on a closed socket fails

    def discard(self, connection: Connection) -> None:
        """Drop the unsent bytes and the pending update of a closed connection."""
        self.sent_tasks = None
        connection.pending_update = None
        connection.unsent = b""

    def is_task_sent(self, task: int) -> bool:
        """Return whether the last sent table of any connection includes a task, however long ago it was sent."""
        if self.sent_tasks is None:  # computed once, since it is called for many tasks in a row
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
        """Send the unsent bytes, blocking as needed, and then the update that was merged meanwhile."""
        try:
            while connection.unsent and not connection.close_reason:
                sent_bytes = connection.sock.send(connection.unsent)
                self.counts["bytes_out"] += sent_bytes
                connection.unsent = connection.unsent[sent_bytes:]
                update = connection.pending_update
                if not connection.unsent and update is not None:
                    connection.pending_update = None
                    connection.unsent = self._encode(connection, update)
        except OSError:
            self.close(connection, "connection lost")
