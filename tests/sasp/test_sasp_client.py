"""Tests of the tables that the client library holds, and of its registration batches."""

import pytest

from hollyridge.sasp import codec
from hollyridge.sasp.client import HeldWeights, MemberRegistrar
from hollyridge.sasp.codec import Group, Member, MembersOf, Weight, WeightFlags, WeightsOf

A, B = Member.at("127.0.0.1", 1), Member.at("127.0.0.1", 2)


def weights_of(group, **weights):
    members = {"a": A, "b": B}
    return WeightsOf(
        Group("gw", group),
        tuple(Weight(members[k], v, WeightFlags.CONTACT if v else WeightFlags.QUIESCE) for k, v in weights.items()),
    )


HELD = [
    # (whether a stream begins before the message, the message) for each message; weights of group "x" afterwards
    ([(False, [weights_of("x", a=5, b=3)]), (False, [weights_of("x", a=0)])], {B: 3}),
    ([(False, [weights_of("x", a=5, b=3)]), (True, [weights_of("x", a=2)])], {A: 2}),
    ([(False, [weights_of("x", a=5)]), (True, [weights_of("x")])], {A: 5}),
    ([(False, [weights_of("x", a=5), weights_of("x", b=4)])], {A: 5, B: 4}),
]


@pytest.mark.parametrize(("messages", "expected"), HELD)
def test_held_weights_follow_the_messages(messages, expected):
    held = HeldWeights()
    for new_stream, groups in messages:
        if new_stream:
            held.new_stream()
        before = held.tables
        held.handle_message(groups)
        assert held.tables is not before  # a reader that is picking a task keeps the old table unchanged
    assert {m: e.weight for m, e in held.lines("x").items()} == expected


def test_a_reply_replaces_the_group():
    held = HeldWeights()
    held.handle_message([weights_of("x", a=5, b=3)])
    held.handle_message([weights_of("x", b=1)], whole=True)
    assert {m: e.weight for m, e in held.lines("x").items()} == {B: 1}


def test_a_large_fleet_is_registered_in_batches():
    """The length field of a component has 16 bits, so that 2000 members with labels do not fit in one component."""
    fleet = [
        Member.at(f"127.1.{k // 200}.{k % 200 + 1}", 9000, f"shelf-{k} run=r{k} up=1000000.000") for k in range(2000)
    ]
    batches = list(MemberRegistrar.batches(fleet))
    assert [member for batch in batches for member in batch] == fleet
    assert list(MemberRegistrar.batches([])) == [()]
    for batch in batches:
        codec.encode(1, codec.Register(False, (MembersOf(Group("f", "g"), batch),)))
    with pytest.raises(ValueError, match="65535 at most"):
        codec.encode(1, codec.Register(False, (MembersOf(Group("f", "g"), tuple(fleet)),)))
