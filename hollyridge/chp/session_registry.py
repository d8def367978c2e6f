"""Which sessions stand: joining by asking for one's own subtree, taking over, leaving, being redirected."""

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
    """A request for a proxy's own subtree: from which socket and address, by the user that the key stands for."""

    uid: str
    routing_id: bytes
    address: str
    user: str


class SessionRegistry:
    """The sessions of one server, by what they are looked up by."""

    def __init__(self, server: ChpServer) -> None:
        self.server = server
        self.session_tracker = server.session_tracker
        self.by_uid: dict[str, SubscriberSession] = {}
        self.by_proxy: dict[int, SubscriberSession] = {}
        self.by_number: dict[int, SubscriberSession] = {}
        self.by_routing_id: dict[bytes, SubscriberSession] = {}
        self.newest_number = 0

    def is_current(self, session: SubscriberSession) -> bool:
        """Whether the session stands, and none of the same name has taken over."""
        return self.by_uid.get(session.uid) is session

    def join(self, now: int, request: JoinRequest) -> None:
        """A proxy has asked for its own subtree; ChpError for a name that it may not have."""
        uid = request.uid
        reason = self.server.access.check_proxy_name(request.user, uid)
        if not uid or len(uid) > MAX_UID_CHARS or reason:
            raise ChpError(reason or "no proxy has such a name")
        older = self.by_uid.get(uid)
        if older is not None and older.routing_id == request.routing_id:  # it lost something of its own subtree
            if not older.waits_for_home and older.repairs.take(now):
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
        """Tell a proxy in place of a table which assigner it should ask, and end the session that it had here."""
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
        """End a session; with `keep_lease` it has been decided already who owns its proxy."""
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
        """End the sessions of those who may not have their names any more."""
        for session in list(self.by_number.values()):
            reason = self.server.access.check_proxy_name(session.user, session.uid)
            if reason:
                self.leave(now, session, f"keys withdrawn: {reason}")

    def check_progress(self, now: int) -> None:
        """Note how far each session lags, and end those that are silent or do not catch up."""
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
