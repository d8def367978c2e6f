"""Codec of the Clustered Hashmap Protocol (ZeroMQ RFC 12), and the keys under which tables are published. No sockets.

Commands of RFC 12: ICANHAZ and its reply KVSYNC ... KTHXBAI on the snapshot socket (port P), KVPUB and HUGZ on the
publisher (P + 1), KVSET on the collector (P + 2). `values` defines the values; this module exports them too.

| key | value | |
| --- | --- | --- |
| `/proxy/UID/bind/METHOD` | `table` | table that a method is bound to |
| `/proxy/UID/own` | `fence`, `by`, `lease` | owner of the proxy and its fencing token (in a shared fleet) |
| `/proxy/UID/go` | `to`, `by` | redirect to another assigner at `host:port` |
| `/table/N/line/HOST:PORT` | `w` | task and its weight |
| `/table/N/level/MASK` | `amount`, `retry` | admission level and retry mode of the methods in the mask |
| `.../head` | `epoch`, `version`, `seq`, `prev`, `count`, `total`, `beat` | end of a change of its subtree |
| `/out/all/HOST:PORT` | `out` | ejected task, which no proxy may send to, whatever its table holds |
| `/range/...` | | reserved for key ranges |

A change consists of the messages between two heads of its subtree: `count` messages follow the head `prev`. A head
that is sent again with the same `seq` is a heartbeat.
"""

from __future__ import annotations

import struct
from typing import NamedTuple, Union

from hollyridge.chp.values import (
    LAYOUT,
    Ack,
    Bind,
    ChpError,
    Go,
    Head,
    Level,
    Line,
    Out,
    Own,
    json,
    value_of,
)
from hollyridge.membership.fencing import OwnershipRequest

__all__ = [
    "EJECTED_SUBTREE",
    "LAYOUT",
    "PROPERTIES",
    "Ack",
    "Bind",
    "ChpError",
    "Go",
    "Head",
    "Hugz",
    "Icanhaz",
    "Kthxbai",
    "Kvpub",
    "Kvset",
    "Kvsync",
    "Level",
    "Line",
    "Message",
    "Out",
    "Own",
    "OwnershipRequest",
    "decode",
    "encode",
    "json",
    "request_of",
    "routing_id_of",
    "subtree_of",
    "subtree_of_message",
    "uuid_of",
    "value_of",
]

EJECTED_SUBTREE = "/out/all/"  # subtree of ejected tasks
MAX_PARTS = 5  # parts of one message
MAX_PART_BYTES = 4096
ICANHAZ_PARTS = 2
OTHER_PARTS = 5
UUID_BYTES = 16
PROPERTIES = f"v={LAYOUT}\n"
SUBTREE_SEGMENTS = 3  # path segments of a subtree: "", kind, name
SEQUENCE = struct.Struct(">Q")
NO_SEQUENCE = SEQUENCE.pack(0)


class Icanhaz(NamedTuple):
    """ICANHAZ, the request for a snapshot."""

    subtree: str


class Kvsync(NamedTuple):
    """KVSYNC, one key of a snapshot."""

    key: str
    sequence: int
    value: bytes


class Kthxbai(NamedTuple):
    """KTHXBAI, the end of a snapshot."""

    sequence: int
    subtree: str


class Kvpub(NamedTuple):
    """KVPUB, one key of a change; an empty value deletes the key."""

    key: str
    sequence: int
    uuid: bytes
    properties: str
    value: bytes


class Kvset(NamedTuple):
    """KVSET, a key that a client sets."""

    key: str
    uuid: bytes
    properties: str
    value: bytes


class Hugz(NamedTuple):
    """HUGZ, the heartbeat of the publisher."""


Message = Union[Icanhaz, Kvsync, Kthxbai, Kvpub, Kvset, Hugz]


def encode(message: Message) -> list[bytes]:
    """Return the parts of a message.

    >>> encode(Icanhaz("/table/0/"))
    [b'ICANHAZ?', b'/table/0/']
    """
    message_type = type(message)
    if message_type is Icanhaz:
        return [b"ICANHAZ?", message.subtree.encode()]
    if message_type is Kvsync:
        return [message.key.encode(), SEQUENCE.pack(message.sequence), b"", b"", message.value]
    if message_type is Kthxbai:
        return [b"KTHXBAI", SEQUENCE.pack(message.sequence), b"", b"", message.subtree.encode()]
    if message_type is Kvpub:
        sequence = SEQUENCE.pack(message.sequence)
        return [message.key.encode(), sequence, message.uuid, message.properties.encode(), message.value]
    if message_type is Kvset:
        return [message.key.encode(), NO_SEQUENCE, message.uuid, message.properties.encode(), message.value]
    return [b"HUGZ", NO_SEQUENCE, b"", b"", b""]


