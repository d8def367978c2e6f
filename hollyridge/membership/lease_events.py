"""What the lease manager is configured with, what it is notified of, and the actions that it returns."""

from __future__ import annotations

from typing import NamedTuple, Union

from hollyridge.membership.rendezvous import MemberState


class LeaseConfig(NamedTuple):
    """Durations of one fleet's leases.

    Attributes:
        duration_us: A lease ends when its proxy has been silent for so long.
        settle_us: How long a member, or a lease, must have lasted before proxies move for it.
        move_period_us: Between two rounds of moves.
    """

    duration_us: int
    settle_us: int
    move_period_us: int


class ProxyAsked(NamedTuple):
    """A proxy requests to be served.

    Attributes:
        uid: The proxy.
        zone: Its zone; empty if unknown.
        fencing_token: Number of the request, above those of all its earlier ones.
        fallback_request: Whether it could not reach the member that it was forwarded to.
    """

    uid: str
    zone: str
    fencing_token: int
    fallback_request: bool


class TokenAcknowledged(NamedTuple):
    """A proxy has acknowledged; `fencing_token` is that of its newest request, whoever it went to."""

    uid: str
    fencing_token: int


class ProxyEnded(NamedTuple):
    """The connection of a proxy has ended."""

    uid: str


class MembersChanged(NamedTuple):
    """The members that are alive now, by name, this one included."""

    members: dict[str, MemberState]


class ClaimsReceived(NamedTuple):
    """Proxies that another member claims, with their fencing tokens; `starts_list` begins a new list."""

    member: str
    claims: tuple[tuple[str, int], ...]
    starts_list: bool


class Tick(NamedTuple):
    """Time has passed."""


class LeaseGranted(NamedTuple):
    """The proxy is this member's, under this fencing token."""

    uid: str
    fencing_token: int


class StaleToken(NamedTuple):
    """The request is older than one that was answered already; nothing is to be done."""

    uid: str


class ForwardProxy(NamedTuple):
    """The proxy should be owned by another member, and is to ask there."""

    uid: str
    owner: str


class ReleaseProxy(NamedTuple):
    """The proxy is this member's no more; its stream is to end.

    Attributes:
        uid: The proxy.
        reason: For the log.
        new_owner: Where it should ask; empty for any member.
    """

    uid: str
    reason: str
    new_owner: str = ""


class Disagreement(NamedTuple):
    """Two members claim one proxy."""

    uid: str
    first: str
    second: str


Event = Union[ProxyAsked, TokenAcknowledged, ProxyEnded, MembersChanged, ClaimsReceived, Tick]
Action = Union[LeaseGranted, StaleToken, ForwardProxy, ReleaseProxy]
