"""Tests of the SASP codec: messages survive a round trip, and malformed bytes are refused."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollyridge.sasp import codec
from hollyridge.sasp.codec import Code, Group, Member, MembersOf, StatesOf, Weight, WeightsOf

u8, u16 = st.integers(0, 255), st.integers(0, 0xFFFF)
texts = st.text(max_size=60)
members = st.builds(Member, st.binary(min_size=16, max_size=16), u16, u8, texts)
groups = st.builds(Group, texts, texts)


def tuples_of(entries):
    return st.lists(entries, max_size=4).map(tuple)


weights = st.builds(Weight, members, u16, u8, u8)
states = st.builds(codec.State, members, st.booleans(), u8)
members_of = tuples_of(st.builds(MembersOf, groups, tuples_of(members)))
weights_of = tuples_of(st.builds(WeightsOf, groups, tuples_of(weights)))
messages = st.one_of(
    st.builds(codec.Register, st.booleans(), members_of),
    st.builds(codec.Deregister, st.booleans(), u8, members_of),
    st.builds(codec.GetWeights, tuples_of(groups)),
    st.builds(codec.GetWeightsReply, u8, u16, weights_of),
    st.builds(codec.SendWeights, weights_of),
    st.builds(codec.SetBalancer, texts, u8, u8),
    st.builds(codec.SetMembers, st.booleans(), tuples_of(st.builds(StatesOf, groups, tuples_of(states)))),
    *(
        st.builds(reply, u8)
        for reply in (codec.RegisterReply, codec.DeregisterReply, codec.SetBalancerReply, codec.SetMembersReply)
    ),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 2**32 - 1), messages)
def test_an_encoded_message_decodes_to_itself(number, message):
    assert codec.decode(codec.encode(number, message)) == (number, message)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(messages, st.lists(st.tuples(st.integers(0, 400), u8), max_size=6), st.integers(0, 40))
def test_a_corrupted_frame_is_decoded_or_refused(message, corruptions, cut):
    raw = bytearray(codec.encode(1, message))
    for position, value in corruptions:
        raw[position % len(raw)] = value
    raw = bytes(raw[: len(raw) - cut] if cut < 20 else raw)
    framer = codec.Framer(1 << 16)
    try:
        for frame in framer.feed(raw):
            codec.decode(frame)
    except codec.SaspError as error:
        assert error.reply is None or codec.decode(error.reply)[1].code == Code.NOT_UNDERSTOOD


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(messages, min_size=1, max_size=4), st.lists(st.integers(1, 50), min_size=1))
def test_frames_are_found_in_chunks_of_any_size(sent, chunk_sizes):
    raw = b"".join(codec.encode(n, m) for n, m in enumerate(sent))
    framer, found, position = codec.Framer(1 << 20), [], 0
    while position < len(raw):
        size = chunk_sizes[len(found) % len(chunk_sizes)]
        found += framer.feed(raw[position : position + size])
        position += size
    assert [codec.decode(f) for f in found] == list(enumerate(sent))
    assert not framer.partial


VALID = codec.encode(5, codec.Register(False, (MembersOf(Group("f", "tasks"), (Member.at("127.0.0.1", 80),)),)))
MALFORMED = [
    # (fault, frame, whether the frame gets a reply)
    ("a length of nearly 4 GiB", VALID[:5] + b"\xff\xff\xff\xf0" + VALID[9:], False),
    ("a length below the header's", VALID[:5] + b"\0\0\0\x05" + VALID[9:], False),
    ("another version", VALID[:4] + b"\x02" + VALID[5:], False),
    ("not a SASP header", b"GET / HTTP/1.1\r\n\r\n", False),
    ("unknown message type", VALID[:13] + b"\x10\x99" + VALID[15:], False),
    ("a count of groups that is too large", VALID[:18] + b"\xff\xff" + VALID[20:], True),
    ("a count of members that is too large", VALID[:24] + b"\0\x09" + VALID[26:], True),
    ("a component of an unknown type", VALID[:20] + b"\x77\x77" + VALID[22:], True),
    ("a component longer than the message", VALID[:22] + b"\x7f\xff" + VALID[24:], True),
]


@pytest.mark.parametrize(("fault", "raw", "has_reply"), MALFORMED, ids=[row[0] for row in MALFORMED])
def test_a_malformed_frame_is_refused_and_gets_a_reply_if_it_is_a_request(fault, raw, has_reply):
    with pytest.raises(codec.SaspError) as refused:
        for frame in codec.Framer(1 << 16).feed(raw):
            codec.decode(frame)
    assert (refused.value.reply is not None) == has_reply
    if has_reply:
        number, reply = codec.decode(refused.value.reply)
        assert (number, reply) == (5, codec.RegisterReply(Code.NOT_UNDERSTOOD))


def test_a_component_that_is_too_long_is_not_encoded():
    many_members = tuple(Member.at("::1", port, "x" * 200) for port in range(400))
    with pytest.raises(ValueError, match="65535 at most"):
        codec.encode(1, codec.Register(False, (MembersOf(Group("f", "t"), many_members),)))
