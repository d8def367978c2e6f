"""Configuration, events and actions of the lease manager."""

from __future__ import annotations

from typing import NamedTuple, Union

from hollyridge.membership.rendezvous import MemberState


class LeaseConfig(NamedTuple):
    """Durations that govern the leases of a fleet, in microseconds.

    Attributes:
        duration_us: Time without an acknowledgment from the proxy after which its lease ends.
        settle_us: Minimum age of a member before proxies move to it, and of a lease before its proxy moves.
        move_period_us: Interval between two rounds of moves.
    """

    duration_us: int
    settle_us: int
    move_period_us: int


class LeaseRequested(NamedTuple):
    """A proxy requests a lease.

    Attributes:
        uid: Name of the proxy.
        zone: Zone of the proxy; empty if unknown.
        fencing_token: Number of the request, above the numbers of all earlier requests of this proxy.
        fallback_request: Whether the proxy could not reach the member that it was forwarded to.
    """

    uid: str
    zone: str
    fencing_token: int
    fallback_request: bool


class TokenAcknowledged(NamedTuple):
    """A proxy has sent an acknowledgment.

    Attributes:
        uid: Name of the proxy.
        fencing_token: Token of the proxy's newest request, to whichever member it was sent.
    """

    uid: str
    fencing_token: int


class ProxyDisconnected(NamedTuple):
    """The connection of a proxy has ended."""

    uid: str


class MembersChanged(NamedTuple):
    """The set of live members has changed; `members` holds all of them by name, this member included."""

    members: dict[str, MemberState]


class ClaimsReceived(NamedTuple):
    """Another member has sent part of the list of proxies that it claims.

    Attributes:
        member: Name of that member.
        claims: Pairs of proxy and fencing token.
        starts_list: Whether this part is the first of a new list, which replaces the previous one.
    """

    member: str
    claims: tuple[tuple[str, int], ...]
    starts_list: bool


class Tick(NamedTuple):
    """Time has passed."""


class LeaseGranted(NamedTuple):
    """This member owns the proxy, with this fencing token."""

    uid: str
    fencing_token: int


class StaleToken(NamedTuple):
    """The request is older than one that has been answered already and needs no answer."""

    uid: str


class ForwardProxy(NamedTuple):
    """Another member should own the proxy, which has to be redirected to it."""

    uid: str
    owner: str


class ReleaseProxy(NamedTuple):
    """This member has given up the proxy, whose stream has to be closed.

    Attributes:
        uid: Name of the proxy.
        reason: Reason for the log.
        new_owner: Member to which the proxy should connect; empty for any member.
    """

    uid: str
    reason: str
    new_owner: str = ""


class Disagreement(NamedTuple):
    """A proxy that two members claim, with the names of both."""

    uid: str
    first: str
    second: str


Event = Union[LeaseRequested, TokenAcknowledged, ProxyDisconnected, MembersChanged, ClaimsReceived, Tick]
Action = Union[LeaseGranted, StaleToken, ForwardProxy, ReleaseProxy]
