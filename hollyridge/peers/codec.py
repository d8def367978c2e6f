"""Encrypted, numbered packets between assigners, each accepted only once. No sockets.

    4 bytes "HRP1" | 16 bytes run id | 8 bytes number | ChaCha20-Poly1305 of msgpack [kind, name, message]

The key of a run is derived by HKDF from the fleet's key and the random id of the run, so that a restart never uses a
number twice with one key. A packet from an unknown run is not accepted. Instead its sender is challenged to seal a
random value, which proves that the run is still active. After that its packets are accepted, each number once. Packets
recorded from an older run therefore can't be replayed, and no clock has to be trusted.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from hollyridge.errors import HollyridgeError
from hollyridge.membership import messages
from hollyridge.peers.replay_window import ReplayWindow

MAGIC = b"HRP1"
HEADER = struct.Struct(">4s16sQ")  # magic, run id, packet number
KEY_INFO = b"hollyridge peers 1"  # HKDF context information
KEY_BYTES = 32
RUN_ID_BYTES = 16
CHALLENGE_BYTES = 16
TAG_BYTES = 16  # Poly1305 tag
MAX_PACKET_BYTES = 16_384  # including header and tag; a UDP datagram may be four times as long
MAX_NAME_LENGTH = 64  # characters
MAX_RUNS = 256  # verified runs, and as many open challenges, that are kept: bounds memory


class Challenge(NamedTuple):
    """A request to the sender of an unknown run to prove that the run is still active."""

    value: bytes


class ChallengeResponse(NamedTuple):
    """The random value of the challenge, sealed by the challenged run."""

    value: bytes


# The index of a message type is its `kind` on the wire.
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
_KIND_BY_TYPE = {message_type: kind for kind, message_type in enumerate(KINDS)}
_DECODERS = [msgspec.msgpack.Decoder(message_type) for message_type in KINDS]
_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])


class PeerError(HollyridgeError):
    """A datagram is not a packet of this fleet, or is a replayed packet."""


class MalformedPacketError(PeerError):
    """A packet has an invalid length, header, message kind or sender name."""


class FleetKeyError(HollyridgeError, ValueError):
    """The fleet's key is too short."""


class PacketTooLongError(HollyridgeError, ValueError):
    """A message does not fit into one packet."""


class OpenedPacket(NamedTuple):
    """The content of a packet.

    Attributes:
        name: Name of the sender.
        message: Decoded message; None if the packet was part of a challenge, or is not accepted yet.
        answer: Packet to send back, if any.
    """

    name: str
    message: messages.Message | None
    answer: bytes | None = None


