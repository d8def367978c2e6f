"""The client of discovery against an HTTP server with scripted responses."""

import gevent
import pytest
from in_process import ScriptedDiscovery, chunked, list_line, make_watch_client

from hollyridge.discovery.endpoint_list import EndpointListReceived, WatchFailed
from hollyridge.discovery.watch_state import WatchInput

INVALID_RESPONSES = {
    "status 503": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "closed without a response": b"",
    "not HTTP": b"hello\r\n\r\n",
    "invalid JSON": chunked(b"{"),
    "no response": "hang",
    "too long header": b"HTTP/1.1 200 OK\r\nX: " + b"y" * 40_000,
    "invalid chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
}


@pytest.mark.parametrize("response", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES)
def test_an_invalid_response_is_reported_and_the_watch_retried(response):
    scripted_discovery = ScriptedDiscovery(
        response, chunked(list_line(4, ("a",)), b"", list_line(5, ("b",), full=False))
    )
    watch, engine = make_watch_client(scripted_discovery)
    greenlet = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while len([event for event in engine.received if type(event) is EndpointListReceived]) < 2:
            gevent.sleep(0.01)
    greenlet.kill()
    assert type(engine.received[0]) is WatchFailed
    assert len(scripted_discovery.requested_paths) == 2
    assert [event.event.version for event in engine.received if type(event) is EndpointListReceived] == [4, 5]


def test_after_a_change_of_address_the_watch_continues_from_its_version():
    second = ScriptedDiscovery(chunked(list_line(8, ("b",), full=False)))
    first = ScriptedDiscovery(chunked(list_line(7, ("a",)), b"", b""))
    watch, engine = make_watch_client(first, heartbeat_interval_us=2_000_000)
    engine.update_endpoints = lambda now, event: (engine.received.append(event), watch.endpoint_list.handle(now, event))
    greenlet = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while watch.endpoint_list.version != 7:
            gevent.sleep(0.005)
        watch.change_address(("127.0.0.1", second.server.server_port))
        while watch.endpoint_list.version != 8:
            gevent.sleep(0.005)
    greenlet.kill()
    assert second.requested_paths == [b"/v1/servers?stream=1&index=7"]
    assert set(watch.endpoint_list.entries) == {"a", "b"}


def test_a_change_of_address_before_the_connection_runs_does_not_end_the_watch():
    scripted_discovery = ScriptedDiscovery(chunked(list_line(4, ("a",))))
    watch, engine = make_watch_client(scripted_discovery)
    watch.state.handle(watch.clock(), WatchInput.TICK)
    watch.state.handle(watch.clock(), WatchInput.CONNECT_STARTED)
    watch.connection = gevent.spawn(watch.run_connection)  # has not run yet
    watch.change_address(watch.address)
    assert watch.connection is None
    assert not watch.state.connected
    greenlet = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not any(type(event) is EndpointListReceived for event in engine.received):
            gevent.sleep(0.01)
    greenlet.kill()
