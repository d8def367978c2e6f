"""Registry of the open sessions of the CHP server: joining, takeover by a newer session, leaving and redirects.

A proxy joins when it requests a snapshot of its own subtree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from hollyridge.chp import codec
from hollyridge.chp.codec import ChpError
from hollyridge.chp.session import SubscriberSession
from hollyridge.membership.leases import ForwardProxy, LeaseGranted, StaleToken

if TYPE_CHECKING:
    from hollyridge.chp.server import ChpServer

MAX_UID_CHARS = 64


class JoinRequest(NamedTuple):
    """Request for a proxy's own subtree.

    Attributes:
        uid: Name of the proxy.
        routing_id: Routing id of the sender's socket.
        address: IP address of the sender.
        user: Name of the principal that the sender's key belongs to, empty without keys.
    """

    uid: str
    routing_id: bytes
    address: str
    user: str


class SessionRegistry:
    """Open sessions of one server, indexed by UID, proxy, number and routing id."""

    def __init__(self, server: ChpServer) -> None:
        self.server = server
        self.session_tracker = server.session_tracker
        self.by_uid: dict[str, SubscriberSession] = {}
        self.by_proxy: dict[int, SubscriberSession] = {}
        self.by_number: dict[int, SubscriberSession] = {}
        self.by_routing_id: dict[bytes, SubscriberSession] = {}
        self.newest_number = 0

    def is_current(self, session: SubscriberSession) -> bool:
        """Return whether the session is open and no newer session of the same UID has replaced it."""
        return self.by_uid.get(session.uid) is session

    def join(self, now: int, request: JoinRequest) -> None:
        """Handle a proxy's request for its own subtree; raise ChpError if the proxy may not use the UID."""
        uid = request.uid
        reason = self.server.access.check_proxy_name(request.user, uid)
        if not uid or len(uid) > MAX_UID_CHARS or reason:
            raise ChpError(reason or f"UID of {len(uid)} characters, expected 1 to {MAX_UID_CHARS}")
        older = self.by_uid.get(uid)
        if older is not None and older.routing_id == request.routing_id:  # the proxy lost a message of its subtree
            if not older.home_unsent and older.snapshot_bucket.take(now):
                self.server.publication.send_snapshot(older, older.home)
            return
        zone = self.server.zone_of(request.address)
        if zone < 0 or len(self.by_uid) >= self.server.config.max_proxies:
            self.server.counts["refused"] += 1
            return
        fence = 0
        if self.server.ownership.shared:
            answer = self.server.ownership.claim(uid, zone, request.routing_id)
            if not isinstance(answer, LeaseGranted):
                self._redirect_newcomer(now, request, answer)
                return
            fence = answer.fencing_token
        self._start(now, request, zone, fence)

    def _start(self, now: int, request: JoinRequest, zone: int, fence: int) -> None:
        uid = request.uid
        self.newest_number += 1
        number = self.newest_number
        if self.session_tracker.start(now, number, uid, push=False).rejected:
            self.server.counts["refused"] += 1
            return
        older = self.by_uid.get(uid)
        if older is not None:
            self.leave(now, older, "a newer session has the same uid", keep_lease=True)
        session = SubscriberSession(uid, request.user, number, request.routing_id, self.server.limiter.reply_bucket())
        self.by_uid[uid] = session
        session.fence = fence
        proxy = self.server.engine.join(now, self.server, uid, zone, self.server.config.default_rate)
        if proxy is None:
            del self.by_uid[uid]
            self.session_tracker.end(number)
            return
        session.proxy = proxy
        self.by_proxy[proxy] = session
        self.by_number[number] = session
        self.by_routing_id[session.routing_id] = session
        self.server.log.info("proxy_joined", uid=uid, proxy=proxy, zone=zone, protocol="chp")
        self.server.loop.wake()

    def _redirect_newcomer(self, now: int, request: JoinRequest, answer: StaleToken | ForwardProxy) -> None:
        """Send a redirect instead of a table, if the owner is known, and end the proxy's older session."""
        self.server.counts["sent_on"] += 1
        if not isinstance(answer, ForwardProxy):
            return
        older = self.by_uid.get(request.uid)
        if older is not None:
            self.leave(now, older, "its newer session was redirected")
        home = f"/proxy/{request.uid}/"
        key_space = self.server.key_space
        key_space.set(home, 0, {home + "go": self.server.ownership.go_value(answer.owner)})
        for message in key_space.snapshot(home):
            self.server.sockets.send_to(request.routing_id, codec.encode(message))
        key_space.drop(home)

    def leave(self, now: int, session: SubscriberSession, reason: str, keep_lease: bool = False) -> None:
        """End a session and release the lease of its proxy, or keep the lease if its owner is decided already."""
        if not keep_lease:
            self.server.ownership.release(session.uid)
        if self.is_current(session):
            del self.by_uid[session.uid]
        self.by_number.pop(session.number, None)
        self.by_routing_id.pop(session.routing_id, None)
        self.session_tracker.end(session.number)
        self.server.key_space.drop(session.home)
        if self.by_proxy.get(session.proxy) is session:
            del self.by_proxy[session.proxy]
            self.server.engine.leave(now, session.proxy)
        self.server.log.info("stream_ended", uid=session.uid, reason=reason, protocol="chp")
        self.server.loop.wake()

    def recheck(self, now: int) -> None:
        """End the sessions whose users may no longer use their UIDs."""
        for session in list(self.by_number.values()):
            reason = self.server.access.check_proxy_name(session.user, session.uid)
            if reason:
                self.leave(now, session, f"keys withdrawn: {reason}")

    def check_progress(self, now: int) -> None:
        """Record how far each session lags, and end those that are silent or do not catch up."""
        for session in list(self.by_number.values()):
            needed = self.server.publication.heads_of(session)
            behind = bool(needed) and not session.has_applied(needed)
            applied = sum(session.applied.get(subtree, 0) for subtree in needed)
            self.session_tracker.check_backlog(now, session.number, applied, behind)
        for number, reason in self.session_tracker.overdue(now):
            session = self.by_number.get(number)
            if session is not None:
                self.server.counts["cut"] += 1
                self.leave(now, session, reason)
