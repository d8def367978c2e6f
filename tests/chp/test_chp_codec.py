"""Tests of the CHP codec: messages survive a round trip, and invalid parts are refused."""

import pytest

from hollyridge.chp import codec


@pytest.mark.parametrize(
    "message",
    [
        codec.Icanhaz("/table/0/"),
        codec.Kvsync("/table/0/line/a:1", 7, b"{}"),
        codec.Kthxbai(9, "/table/0/"),
        codec.Kvpub("/table/0/head", 9, b"u" * 16, "v=1\n", b""),
        codec.Hugz(),
    ],
)
def test_an_encoded_message_decodes_to_itself(message):
    assert codec.decode(codec.encode(message)) == message


@pytest.mark.parametrize(
    "parts",
    [
        [],
        [b"x"],
        [b"HUGZ"],
        [b"a"] * 5,
        [b"/k", b"1", b"", b"", b""],
        [b"\xff", b"\0" * 8, b"", b"", b""],
        [b"/k", b"\0" * 8, b"", b"", b"x" * 5000],
        [b"/k"] * 9,
        [b"KTHXBAI", b"\0" * 8, b"", b"", b"\xff"],
    ],
)
def test_invalid_parts_are_refused(parts):
    with pytest.raises(codec.ChpError):
        codec.decode(parts)
