"""SASP version 1 as bytes (RFC 4678): frames, messages and components, both ways. No sockets.

Everything is a component: u16 type, u16 length of the whole component, body. A frame is a header
component and one message component. Layouts follow the RFC as generally known; the doubtful values are
the named constants below, and `docs/sasp.md` says how certain each is.

>>> frame = encode(7, GetWeights((Group("gw-1", "read-chapter"),)))
>>> decode(frame)
(7, GetWeights(groups=(Group(uid='gw-1', name='read-chapter'),)))
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Callable, Iterator
from enum import IntEnum, IntFlag
from functools import lru_cache
from typing import NamedTuple, Union

PORT = 3860
VERSION = 1
HEADER_TYPE = 0x2010
MEMBER_TYPE, GROUP_TYPE, WEIGHT_TYPE, STATE_TYPE = 0x3010, 0x3011, 0x3012, 0x3013
MEMBERS_OF_TYPE, WEIGHTS_OF_TYPE, STATES_OF_TYPE = 0x4010, 0x4011, 0x4012
BY_BALANCER = 0x01  # in requests about members: a load balancer speaks, not the member or its agent
HEADER = struct.Struct(">HHBII")
_PART = struct.Struct(">HH")
_MEMBER = struct.Struct(">BH16sB")
_WEIGHT = struct.Struct(">BBH")


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
    """Flags of Set LB State."""

    PUSH = 0x80
    TRUST = 0x40
    NO_CHANGE = 0x20  # only entries that changed are to be sent


class WeightFlags(IntFlag):
    """Flags of a weight entry."""

    CONTACT = 0x80
    QUIESCE = 0x40
    REGISTERED_BY_BALANCER = 0x20
    CONFIDENT = 0x10


class SaspError(Exception):
    """What came in is no SASP message. `reply` is the answer owed to the sender, None where the stream
    can't be read on and is to be closed."""

    def __init__(self, why: str, reply: bytes | None = None) -> None:
        super().__init__(why)
        self.reply = reply


@lru_cache(maxsize=65536)
def _host(address: bytes) -> str:
    ip = ipaddress.IPv6Address(address)
    return str(ip.ipv4_mapped or ip)


class Member(NamedTuple):
    """A task's address. `protocol` is the IP protocol number (6: TCP), `address` 16 bytes, IPv4 mapped."""

    address: bytes
    port: int
    protocol: int = 6
    label: str = ""

    @classmethod
    def at(cls, host: str, port: int, label: str = "", protocol: int = 6) -> Member:
        """From text; ValueError if `host` is no address.

        >>> Member.at("127.1.0.5", 9000).host
        '127.1.0.5'
        >>> Member.at("::1", 9000).host
        '::1'
        """
        ip = ipaddress.ip_address(host)
        raw = ip.packed if ip.version == 6 else b"\0" * 10 + b"\xff\xff" + ip.packed
        return cls(raw, port, protocol, label)

    @property
    def host(self) -> str:
        return _host(self.address)

    @property
    def key(self) -> tuple[bytes, int, int]:
        """What tells members apart; a label does not."""
        return self.address, self.port, self.protocol


class Group(NamedTuple):
    uid: str
    name: str


class MembersOf(NamedTuple):
    group: Group
    members: tuple[Member, ...]


class Weight(NamedTuple):
    member: Member
    weight: int
    flags: int = WeightFlags.CONTACT
    state: int = 0


class WeightsOf(NamedTuple):
    group: Group
    weights: tuple[Weight, ...]


class State(NamedTuple):
    member: Member
    quiesce: bool
    state: int = 0


class StatesOf(NamedTuple):
    group: Group
    states: tuple[State, ...]


class Register(NamedTuple):
    by_balancer: bool
    groups: tuple[MembersOf, ...]


class Deregister(NamedTuple):
    """No members in a group means all that the sender may take out of it."""

    by_balancer: bool
    reason: int
    groups: tuple[MembersOf, ...]


class GetWeights(NamedTuple):
    groups: tuple[Group, ...]


class GetWeightsReply(NamedTuple):
    code: int
    interval: int
    groups: tuple[WeightsOf, ...]