def decode(parts: list[bytes], collector: bool = False) -> Message:
    """Return the message of these parts; raise ChpError if they are invalid.

    Args:
        parts: Parts of the message.
        collector: Whether the collector received the message; there, a message with a key is a KVSET. Elsewhere the
            parts determine the type.
    """
    if len(parts) > MAX_PARTS or any(len(part) > MAX_PART_BYTES for part in parts):
        raise ChpError(f"message exceeds the limit of {MAX_PARTS} parts of {MAX_PART_BYTES} bytes")
    is_icanhaz = len(parts) == ICANHAZ_PARTS and parts[0] == b"ICANHAZ?"
    if not is_icanhaz and len(parts) != OTHER_PARTS:
        raise ChpError(f"message of {len(parts)} parts, expected {OTHER_PARTS}, or {ICANHAZ_PARTS} for ICANHAZ")
    try:
        return Icanhaz(parts[1].decode()) if is_icanhaz else _decode_five(parts, collector)
    except (struct.error, UnicodeDecodeError):
        raise ChpError(f"message has a sequence number not of {SEQUENCE.size} bytes or text not in UTF-8") from None


def _decode_five(parts: list[bytes], collector: bool) -> Message:
    name, sequence_bytes, uuid, properties, value = parts
    (sequence,) = SEQUENCE.unpack(sequence_bytes)
    if name == b"HUGZ":
        return Hugz()
    if name == b"KTHXBAI":
        return Kthxbai(sequence, value.decode())
    key = name.decode()
    if not key.startswith("/"):
        raise ChpError("key does not start with a slash")
    if collector:
        return Kvset(key, uuid, properties.decode(), value)
    if uuid or properties:
        return Kvpub(key, sequence, uuid, properties.decode(), value)
    return Kvsync(key, sequence, value)


ROUTING_ID_PREFIX = struct.Struct(">BQ?")  # kind of routing id, request number, insist
ROUTING_ID_KIND = 2  # no routing id of older clients begins with this byte


def routing_id_of(request: OwnershipRequest, random_bytes: bytes) -> bytes:
    """Return the routing id of a session that supports the keys `own` and `go`.

    >>> request_of(routing_id_of(OwnershipRequest(9, True), b"random")), request_of(bytes(13))
    (OwnershipRequest(number=9, insist=True), OwnershipRequest(number=0, insist=False))
    """
    return ROUTING_ID_PREFIX.pack(ROUTING_ID_KIND, request.number, request.insist) + random_bytes


def request_of(routing_id: bytes) -> OwnershipRequest:
    """Return the ownership request in a routing id, one without a number for the routing ids of older clients."""
    if len(routing_id) < ROUTING_ID_PREFIX.size or routing_id[0] != ROUTING_ID_KIND:
        return OwnershipRequest()
    _, number, insist = ROUTING_ID_PREFIX.unpack_from(routing_id)
    return OwnershipRequest(number, insist)


def uuid_of(epoch: str) -> bytes:
    """Return the 16 bytes that identify messages of one run of an assigner."""
    return epoch.encode()[:UUID_BYTES].ljust(UUID_BYTES, b"\0")


def subtree_of(key: str) -> str:
    """Return the subtree of a key, which is its first two path segments.

    >>> subtree_of("/table/0/line/127.1.0.1:80"), subtree_of("/proxy/gw-1/head")
    ('/table/0/', '/proxy/gw-1/')
    """
    segments = key.split("/", SUBTREE_SEGMENTS)
    return "/".join(segments[:SUBTREE_SEGMENTS]) + "/" if len(segments) > SUBTREE_SEGMENTS else ""


def subtree_of_message(message: Message) -> str:
    """Return the subtree of a message to a subscriber, empty if it belongs to none.

    >>> subtree_of_message(Kthxbai(7, "/table/0/")), subtree_of_message(Hugz())
    ('/table/0/', '')
    """
    if isinstance(message, Kthxbai):
        return message.subtree
    return subtree_of(message.key) if isinstance(message, (Kvsync, Kvpub)) else ""
