"""Encoder and decoder of SASP components: u16 type, u16 length of the whole component, body.

The layouts follow RFC 4678 as generally known; `docs/sasp.md` lists how certain each of them is. Each doubtful layout
is confined to one constant or one pair of functions in this module.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from typing import TypeVar

from hollyridge.sasp.messages import Group, Member, MembersOf, SaspError, State, StatesOf, Weight, WeightsOf

MEMBER_TYPE, GROUP_TYPE, WEIGHT_TYPE, STATE_TYPE = 0x3010, 0x3011, 0x3012, 0x3013
MEMBERS_OF_TYPE, WEIGHTS_OF_TYPE, STATES_OF_TYPE = 0x4010, 0x4011, 0x4012
MAX_COMPONENT_BYTES = 0xFFFF  # the length field has 16 bits
MAX_TEXT_BYTES = 0xFF  # the length field has 8 bits

U8, U16, TWO_U8 = struct.Struct(">B"), struct.Struct(">H"), struct.Struct(">BB")
COMPONENT_HEAD = struct.Struct(">HH")  # type, length
MEMBER_FIELDS = struct.Struct(">BH16sB")  # protocol, port, address, length of the label
WEIGHT_FIELDS = struct.Struct(">BBH")  # state, flags, weight

Read = TypeVar("Read")


class Cursor:
    """Reader of a bounded range of bytes; reading past its end raises SaspError."""

    def __init__(self, raw: bytes, position: int, end: int) -> None:
        self.raw = raw
        self.position = position
        self.end = end

    def read_fields(self, layout: struct.Struct) -> tuple:
        """Read the next fields."""
        if self.position + layout.size > self.end:
            raise SaspError(f"{self.end - self.position} bytes left in the component, expected fields of {layout.size}")
        fields = layout.unpack_from(self.raw, self.position)
        self.position += layout.size
        return fields

    def text(self, size_bytes: int) -> str:
        """Read the next text, `size_bytes` long."""
        if self.position + size_bytes > self.end:
            raise SaspError(f"text of {size_bytes} bytes, {self.end - self.position} bytes left in its component")
        raw = self.raw[self.position : self.position + size_bytes]
        self.position += size_bytes
        try:
            return raw.decode("utf-8")
        except UnicodeDecodeError:
            raise SaspError(f"text of {size_bytes} bytes is not valid UTF-8") from None

    def short_text(self) -> str:
        """Read the next text, which follows its length."""
        return self.text(self.read_fields(U8)[0])

    def component(self, expected_type: int) -> Cursor:
        """Return a cursor over the body of the next component, which must be of the expected type."""
        start = self.position
        found_type, size = self.read_fields(COMPONENT_HEAD)
        if found_type != expected_type:
            raise SaspError(f"component type {found_type:#06x}, expected {expected_type:#06x}")
        if size < COMPONENT_HEAD.size or start + size > self.end:
            raise SaspError(
                f"component {expected_type:#06x} has a length of {size}, "
                f"expected {COMPONENT_HEAD.size} to {self.end - start} bytes"
            )
        self.position = start + size
        return Cursor(self.raw, start + COMPONENT_HEAD.size, start + size)

    def read_list(self, count: int, read: Callable[[Cursor], Read]) -> tuple[Read, ...]:
        """Read `count` components; reject a count that exceeds the bytes left before building anything from it."""
        if count * COMPONENT_HEAD.size > self.end - self.position:
            raise SaspError(f"count of {count} components, but only {self.end - self.position} bytes follow")
        return tuple(read(self) for _ in range(count))

    def expect_end(self) -> None:
        """Raise SaspError if bytes are left."""
        if self.position != self.end:
            raise SaspError(f"{self.end - self.position} unexpected bytes after the last field of a component")


def write_component(component_type: int, body: bytes) -> bytes:
    """Return the component with this body; raise ValueError if it is too long for its length field."""
    size = COMPONENT_HEAD.size + len(body)
    if size > MAX_COMPONENT_BYTES:
        raise ValueError(f"component {component_type:#06x} has {size} bytes, expected {MAX_COMPONENT_BYTES} at most")
    return COMPONENT_HEAD.pack(component_type, size) + body


def write_short_text(text: str) -> bytes:
    """Return a text after its length; raise ValueError if it is too long for its length field."""
    raw = text.encode()
    if len(raw) > MAX_TEXT_BYTES:
        raise ValueError(f"text has {len(raw)} bytes, expected {MAX_TEXT_BYTES} at most")
    return bytes((len(raw),)) + raw


def read_member(cursor: Cursor) -> Member:
    """Read Member Data."""
    body = cursor.component(MEMBER_TYPE)
    protocol, port, address, label_bytes = body.read_fields(MEMBER_FIELDS)
    label = body.text(label_bytes)
    body.expect_end()
    return Member(address, port, protocol, label)


def write_member(member: Member) -> bytes:
    """Write Member Data."""
    label = member.label.encode()
    if len(label) > MAX_TEXT_BYTES:
        raise ValueError(f"member label has {len(label)} bytes, expected {MAX_TEXT_BYTES} at most")
    fields = MEMBER_FIELDS.pack(member.protocol, member.port, member.address, len(label))
    return write_component(MEMBER_TYPE, fields + label)


def read_group(cursor: Cursor) -> Group:
    """Read Group Data."""
    body = cursor.component(GROUP_TYPE)
    uid = body.short_text()
    name = body.short_text()
    body.expect_end()
    return Group(uid, name)


def write_group(group: Group) -> bytes:
    """Write Group Data."""
    return write_component(GROUP_TYPE, write_short_text(group.uid) + write_short_text(group.name))


def read_weight(cursor: Cursor) -> Weight:
    """Read Weight Entry Data."""
    body = cursor.component(WEIGHT_TYPE)
    member = read_member(body)
    state, flags, weight = body.read_fields(WEIGHT_FIELDS)
    body.expect_end()
    return Weight(member, weight, flags, state)


def write_weight(entry: Weight) -> bytes:
    """Write Weight Entry Data."""
    fields = WEIGHT_FIELDS.pack(entry.state, entry.flags, entry.weight)
    return write_component(WEIGHT_TYPE, write_member(entry.member) + fields)


def read_state(cursor: Cursor) -> State:
    """Read Member State Data."""
    body = cursor.component(STATE_TYPE)
    member = read_member(body)
    state, quiesce = body.read_fields(TWO_U8)
    body.expect_end()
    return State(member, bool(quiesce), state)


def write_state(entry: State) -> bytes:
    """Write Member State Data."""
    return write_component(STATE_TYPE, write_member(entry.member) + TWO_U8.pack(entry.state, entry.quiesce))


def _make_reader(component_type: int, read_entry: Callable, build: Callable[[Group, tuple], Read]) -> Callable:
    """Return a reader of a component that holds a group and a counted list of entries."""

    def read_component(cursor: Cursor) -> Read:
        body = cursor.component(component_type)
        (count,) = body.read_fields(U16)
        group = read_group(body)
        entries = body.read_list(count, read_entry)
        body.expect_end()
        return build(group, entries)

    return read_component


read_members_of = _make_reader(MEMBERS_OF_TYPE, read_member, MembersOf)
read_weights_of = _make_reader(WEIGHTS_OF_TYPE, read_weight, WeightsOf)
read_states_of = _make_reader(STATES_OF_TYPE, read_state, StatesOf)


def _write_list(component_type: int, write_entry: Callable, batch: tuple) -> bytes:
    group, entries = batch
    body = U16.pack(len(entries)) + write_group(group) + b"".join(map(write_entry, entries))
    return write_component(component_type, body)


def write_members_of(batches: Iterable[MembersOf]) -> bytes:
    """Write each Group of Member Data."""
    return b"".join(_write_list(MEMBERS_OF_TYPE, write_member, batch) for batch in batches)


def write_weights_of(batches: Iterable[WeightsOf]) -> bytes:
    """Write each Group of Weight Entry Data."""
    return b"".join(_write_list(WEIGHTS_OF_TYPE, write_weight, batch) for batch in batches)


def write_states_of(batches: Iterable[StatesOf]) -> bytes:
    """Write each Group of Member State Data."""
    return b"".join(_write_list(STATES_OF_TYPE, write_state, batch) for batch in batches)
