"""Packets between assigners: sealed, numbered, and heard once. No sockets.

    4 bytes "HRP1" | 16 bytes run | 8 bytes number | ChaCha20-Poly1305 of msgpack [kind, name, message]

The key of a run is derived from the fleet's key and the run's random name by HKDF, so a number is never used twice
under one key, whoever restarts. A packet of a run that is not known yet is not heard: its sender is asked to prove that
it is there now by sealing a random word, and only then do its packets count, each number once. So what was recorded of
an older run can't be played again, and no clock is believed.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from hollyridge.membership import messages

MAGIC = b"HRP1"
HEAD = struct.Struct(">4s16sQ")
MOST = 16_384  # bytes of a packet
WINDOW = 1024  # numbers below the highest that may still come
RUNS = 256  # that are remembered, and as many that are to prove themselves


class Challenge(NamedTuple):
    word: bytes


class ChallengeResponse(NamedTuple):
    word: bytes


KINDS = (
    Challenge,
    ChallengeResponse,
    messages.Ping,
    messages.Ack,
    messages.PingRequest,
    messages.Join,
    messages.FullState,
    messages.ClaimedProxies,
    messages.SharedEstimates,
)
_NUMBERS = {kind: number for number, kind in enumerate(KINDS)}
_DECODERS = [msgspec.msgpack.Decoder(kind) for kind in KINDS]
_ENCODER = msgspec.msgpack.Encoder()
_FRAME = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])


class PeerError(Exception):
    """What came in is no packet of this fleet."""


class OpenedPacket(NamedTuple):
    """`message` None where there is only `answer`, a packet to send back."""

    name: str
    message: messages.Message | None
    answer: bytes | None = None


class ReplayWindow:
    """The numbers of one run that have come."""

    __slots__ = ("highest", "bits")

    def __init__(self) -> None:
        self.highest, self.bits = 0, 0

    def first_time(self, number: int) -> bool:
        """
        >>> seen = ReplayWindow()
        >>> [seen.first_time(n) for n in (1, 3, 2, 3, 5000, 3, 4999)]
        [True, True, True, False, True, False, True]
        """
        if number > self.highest:
            self.bits = ((self.bits << min(number - self.highest, WINDOW)) | 1) & ((1 << WINDOW) - 1)
            self.highest = number
            return True
        back = self.highest - number
        if back >= WINDOW or self.bits >> back & 1:
            return False
        self.bits |= 1 << back
        return True


class PacketGuard:
    """One assigner's end of all its packets. `secret` is the fleet's key, `fresh(n)` gives n random bytes.

    >>> import os
    >>> a, b = PacketGuard(b"k" * 32, "a", os.urandom), PacketGuard(b"k" * 32, "b", os.urandom)
    >>> ping = a.seal(messages.Ping(1, "b", ()))
    >>> prove = b.open(ping).answer
    >>> proof = a.open(prove).answer
    >>> b.open(proof).message is None
    True
    >>> b.open(a.seal(messages.Ping(2, "b", ()))).message
    Ping(sequence=2, target='b', updates=())
    """

    def __init__(self, secret: bytes, name: str, fresh: Callable[[int], bytes]) -> None:
        if len(secret) < 32:
            raise ValueError("a key of 32 bytes at the least is wanted")
        self.secret, self.name, self.fresh = secret, name, fresh
        self.run = fresh(16)
        self.box = self.box_of(self.run)
        self.number = 0
        self.boxes: OrderedDict[bytes, ChaCha20Poly1305] = OrderedDict()
        self.proven: OrderedDict[bytes, ReplayWindow] = OrderedDict()
        self.asked: OrderedDict[bytes, bytes] = OrderedDict()
        self.counts = dict.fromkeys(("sealed", "opened", "not_ours", "repeated", "asked_to_prove"), 0)

    def box_of(self, run: bytes) -> ChaCha20Poly1305:
        return ChaCha20Poly1305(HKDF(SHA256(), 32, run, b"hollyridge peers 1").derive(self.secret))

    def seal(self, message: messages.Message | Challenge | ChallengeResponse) -> bytes:
        """ValueError for one that is longer than a packet may be."""
        self.number += 1
        head = HEAD.pack(MAGIC, self.run, self.number)
        plain = _ENCODER.encode((_NUMBERS[type(message)], self.name, message))
        if len(plain) > MOST - HEAD.size - 16:
            raise ValueError(f"{type(message).__name__} of {len(plain)} bytes")
        self.counts["sealed"] += 1
        return head + self.box.encrypt(self.nonce(self.number), plain, head)

    @staticmethod
    def nonce(number: int) -> bytes:
        return b"\0\0\0\0" + number.to_bytes(8, "big")

    def open(self, raw: bytes) -> OpenedPacket:
        """PeerError for what is none of this fleet's, or has come before."""
        try:
            return self._open(raw)
        except PeerError:
            raise
        except (struct.error, InvalidTag, msgspec.DecodeError, OverflowError) as trouble:
            self.counts["not_ours"] += 1
            raise PeerError(f"no packet of this fleet ({type(trouble).__name__})") from None

    def _open(self, raw: bytes) -> OpenedPacket:
        if not HEAD.size < len(raw) <= MOST:
            raise struct.error
        magic, run, number = HEAD.unpack_from(raw)
        if magic != MAGIC or run == self.run:
            raise struct.error
        box = self.boxes.get(run)
        plain = (box or self.box_of(run)).decrypt(self.nonce(number), raw[HEAD.size :], raw[: HEAD.size])
        if box is None:
            keep(self.boxes, run, self.box_of(run))
        kind, name, body = _FRAME.decode(plain)
        if not 0 <= kind < len(KINDS) or len(name) > 64 or name == self.name:
            raise struct.error
        message = _DECODERS[kind].decode(body)
        if kind == 0:  # it does not know us yet
            return OpenedPacket(name, None, self.seal(ChallengeResponse(message.word)))
        if kind == 1:
            if self.asked.pop(run, None) == message.word:
                keep(self.proven, run, ReplayWindow())
            return OpenedPacket(name, None)
        seen = self.proven.get(run)
        if seen is None:
            self.counts["asked_to_prove"] += 1
            word = self.asked.get(run) or self.fresh(16)
            keep(self.asked, run, word)
            return OpenedPacket(name, None, self.seal(Challenge(word)))
        if not seen.first_time(number):
            self.counts["repeated"] += 1
            raise PeerError("a packet that has come before")
        self.counts["opened"] += 1
        return OpenedPacket(name, message)


def keep(rows: OrderedDict, key: bytes, value: object) -> None:
    rows[key] = value
    while len(rows) > RUNS:
        rows.popitem(last=False)
