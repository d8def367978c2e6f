"""Types of SASP version 1 (RFC 4678): return codes, flags, components and messages. No bytes, no sockets.

Each message sent or received is one of the types in `Message`. The fields of each type are in the order in which the
codec passes them.
"""

from __future__ import annotations

import ipaddress
from enum import IntEnum, IntFlag
from functools import lru_cache
from typing import NamedTuple, Union

from hollyridge.errors import HollyridgeError

TCP_PROTOCOL = 6  # IP protocol number
IPV4_MAPPED_PREFIX = b"\0" * 10 + b"\xff\xff"


class Code(IntEnum):
    """Return codes of replies."""

    OK = 0x00
    NOT_UNDERSTOOD = 0x10
    NOT_FROM_YOU = 0x11
    ALREADY_REGISTERED = 0x40
    NOT_REGISTERED = 0x41
    UNKNOWN_GROUP = 0x42
    UNKNOWN_BALANCER = 0x43
    DUPLICATE_MEMBER = 0x44
    INVALID_GROUP = 0x45
    GROUP_NAME_SIZE = 0x50
    UID_SIZE = 0x51
    NOT_CONTACTED_YET = 0x61


class BalancerFlags(IntFlag):
    """Flags of Set LB State, by which a load balancer chooses how it receives weights."""

    PUSH = 0x80
    TRUST = 0x40
    NO_CHANGE = 0x20  # the load balancer wants only the entries that changed


class WeightFlags(IntFlag):
    """Flags of a weight entry, with the state of the member as the service knows it."""

    CONTACT = 0x80
    QUIESCE = 0x40
    REGISTERED_BY_BALANCER = 0x20
    CONFIDENT = 0x10


class SaspError(HollyridgeError):
    """Error for bytes that are not a valid SASP message.

    Attributes:
        reply: Frame that answers the sender; None if the stream can't be read further and has to be closed.
    """

    def __init__(self, reason: str, reply: bytes | None = None) -> None:
        super().__init__(reason)
        self.reply = reply


@lru_cache(maxsize=65536)
def address_text(address: bytes) -> str:
    """Return the text of a 16-byte address; an IPv4-mapped address is written as IPv4."""
    ip = ipaddress.IPv6Address(address)
    return str(ip.ipv4_mapped or ip)


class Member(NamedTuple):
    """Address of a task, with its label (Member Data).

    Attributes:
        address: IPv6 address, 16 bytes; an IPv4 address is mapped into IPv6.
        port: Port number.
        protocol: IP protocol number.
        label: Free text of the member, 255 bytes at most.
    """

    address: bytes
    port: int
    protocol: int = TCP_PROTOCOL
    label: str = ""

    @classmethod
    def at(cls, host: str, port: int, label: str = "", protocol: int = TCP_PROTOCOL) -> Member:
        """Create a member from the text of its address; raise ValueError if `host` is not an IP address.

        >>> Member.at("127.1.0.5", 9000).host
        '127.1.0.5'
        >>> Member.at("::1", 9000).host
        '::1'
        """
        ip = ipaddress.ip_address(host)
        raw = ip.packed if isinstance(ip, ipaddress.IPv6Address) else IPV4_MAPPED_PREFIX + ip.packed
        return cls(raw, port, protocol, label)

    @property
    def host(self) -> str:
        """Return the address as text."""
        return address_text(self.address)

    @property
    def key(self) -> tuple[bytes, int, int]:
        """Return the identity of the member (address, port, protocol), which does not include the label."""
        return self.address, self.port, self.protocol


class Group(NamedTuple):
    """Group of members, identified by the UID of its load balancer and its own name (Group Data)."""

    uid: str
    name: str


class MembersOf(NamedTuple):
    """A group and its members (Group of Member Data)."""

    group: Group
    members: tuple[Member, ...]


class Weight(NamedTuple):
    """Weight of one member (Weight Entry Data).

    Attributes:
        member: The member.
        weight: Weight as a 16-bit integer.
        flags: `WeightFlags` of the member.
        state: Opaque state of the member, one byte.
    """

    member: Member
    weight: int
    flags: int = WeightFlags.CONTACT
    state: int = 0


class WeightsOf(NamedTuple):
    """A group and its weights (Group of Weight Entry Data)."""

    group: Group
    weights: tuple[Weight, ...]


class State(NamedTuple):
    """State of one member (Member State Data); `quiesce` requests that it gets no new work."""

    member: Member
    quiesce: bool
    state: int = 0


class StatesOf(NamedTuple):
    """A group and the states of its members (Group of Member State Data)."""

    group: Group
    states: tuple[State, ...]


class Register(NamedTuple):
    """Registration Request of members or, from a load balancer, of the groups whose weights it wants."""

    by_balancer: bool
    groups: tuple[MembersOf, ...]


class Deregister(NamedTuple):
    """Deregistration Request; a group without members means all members that the sender may remove."""

    by_balancer: bool
    reason: int
    groups: tuple[MembersOf, ...]


class GetWeights(NamedTuple):
    """Get Weights Request."""

    groups: tuple[Group, ...]


class GetWeightsReply(NamedTuple):
    """Get Weights Reply; `interval` is the polling interval in seconds."""

    code: int
    interval: int
    groups: tuple[WeightsOf, ...]


class SendWeights(NamedTuple):
    """Send Weights, which the service pushes and the load balancer does not answer."""

    groups: tuple[WeightsOf, ...]


class SetBalancer(NamedTuple):
    """Set LB State Request; `flags` are `BalancerFlags`."""

    uid: str
    health: int
    flags: int


class SetMembers(NamedTuple):
    """Set Member State Request."""

    by_balancer: bool
    groups: tuple[StatesOf, ...]


class RegisterReply(NamedTuple):
    """Registration Reply."""

    code: int


class DeregisterReply(NamedTuple):
    """Deregistration Reply."""

    code: int


class SetBalancerReply(NamedTuple):
    """Set LB State Reply."""

    code: int


class SetMembersReply(NamedTuple):
    """Set Member State Reply."""

    code: int


Message = Union[
    Register,
    RegisterReply,
    Deregister,
    DeregisterReply,
    GetWeights,
    GetWeightsReply,
    SendWeights,
    SetBalancer,
    SetBalancerReply,
    SetMembers,
    SetMembersReply,
]
