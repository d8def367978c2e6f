"""Requests about members: registration, deregistration and quiescing, from members, agents and load balancers.

This module authorizes the requests and maps each task's index to its member. `hollyridge.registration` decides, through
the engine, how they change the endpoint list.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from hollyridge.core.event_loop import EventLoop
from hollyridge.registration import members
from hollyridge.sasp import codec
from hollyridge.sasp.codec import Code
from hollyridge.sasp.config import SaspConfig
from hollyridge.sasp.connection import Connection
from hollyridge.sessions.access import AccessControl
from hollyridge.sessions.session_tracker import SessionTracker

if TYPE_CHECKING:
    from structlog import BoundLogger

CODE_OF_REFUSAL: Mapping[members.Refusal | None, Code] = MappingProxyType(
    {
        None: Code.OK,
        members.Refusal.ALREADY_REGISTERED: Code.ALREADY_REGISTERED,
        members.Refusal.NOT_REGISTERED: Code.NOT_REGISTERED,
        members.Refusal.FULL: Code.NOT_FROM_YOU,
        members.Refusal.NO_ZONE: Code.NOT_FROM_YOU,
        members.Refusal.DUPLICATE: Code.DUPLICATE_MEMBER,
    }
)
# Members whose index is no longer in use are dropped once the members outnumber
# STALE_MEMBERS_FACTOR * indices + STALE_MEMBERS_MARGIN.
STALE_MEMBERS_FACTOR = 4
STALE_MEMBERS_MARGIN = 1024


class Allocation(NamedTuple):
    """Members of a registration with their allocated indices.

    Attributes:
        requests: Each member with its index.
        added: Keys of the members that had no index before.
    """

    requests: tuple[members.MemberRequest, ...]
    added: tuple[tuple, ...]


class Refusals:
    """Access control of SASP requests, which logs each denial."""

    def __init__(self, access: AccessControl, log: BoundLogger) -> None:
        self.access = access
        self.log = log

    def is_denied(self, connection: Connection, reason: str) -> bool:
        """Return whether a request is denied, which it is unless `reason` is empty; log the denial."""
        if reason:
            self.log.warning("access_denied", peer=connection.address[0], reason=reason)
        return bool(reason)


class MemberRequests:
    """Handler of requests about members.

    Attributes:
        by_task: Member by the index of its task.
        registered_by_balancer: Whether a load balancer registered the member, by the member's key.
    """

    def __init__(
        self,
        loop: EventLoop,
        config: SaspConfig,
        session_tracker: SessionTracker,
        refusals: Refusals,
        zone_of: Callable[[str], int],
    ) -> None:
        self.engine = loop.engine
        self.clock = loop.clock
        self.config = config
        self.session_tracker = session_tracker
        self.refusals = refusals
        self.zone_of = zone_of
        self.by_task: dict[int, codec.Member] = {}
        self.registered_by_balancer: dict[tuple, bool] = {}

    def register(self, connection: Connection, message: codec.Register) -> int:
        """Register members and return the return code."""
        code = self._authorize_all(connection, message.by_balancer, (batch.group for batch in message.groups))
        if code != Code.OK:
            return code
        now = self.clock()
        requested = [member for batch in message.groups for member in batch.members]
        if len(requested) > self.config.max_members_per_request:
            return Code.NOT_FROM_YOU
        check_member_address = self.refusals.access.check_member_address
        if any(
            self.refusals.is_denied(connection, check_member_address(connection.principal, member.host))
            for member in requested
        ):
            return Code.NOT_FROM_YOU
        registers_itself = len(requested) == 1 and requested[0].host == connection.address[0]
        allocation = self._allocate(now, requested, registers_itself)
        refusal = self.engine.update_endpoints(now, members.Registered(connection.number, allocation.requests))
        if refusal not in (None, members.Refusal.ALREADY_REGISTERED):
            for key in allocation.added:
                self.engine.task_indices.release(now, key)
        else:
            connection.registers_members = True
            for request in allocation.requests:
                self.registered_by_balancer[request.key] = message.by_balancer
        return CODE_OF_REFUSAL[refusal]

    def _allocate(self, now: int, requested: Iterable[codec.Member], registers_itself: bool) -> Allocation:
        requests = []
        added = []
        for member in requested:
            new = member.key not in self.engine.task_indices.index
            zone = self.zone_of(member.host)
            allocated = self.engine.task_indices.allocate(now, member.key) if zone >= 0 else -1
            task = -1 if allocated is None else allocated
            if task >= 0:
                if new:
                    added.append(member.key)
                self._set_member(task, member)
            # With the index 0, a member without a zone is refused for the missing zone, not because the list is full.
            listed_task = max(task, 0) if zone < 0 else task
            requests.append(members.MemberRequest(member.key, listed_task, zone, member.label, registers_itself))
        return Allocation(tuple(requests), tuple(added))

    def _set_member(self, task: int, member: codec.Member) -> None:
        """Record the member of an index, and forget the former one if the index was reused."""
        former = self.by_task.get(task)
        if former is not None and former.key != member.key:
            self.registered_by_balancer.pop(former.key, None)
        self.by_task[task] = member._replace(label="")

    def deregister(self, connection: Connection, message: codec.Deregister) -> int:
        """Deregister members and return the return code."""
        code = self._authorize_all(connection, message.by_balancer, (batch.group for batch in message.groups))
        if code != Code.OK:
            return code
        keys = tuple(member.key for batch in message.groups for member in batch.members)
        all_members = not message.by_balancer and any(not batch.members for batch in message.groups)
        event = members.Deregistered(connection.number, None if all_members else keys)
        return CODE_OF_REFUSAL[self.engine.update_endpoints(self.clock(), event)]

    def set_states(self, connection: Connection, message: codec.SetMembers) -> int:
        """Quiesce or resume members and return the return code, that of the last refused member if any is refused."""
        code = Code.OK
        for batch in message.groups:
            code = self._authorize(connection, message.by_balancer, batch.group)
            if code != Code.OK:
                return code
            for state in batch.states:
                event = members.Quiesced(connection.number, state.member.key, state.quiesce)
                refusal = self.engine.update_endpoints(self.clock(), event)
                code = CODE_OF_REFUSAL[refusal] or code
        return code

    def _authorize_all(self, connection: Connection, by_balancer: bool, groups: Iterable[codec.Group]) -> int:
        for group in groups:
            code = self._authorize(connection, by_balancer, group)
            if code != Code.OK:
                return code
        return Code.OK

    def _authorize(self, connection: Connection, by_balancer: bool, group: codec.Group) -> int:
        """Return OK if this connection may change members of this group, else the return code of the refusal."""
        if by_balancer:
            allowed = self.config.balancers_register and connection.uid == group.uid
            return Code.OK if allowed else Code.NOT_FROM_YOU
        if connection.uid:
            return Code.NOT_FROM_YOU
        if group.uid != self.config.fleet:
            known = group.uid in self.session_tracker.by_uid
            return Code.NOT_FROM_YOU if known else Code.NOT_CONTACTED_YET
        return Code.OK if group.name == self.config.members_group else Code.INVALID_GROUP

    def connection_lost(self, now: int, connection: Connection) -> None:
        """Note the end of a connection; the engine holds its members for a while."""
        if connection.registers_members:
            self.engine.update_endpoints(now, members.StreamLost(connection.number))

    def forget_stale(self) -> None:
        """Drop members whose index is no longer in use, once there are many of them."""
        indices = self.engine.task_indices
        for task in [
            task
            for task in self.by_task
            if len(self.by_task) > STALE_MEMBERS_FACTOR * len(indices) + STALE_MEMBERS_MARGIN
            and indices.names[task] not in indices.index
            and not self.engine.update_builder.mentions(task)
        ]:
            self.registered_by_balancer.pop(self.by_task.pop(task).key, None)
