"""Ownership extension of SASP for assigners that share a fleet.

The extension leaves the protocol unchanged: it uses a group that only clients with this extension register. A load
balancer registers the group `.owner/NUMBER/INSIST` before its own groups. NUMBER is the number of its ownership
request; INSIST is 1 if the assigner that it was redirected to could not be reached. A service that shares no fleet
refuses that group, which does no harm.

A service that shares a fleet sends one entry of the group `.owner` ahead of its weights. The entry is quiesced and has
weight 0, so that no RPC is ever sent there. Either its address carries the fencing token (the byte `fd`, seven zero
bytes, eight bytes of the token) and its port the lease in tenths of a second, or it is the address of the service that
the load balancer should connect to instead. From then on, the load balancer sends Set LB State a few times per lease,
which serves as a heartbeat in both directions.
"""

from __future__ import annotations

from typing import NamedTuple, Union

from hollyridge.membership.fencing import OwnershipRequest
from hollyridge.sasp.codec import Group, Member, MembersOf, Register, Weight, WeightFlags, WeightsOf

GROUP_NAME = ".owner"
TOKEN_PREFIX = b"\xfd" + b"\0" * 7  # marks an address that carries a fencing token
TOKEN_BYTES = 8
MAX_NUMBER = (1 << 63) - 1
LEASE_TICKS_PER_S = 10
MAX_LEASE_TICKS = 0xFFFF  # the lease is encoded as a port number
MAX_OWNER_CHARS = 64


class Owned(NamedTuple):
    """Reply of the assigner that owns the load balancer.

    Attributes:
        fence: Fencing token; messages under another token must not be applied.
        lease_s: Time for which the claim is valid without a renewal, in seconds.
        owner: Name of the assigner.
    """

    fence: int
    lease_s: float
    owner: str = ""


class Redirected(NamedTuple):
    """Redirect to another service at `address` (`host:port`)."""

    address: str


OwnershipReply = Union[Owned, Redirected]


def write_request(uid: str, number: int, insist: bool) -> Register:
    """Return the registration that carries a load balancer's ownership request."""
    return Register(True, (MembersOf(Group(uid, f"{GROUP_NAME}/{number}/{int(insist)}"), ()),))


def read_request(group_name: str) -> OwnershipRequest | None:
    """Return the ownership request in the name of a group, None if there is none.

    >>> read_request(write_request("gw", 7, True).groups[0].group.name)
    OwnershipRequest(number=7, insist=True)
    >>> read_request("read"), read_request(".owner/x/1")
    (None, None)
    """
    name, _, parameters = group_name.partition("/")
    digits, _, insist = parameters.partition("/")
    if name != GROUP_NAME or not digits.isdigit() or insist not in ("0", "1"):
        return None
    number = int(digits)
    return OwnershipRequest(number, insist == "1") if 0 < number <= MAX_NUMBER else None


def write_reply(uid: str, reply: OwnershipReply) -> WeightsOf:
    """Return the group that carries the reply to a load balancer's ownership request.

    >>> read_reply((write_reply("gw", Owned(9, 3.0, "a")),))
    Owned(fence=9, lease_s=3.0, owner='a')
    >>> read_reply((write_reply("gw", Redirected("127.0.0.1:3861")),))
    Redirected(address='127.0.0.1:3861')
    """
    if isinstance(reply, Owned):
        lease_ticks = min(round(reply.lease_s * LEASE_TICKS_PER_S), MAX_LEASE_TICKS)
        token = reply.fence.to_bytes(TOKEN_BYTES, "big")
        member = Member(TOKEN_PREFIX + token, lease_ticks, 0, reply.owner[:MAX_OWNER_CHARS])
    else:
        host, _, port = reply.address.rpartition(":")
        member = Member.at(host.strip("[]"), int(port), protocol=0)
    return WeightsOf(Group(uid, GROUP_NAME), (Weight(member, 0, int(WeightFlags.QUIESCE)),))


def read_reply(groups: tuple[WeightsOf, ...]) -> OwnershipReply | None:
    """Return the ownership reply in these groups, None if there is none."""
    for group, weights in groups:
        if group.name == GROUP_NAME and weights:
            member = weights[0].member
            if member.address.startswith(TOKEN_PREFIX):
                fence = int.from_bytes(member.address[len(TOKEN_PREFIX) :], "big")
                return Owned(fence, member.port / LEASE_TICKS_PER_S, member.label)
            return Redirected(f"{member.host}:{member.port}")
    return None
