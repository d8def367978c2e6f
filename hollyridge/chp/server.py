"""CHP server on gevent, which sends snapshots on request and publishes numbered changes to all subscribers.

`session_registry` keeps the open sessions, `publication` sends changes and snapshots, and `sockets` holds the sockets.
The acknowledgements of a proxy show how far it lags. A proxy requests a snapshot instead of the changes that it missed,
so that the server only ever has to send the newest state. A session that does not catch up in time is ended (see
`hollyridge.sessions.session_tracker`).
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
import zmq.green as zmq

from hollyridge.chp import codec
from hollyridge.chp.codec import ChpError
from hollyridge.chp.config import ChpConfig
from hollyridge.chp.key_space import KeySpace
from hollyridge.chp.ownership import ChpOwnership
from hollyridge.chp.publication import Publication
from hollyridge.chp.session import SubscriberSession
from hollyridge.chp.session_registry import JoinRequest, SessionRegistry
from hollyridge.chp.sockets import ReceivedMessage, ServerSockets
from hollyridge.core.event_loop import EventLoop
from hollyridge.core.input_turns import PAUSE_S, TurnCounter
from hollyridge.delivery.update_builder import ProxyUpdate, ServerCapabilities
from hollyridge.keys.curve import Curve
from hollyridge.limits.connection_limiter import ConnectionLimiter
from hollyridge.limits.log_sampling import should_log
from hollyridge.peers.peer_service import PeerService
from hollyridge.sessions.access import AccessControl
from hollyridge.sessions.session_tracker import SessionTracker

if TYPE_CHECKING:
    from structlog import BoundLogger

OPEN_ACCESS = AccessControl(False, ())
EPOCH_BYTES = 8
# Counters of the status page.
COUNTS = (
    "asked",
    "snapshots",
    "published",
    "bytes_out",
    "bad",
    "refused",
    "cut",
    "sent_on",
    "acks",
    "waited",
    "unreachable",
)


def split_subtree(path: str, last: str) -> tuple[str, str] | None:
    """Return kind and name of the path `/KIND/NAME/` followed by `last`, None for any other path.

    >>> split_subtree("/table/0/", ""), split_subtree("/proxy/gw-1/ack", "ack"), split_subtree("/table/0/a/b", "")
    (('table', '0'), ('proxy', 'gw-1'), None)
    """
    root, *segments = path.split("/")
    if root or len(segments) != 3 or segments[2] != last:  # noqa: PLR2004 - kind, name, last
        return None
    return segments[0], segments[1]


class ChpServer:
    """CHP server of the engine of `loop`.

    `name_of(task)` returns a task's `host:port`. With `curve`, only holders of known keys can connect, and `access`
    decides which principal may use which UID. `epoch` identifies this run; empty for a random identifier. `peers` are
    the assigners that share the fleet with this one.

    Attributes:
        counts: Counters of the status page.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - called in one place, with all dependencies of the server
        self,
        loop: EventLoop,
        config: ChpConfig,
        session_tracker: SessionTracker,
        limiter: ConnectionLimiter,
        zone_of: Callable[[str], int],
        name_of: Callable[[int], str],
        log: BoundLogger,
        context: zmq.Context,
        curve: Curve | None = None,
        access: AccessControl = OPEN_ACCESS,
        epoch: str = "",
        peers: PeerService | None = None,
        zone_name: Callable[[int], str] = str,
    ) -> None:
        self.loop = loop
        self.engine = loop.engine
        self.clock = loop.clock
        self.config = config
        self.session_tracker = session_tracker
        self.limiter = limiter
        self.zone_of = zone_of
        self.log = log
        self.access = access
        self.capabilities = ServerCapabilities(admission=True, retries=True, ejection=True, acks=True, line_copies=1)
        self.key_space = KeySpace(epoch or os.urandom(EPOCH_BYTES).hex(), config.heartbeat_ms)
        self.key_space.set(codec.EJECTED_SUBTREE, 0, {})
        self.counts = dict.fromkeys(COUNTS, 0)
        self.sockets = ServerSockets(context, config, curve, self.counts)
        self.ownership = ChpOwnership(peers, zone_name)
        self.sessions = SessionRegistry(self)
        self.publication = Publication(
            loop, config, self.key_space, self.sockets, name_of, self.ownership, self.sessions.is_current
        )
        self.greenlets: list = []

    def start(self) -> int:
        """Listen and return the first of the three ports; raise OSError if a port is in use."""
        self.sockets.bind()
        functions = (self._answer_requests, self._collect_acks, self._send_heartbeats)
        self.greenlets = [self.loop.spawn(function) for function in functions]
        self.log.info("server_started", protocol="chp", host=self.config.host, port=self.config.port)
        return self.config.port

    def stop(self) -> None:
        """End the greenlets and close the sockets."""
        gevent.killall(self.greenlets, block=False)
        self.sockets.close()

    def recheck(self) -> None:
        """End the sessions that a changed access table no longer allows."""
        self.sessions.recheck(self.clock())

    def rebind(self) -> None:
        """Use the changed CURVE key for new connections; open connections continue."""
        self.sockets.rebind(self.loop.sleep, self.log)

    # Requests.

    def _answer_requests(self) -> None:
        self._handle_messages(self.sockets.snapshot, self._answer)

    def _handle_messages(self, sock: zmq.Socket, handle: Callable[[ReceivedMessage], None]) -> None:
        """Handle the messages of a socket in turns, so that a flood leaves time for all other work of the process."""
        counter = TurnCounter(lambda: self.loop.sleep(PAUSE_S))
        while True:
            received = self.sockets.receive(sock)
            try:
                handle(received)
            except ChpError as error:
                self._note_malformed(received.address, str(error))
            counter.count()

    def _answer(self, received: ReceivedMessage) -> None:
        routing_id, *parts = received.parts
        message = codec.decode(parts)
        if not isinstance(message, codec.Icanhaz):
            raise ChpError(f"{type(message).__name__} received on the snapshot socket, expected Icanhaz")
        self.counts["asked"] += 1
        now = self.clock()
        segments = split_subtree(message.subtree, "")
        if segments is None or segments[0] not in ("proxy", "table", "out"):
            raise ChpError("snapshot requested of an unknown subtree, expected /proxy/UID/, /table/N/ or /out/all/")
        kind, name = segments
        if kind == "proxy":
            self.sessions.join(now, JoinRequest(name, routing_id, received.address, received.user))
        else:
            self._send_shared(now, routing_id, message.subtree)

    def _send_shared(self, now: int, routing_id: bytes, subtree: str) -> None:
        """Send a snapshot of a table or of the ejected tasks to a session that uses it."""
        session = self.sessions.by_routing_id.get(routing_id)
        if session is None or (subtree != codec.EJECTED_SUBTREE and subtree not in self.publication.tables_of(session)):
            self.counts["refused"] += 1
            return
        if subtree in session.charged_tables:
            session.charged_tables.discard(subtree)
        elif not session.snapshot_bucket.take(now):
            self.counts["refused"] += 1
            return
        else:
            self.publication.charge_snapshot(now, subtree)
        self.publication.send_snapshot(session, subtree)

    def _collect_acks(self) -> None:
        self._handle_messages(self.sockets.collector, self._collect)

    def _collect(self, received: ReceivedMessage) -> None:
        message = codec.decode(received.parts, collector=True)
        key = message.key if isinstance(message, codec.Kvset) else ""
        segments = split_subtree(key, "ack")
        if segments is None or segments[0] != "proxy":
            raise ChpError(f"{type(message).__name__} received on the collector, expected a Kvset of /proxy/UID/ack")
        uid = segments[1]
        reason = self.access.check_proxy_name(received.user, uid)
        if reason:
            raise ChpError(reason)
        session = self.sessions.by_uid.get(uid)
        if session is not None and message.uuid == codec.uuid_of(session.routing_id.hex()):
            self._note_ack(self.clock(), session, codec.value_of(codec.Ack, message.value))

    def _note_ack(self, now: int, session: SubscriberSession, ack: codec.Ack) -> None:
        """Record a proxy's acknowledgement as a heartbeat, acknowledge its marks, and note how far it lags."""
        self.counts["acks"] += 1
        self.session_tracker.record_poll(now, session.number)
        if self.ownership.shared:
            self.ownership.acknowledge(session.uid, ack.request_number if session.fence else 0)
            if session.number not in self.sessions.by_number:
                return
        if ack.epoch and ack.epoch != self.key_space.epoch:
            return
        session.applied = ack.applied
        while session.sent_marks and session.has_applied(session.sent_marks[0].heads):
            sent = session.sent_marks.popleft()
            self.engine.acknowledge(now, session.proxy, sent.mark, now - sent.decided_at_us)
            self.loop.wake()

    def _note_malformed(self, address: str, reason: str) -> None:
        self.counts["bad"] += 1
        if should_log(self.counts["bad"]):
            self.log.warning("malformed_message", peer=address, reason=reason, times=self.counts["bad"])

    def _send_heartbeats(self) -> None:
        while True:
            self.loop.sleep(self.config.heartbeat_ms / 1000)
            now = self.clock()
            self.publication.heartbeat()
            self.sessions.check_progress(now)

    # Interface to the engine.

    def count_lines(self, proxy: int, update: ProxyUpdate) -> tuple[int, int]:
        """Return the number of lines of this update for the proxy, and that of all its tables in full."""
        return self.publication.count_lines(proxy, update)

    def write(self, proxy: int, update: ProxyUpdate) -> None:
        """Publish the update; never block."""
        self.publication.apply(self.sessions.by_proxy.get(proxy), update)

    def detach(self, proxy: int, reason: str) -> None:
        """End the proxy's session."""
        session = self.sessions.by_proxy.get(proxy)
        if session is not None:
            self.sessions.leave(self.clock(), session, reason)

    def redirect(self, proxy: int, assigner: str, reason: str) -> None:
        """Release the proxy to another assigner; with an empty name, to whichever assigner it reaches next."""
        session = self.sessions.by_proxy.get(proxy)
        if session is not None:
            if assigner:
                self.publication.redirect(session, assigner)
            self.sessions.leave(self.clock(), session, reason, keep_lease=True)

    def status(self) -> dict:
        """Return the counters for the status page."""
        return {**self.counts, "readers": len(self.sessions.by_uid), "subtrees": len(self.key_space.heads)}
