"""Bounds of heads, and which connections make room for newer ones."""

import io

import pytest

from hollyridge.otlp.http_connections import (
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    ConnectionTable,
    HeadReader,
    HeadTooLargeError,
)


class FakeHandler:
    """A connection that notes whether it was aborted."""

    aborted = False

    def abort(self):
        self.aborted = True


def read_all(data):
    reader = HeadReader(io.BytesIO(data))
    lines = []
    while (line := reader.readline(65537)) != b"\r\n":
        lines.append(line)
    return lines


def test_a_head_within_the_limits_is_read():
    data = b"a: 1\r\n" * (MAX_HEAD_LINES - 1) + b"\r\n"
    assert len(read_all(data)) == MAX_HEAD_LINES - 1


@pytest.mark.parametrize(
    "data",
    [b"a: 1\r\n" * MAX_HEAD_LINES + b"\r\n", b"a: %b\r\n\r\n" % (b"y" * MAX_HEAD_BYTES), b"a" * (4 * MAX_HEAD_BYTES)],
    ids=["lines", "bytes", "one endless line"],
)
def test_a_head_beyond_a_limit_is_rejected(data):
    with pytest.raises(HeadTooLargeError):
        read_all(data)


def test_the_connection_that_has_waited_longest_makes_room():
    table = ConnectionTable(3)
    handlers = [FakeHandler() for _ in range(6)]
    for handler in handlers[:3]:
        assert table.add(handler)
    table.await_head(handlers[1])
    table.await_head(handlers[2])
    table.await_body(handlers[1])
    assert table.add(handlers[3])  # one without a head goes before one whose body is incomplete
    assert table.add(handlers[4])
    assert [handler.aborted for handler in handlers[:3]] == [False, True, True]
    assert not table.add(handlers[5])  # nobody waits for a client
    table.remove(handlers[0])
    assert table.add(handlers[5])
    assert table.open == set(handlers[3:6])