class SendWeights(NamedTuple):
    groups: tuple[WeightsOf, ...]


class SetBalancer(NamedTuple):
    uid: str
    health: int
    flags: int


class SetMembers(NamedTuple):
    by_balancer: bool
    groups: tuple[StatesOf, ...]


class RegisterReply(NamedTuple):
    code: int


class DeregisterReply(NamedTuple):
    code: int


class SetBalancerReply(NamedTuple):
    code: int


class SetMembersReply(NamedTuple):
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


class _Cursor:
    """A bounded walk over bytes; whatever would run past the end is an error."""

    def __init__(self, raw: bytes, at: int, end: int) -> None:
        self.raw, self.at, self.end = raw, at, end

    def take(self, shape: struct.Struct) -> tuple:
        if self.at + shape.size > self.end:
            raise SaspError("a component ends before its fields do")
        fields = shape.unpack_from(self.raw, self.at)
        self.at += shape.size
        return fields

    def text(self, size: int) -> str:
        if self.at + size > self.end:
            raise SaspError("a text runs past its component")
        raw = self.raw[self.at : self.at + size]
        self.at += size
        try:
            return raw.decode("utf-8")
        except UnicodeDecodeError:
            raise SaspError("a text is not UTF-8") from None

    def part(self, kind: int) -> _Cursor:
        """The next component, which must be of this type, as a walk of its own."""
        start = self.at
        found, size = self.take(_PART)
        if found != kind:
            raise SaspError(f"component {found:#06x} where {kind:#06x} belongs")
        if size < _PART.size or start + size > self.end:
            raise SaspError(f"component {kind:#06x} of {size} bytes does not fit")
        self.at = start + size
        return _Cursor(self.raw, start + _PART.size, start + size)

    def many(self, count: int, read: Callable[[_Cursor], object]) -> tuple:
        if count * _PART.size > self.end - self.at:  # refused before anything is built from a lying count
            raise SaspError(f"{count} components counted, too few bytes follow")
        return tuple(read(self) for _ in range(count))

    def done(self) -> None:
        if self.at != self.end:
            raise SaspError(f"{self.end - self.at} bytes are left over in a component")


_U8, _U16, _TWO = struct.Struct(">B"), struct.Struct(">H"), struct.Struct(">BB")
_FLAG_COUNT, _FLAG_REASON_COUNT, _REPLY = struct.Struct(">BH"), struct.Struct(">BBH"), struct.Struct(">BHH")


def _read_member(walk: _Cursor) -> Member:
    part = walk.part(MEMBER_TYPE)
    protocol, port, address, size = part.take(_MEMBER)
    label = part.text(size)
    part.done()
    return Member(address, port, protocol, label)


def _read_group(walk: _Cursor) -> Group:
    part = walk.part(GROUP_TYPE)
    uid = part.text(part.take(_U8)[0])
    name = part.text(part.take(_U8)[0])
    part.done()
    return Group(uid, name)


def _read_weight(walk: _Cursor) -> Weight:
    part = walk.part(WEIGHT_TYPE)
    member = _read_member(part)
    state, flags, weight = part.take(_WEIGHT)
    part.done()
    return Weight(member, weight, flags, state)


def _read_state(walk: _Cursor) -> State:
    part = walk.part(STATE_TYPE)
    member = _read_member(part)
    state, quiesce = part.take(_TWO)
    part.done()
    return State(member, bool(quiesce), state)


def _reader_of(kind: int, read: Callable, build: type) -> Callable[[_Cursor], object]:
    def read_all(walk: _Cursor):
        part = walk.part(kind)
        (count,) = part.take(_U16)
        group = _read_group(part)
        rows = part.many(count, read)
        part.done()
        return build(group, rows)

    return read_all


_read_members_of = _reader_of(MEMBERS_OF_TYPE, _read_member, MembersOf)
_read_weights_of = _reader_of(WEIGHTS_OF_TYPE, _read_weight, WeightsOf)
_read_states_of = _reader_of(STATES_OF_TYPE, _read_state, StatesOf)


