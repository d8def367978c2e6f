"""The CHP server on gevent: snapshots by request, numbered changes to all at once.

Which sessions stand is kept in `session_registry`, what is sent in `publication`, the sockets in `sockets`. How far a
proxy lags is known by what it has acknowledged: it takes a snapshot in place of what it missed, so that only the newest
state is ever owed, and its session ends when it has not caught up in time (`hollyridge.sessions.session_tracker`).
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
# Figures of the status page.
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


def subtree_steps(path: str, last: str) -> tuple[str, str] | None:
    """Kind and name in `/KIND/NAME/` followed by `last`, None for any other path.

    >>> subtree_steps("/table/0/", ""), subtree_steps("/proxy/gw-1/ack", "ack"), subtree_steps("/table/0/a/b", "")
    (('table', '0'), ('proxy', 'gw-1'), None)
    """
    root, *steps = path.split("/")
    if root or len(steps) != 3 or steps[2] != last:  # noqa: PLR2004 - kind, name, last
        return None
    return steps[0], steps[1]


class ChpServer:
    """Serves CHP for the engine of `loop`.

    `name_of(task)` is a task's `host:port`. With `curve` only holders of known keys are let in, and `access` decides
    who may have which name. `epoch` names this run. `peers`: the assigners that share the fleet with this one.

    Attributes:
        counts: Figures of the status page.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - it is made in one place, of all that the service has for it
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
        self.key_space.set(codec.OUT, 0, {})
        self.counts = dict.fromkeys(COUNTS, 0)
        self.sockets = ServerSockets(context, config, curve, self.counts)
        self.ownership = ChpOwnership(peers, zone_name)
        self.sessions = SessionRegistry(self)
        self.publication = Publication(
            loop, config, self.key_space, self.sockets, name_of, self.ownership, self.sessions.is_current
        )
        self.jobs: list = []

    def start(self) -> int:
        """Listen; returns the first of the three ports. OSError if one is taken."""
        self.sockets.bind()
        jobs = (self._answer_requests, self._collect_acks, self._send_heartbeats)
        self.jobs = [self.loop.spawn(job) for job in jobs]
        self.log.info("server_started", protocol="chp", host=self.config.host, port=self.config.port)
        return self.config.port

    def stop(self) -> None:
        """End the greenlets and close the sockets."""
        gevent.killall(self.jobs, block=False)
        self.sockets.close()

    def recheck(self) -> None:
        """The access table has changed: end the sessions of those who lost their names."""
        self.sessions.recheck(self.clock())

    def rebind(self) -> None:
        """The CURVE key has changed: new connections meet the new one, those that stand go on."""
        self.sockets.rebind(self.loop.sleep, self.log)

    # Requests.

    def _answer_requests(self) -> None:
        while True:
            received = self.sockets.receive(self.sockets.snapshot)
            try:
                self._answer(received)
            except ChpError as error:
                self._note_malformed(received.address, str(error))

    def _answer(self, received: ReceivedMessage) -> None:
        routing_id, *parts = received.parts
        message = codec.decode(parts)
        if not isinstance(message, codec.Icanhaz):
            raise ChpError("only ICANHAZ is answered here")
        self.counts["asked"] += 1
        now = self.clock()
        steps = subtree_steps(message.subtree, "")
        if steps is None or steps[0] not in ("proxy", "table", "out"):
            raise ChpError("no such subtree")
        kind, name = steps
        if kind == "proxy":
            self.sessions.join(now, JoinRequest(name, routing_id, received.address, received.user))
        else:
            self._send_shared(now, routing_id, message.subtree)

    def _send_shared(self, now: int, routing_id: bytes, subtree: str) -> None:
        """A snapshot of a table or of the ejected tasks, to a session that uses it."""
        session = self.sessions.by_routing_id.get(routing_id)
        if session is None or (subtree != codec.OUT and subtree not in self.publication.tables_of(session)):
            self.counts["refused"] += 1
            return
        if subtree in session.counted:
            session.counted.discard(subtree)
        elif not session.repairs.take(now):
            self.counts["refused"] += 1
            return
        else:
            self.publication.charge_repair(now, subtree)
        self.publication.send_snapshot(session, subtree)

    def _collect_acks(self) -> None:
        while True:
            received = self.sockets.receive(self.sockets.collector)
            try:
                self._collect(received)
            except ChpError as error:
                self._note_malformed(received.address, str(error))

    def _collect(self, received: ReceivedMessage) -> None:
        message = codec.decode(received.parts, collector=True)
        key = message.key if isinstance(message, codec.Kvset) else ""
        steps = subtree_steps(key, "ack")
        if steps is None or steps[0] != "proxy":
            raise ChpError("no such key can be set")
        uid = steps[1]
        reason = self.access.check_proxy_name(received.user, uid)
        if reason:
            raise ChpError(reason)
        session = self.sessions.by_uid.get(uid)
        if session is not None and message.uuid == codec.uuid_of(session.routing_id.hex()):
            self._note_ack(self.clock(), session, codec.value_of(codec.Ack, message.value))

    def _note_ack(self, now: int, session: SubscriberSession, ack: codec.Ack) -> None:
        """What a proxy has applied: a heartbeat, an acknowledgement, and how far it lags."""
        self.counts["acks"] += 1
        self.session_tracker.record_poll(now, session.number)
        if self.ownership.shared:
            self.ownership.acknowledge(session.uid, ack.request_number if session.fence else 0)
            if session.number not in self.sessions.by_number:
                return
        if ack.epoch and ack.epoch != self.key_space.epoch:
            return
        session.applied = ack.applied
        while session.marks and session.has_applied(session.marks[0].heads):
            sent = session.marks.popleft()
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

    # What the engine asks of a server.

    def count_lines(self, proxy: int, update: ProxyUpdate) -> tuple[int, int]:
        """How many lines this update comes to at this proxy, and how many all its tables in full."""
        return self.publication.count_lines(proxy, update)

    def write(self, proxy: int, update: ProxyUpdate) -> None:
        """Publish the update; never blocks."""
        self.publication.apply(self.sessions.by_proxy.get(proxy), update)

    def detach(self, proxy: int, why: str) -> None:
        """End the proxy's session."""
        session = self.sessions.by_proxy.get(proxy)
        if session is not None:
            self.sessions.leave(self.clock(), session, why)

    def redirect(self, proxy: int, to: str, why: str) -> None:
        """Give the proxy up to the assigner `to`, empty if whichever answers."""
        session = self.sessions.by_proxy.get(proxy)
        if session is not None:
            if to:
                self.publication.redirect(session, to)
            self.sessions.leave(self.clock(), session, why, keep_lease=True)

    def status(self) -> dict:
        """Figures for the status page."""
        return {**self.counts, "readers": len(self.sessions.by_uid), "subtrees": len(self.key_space.heads)}
