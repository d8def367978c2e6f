"""SASP as bytes: what is written is read back, and nothing that is received does harm."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollyridge.sasp import codec
from hollyridge.sasp.codec import Code, Group, Member, MembersOf, StatesOf, Weight, WeightsOf

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
def test_a_message_is_read_as_it_was_written(number, message):
    assert codec.decode(codec.encode(number, message)) == (number, message)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(messages, st.lists(st.tuples(st.integers(0, 400), u8), max_size=6), st.integers(0, 40))
def test_a_corrupted_frame_is_read_or_refused(message, spoils, cut):
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


@pytest.mark.parametrize(("what", "raw", "owed"), BAD, ids=[row[0] for row in BAD])
def test_a_malformed_frame_is_refused_and_answered_where_it_can_be(what, raw, owed):
    with pytest.raises(codec.SaspError) as trouble:
        for frame in codec.Framer(1 << 16).feed(raw):
            codec.decode(frame)
    assert (trouble.value.reply is not None) == owed
    if owed:
        number, reply = codec.decode(trouble.value.reply)
        assert (number, reply) == (5, codec.RegisterReply(Code.NOT_UNDERSTOOD))


def test_a_component_that_is_too_long_is_not_written():
    crowd = tuple(Member.at("::1", port, "x" * 200) for port in range(400))
    with pytest.raises(ValueError, match="65535 at most"):
        codec.encode(1, codec.Register(False, (MembersOf(Group("f", "t"), crowd),)))
