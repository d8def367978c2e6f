"""Packets encrypted with a fleet's key: accepted once, only from members, only from active runs."""

import os
from random import Random

import pytest

from hollyridge.membership.messages import ClaimedProxies, GossipMessage, Join, MemberFacts, Ping
from hollyridge.peers.codec import HEADER, MAX_PACKET_BYTES, PacketGuard, PeerError, nonce

KEY = bytes(range(32))


def verified_guards():
    first, second = (PacketGuard(KEY, name, Random(name).randbytes) for name in "ab")
    for one, other in ((first, second), (second, first)):
        challenge = other.open(one.seal(Join(()))).answer
        other.open(one.open(challenge).answer)
    return first, second


def test_a_packet_of_a_member_is_opened():
    a, b = verified_guards()
    raw = a.seal(Ping(1, "b", (GossipMessage("a", 0, 3, MemberFacts("127.0.0.1:1", "r")),)))
    assert b.open(raw).message.updates[0].facts.address == "127.0.0.1:1"


def test_a_packet_is_accepted_once():
    a, b = verified_guards()
    raw = a.seal(Ping(1, "b", (GossipMessage("a", 0, 3, MemberFacts("127.0.0.1:1", "r")),)))
    b.open(raw)
    with pytest.raises(PeerError, match="received before"):
        b.open(raw)


def test_holders_of_different_keys_reject_each_other():
    a, b = verified_guards()
    outsider = PacketGuard(bytes(32), "c", os.urandom)
    for guard, packet in ((outsider, a.seal(Join(()))), (b, outsider.seal(Join(())))):
        with pytest.raises(PeerError):
            guard.open(packet)


def test_own_packets_are_rejected():
    a, _ = verified_guards()
    own_packet = a.seal(Join(()))
    with pytest.raises(PeerError):
        a.open(own_packet)


def test_a_short_key_is_rejected():
    with pytest.raises(ValueError, match="at least 32"):
        PacketGuard(b"short", "a", os.urandom)


def test_packets_of_an_older_run_are_not_accepted_after_a_restart():
    a, b = verified_guards()
    recorded = [a.seal(ClaimedProxies((("gw", 7),), True)) for _ in range(3)]
    b.open(recorded[0])
    restarted = PacketGuard(KEY, "b", Random("b2").randbytes)  # this run has received nothing yet
    for raw in recorded:
        opened = restarted.open(raw)
        assert opened.message is None
        assert opened.answer
    assert restarted.counts["opened"] == 0


@pytest.mark.parametrize(
    "damage",
    [
        lambda raw: raw[:-1],
        lambda raw: raw[: HEADER.size],
        lambda raw: b"",
        lambda raw: b"HRP9" + raw[4:],
        lambda raw: raw[:30] + bytes([raw[30] ^ 1]) + raw[31:],
        lambda raw: raw + b"x" * MAX_PACKET_BYTES,
        lambda raw: raw[:20] + b"\xff" * 8 + raw[28:],
    ],
)
def test_damaged_packets_are_rejected(damage):
    a, b = verified_guards()
    damaged = damage(a.seal(Ping(1, "b", ())))
    with pytest.raises(PeerError):
        b.open(damaged)
    assert b.open(a.seal(Ping(2, "b", ()))).message


def test_sealed_packets_with_invalid_content_are_rejected():
    a, b = verified_guards()
    for content in (b"", b"\x93\x63\xa1a\x90", b"\x93\x02\xa1a\x93\x01\x02\x03", b"\x93\x02\xa1b\x93\x01\xa1b\x90"):
        a.number += 1
        header = HEADER.pack(b"HRP1", a.run_id, a.number)
        packet = header + a.cipher.encrypt(nonce(a.number), content, header)
        with pytest.raises(PeerError):
            b.open(packet)
