"""The Clustered Hashmap Protocol (ZeroMQ RFC 12) as message parts, and the key space that tables live in. No sockets.

Commands by RFC 12: ICANHAZ and its answer KVSYNC ... KTHXBAI on the snapshot socket (P), KVPUB and HUGZ on the
publisher (P + 1), KVSET on the collector (P + 2). Values are described in `values`, and offered here too.

| key | value | |
| --- | --- | --- |
| `/proxy/UID/bind/METHOD` | `table` | which table a method's RPCs go by |
| `/proxy/UID/own` | `fence`, `by`, `lease` | who owns the proxy, under which fencing token (in a shared fleet) |
| `/proxy/UID/go` | `to`, `by` | another assigner should be asked, at `host:port` |
| `/table/N/line/HOST:PORT` | `w` | a task and its weight |
| `/table/N/level/MASK` | `amount`, `retry` | admission of the methods in the mask, and how retries go on |
| `.../head` | `epoch`, `version`, `seq`, `prev`, `count`, `total`, `beat` | ends what belongs together |
| `/out/all/HOST:PORT` | `out` | a task that nobody may send to, whatever the tables hold |
| `/range/...` | | kept free for key ranges |

A change is the messages between two heads of its subtree: `count` of them came after the head `prev`. A head that is
sent again with the same `seq` is a heartbeat.
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
    "LAYOUT",
    "OUT",
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

OUT = "/out/all/"  # the subtree of ejected tasks
MAX_PARTS = 5  # of one message
MAX_PART_BYTES = 4096
ICANHAZ_PARTS = 2
OTHER_PARTS = 5
UUID_BYTES = 16
PROPERTIES = f"v={LAYOUT}\n"
SUBTREE_STEPS = 3  # "", kind, name
SEQUENCE = struct.Struct(">Q")
NO_SEQUENCE = SEQUENCE.pack(0)


class Icanhaz(NamedTuple):
    """ICANHAZ: asks for a snapshot."""

    subtree: str


class Kvsync(NamedTuple):
    """KVSYNC: one key of a snapshot."""

    key: str
    sequence: int
    value: bytes


class Kthxbai(NamedTuple):
    """KTHXBAI: the end of a snapshot."""

    sequence: int
    subtree: str


class Kvpub(NamedTuple):
    """KVPUB: one key of a change; an empty value deletes the key."""

    key: str
    sequence: int
    uuid: bytes
    properties: str
    value: bytes


class Kvset(NamedTuple):
    """KVSET: a key that a client sets."""

    key: str
    uuid: bytes
    properties: str
    value: bytes


class Hugz(NamedTuple):
    """HUGZ: the publisher's heartbeat."""


Message = Union[Icanhaz, Kvsync, Kthxbai, Kvpub, Kvset, Hugz]


def encode(message: Message) -> list[bytes]:
    """A message as its parts.

    >>> encode(Icanhaz("/table/0/"))
    [b'ICANHAZ?', b'/table/0/']
    """
    kind = type(message)
    if kind is Icanhaz:
        return [b"ICANHAZ?", message.subtree.encode()]
    if kind is Kvsync:
        return [message.key.encode(), SEQUENCE.pack(message.sequence), b"", b"", message.value]
    if kind is Kthxbai:
        return [b"KTHXBAI", SEQUENCE.pack(message.sequence), b"", b"", message.subtree.encode()]
    if kind is Kvpub:
        sequence = SEQUENCE.pack(message.sequence)
        return [message.key.encode(), sequence, message.uuid, message.properties.encode(), message.value]
    if kind is Kvset:
        return [message.key.encode(), NO_SEQUENCE, message.uuid, message.properties.encode(), message.value]
    return [b"HUGZ", NO_SEQUENCE, b"", b"", b""]


def decode(parts: list[bytes], collector: bool = False) -> Message:
    """The message of these parts; ChpError if there is none.

    What a collector receives is a KVSET if it has a key, else the parts tell what it is.
    """
    if len(parts) > MAX_PARTS or any(len(part) > MAX_PART_BYTES for part in parts):
        raise ChpError("a message too long")
    asks = len(parts) == ICANHAZ_PARTS and parts[0] == b"ICANHAZ?"
    if not asks and len(parts) != OTHER_PARTS:
        raise ChpError(f"a message of {len(parts)} parts")
    try:
        return Icanhaz(parts[1].decode()) if asks else _decode_five(parts, collector)
    except (struct.error, UnicodeDecodeError):
        raise ChpError("a message that does not add up") from None


def _decode_five(parts: list[bytes], collector: bool) -> Message:
    name, number, uuid, properties, value = parts
    (sequence,) = SEQUENCE.unpack(number)
    if name == b"HUGZ":
        return Hugz()
    if name == b"KTHXBAI":
        return Kthxbai(sequence, value.decode())
    key = name.decode()
    if not key.startswith("/"):
        raise ChpError("a key that is no path")
    if collector:
        return Kvset(key, uuid, properties.decode(), value)
    if uuid or properties:
        return Kvpub(key, sequence, uuid, properties.decode(), value)
    return Kvsync(key, sequence, value)


REQUEST = struct.Struct(">BQ?")  # kind of routing id, number, insist
REQUEST_KIND = 2  # no routing id made by older clients begins with it


def routing_id_of(request: OwnershipRequest, tail: bytes) -> bytes:
    """The routing id of a session that understands `own` and `go`.

    >>> request_of(routing_id_of(OwnershipRequest(9, True), b"random")), request_of(bytes(13))
    (OwnershipRequest(number=9, insist=True), OwnershipRequest(number=0, insist=False))
    """
    return REQUEST.pack(REQUEST_KIND, request.number, request.insist) + tail


def request_of(routing_id: bytes) -> OwnershipRequest:
    """The request in a routing id; older clients have other ids and number nothing."""
    if len(routing_id) < REQUEST.size or routing_id[0] != REQUEST_KIND:
        return OwnershipRequest()
    _, number, insist = REQUEST.unpack_from(routing_id)
    return OwnershipRequest(number, insist)


def uuid_of(epoch: str) -> bytes:
    """The 16 bytes that mark messages of one run of an assigner."""
    return epoch.encode()[:UUID_BYTES].ljust(UUID_BYTES, b"\0")


def subtree_of(key: str) -> str:
    """The subtree that a key belongs to: its first two steps.

    >>> subtree_of("/table/0/line/127.1.0.1:80"), subtree_of("/proxy/gw-1/head")
    ('/table/0/', '/proxy/gw-1/')
    """
    steps = key.split("/", SUBTREE_STEPS)
    return "/".join(steps[:SUBTREE_STEPS]) + "/" if len(steps) > SUBTREE_STEPS else ""


def subtree_of_message(message: Message) -> str:
    """The subtree that a message for a reader belongs to, empty if to none.

    >>> subtree_of_message(Kthxbai(7, "/table/0/")), subtree_of_message(Hugz())
    ('/table/0/', '')
    """
    if isinstance(message, Kthxbai):
        return message.subtree
    return subtree_of(message.key) if isinstance(message, (Kvsync, Kvpub)) else ""
