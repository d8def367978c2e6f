"""What the client library holds of the tables, and how it cuts registrations."""

import pytest

from hollyridge.sasp import codec
from hollyridge.sasp.client import HeldWeights, MemberRegistrar
from hollyridge.sasp.codec import Group, Member, MembersOf, Weight, WeightFlags, WeightsOf

A, B = Member.at("127.0.0.1", 1), Member.at("127.0.0.1", 2)


def told(group, **figures):
    rows = {"a": A, "b": B}
    return WeightsOf(
        Group("gw", group),
        tuple(Weight(rows[k], v, WeightFlags.CONTACT if v else WeightFlags.QUIESCE) for k, v in figures.items()),
    )


HELD = [
    # messages, each with whether a stream began before it; what is held of group "x" afterwards
    ([(False, [told("x", a=5, b=3)]), (False, [told("x", a=0)])], {B: 3}),
    ([(False, [told("x", a=5, b=3)]), (True, [told("x", a=2)])], {A: 2}),
    ([(False, [told("x", a=5)]), (True, [told("x")])], {A: 5}),
    ([(False, [told("x", a=5), told("x", b=4)])], {A: 5, B: 4}),
]


@pytest.mark.parametrize(("story", "left"), HELD)
def test_held_weights_follow_the_messages(story, left):
    held = HeldWeights()
    for anew, rows in story:
        if anew:
            held.new_stream()
        before = held.tables
        held.take(rows)
        assert held.tables is not before  # a reader in mid-pick keeps the old one whole
    assert {m: e.weight for m, e in held.lines("x").items()} == left


def test_a_reply_replaces_the_group():
    held = HeldWeights()
    held.take([told("x", a=5, b=3)])
    held.take([told("x", b=1)], whole=True)
    assert {m: e.weight for m, e in held.lines("x").items()} == {B: 1}


def test_a_large_fleet_is_registered_in_batches():
    """A component's size is told in 16 bits: two thousand members with labels do not fit in one."""
    crowd = [
        Member.at(f"127.1.{k // 200}.{k % 200 + 1}", 9000, f"shelf-{k} run=r{k} up=1000000.000") for k in range(2000)
    ]
    parts = list(MemberRegistrar.batches(crowd))
    assert [member for part in parts for member in part] == crowd
    assert list(MemberRegistrar.batches([])) == [()]
    for part in parts:
        codec.encode(1, codec.Register(False, (MembersOf(Group("f", "g"), part),)))
    with pytest.raises(ValueError, match="65535 at most"):
        codec.encode(1, codec.Register(False, (MembersOf(Group("f", "g"), tuple(crowd)),)))
