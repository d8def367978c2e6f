"""RESP2 decoding: chunks of any size, invalid input, limits."""

from itertools import cycle

import pytest
from hypothesis import given
from hypothesis import strategies as some

from hollyridge.resp import codec
from hollyridge.resp.codec import FrameReader, RespError, encode


@given(
    some.lists(some.lists(some.binary(max_size=40), min_size=1, max_size=8), max_size=5),
    some.lists(some.integers(1, 9), min_size=1, max_size=30),
)
def test_messages_are_decoded_alike_however_the_bytes_are_split(messages, sizes):
    raw = b"".join(map(encode, messages))
    reader, found, position = FrameReader(), [], 0
    for size in cycle(sizes):
        if position >= len(raw):
            break
        found += reader.feed(raw[position : position + size])
        position += size
    assert found == messages
    assert not reader.partial


@given(some.binary(max_size=300), some.integers(1, 64))
def test_arbitrary_bytes_are_never_buffered_past_the_limit(raw, step):
    reader = FrameReader(max_bytes=128)
    try:
        for start in range(0, len(raw), step):
            reader.feed(raw[start : start + step])
            assert len(reader.buffer) + sum(map(len, reader.parts)) <= 128 + step + 32
    except RespError:
        pass


INVALID_INPUT = {
    "http": b"GET / HTTP/1.1\r\n\r\n",
    "inline": b"PING\r\n",
    "negative length": b"*-1\r\n",
    "no parts": b"*0\r\n",
    "too many parts": b"*66\r\n",
    "no digits": b"*\r\n",
    "letters as length": b"*x\r\n",
    "endless digits": b"*1111111111111",
    "space before length": b"* 1\r\n",
    "null part": b"*1\r\n$-1\r\n",
    "nested": b"*1\r\n*1\r\n",
    "integer": b"*1\r\n:5\r\n",
    "announced length too long": b"*1\r\n$1048577\r\n",
    "sum of lengths too long": b"*3\r\n$524288\r\n" + b"x" * 524288 + b"\r\n$524288\r\n",
    "part without line end": b"*1\r\n$2\r\nabcd",
}


@pytest.mark.parametrize("raw", INVALID_INPUT.values(), ids=INVALID_INPUT)
def test_invalid_input_is_rejected_as_soon_as_it_is_recognized(raw):
    with pytest.raises(RespError):
        FrameReader().feed(raw)
    reader = FrameReader()
    with pytest.raises(RespError):
        for start in range(len(raw)):
            reader.feed(raw[start : start + 1])


def test_messages_before_invalid_input_are_returned():
    reader = FrameReader()
    assert reader.feed(encode([b"hb"]) + encode([b"done", b"x"]) + b"rubbish") == [[b"hb"], [b"done", b"x"]]
    assert reader.fault is not None
    with pytest.raises(RespError):
        reader.feed(encode([b"hb"]))


def test_the_largest_message_is_within_the_platforms_limit():
    assert codec.MAX_MESSAGE_BYTES == 1 << 20
    reader = FrameReader()
    assert reader.feed(encode([b"assign", b"x" * (codec.MAX_MESSAGE_BYTES - 40)]))


def test_messages_beyond_a_maximum_stay_undecoded_until_asked_for():
    # Guards against connections that each hold thousands of decoded messages while they wait for their turn.
    reader = FrameReader()
    messages = [[b"hb"], [b"done", b"node", b"1"], [b"x" * 50]]
    data = b"".join(map(encode, messages)) * 4
    assert reader.feed(data, 5) == (messages * 4)[:5]
    assert reader.held_bytes == len(data) - sum(len(encode(parts)) for parts in (messages * 4)[:5])
    assert reader.feed(b"", 5) == (messages * 4)[5:10]
    assert reader.feed(b"", 5) == (messages * 4)[10:]
    assert reader.feed(b"", 5) == []
    assert reader.feed(encode([b"hb"]) + b"!", 5) == [[b"hb"]]
    assert reader.fault is not None
