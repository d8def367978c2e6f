"""How assigners that share a fleet use SASP without changing it: a group that only clients which know it name.

A load balancer registers the group `.owner/NUMBER/INSIST` before its own ones: the number of its request, and 1 if the
assigner it was redirected to could not be reached. A service that shares no fleet refuses that group, which does no
harm. One that does sends, ahead of its weights, one entry of the group `.owner`, quiesced and of weight 0, so that no
RPC could ever be sent there: its address carries the fencing token (`fd`, seven bytes of zero, eight of the token) and
its port the lease in tenths of a second, or else it is the address of another service that should be asked. From then
on the load balancer sends Set LB State a few times a lease: a heartbeat both ways.
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
MAX_LEASE_TICKS = 0xFFFF  # it travels as a port
MAX_OWNER_CHARS = 64


class Owned(NamedTuple):
    """The assigner owns the load balancer.

    Attributes:
        fence: Fencing token; messages under another one are not to be applied.
        lease_s: How long the claim holds without a renewal.
        owner: Name of the assigner.
    """

    fence: int
    lease_s: float
    owner: str = ""


class Redirected(NamedTuple):
    """Another service should be asked, at `address` (`host:port`)."""

    address: str


OwnershipReply = Union[Owned, Redirected]


def write_request(uid: str, number: int, insist: bool) -> Register:
    """The registration by which a load balancer asks to be owned."""
    return Register(True, (MembersOf(Group(uid, f"{GROUP_NAME}/{number}/{int(insist)}"), ()),))


def read_request(group_name: str) -> OwnershipRequest | None:
    """The request in the name of a group, None if there is none.

    >>> read_request(write_request("gw", 7, True).groups[0].group.name)
    OwnershipRequest(number=7, insist=True)
    >>> read_request("read"), read_request(".owner/x/1")
    (None, None)
    """
    name, _, rest = group_name.partition("/")
    digits, _, insist = rest.partition("/")
    if name != GROUP_NAME or not digits.isdigit() or insist not in ("0", "1"):
        return None
    number = int(digits)
    return OwnershipRequest(number, insist == "1") if 0 < number <= MAX_NUMBER else None


def write_reply(uid: str, reply: OwnershipReply) -> WeightsOf:
    """The group that tells a load balancer who owns it.

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
    """Who owns the load balancer, None if these groups do not tell."""
    for group, weights in groups:
        if group.name == GROUP_NAME and weights:
            member = weights[0].member
            if member.address.startswith(TOKEN_PREFIX):
                fence = int.from_bytes(member.address[len(TOKEN_PREFIX) :], "big")
                return Owned(fence, member.port / LEASE_TICKS_PER_S, member.label)
            return Redirected(f"{member.host}:{member.port}")
    return None