def _part(kind: int, body: bytes) -> bytes:
    size = _PART.size + len(body)
    if size > 0xFFFF:
        raise ValueError(f"component {kind:#06x} of {size} bytes: 65535 at most")
    return _PART.pack(kind, size) + body


def _short(text: str) -> bytes:
    raw = text.encode()
    if len(raw) > 255:
        raise ValueError(f"{len(raw)} bytes of text: 255 at most")
    return bytes((len(raw),)) + raw


def _member(m: Member) -> bytes:
    label = m.label.encode()
    if len(label) > 255:
        raise ValueError(f"a label of {len(label)} bytes: 255 at most")
    return _part(MEMBER_TYPE, _MEMBER.pack(m.protocol, m.port, m.address, len(label)) + label)


def _group(g: Group) -> bytes:
    return _part(GROUP_TYPE, _short(g.uid) + _short(g.name))


def _weight(w: Weight) -> bytes:
    return _part(WEIGHT_TYPE, _member(w.member) + _WEIGHT.pack(w.state, w.flags, w.weight))


def _state(s: State) -> bytes:
    return _part(STATE_TYPE, _member(s.member) + _TWO.pack(s.state, s.quiesce))


def _all_of(kind: int, one: Callable, batch: tuple) -> bytes:
    group, rows = batch
    return _part(kind, _U16.pack(len(rows)) + _group(group) + b"".join(map(one, rows)))


def _members_of(rows: tuple[MembersOf, ...]) -> bytes:
    return b"".join(_all_of(MEMBERS_OF_TYPE, _member, row) for row in rows)


def _weights_of(rows: tuple[WeightsOf, ...]) -> bytes:
    return b"".join(_all_of(WEIGHTS_OF_TYPE, _weight, row) for row in rows)


def _read_register(walk: _Cursor) -> Register:
    flag, count = walk.take(_FLAG_COUNT)
    return Register(bool(flag & BY_BALANCER), walk.many(count, _read_members_of))


def _read_deregister(walk: _Cursor) -> Deregister:
    flag, reason, count = walk.take(_FLAG_REASON_COUNT)
    return Deregister(bool(flag & BY_BALANCER), reason, walk.many(count, _read_members_of))


def _read_get(walk: _Cursor) -> GetWeights:
    return GetWeights(walk.many(walk.take(_U16)[0], _read_group))


def _read_get_reply(walk: _Cursor) -> GetWeightsReply:
    code, interval, count = walk.take(_REPLY)
    return GetWeightsReply(code, interval, walk.many(count, _read_weights_of))


def _read_send(walk: _Cursor) -> SendWeights:
    return SendWeights(walk.many(walk.take(_U16)[0], _read_weights_of))


def _read_set_balancer(walk: _Cursor) -> SetBalancer:
    uid = walk.text(walk.take(_U8)[0])
    return SetBalancer(uid, *walk.take(_TWO))


def _read_set_members(walk: _Cursor) -> SetMembers:
    flag, count = walk.take(_FLAG_COUNT)
    return SetMembers(bool(flag & BY_BALANCER), walk.many(count, _read_states_of))


def _coded(build: type) -> tuple[Callable, Callable]:
    return (lambda walk: build(walk.take(_U8)[0])), (lambda m: _U8.pack(m.code))


