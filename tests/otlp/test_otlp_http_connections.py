"""Bounds of heads, and which connections make room for newer ones."""

import http.client
import io

import gevent
import pytest
from gevent import socket

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


def get_status(connection):
    connection.request("GET", "/status")
    response = connection.getresponse()
    assert response.status == 200
    assert response.read()


@pytest.fixture
def connect():
    connections = []

    def open_connection(port):
        connections.append(http.client.HTTPConnection("127.0.0.1", port, timeout=5))
        connections[-1]._create_connection = socket.create_connection
        return connections[-1]

    yield open_connection
    for connection in connections:
        connection.close()


def test_a_connection_serves_any_number_of_requests(rig, connect):
    # Guards against limits of the head that end a connection after its first request.
    started_rig = rig()
    connection = connect(started_rig.otlp)
    for _ in range(5):
        get_status(connection)
    assert len(started_rig.service.metrics_server.server.connections.open) == 1


def test_a_head_that_does_not_arrive_in_time_ends_the_connection(rig, connect):
    connection = connect(rig(otlp__body_s=0.2).otlp)
    for _ in range(2):  # the second head has as much time as the first, and the pause between them does not count
        get_status(connection)
        gevent.sleep(0.4)
    connection.sock.sendall(b"GET /status HTTP/1.1\r\nHost: x\r\n")
    assert connection.sock.recv(100) == b""
