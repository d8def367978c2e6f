"""SASP as bytes: what goes out comes back, and nothing that comes in does harm."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollyridge.sasp import codec
from hollyridge.sasp.client import HeldWeights, MemberRegistrar
from hollyridge.sasp.codec import Code, Group, Member, MembersOf, StatesOf, Weight, WeightFlags, WeightsOf

u8, u16 = st.integers(0, 255), st.integers(0, 0xFFFF)
texts = st.text(max_size=60)
members = st.builds(Member, st.binary(min_size=16, max_size=16), u16, u8, texts)
groups = st.builds(Group, texts, texts)


def some(row):
    return st.lists(row, max_size=4).map(tuple)


weights = st.builds(Weight, members, u16, u8, u8)
states = st.builds(codec.State, members, st.booleans(), u8)
members_of = some(st.builds(MembersOf, groups, some(members)))
weights_of = some(st.builds(WeightsOf, groups, some(weights)))
messages = st.one_of(
    st.builds(codec.Register, st.booleans(), members_of),
    st.builds(codec.Deregister, st.booleans(), u8, members_of),
    st.builds(codec.GetWeights, some(groups)),
    st.builds(codec.GetWeightsReply, u8, u16, weights_of),
    st.builds(codec.SendWeights, weights_of),
    st.builds(codec.SetBalancer, texts, u8, u8),
    st.builds(codec.SetMembers, st.booleans(), some(st.builds(StatesOf, groups, some(states)))),
    *(
        st.builds(kind, u8)
        for kind in (codec.RegisterReply, codec.DeregisterReply, codec.SetBalancerReply, codec.SetMembersReply)
    ),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 2**32 - 1), messages)
def test_what_goes_out_comes_back(number, message):
    assert codec.decode(codec.encode(number, message)) == (number, message)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(messages, st.lists(st.tuples(st.integers(0, 400), u8), max_size=6), st.integers(0, 40))
def test_a_spoilt_frame_is_read_or_refused(message, spoils, cut):
    raw = bytearray(codec.encode(1, message))
    for at, value in spoils:
        raw[at % len(raw)] = value
    raw = bytes(raw[: len(raw) - cut] if cut < 20 else raw)
    framer = codec.Framer(1 << 16)
    try:
        for frame in framer.feed(raw):
            codec.decode(frame)
    except codec.SaspError as trouble:
        assert trouble.reply is None or codec.decode(trouble.reply)[1].code == Code.NOT_UNDERSTOOD


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(messages, min_size=1, max_size=4), st.lists(st.integers(1, 50), min_size=1))
def test_frames_survive_any_cutting(many, cuts):
    raw = b"".join(codec.encode(n, m) for n, m in enumerate(many))
    framer, found, at = codec.Framer(1 << 20), [], 0
    while at < len(raw):
        size = cuts[len(found) % len(cuts)]
        found += framer.feed(raw[at : at + size])
        at += size
    assert [codec.decode(f) for f in found] == list(enumerate(many))
    assert not framer.partial


GOOD = codec.encode(5, codec.Register(False, (MembersOf(Group("f", "tasks"), (Member.at("127.0.0.1", 80),)),)))
BAD = [
    # what is wrong, the frame, whether an answer is owed
    ("a length of nearly 4 GiB", GOOD[:5] + b"\xff\xff\xff\xf0" + GOOD[9:], False),
    ("a length below the header's", GOOD[:5] + b"\0\0\0\x05" + GOOD[9:], False),
    ("another version", GOOD[:4] + b"\x02" + GOOD[5:], False),
    ("no header", b"GET / HTTP/1.1\r\n\r\n", False),
    ("unknown message type", GOOD[:13] + b"\x10\x99" + GOOD[15:], False),
    ("a count of groups that lies", GOOD[:18] + b"\xff\xff" + GOOD[20:], True),
    ("a count of members that lies", GOOD[:24] + b"\0\x09" + GOOD[26:], True),
    ("a component of an unknown type", GOOD[:20] + b"\x77\x77" + GOOD[22:], True),
    ("a component longer than the message", GOOD[:22] + b"\x7f\xff" + GOOD[24:], True),
]


@pytest.mark.parametrize("what, raw, owed", BAD, ids=[row[0] for row in BAD])
def test_bad_frames(what, raw, owed):
    with pytest.raises(codec.SaspError) as trouble:
        for frame in codec.Framer(1 << 16).feed(raw):
            codec.decode(frame)
    assert (trouble.value.reply is not None) == owed
    if owed:
        number, reply = codec.decode(trouble.value.reply)
        assert (number, reply) == (5, codec.RegisterReply(Code.NOT_UNDERSTOOD))


def test_too_long_is_refused_before_it_leaves():
    crowd = tuple(Member.at("::1", port, "x" * 200) for port in range(400))
    with pytest.raises(ValueError):
        codec.encode(1, codec.Register(False, (MembersOf(Group("f", "t"), crowd),)))


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


@pytest.mark.parametrize("story, left", HELD)
def test_what_a_balancer_holds(story, left):
    held = HeldWeights()
    for anew, rows in story:
        if anew:
            held.new_stream()
        before = held.tables
        held.take(rows)
        assert held.tables is not before  # a reader in mid-pick keeps the old one whole
    assert {m: e.weight for m, e in held.lines("x").items()} == left


def test_an_answer_replaces_the_group():
    held = HeldWeights()
    held.take([told("x", a=5, b=3)])
    held.take([told("x", b=1)], whole=True)
    assert {m: e.weight for m, e in held.lines("x").items()} == {B: 1}


def test_a_large_fleet_is_registered_in_parts():
    """A component's size is told in 16 bits: two thousand members with labels do not fit in one."""
    crowd = [
        Member.at(f"127.1.{k // 200}.{k % 200 + 1}", 9000, f"shelf-{k} run=r{k} up=1000000.000") for k in range(2000)
    ]
    parts = list(MemberRegistrar.batches(crowd))
    assert [member for part in parts for member in part] == crowd and list(MemberRegistrar.batches([])) == [()]
    for part in parts:
        codec.encode(1, codec.Register(False, (MembersOf(Group("f", "g"), part),)))
    with pytest.raises(ValueError):
        codec.encode(1, codec.Register(False, (MembersOf(Group("f", "g"), tuple(crowd)),)))