_MESSAGES: dict[int, tuple[type, Callable, Callable]] = {
    0x1010: (
        Register,
        _read_register,
        lambda m: _FLAG_COUNT.pack(m.by_balancer, len(m.groups)) + _members_of(m.groups),
    ),
    0x1015: (RegisterReply, *_coded(RegisterReply)),
    0x1020: (
        Deregister,
        _read_deregister,
        lambda m: _FLAG_REASON_COUNT.pack(m.by_balancer, m.reason, len(m.groups)) + _members_of(m.groups),
    ),
    0x1025: (DeregisterReply, *_coded(DeregisterReply)),
    0x1030: (GetWeights, _read_get, lambda m: _U16.pack(len(m.groups)) + b"".join(map(_group, m.groups))),
    0x1035: (
        GetWeightsReply,
        _read_get_reply,
        lambda m: _REPLY.pack(m.code, m.interval, len(m.groups)) + _weights_of(m.groups),
    ),
    0x1040: (SendWeights, _read_send, lambda m: _U16.pack(len(m.groups)) + _weights_of(m.groups)),
    0x1050: (SetBalancer, _read_set_balancer, lambda m: _short(m.uid) + _TWO.pack(m.health, m.flags)),
    0x1055: (SetBalancerReply, *_coded(SetBalancerReply)),
    0x1060: (
        SetMembers,
        _read_set_members,
        lambda m: (
            _FLAG_COUNT.pack(m.by_balancer, len(m.groups))
            + b"".join(_all_of(STATES_OF_TYPE, _state, row) for row in m.groups)
        ),
    ),
    0x1065: (SetMembersReply, *_coded(SetMembersReply)),
}
_TYPE_OF = {build: kind for kind, (build, _, _) in _MESSAGES.items()}
_REPLY_TO = {
    0x1010: RegisterReply,
    0x1020: DeregisterReply,
    0x1030: lambda code: GetWeightsReply(code, 0, ()),
    0x1050: SetBalancerReply,
    0x1060: SetMembersReply,
}


def encode(number: int, message: Message) -> bytes:
    """A whole frame; ValueError where a text, a component or the message is too long for its length field."""
    kind = _TYPE_OF[type(message)]
    body = _part(kind, _MESSAGES[kind][2](message))
    return HEADER.pack(HEADER_TYPE, HEADER.size, VERSION, HEADER.size + len(body), number) + body


def reply_to(message: Message, code: int) -> Message:
    """The plain answer to a request, with a return code and nothing else.

    >>> reply_to(GetWeights(()), Code.UNKNOWN_GROUP)
    GetWeightsReply(code=<Code.UNKNOWN_GROUP: 66>, interval=0, groups=())
    """
    return _REPLY_TO[_TYPE_OF[type(message)]](code)


def frame_size(head: bytes, most: int) -> int:
    """Length of the frame that starts with these 13 bytes; SaspError if that is no header or over `most`."""
    kind, size, version, length, _ = HEADER.unpack(head)
    if kind != HEADER_TYPE or size != HEADER.size:
        raise SaspError(f"no SASP header (type {kind:#06x}, length {size})")
    if version != VERSION:
        raise SaspError(f"SASP version {version}, only {VERSION} is spoken")
    if not HEADER.size + _PART.size <= length <= most:
        raise SaspError(f"a message of {length} bytes ({most} at most)")
    return length


def decode(frame: bytes) -> tuple[int, Message]:
    """Number and message of a whole frame. A known request that is badly built raises SaspError with the
    reply owed; anything else that does not fit raises it without one."""
    number = HEADER.unpack_from(frame)[4]
    kind = _PART.unpack_from(frame, HEADER.size)[0]
    entry = _MESSAGES.get(kind)
    if entry is None:
        raise SaspError(f"unknown message type {kind:#06x}")
    try:
        walk = _Cursor(frame, HEADER.size, len(frame))
        part = walk.part(kind)
        message = entry[1](part)
        part.done()
        walk.done()
        return number, message
    except SaspError as trouble:
        answer = _REPLY_TO.get(kind)
        owed = encode(number, answer(Code.NOT_UNDERSTOOD)) if answer else None
        raise SaspError(str(trouble), owed) from None


class Framer:
    """Cuts a stream of bytes into whole frames; holds at most one frame of `most` bytes.

    >>> framer, frame = Framer(100), encode(1, SetBalancerReply(0))
    >>> [f == frame for chunk in (frame[:5], frame[5:] + frame) for f in framer.feed(chunk)]
    [True, True]
    """

    def __init__(self, most: int) -> None:
        self.most, self.held = most, bytearray()

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        self.held += chunk
        while len(self.held) >= HEADER.size:
            size = frame_size(bytes(self.held[: HEADER.size]), self.most)
            if len(self.held) < size:
                return
            frame = bytes(self.held[:size])
            del self.held[:size]
            yield frame

    @property
    def partial(self) -> bool:
        return bool(self.held)
