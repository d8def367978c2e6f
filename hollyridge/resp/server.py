"""Server of the platform's protocol, on gevent: connections, joining and reports.

Until a connection has joined as a proxy or collector, it is limited: it must join before a timeout, its messages must
be small, and it may only use file descriptors that joined connections do not need.
"""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from hollyridge import interface as api
from hollyridge.core.event_loop import EventLoop
from hollyridge.core.peer_state import has_peer_closed
from hollyridge.core.stream_server import ProtocolStreamServer, connection_lost_reason
from hollyridge.delivery.update_builder import ProxyUpdate, ServerCapabilities
from hollyridge.limits.buffer_budget import BufferBudget
from hollyridge.limits.pending_connections import PendingConnections
from hollyridge.resp.codec import RespError, encode
from hollyridge.resp.config import RespConfig
from hollyridge.resp.connection import NOT_JOINED, Connection
from hollyridge.resp.message_reader import MessageReader
from hollyridge.resp.message_receiver import MessageReceiver
from hollyridge.resp.messages import CollectorHello, Heartbeat, InboundMessage, JoinRequest, MalformedMessageError
from hollyridge.resp.rejection_log import RejectionLog
from hollyridge.resp.report_handler import ReportHandler
from hollyridge.resp.update_encoder import UpdateEncoder
from hollyridge.resp.update_sender import UpdateSender

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

HEARTBEAT_REPLY = encode([b"hb_ok"])
MAX_UNSENT_BYTES = 16384  # heartbeats get no reply while a peer leaves this many bytes unread
SEND_BUFFER_BYTES = 32768  # SO_SNDBUF of a connection; a larger buffer would only hide that a reader is slow
MIN_PENDING_CONNECTIONS = 8  # allowed however many have joined; the reserved descriptors leave room for them
MIN_CONNECTIONS = 16  # allowed however few descriptors are available
MAX_COLLECTORS_PER_ZONE = 2  # a collector may reconnect before the end of its old connection is noticed
MAX_REASON_BYTES = 200  # length of the reason in a `reject` message
MIN_SWEEP_PAUSE_S = 0.01
US_PER_S = 1e6

# Keys of the status page.
COUNTS = (
    "connections",
    "messages_in",
    "bytes_out",
    "spoilt",
    "unreadable",
    "refused",
    "overdue",
    "merged",
    "slow",
    "stray_receipts",
)


