"""Frames of the platform's protocol: any split, bad input, limits."""

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
def test_any_split_of_the_bytes_is_read_alike(messages, sizes):
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
def test_any_bytes_are_read_or_refused_and_never_buffered_past_the_limit(raw, step):
    reader = FrameReader(max_bytes=128)
    try:
        for at in range(0, len(raw), step):
            reader.feed(raw[at : at + step])
            assert len(reader.buffer) + sum(map(len, reader.parts)) <= 128 + step + 32
    except RespError:
        pass


UNREADABLE = {
    "http": b"GET / HTTP/1.1\r\n\r\n",
    "inline": b"PING\r\n",
    "a length below 0": b"*-1\r\n",
    "none at all": b"*0\r\n",
    "too many parts": b"*66\r\n",
    "no digits": b"*\r\n",
    "words": b"*x\r\n",
    "endless digits": b"*1111111111111",
    "spaced": b"* 1\r\n",
    "null part": b"*1\r\n$-1\r\n",
    "nested": b"*1\r\n*1\r\n",
    "integer": b"*1\r\n:5\r\n",
    "announced too long": b"*1\r\n$1048577\r\n",
    "too long together": b"*3\r\n$524288\r\n" + b"x" * 524288 + b"\r\n$524288\r\n",
    "a part that does not end": b"*1\r\n$2\r\nabcd",
}


@pytest.mark.parametrize("raw", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_input_is_refused_as_soon_as_it_is_known(raw):
    with pytest.raises(RespError):
        FrameReader().feed(raw)
    reader = FrameReader()
    with pytest.raises(RespError):
        for at in range(len(raw)):
            reader.feed(raw[at : at + 1])


def test_messages_before_an_unreadable_one_count():
    reader = FrameReader()
    assert reader.feed(encode([b"hb"]) + encode([b"done", b"x"]) + b"rubbish") == [[b"hb"], [b"done", b"x"]]
    assert reader.fault is not None
    with pytest.raises(RespError):
        reader.feed(encode([b"hb"]))


def test_the_largest_message_is_within_the_platforms_limit():
    assert codec.MAX_MESSAGE_BYTES == 1 << 20
    reader = FrameReader()
    assert reader.feed(encode([b"assign", b"x" * (codec.MAX_MESSAGE_BYTES - 40)]))
