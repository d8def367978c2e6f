"""SASP server for load balancers, members and agents on gevent sockets.

This module opens and closes connections and dispatches requests to `load_balancers` and `registration`, and calls of
the engine to `weight_replies`. `transport` reads from and writes to the sockets.
"""

from __future__ import annotations

import socket as plain
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent

from hollyridge.core.event_loop import EventLoop
from hollyridge.core.stream_server import ProtocolStreamServer, connection_lost_reason
from hollyridge.delivery.update_builder import ProxyUpdate, ServerCapabilities
from hollyridge.keys.tls import peer_common_name
from hollyridge.limits.connection_limiter import ConnectionLimiter
from hollyridge.limits.log_sampling import should_log
from hollyridge.peers.peer_service import PeerService
from hollyridge.sasp import codec
from hollyridge.sasp.codec import Code
from hollyridge.sasp.config import SaspConfig
from hollyridge.sasp.connection import Connection
from hollyridge.sasp.load_balancers import LoadBalancerRequests
from hollyridge.sasp.ownership import SaspOwnership
from hollyridge.sasp.registration import MemberRequests, Refusals
from hollyridge.sasp.transport import ConnectionTransport
from hollyridge.sasp.weight_replies import WeightReplies
from hollyridge.sessions.access import AccessControl
from hollyridge.sessions.session_tracker import SessionTracker

if TYPE_CHECKING:
    from structlog import BoundLogger

OPEN_ACCESS = AccessControl(False, ())


