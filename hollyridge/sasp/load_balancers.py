"""Requests of load balancers: identification, joining, and the binding of connections to proxies.

A load balancer that accepts pushes joins when it registers its groups, one that polls joins with its first Get Weights
Request. Where assigners share a fleet, it joins only once this assigner owns it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from hollyridge.membership.leases import ForwardProxy, StaleToken
from hollyridge.sasp import codec
from hollyridge.sasp.codec import Code
from hollyridge.sasp.connection import Connection, SentMark
from hollyridge.sasp.ownership import SaspOwnership
from hollyridge.sasp.ownership_extension import OwnershipRequest, read_request
from hollyridge.sasp.registration import Refusals
from hollyridge.sasp.weight_replies import WeightReplies
from hollyridge.sessions.session_tracker import SessionTracker

if TYPE_CHECKING:
    from hollyridge.sasp.server import SaspServer

MAX_NAME_BYTES = 64  # limit of RFC 4678 for a UID and for the name of a group


class LoadBalancerRequests:
    """Handler of load balancers' requests, which also binds their connections to the engine's proxies."""

    def __init__(
        self,
        server: SaspServer,
        session_tracker: SessionTracker,
        refusals: Refusals,
        ownership: SaspOwnership,
        weight_replies: WeightReplies,
    ) -> None:
        self.server = server
        self.engine = server.engine
        self.clock = server.clock
        self.config = server.config
        self.zone_of: Callable[[str], int] = server.zone_of
        self.session_tracker = session_tracker
        self.refusals = refusals
        self.ownership = ownership
        self.weight_replies = weight_replies

    # Identification and groups.

    def identify(self, connection: Connection, uid: str) -> int:
        """Set the UID of a connection and return the return code."""
        if not uid or len(uid.encode()) > MAX_NAME_BYTES:
            return Code.UID_SIZE
        if uid == self.config.fleet or connection.registers_members:
            return Code.NOT_FROM_YOU
        if connection.uid and connection.uid != uid:
            return Code.UNKNOWN_BALANCER
        if self.refusals.is_denied(connection, self.refusals.access.check_proxy_name(connection.principal, uid)):
            return Code.NOT_FROM_YOU
        connection.uid = uid
        return Code.OK

    def set_state(self, connection: Connection, message: codec.SetBalancer) -> int:
        """Handle Set LB State, which sets the UID and the flags, and return the return code."""
        code = self.identify(connection, message.uid)
        if code == Code.OK:
            connection.flags = message.flags
            if connection.views:
                code = self.join(connection)
        return code

    def read_ownership_request(
        self, connection: Connection, groups: tuple[codec.MembersOf, ...]
    ) -> OwnershipRequest | None:
        """Return the ownership request that a registration carries, None for an ordinary registration."""
        if not self.ownership.shared or not groups or connection.proxy >= 0:
            return None
        return read_request(groups[0].group.name)

    def register_groups(self, connection: Connection, groups: Iterable[codec.Group]) -> int:
        """Register groups of the load balancer, let it join, and return the return code."""
        groups = list(groups)
        for group in groups:
            if len(group.name.encode()) > MAX_NAME_BYTES:
                return Code.GROUP_NAME_SIZE
            if group.name not in self.config.groups:
                return Code.INVALID_GROUP
            code = self.identify(connection, group.uid)
            if code != Code.OK:
                return code
        for group in groups:
            self.weight_replies.add_group(connection, group.name)
        return self.join(connection) if groups else Code.OK

    def deregister_groups(self, connection: Connection, groups: tuple[codec.MembersOf, ...]) -> int:
        """Deregister the groups that list no members and return the return code.

        A load balancer without any group left leaves.
        """
        for batch in groups:
            name = batch.group.name
            if batch.group.uid != connection.uid or name not in connection.views:
                return Code.UNKNOWN_GROUP if batch.group.uid == connection.uid else Code.UNKNOWN_BALANCER
            if not batch.members:
                del connection.views[name]
        if not connection.views and connection.proxy >= 0:
            self.session_tracker.end(connection.number)
            self.unbind(self.clock(), connection)
        return Code.OK

    def get_weights(self, connection: Connection, message: codec.GetWeights) -> codec.GetWeightsReply:
        """Return the reply to a load balancer that polls.

        For the first reply, wait briefly for a table, so that the reply is not empty.
        """
        code = self.register_groups(connection, message.groups)
        if code == Code.OK and not connection.reply_bucket.take(self.clock()):
            self.server.counts["asked_too_often"] += 1
            code = Code.NOT_FROM_YOU
        if code != Code.OK:
            return codec.GetWeightsReply(code, self.session_tracker.poll_interval_s, ())
        if connection.proxy >= 0 and not connection.weights_ready.is_set():
            self.server.loop.wake()
            connection.weights_ready.wait(self.session_tracker.first_poll_wait_us / 1e6)
        batches = self.weight_replies.full_weights(connection, message.groups)
        if not connection.push:
            connection.sent_marks.extend(SentMark(0, *mark) for mark in connection.pending)
            connection.pending.clear()
        return codec.GetWeightsReply(Code.OK, self.session_tracker.poll_interval_s, batches)

    # Joining and leaving.

    def join(self, connection: Connection) -> int:
        """Let the load balancer join if it has not joined yet, and return the return code."""
        now = self.clock()
        if self.ownership.shared and connection.proxy < 0:
            refusal = self.ownership.claim(connection, self.zone_of(connection.address[0]))
            if refusal is not None:
                self._redirect_newcomer(connection, refusal)
                return Code.NOT_FROM_YOU
        started = self.session_tracker.start(now, connection.number, connection.uid, connection.push)
        if started.rejected:
            return Code.NOT_FROM_YOU
        if started.close >= 0 and started.close in self.server.streams:
            older = self.server.streams[started.close]
            self.server.close(older, "a newer connection has the same uid")
            self.unbind(now, older)
        return self._bind(now, connection) if started.joined else Code.OK

    def _bind(self, now: int, connection: Connection) -> int:
        zone = self.zone_of(connection.address[0])
        proxy = None
        if zone >= 0:
            proxy = self.engine.join(now, self.server, connection.uid, zone, self.config.default_rate)
        if proxy is None or proxy < 0:
            self.session_tracker.end(connection.number)
            return Code.NOT_FROM_YOU
        connection.proxy = proxy
        self.server.by_proxy[proxy] = connection
        self.server.log.info(
            "proxy_joined", uid=connection.uid, proxy=proxy, zone=zone, push=connection.push, protocol="sasp"
        )
        return Code.OK

    def unbind(self, now: int, connection: Connection) -> None:
        """Unbind the connection from its proxy, if it has one; the proxy leaves the engine."""
        if connection.proxy >= 0:
            self.server.by_proxy.pop(connection.proxy, None)
            self.engine.leave(now, connection.proxy)
            connection.proxy = -1

    def _redirect_newcomer(self, connection: Connection, refusal: StaleToken | ForwardProxy) -> None:
        """Send a redirect ahead of the reply, if the owner is known, and end the load balancer's older connection."""
        older = self.server.streams.get(self.session_tracker.by_uid.get(connection.uid, -1))
        if isinstance(refusal, ForwardProxy):
            self.ownership.send_redirect(connection, refusal.owner)
            if older is not None and older is not connection:
                self._release(older, "its newer connection was redirected")

    def _release(self, connection: Connection, reason: str) -> None:
        """End a connection whose proxy belongs to another assigner already."""
        self.unbind(self.clock(), connection)
        self.server.close(connection, reason)

    def redirect(self, connection: Connection, assigner: str, reason: str) -> None:
        """Release the proxy to another assigner; with an empty name, to whichever assigner it reaches next."""
        if assigner:  # the load balancer closes the connection on a redirect; if not, its next request is refused
            self.ownership.send_redirect(connection, assigner)
            self.unbind(self.clock(), connection)
            self.session_tracker.end(connection.number)
        else:
            self._release(connection, reason)