class RespServer(ProtocolStreamServer):
    """Server of proxies and collectors for the engine of an event loop.

    Args:
        loop: Event loop, woken after each submitted event.
        config: Configuration of the server.
        assigner_config: Configuration of the assigner, from which the bounds of reports are derived.
        log: A structlog logger.
    """

    def __init__(
        self,
        loop: EventLoop,
        config: RespConfig,
        assigner_config: api.AssignerConfig,
        log: FilteringBoundLogger,
    ) -> None:
        super().__init__(loop, config.host, config.port)
        self.capabilities = ServerCapabilities(admission=True, retries=True, ejection=True, acks=True, line_copies=1)
        self.counts = dict.fromkeys(COUNTS, 0)
        self.max_connections = max(MIN_CONNECTIONS, config.max_descriptors - config.reserved_descriptors)
        self.pending = PendingConnections(config.join_timeout_us)
        buffers = BufferBudget(config.max_buffered_bytes)
        self.receiver = MessageReceiver(loop, self.pending, buffers, self._handle, self._evict_buffered)
        self.connection_added = Event()
        self.sweeper: gevent.Greenlet | None = None
        self.collectors: dict[int, list[Connection]] = {}
        self.message_reader = MessageReader(config.names, assigner_config)
        self.report_handler = ReportHandler(self.engine, self.by_proxy, self.counts)
        self.encoder = UpdateEncoder(config.names.methods, self._task_name)
        self.sender = UpdateSender(self.encoder, self.by_proxy, self.counts, self.close)
        self.rejection_log = RejectionLog(log)

    # Interface to the engine and the application.

    def start(self) -> int:
        """Start to listen and return the port.

        Raises:
            OSError: The address cannot be listened on.
        """
        self.server.start()
        self.sweeper = gevent.spawn(self._close_overdue)
        return self.server.server_port

    def stop(self) -> None:
        """Stop accepting connections and close the open ones."""
        super().stop()
        if self.sweeper is not None:
            self.sweeper.kill(block=False)

    def count_lines(self, proxy: int, update: ProxyUpdate) -> tuple[int, int]:
        """Return the number of lines of this update without its overhead, and that of all tables of the proxy."""
        view = self.by_proxy[proxy].planned_view
        lines = self.encoder.count_lines(view, update)
        return lines, view.line_count()

    def write(self, proxy: int, update: ProxyUpdate) -> None:
        """Send an update to a proxy without waiting."""
        connection = self.by_proxy.get(proxy)
        if connection is not None and not connection.close_reason:
            self.sender.send_update(connection, update)

    def is_task_sent(self, task: int) -> bool:
        """Return whether a proxy may still hold the task, so that its index must not be reused."""
        return self.sender.is_task_sent(task)

    def detach(self, proxy: int, reason: str) -> None:
        """Close the connection of a proxy."""
        connection = self.by_proxy.pop(proxy, None)
        if connection is not None:
            self.close(connection, reason)

    def redirect(self, proxy: int, to: str, reason: str) -> None:
        """Close the connection of a proxy; the protocol has no message that names another assigner."""
        self.detach(proxy, reason)

    def status(self) -> dict[str, int]:
        """Return the counters since the start, and the current numbers of connections and proxies."""
        return {
            **self.counts,
            "streams": len(self.streams),
            "proxies": len(self.by_proxy),
            "waiting": len(self.pending.waiting),
        }

    def _task_name(self, task: int) -> str:
        return self.engine.task_indices.names[task]

    # Connections.

    def serve(self, sock: socket.socket, address: tuple) -> None:
        """Serve one connection until it ends."""
        connection = self._add(sock, address)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            self.receiver.receive_until_closed(connection)
        except OSError as error:
            connection.close_reason = connection.close_reason or connection_lost_reason(error)
        except RespError as error:
            self.counts["unreadable"] += 1
            self.rejection_log.add(f"unreadable: {error}", connection)
            if not connection.joined:
                self._reject(connection, str(error))
            connection.close_reason = connection.close_reason or str(error)
        finally:
            connection.close_reason = connection.close_reason or "closed by the peer"
            self._remove(connection)
            with contextlib.suppress(OSError):  # the peer may have closed the connection first
                sock.shutdown(socket.SHUT_WR)
            sock.close()

    def _add(self, sock: socket.socket, address: tuple) -> Connection:
        """Add a new connection; if there is no room for it, close others that have not joined."""
        now_us = self.clock()
        self.number += 1
        self.counts["connections"] += 1
        connection = self.streams[self.number] = Connection(self.number, sock, address, now_us)
        joined_count = len(self.streams) - 1 - len(self.pending.waiting)
        max_pending = max(MIN_PENDING_CONNECTIONS, self.max_connections - joined_count)
        for number in self.pending.add(now_us, connection.number, max_pending):
            self._evict(number, "no room for more who have not joined")
        self.connection_added.set()
        return connection

    def _remove(self, connection: Connection) -> None:
        """Remove a closed connection; its proxy stays if it has a newer connection."""
        self.pending.remove(connection.number)
        self.receiver.buffers.release(connection.number)
        self.sender.discard(connection)
        collectors = self.collectors.get(connection.zone, [])
        if connection in collectors:
            collectors.remove(connection)
        if self.forget(self.clock(), connection):
            self.loop.wake()

    def _close_overdue(self) -> None:
        """Close connections that do not join in time; runs until it is killed."""
        while True:
            deadline_us = self.pending.next_deadline
            if deadline_us is None:
                self.connection_added.clear()
                self.connection_added.wait()
                continue
            gevent.sleep(max(MIN_SWEEP_PAUSE_S, (deadline_us - self.clock()) / US_PER_S))
            for number in self.pending.overdue(self.clock()):
                self._evict(number, "did not join in time")

    def _evict(self, number: int, reason: str) -> None:
        connection = self.streams.get(number)
        if connection is not None:
            self.counts["overdue"] += 1
            self._reject(connection, reason)

    def _evict_buffered(self, number: int, reason: str) -> None:
        """Close a connection that holds too many bytes of an unfinished message."""
        connection = self.streams.get(number)
        if connection is not None:
            self.counts["refused"] += 1
            self.rejection_log.add(reason, connection)
            self.close(connection, reason)

    def _reject(self, connection: Connection, reason: str) -> None:
        """Send a `reject` message with the reason, and close the connection."""
        if connection.close_reason:
            return
        self.sender.send(connection, encode([b"reject", b"why", reason.encode()[:MAX_REASON_BYTES]]))
        self.close(connection, reason)

    # Messages.

    def _handle(self, connection: Connection, parts: list[bytes]) -> None:
        """Handle one message; skip a malformed one, and reject the connection if it has not joined."""
        self.counts["messages_in"] += 1
        try:
            self._dispatch(connection, self.message_reader.read(parts))
        except MalformedMessageError as error:
            self.counts["spoilt"] += 1
            self.rejection_log.add(f"{parts[0][:20].decode('utf-8', 'replace')}: {error}", connection)
            if not connection.joined:
                self.counts["refused"] += 1
                self._reject(connection, str(error))

    def _dispatch(self, connection: Connection, message: InboundMessage) -> None:
        kind = type(message)
        if kind is Heartbeat:
            if len(connection.unsent) < MAX_UNSENT_BYTES:
                self.sender.send(connection, HEARTBEAT_REPLY)
        elif kind is JoinRequest:
            self._join(connection, message)
        elif kind is CollectorHello:
            self._add_collector(connection, message)
        elif not connection.joined:
            raise MalformedMessageError("a report before any joining")
        elif self.report_handler.handle(self.clock(), connection, message):
            self.loop.wake()

    def _join(self, connection: Connection, message: JoinRequest) -> None:
        if connection.joined:
            raise MalformedMessageError("this connection has already joined")
        self._check_current(connection, message.node)
        now_us = self.clock()
        if len(self.streams) - len(self.pending.waiting) >= self.max_connections:
            # Another joined connection would use the last descriptors left for connections that have not joined.
            raise MalformedMessageError("no room for another stream")
        self.pending.remove(connection.number)
        proxy = self.engine.join(
            now_us, self, message.node, message.zone, message.usual_rate_per_s, message.has_no_table
        )
        if proxy is None:
            raise MalformedMessageError("no room for another proxy")
        connection.zone = message.zone
        connection.node = message.node
        connection.proxy = proxy
        self.by_proxy[proxy] = connection
        self.loop.wake()

    def _check_current(self, connection: Connection, node: int) -> None:
        """Check that the peer still waits for its joining to be handled.

        Raises:
            MalformedMessageError: The peer has left, or the proxy has joined on a newer connection.
        """
        newest = self.by_proxy.get(self.engine.proxy_indices.index.get(node, NOT_JOINED))
        if newest is not None and newest.number > connection.number:
            raise MalformedMessageError("this proxy has joined on a newer connection")
        if has_peer_closed(connection.sock):
            raise MalformedMessageError("the peer has left before its joining was handled")

    def _add_collector(self, connection: Connection, message: CollectorHello) -> None:
        if connection.joined:
            raise MalformedMessageError("this connection has already joined")
        self.pending.remove(connection.number)
        connection.zone = message.zone
        collectors = self.collectors.setdefault(message.zone, [])
        collectors.append(connection)
        if len(collectors) > MAX_COLLECTORS_PER_ZONE:
            longest_silent = min(collectors, key=lambda collector: collector.last_received_us)
            self.close(longest_silent, "replaced by a newer collector of its zone")