class SaspServer(ProtocolStreamServer):
    """SASP server of the engine of `loop`.

    Attributes:
        secure: Function that wraps an accepted socket in TLS and raises OSError on failure; None without TLS.
        counts: Counters of the status page.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - called in one place, with all dependencies of the server
        self,
        loop: EventLoop,
        config: SaspConfig,
        session_tracker: SessionTracker,
        limiter: ConnectionLimiter,
        zone_of: Callable[[str], int],
        log: BoundLogger,
        access: AccessControl = OPEN_ACCESS,
        secure: Callable[[plain.socket], plain.socket] | None = None,
        peers: PeerService | None = None,
        zone_name: Callable[[int], str] = str,
    ) -> None:
        super().__init__(loop, config.host, config.port)
        self.config = config
        self.session_tracker = session_tracker
        self.limiter = limiter
        self.zone_of = zone_of
        self.log = log
        self.access = access
        self.secure = secure
        self.capabilities = ServerCapabilities(
            admission=False, retries=False, ejection=False, acks=True, line_copies=len(config.groups)
        )
        refusals = Refusals(access, log)
        self.ownership = SaspOwnership(peers, zone_name)
        self.member_requests = MemberRequests(loop, config, session_tracker, refusals, zone_of)
        self.weight_replies = WeightReplies(loop, config, self.member_requests, self.ownership)
        self.load_balancers = LoadBalancerRequests(self, session_tracker, refusals, self.ownership, self.weight_replies)
        self.transport = ConnectionTransport(self)
        self.monitor: gevent.Greenlet | None = None
        self.counts = dict.fromkeys(
            ("connections", "refused", "frames_in", "frames_out", "bad_frames", "closed", "asked_too_often"), 0
        )

    # Connections.

    def start(self) -> int:
        """Listen and return the port; raise OSError if the address is in use."""
        self.server.start()
        self.monitor = gevent.spawn(self.transport.monitor)
        self.log.info("server_started", protocol="sasp", host=self.config.host, port=self.server.server_port)
        return self.server.server_port

    def stop(self) -> None:
        """Accept no more connections and close those that are open."""
        super().stop()
        if self.monitor is not None:
            self.monitor.kill(block=False)

    def close(self, stream: Connection, reason: str) -> None:
        """Close a connection, which ends its greenlets."""
        if not stream.close_reason:
            self.counts["closed"] += 1
            super().close(stream, reason)
            stream.due.set()

    def recheck(self) -> None:
        """Close the connections that a changed access table no longer allows."""
        for connection in list(self.streams.values()):
            reason = self.access.check_known(connection.principal)
            if not reason and connection.uid:
                reason = self.access.check_proxy_name(connection.principal, connection.uid)
            if reason:
                self.close(connection, f"keys withdrawn: {reason}")

    def serve(self, sock: plain.socket, address: tuple) -> None:
        """Serve one connection until it ends."""
        if not self._admit(sock, address):
            return
        self.number += 1
        self.counts["connections"] += 1
        connection = Connection(self.number, sock, address, self.limiter.reply_bucket())
        self.streams[self.number] = connection
        writer = None
        try:
            self.transport.set_options(sock)
            if self.secure is not None:
                sock = connection.sock = self.secure(sock)
                connection.principal = peer_common_name(sock)
            writer = gevent.spawn(self.transport.write_until_closed, connection)
            self.transport.read_until_closed(connection)
        except OSError as error:
            connection.close_reason = connection.close_reason or connection_lost_reason(error)
        except codec.SaspError as error:
            self.counts["bad_frames"] += 1
            connection.close_reason = connection.close_reason or f"invalid frame: {error}"
        finally:
            connection.close_reason = connection.close_reason or "closed by the peer"
            connection.due.set()
            self.limiter.release(address[0])
            self.end(connection)
            if writer is not None:
                writer.kill(block=False)
            sock.close()

    def _admit(self, sock: plain.socket, address: tuple) -> bool:
        reason = self.limiter.admit(self.clock(), address[0])
        if reason:
            self.counts["refused"] += 1
            if should_log(self.counts["refused"]):
                self.log.warning("connection_rejected", peer=address[0], reason=reason, times=self.counts["refused"])
            sock.close()
        return not reason

    def end(self, connection: Connection) -> None:
        """Release the state of a connection that has ended."""
        now = self.clock()
        self.transport.unacknowledged.pop(connection.number, None)
        self.transport.buffers.release(connection.number)
        self.session_tracker.end(connection.number)
        if self.forget(now, connection):
            self.ownership.release(connection.uid)
        self.member_requests.connection_lost(now, connection)
        self.log.info(
            "stream_ended",
            peer=connection.address[0],
            uid=connection.uid or None,
            reason=connection.close_reason,
            protocol="sasp",
        )
        self.loop.wake()

    # Requests.

    def handle_message(self, connection: Connection, frame: bytes) -> None:
        """Handle one request; raise SaspError if the connection has to be closed."""
        peer = connection.address[0]
        try:
            number, message = codec.decode(frame)
        except codec.SaspError as error:
            self.counts["bad_frames"] += 1
            if error.reply is None:
                raise
            self.log.warning("malformed_message", peer=peer, uid=connection.uid or None, reason=str(error))
            connection.reply(error.reply)
            return
        self._note_request(connection)
        reply = self._dispatch(connection, message)
        if reply.code:
            self.log.info(
                "request_rejected",
                peer=peer,
                uid=connection.uid or None,
                request=type(message).__name__,
                code=int(reply.code),
            )
        try:
            connection.reply(codec.encode(number, reply))
        except ValueError as error:
            self.log.warning("reply_oversized", peer=peer, uid=connection.uid or None, reason=str(error))
            connection.reply(codec.encode(number, codec.reply_to(message, Code.NOT_FROM_YOU)))
        self.loop.wake()

    def _note_request(self, connection: Connection) -> None:
        """Record a request as a heartbeat and, if its sender polls, as acknowledgement of the last reply."""
        now = self.clock()
        self.session_tracker.record_poll(now, connection.number)
        self.ownership.acknowledge(connection)
        if not connection.push:
            for sent in connection.sent_marks:
                self.engine.acknowledge(now, connection.proxy, sent.mark, now - sent.decided_at_us)
            connection.sent_marks.clear()

    def _dispatch(self, connection: Connection, message: codec.Message) -> codec.Message:
        if isinstance(message, codec.GetWeights):
            return self.load_balancers.get_weights(connection, message)
        if isinstance(message, codec.SetBalancer):
            code = self.load_balancers.set_state(connection, message)
        elif isinstance(message, codec.Register):
            code = self._register(connection, message)
        elif isinstance(message, codec.Deregister):
            code = self._deregister(connection, message)
        elif isinstance(message, codec.SetMembers):
            code = self.member_requests.set_states(connection, message)
        else:
            raise codec.SaspError(f"message {type(message).__name__} received, expected a request")
        return codec.reply_to(message, code)

    def _register(self, connection: Connection, message: codec.Register) -> int:
        if message.by_balancer:
            request = self.load_balancers.read_ownership_request(connection, message.groups)
            if request is not None:
                connection.ownership_request = request
                return self.load_balancers.identify(connection, message.groups[0].group.uid)
            groups = (batch.group for batch in message.groups)
            code = self.load_balancers.register_groups(connection, groups)
            if code != Code.OK or not any(batch.members for batch in message.groups):
                return code
        return self.member_requests.register(connection, message)

    def _deregister(self, connection: Connection, message: codec.Deregister) -> int:
        if message.by_balancer:
            code = self.load_balancers.deregister_groups(connection, message.groups)
            if code != Code.OK or not any(batch.members for batch in message.groups):
                return code
        return self.member_requests.deregister(connection, message)

    # Interface to the engine.

    def count_lines(self, proxy: int, update: ProxyUpdate) -> tuple[int, int]:
        """Return the number of entries of this update for the proxy, and that of all its groups in full."""
        connection = self.by_proxy.get(proxy)
        return (0, 0) if connection is None else self.weight_replies.count_lines(connection, update)

    def write(self, proxy: int, update: ProxyUpdate) -> None:
        """Apply an update to the views of the proxy, for its writer to send; never block."""
        connection = self.by_proxy.get(proxy)
        if connection is not None:
            self.weight_replies.apply(connection, update)

    def detach(self, proxy: int, reason: str) -> None:
        """Close the proxy's connection."""
        connection = self.by_proxy.get(proxy)
        if connection is not None:
            self.close(connection, reason)

    def redirect(self, proxy: int, assigner: str, reason: str) -> None:
        """Release the proxy to another assigner; with an empty name, to whichever assigner it reaches next."""
        connection = self.by_proxy.get(proxy)
        if connection is not None:
            self.load_balancers.redirect(connection, assigner, reason)

    def compose(self, connection: Connection) -> list[bytes]:
        """Return the frames that are due to be pushed to a load balancer."""
        return self.weight_replies.compose(connection)

    def status(self) -> dict:
        """Return the counters for the status page."""
        return {**self.counts, "streams": len(self.streams), "refused_why": self.limiter.refused}