class PacketGuard:
    """Encryption and verification of all packets of one assigner.

    >>> import os
    >>> a, b = PacketGuard(b"k" * 32, "a", os.urandom), PacketGuard(b"k" * 32, "b", os.urandom)
    >>> ping = a.seal(messages.Ping(1, "b", ()))
    >>> challenge = b.open(ping).answer
    >>> response = a.open(challenge).answer
    >>> b.open(response).message is None
    True
    >>> b.open(a.seal(messages.Ping(2, "b", ()))).message
    Ping(sequence=2, target='b', updates=())

    Attributes:
        name: Name of this assigner.
        run_id: Random id of this assigner's current run.
        number: Number of the packet sealed last.
        cipher: Cipher with the key of this run.
        counts: Totals for the status page.
    """

    def __init__(self, secret: bytes, name: str, random_bytes: Callable[[int], bytes]) -> None:
        """Start a new run.

        Args:
            secret: Key of the fleet, 32 bytes or more.
            name: Name of this assigner.
            random_bytes: Function that returns the given number of cryptographically secure random bytes.

        Raises:
            FleetKeyError: The key is too short.
        """
        if len(secret) < KEY_BYTES:
            raise FleetKeyError(f"fleet key has {len(secret)} bytes, expected at least {KEY_BYTES}")
        self.name = name
        self.run_id = random_bytes(RUN_ID_BYTES)
        self.number = 0
        self.counts = dict.fromkeys(("sealed", "opened", "not_ours", "repeated", "asked_to_prove"), 0)
        self._secret = secret
        self._random_bytes = random_bytes
        self.cipher = self._derive_cipher(self.run_id)
        self._ciphers: OrderedDict[bytes, ChaCha20Poly1305] = OrderedDict()
        self._proven_runs: OrderedDict[bytes, ReplayWindow] = OrderedDict()
        self._challenges: OrderedDict[bytes, bytes] = OrderedDict()

    def seal(self, message: messages.Message | Challenge | ChallengeResponse) -> bytes:
        """Encode and encrypt a message.

        Raises:
            PacketTooLongError: The message does not fit into one packet.
        """
        self.number += 1
        header = HEADER.pack(MAGIC, self.run_id, self.number)
        plain = _ENCODER.encode((_KIND_BY_TYPE[type(message)], self.name, message))
        if len(plain) > MAX_PACKET_BYTES - HEADER.size - TAG_BYTES:
            raise PacketTooLongError(
                f"{type(message).__name__} of {len(plain)} bytes does not fit into a packet of {MAX_PACKET_BYTES} bytes"
            )
        self.counts["sealed"] += 1
        return header + self.cipher.encrypt(nonce(self.number), plain, header)

    def open(self, raw: bytes) -> OpenedPacket:
        """Decrypt and decode a packet, and answer challenges.

        Raises:
            PeerError: The datagram is not a packet of this fleet, or is a replayed packet.
        """
        try:
            run_id, number, name, message = self._decode(raw)
        except (MalformedPacketError, InvalidTag, msgspec.DecodeError, OverflowError) as error:
            self.counts["not_ours"] += 1
            raise PeerError(f"datagram is not a packet of this fleet ({type(error).__name__})") from None
        if type(message) is Challenge:
            return OpenedPacket(name, None, self.seal(ChallengeResponse(message.value)))
        if type(message) is ChallengeResponse:
            if self._challenges.pop(run_id, None) == message.value:
                _put_bounded(self._proven_runs, run_id, ReplayWindow())
            return OpenedPacket(name, None)
        window = self._proven_runs.get(run_id)
        if window is None:
            return OpenedPacket(name, None, self._challenge(run_id))
        if not window.mark_received(number):
            self.counts["repeated"] += 1
            raise PeerError(f"packet {number} from {name} was received before")
        self.counts["opened"] += 1
        return OpenedPacket(name, message)

    def _decode(self, raw: bytes) -> tuple[bytes, int, str, Any]:
        """Return run id, packet number, sender and message."""
        if not HEADER.size < len(raw) <= MAX_PACKET_BYTES:
            raise MalformedPacketError(
                f"packet has {len(raw)} bytes, expected more than {HEADER.size} and at most {MAX_PACKET_BYTES}"
            )
        magic, run_id, number = HEADER.unpack_from(raw)
        if magic != MAGIC or run_id == self.run_id:
            raise MalformedPacketError(
                f"packet header has magic {magic!r} and run id {run_id.hex()}, "
                f"expected magic {MAGIC!r} and the run id of another assigner"
            )
        cipher = self._ciphers.get(run_id)
        is_new = cipher is None
        if is_new:
            cipher = self._derive_cipher(run_id)
        plain = cipher.decrypt(nonce(number), raw[HEADER.size :], raw[: HEADER.size])
        # A cipher is stored only after it has decrypted a packet, so that senders without the fleet's key can't evict
        # the ciphers of members.
        if is_new:
            _put_bounded(self._ciphers, run_id, cipher)
        kind, name, body = _ENVELOPE_DECODER.decode(plain)
        if not 0 <= kind < len(KINDS) or len(name) > MAX_NAME_LENGTH or name == self.name:
            raise MalformedPacketError(
                f"message has kind {kind} and a sender name of {len(name)} characters, expected a kind below "
                f"{len(KINDS)} and the name of another assigner of at most {MAX_NAME_LENGTH} characters"
            )
        return run_id, number, name, _DECODERS[kind].decode(body)

    def _challenge(self, run_id: bytes) -> bytes:
        self.counts["asked_to_prove"] += 1
        value = self._challenges.get(run_id) or self._random_bytes(CHALLENGE_BYTES)
        _put_bounded(self._challenges, run_id, value)
        return self.seal(Challenge(value))

    def _derive_cipher(self, run_id: bytes) -> ChaCha20Poly1305:
        return ChaCha20Poly1305(HKDF(SHA256(), KEY_BYTES, run_id, KEY_INFO).derive(self._secret))


def nonce(number: int) -> bytes:
    """Return the nonce of a packet, derived from its number, which is unique for the key of its run."""
    return b"\0\0\0\0" + number.to_bytes(8, "big")


def _put_bounded(runs: OrderedDict[bytes, Any], run_id: bytes, value: object) -> None:
    runs[run_id] = value
    while len(runs) > MAX_RUNS:
        runs.popitem(last=False)
