"""The Clustered Hashmap Protocol as message parts, and the key space that tables live in. No sockets.

Commands by RFC 12: ICANHAZ and its answer KVSYNC ... KTHXBAI on the snapshot socket (P), KVPUB and HUGZ on the
publisher (P + 1), KVSET on the collector (P + 2). Values are JSON objects that carry the version of this layout as
`v`; unknown members are kept out of the way, missing ones have the defaults below.

| key | value | |
| --- | --- | --- |
| `/proxy/UID/bind/METHOD` | `table` | which table a method's RPCs go by |
| `/proxy/UID/own` | `fence`, `by`, `lease` | whose orders these are, under which number (in a shared fleet) |
| `/proxy/UID/go` | `to`, `by` | another assigner should be asked, at `host:port` |
| `/table/N/line/HOST:PORT` | `w` | a line and its weight |
| `/table/N/level/MASK` | `amount`, `retry` | what part of the methods in the mask is let in, how tries go on |
| `.../head` | `epoch`, `version`, `seq`, `prev`, `count`, `total`, `beat` | ends what belongs together |
| `/out/all/HOST:PORT` | `out` | a task that nobody may send to, whatever the tables say |
| `/range/...` | | kept free for key ranges |

A change is the messages between two heads of its subtree: `count` of them came after the head `prev`. A head said
again with the same `seq` is a heartbeat.
"""

from __future__ import annotations

import struct
from typing import NamedTuple, Union

import msgspec

PORT = 5556  # of the snapshot socket; the RFC names none
LAYOUT = 1
OUT = "/out/all/"  # the subtree of withdrawals
PARTS_MOST, PART_MOST = 5, 4096  # of one message
_SEQUENCE = struct.Struct(">Q")
NO_SEQUENCE = _SEQUENCE.pack(0)


class ChpError(Exception):
    """What came in is no message of this protocol."""


class Icanhaz(NamedTuple):
    subtree: str


class Kvsync(NamedTuple):
    key: str
    sequence: int
    value: bytes


class Kthxbai(NamedTuple):
    sequence: int
    subtree: str


class Kvpub(NamedTuple):
    """An empty value takes the key out."""

    key: str
    sequence: int
    uuid: bytes
    properties: str
    value: bytes


class Kvset(NamedTuple):
    key: str
    uuid: bytes
    properties: str
    value: bytes


class Hugz(NamedTuple):
    pass


Message = Union[Icanhaz, Kvsync, Kthxbai, Kvpub, Kvset, Hugz]


class Head(msgspec.Struct):
    """The value of a subtree's head: `count` messages since `prev`, `total` keys in all; `beat`: ms between
    heartbeats."""

    epoch: str = ""
    version: int = 0
    seq: int = 0
    prev: int = 0
    count: int = 0
    total: int = 0
    beat: int = 1000
    v: int = LAYOUT


class Line(msgspec.Struct):
    w: float = 0.0
    v: int = LAYOUT


class Level(msgspec.Struct):
    amount: float = 1.0
    retry: int = 0
    v: int = LAYOUT


class Bind(msgspec.Struct):
    table: int
    v: int = LAYOUT


class Out(msgspec.Struct):
    out: bool = True
    v: int = LAYOUT


class Own(msgspec.Struct):
    """`lease` in ms."""

    fence: int = 0
    by: str = ""
    lease: int = 0
    v: int = LAYOUT


class Go(msgspec.Struct):
    to: str
    by: str = ""
    v: int = LAYOUT


class Ack(msgspec.Struct):
    """A proxy's word: the newest head it has applied, by subtree, and the number of its newest question."""

    epoch: str = ""
    seqs: dict[str, int] = {}
    asked: int = 0
    v: int = LAYOUT


json = msgspec.json.Encoder().encode
_DECODERS = {kind: msgspec.json.Decoder(kind) for kind in (Head, Line, Level, Bind, Ack, Own, Go)}


def value_of(kind: type, raw: bytes):
    """A value as its struct; CloneError for what does not fit.

    >>> value_of(Line, b'{"w": 0.5, "v": 9, "colour": "red"}').w
    0.5
    """
    try:
        return _DECODERS[kind].decode(raw)
    except msgspec.DecodeError as trouble:
        raise ChpError(f"a value that is no {kind.__name__}: {trouble}") from None


def encode(message: Message) -> list[bytes]:
    """
    >>> encode(Icanhaz("/table/0/"))
    [b'ICANHAZ?', b'/table/0/']
    """
    kind = type(message)
    if kind is Icanhaz:
        return [b"ICANHAZ?", message.subtree.encode()]
    if kind is Kvsync:
        return [message.key.encode(), _SEQUENCE.pack(message.sequence), b"", b"", message.value]
    if kind is Kthxbai:
        return [b"KTHXBAI", _SEQUENCE.pack(message.sequence), b"", b"", message.subtree.encode()]
    if kind is Kvpub:
        return [
            message.key.encode(),
            _SEQUENCE.pack(message.sequence),
            message.uuid,
            message.properties.encode(),
            message.value,
        ]
    if kind is Kvset:
        return [message.key.encode(), NO_SEQUENCE, message.uuid, message.properties.encode(), message.value]
    return [b"HUGZ", NO_SEQUENCE, b"", b"", b""]


def decode(parts: list[bytes], collector: bool = False) -> Message:
    """CloneError for what is no message. What comes from a collector is a KVSET, else the parts tell."""
    if len(parts) > PARTS_MOST or any(len(part) > PART_MOST for part in parts):
        raise ChpError("a message too long")
    try:
        if parts[0] == b"ICANHAZ?" and len(parts) == 2:
            return Icanhaz(parts[1].decode())
        if len(parts) != 5:
            raise ChpError(f"a message of {len(parts)} parts")
        name, number, uuid, properties, value = parts
        (sequence,) = _SEQUENCE.unpack(number)
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
    except (struct.error, UnicodeDecodeError, IndexError):
        raise ChpError("a message that does not add up") from None


class Question(NamedTuple):
    """What the routing id of a session says: the number of a proxy's question, and whether it pleads."""

    asked: int
    plea: bool


_QUESTION = struct.Struct(">BQ?")


def identity_of(question: Question, tail: bytes) -> bytes:
    """The routing id of a session that understands `own` and `go`.

    >>> question_of(identity_of(Question(9, True), b"random")), question_of(bytes(13))
    (Question(asked=9, plea=True), Question(asked=0, plea=False))
    """
    return _QUESTION.pack(2, question.asked, question.plea) + tail


def question_of(identity: bytes) -> Question:
    """Older clients name themselves otherwise: they number nothing."""
    if len(identity) < _QUESTION.size or identity[0] != 2:
        return Question(0, False)
    return Question(*_QUESTION.unpack_from(identity)[1:])


def uuid_of(epoch: str) -> bytes:
    """The 16 bytes that mark messages of one run of an assigner."""
    return epoch.encode()[:16].ljust(16, b"\0")


def subtree_of(key: str) -> str:
    """The subtree that a key belongs to: its first two steps.

    >>> subtree_of("/table/0/line/127.1.0.1:80"), subtree_of("/proxy/gw-1/head")
    ('/table/0/', '/proxy/gw-1/')
    """
    steps = key.split("/", 3)
    return "/".join(steps[:3]) + "/" if len(steps) > 3 else ""
