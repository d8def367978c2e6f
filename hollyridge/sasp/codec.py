"""Encoder and decoder of SASP version 1 (RFC 4678). No sockets.

A frame is a header component and one message component. `messages` defines the types and `components` the layout of
their components. This module exports the types too, so that users of the codec need one import.

>>> frame = encode(7, GetWeights((Group("gw-1", "read-chapter"),)))
>>> decode(frame)
(7, GetWeights(groups=(Group(uid='gw-1', name='read-chapter'),)))
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import NamedTuple

from hollyridge.sasp.components import (
    COMPONENT_HEAD,
    TWO_U8,
    U8,
    U16,
    Cursor,
    read_group,
    read_members_of,
    read_states_of,
    read_weights_of,
    write_component,
    write_group,
    write_members_of,
    write_short_text,
    write_states_of,
    write_weights_of,
)
from hollyridge.sasp.framing import HEADER, HEADER_TYPE, VERSION, Framer
from hollyridge.sasp.messages import (
    BalancerFlags,
    Code,
    Deregister,
    DeregisterReply,
    GetWeights,
    GetWeightsReply,
    Group,
    Member,
    MembersOf,
    Message,
    Register,
    RegisterReply,
    SaspError,
    SendWeights,
    SetBalancer,
    SetBalancerReply,
    SetMembers,
    SetMembersReply,
    State,
    StatesOf,
    Weight,
    WeightFlags,
    WeightsOf,
)

__all__ = [
    "HEADER",
    "BalancerFlags",
    "Code",
    "Deregister",
    "DeregisterReply",
    "Framer",
    "GetWeights",
    "GetWeightsReply",
    "Group",
    "Member",
    "MembersOf",
    "Message",
    "Register",
    "RegisterReply",
    "SaspError",
    "SendWeights",
    "SetBalancer",
    "SetBalancerReply",
    "SetMembers",
    "SetMembersReply",
    "State",
    "StatesOf",
    "Weight",
    "WeightFlags",
    "WeightsOf",
    "decode",
    "encode",
    "reply_to",
]

BY_BALANCER = 0x01  # flag of requests about members: sent by a load balancer, not by the member or its agent
FLAG_AND_COUNT = struct.Struct(">BH")
FLAG_REASON_COUNT = struct.Struct(">BBH")
CODE_INTERVAL_COUNT = struct.Struct(">BHH")


def _read_register(cursor: Cursor) -> Register:
    flag, count = cursor.read_fields(FLAG_AND_COUNT)
    return Register(bool(flag & BY_BALANCER), cursor.read_list(count, read_members_of))


def _write_register(message: Register) -> bytes:
    return FLAG_AND_COUNT.pack(message.by_balancer, len(message.groups)) + write_members_of(message.groups)


def _read_deregister(cursor: Cursor) -> Deregister:
    flag, reason, count = cursor.read_fields(FLAG_REASON_COUNT)
    return Deregister(bool(flag & BY_BALANCER), reason, cursor.read_list(count, read_members_of))


def _write_deregister(message: Deregister) -> bytes:
    head = FLAG_REASON_COUNT.pack(message.by_balancer, message.reason, len(message.groups))
    return head + write_members_of(message.groups)


def _read_get_weights(cursor: Cursor) -> GetWeights:
    return GetWeights(cursor.read_list(cursor.read_fields(U16)[0], read_group))


def _write_get_weights(message: GetWeights) -> bytes:
    return U16.pack(len(message.groups)) + b"".join(map(write_group, message.groups))


def _read_get_weights_reply(cursor: Cursor) -> GetWeightsReply:
    code, interval, count = cursor.read_fields(CODE_INTERVAL_COUNT)
    return GetWeightsReply(code, interval, cursor.read_list(count, read_weights_of))


def _write_get_weights_reply(message: GetWeightsReply) -> bytes:
    head = CODE_INTERVAL_COUNT.pack(message.code, message.interval, len(message.groups))
    return head + write_weights_of(message.groups)


def _read_send_weights(cursor: Cursor) -> SendWeights:
    return SendWeights(cursor.read_list(cursor.read_fields(U16)[0], read_weights_of))


def _write_send_weights(message: SendWeights) -> bytes:
    return U16.pack(len(message.groups)) + write_weights_of(message.groups)


def _read_set_balancer(cursor: Cursor) -> SetBalancer:
    uid = cursor.short_text()
    health, flags = cursor.read_fields(TWO_U8)
    return SetBalancer(uid, health, flags)


def _write_set_balancer(message: SetBalancer) -> bytes:
    return write_short_text(message.uid) + TWO_U8.pack(message.health, message.flags)


def _read_set_members(cursor: Cursor) -> SetMembers:
    flag, count = cursor.read_fields(FLAG_AND_COUNT)
    return SetMembers(bool(flag & BY_BALANCER), cursor.read_list(count, read_states_of))


def _write_set_members(message: SetMembers) -> bytes:
    return FLAG_AND_COUNT.pack(message.by_balancer, len(message.groups)) + write_states_of(message.groups)


class MessageFormat(NamedTuple):
    """Functions that read and write the component body of one type of message."""

    message: type
    read: Callable[[Cursor], Message]
    write: Callable[..., bytes]


def _code_only_reply(message: type) -> MessageFormat:
    """Return the format of a reply that holds only a return code."""
    return MessageFormat(message, lambda cursor: message(cursor.read_fields(U8)[0]), lambda reply: U8.pack(reply.code))


FORMATS: dict[int, MessageFormat] = {
    0x1010: MessageFormat(Register, _read_register, _write_register),
    0x1015: _code_only_reply(RegisterReply),
    0x1020: MessageFormat(Deregister, _read_deregister, _write_deregister),
    0x1025: _code_only_reply(DeregisterReply),
    0x1030: MessageFormat(GetWeights, _read_get_weights, _write_get_weights),
    0x1035: MessageFormat(GetWeightsReply, _read_get_weights_reply, _write_get_weights_reply),
    0x1040: MessageFormat(SendWeights, _read_send_weights, _write_send_weights),
    0x1050: MessageFormat(SetBalancer, _read_set_balancer, _write_set_balancer),
    0x1055: _code_only_reply(SetBalancerReply),
    0x1060: MessageFormat(SetMembers, _read_set_members, _write_set_members),
    0x1065: _code_only_reply(SetMembersReply),
}
TYPE_OF_MESSAGE = {message_format.message: message_type for message_type, message_format in FORMATS.items()}
REPLY_TO_TYPE: dict[int, Callable[[int], Message]] = {
    0x1010: RegisterReply,
    0x1020: DeregisterReply,
    0x1030: lambda code: GetWeightsReply(code, 0, ()),
    0x1050: SetBalancerReply,
    0x1060: SetMembersReply,
}


def encode(number: int, message: Message) -> bytes:
    """Return the frame of a message.

    Raises:
        ValueError: A text, a component or the message is too long for its length field.
    """
    message_type = TYPE_OF_MESSAGE[type(message)]
    body = write_component(message_type, FORMATS[message_type].write(message))
    return HEADER.pack(HEADER_TYPE, HEADER.size, VERSION, HEADER.size + len(body), number) + body


def reply_to(message: Message, code: int) -> Message:
    """Return the reply to a request that holds only a return code.

    >>> reply_to(GetWeights(()), Code.UNKNOWN_GROUP)
    GetWeightsReply(code=<Code.UNKNOWN_GROUP: 66>, interval=0, groups=())
    """
    return REPLY_TO_TYPE[TYPE_OF_MESSAGE[type(message)]](code)


def decode(frame: bytes) -> tuple[int, Message]:
    """Return the message id and the message of a whole frame.

    Raises:
        SaspError: The frame can't be decoded. The error holds a reply for the sender only if the frame is a known
            request with malformed content.
    """
    number = HEADER.unpack_from(frame)[4]
    message_type = COMPONENT_HEAD.unpack_from(frame, HEADER.size)[0]
    message_format = FORMATS.get(message_type)
    if message_format is None:
        raise SaspError(f"unknown SASP message type {message_type:#06x}")
    try:
        cursor = Cursor(frame, HEADER.size, len(frame))
        body = cursor.component(message_type)
        message = message_format.read(body)
        body.expect_end()
        cursor.expect_end()
    except SaspError as error:
        make_reply = REPLY_TO_TYPE.get(message_type)
        reply = encode(number, make_reply(Code.NOT_UNDERSTOOD)) if make_reply else None
        raise SaspError(str(error), reply) from None
    return number, message
