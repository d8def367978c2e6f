"""The watch over HTTP against a scripted discovery."""

import gevent
import pytest
from in_process import Script, chunked, line, watch_of

from hollyridge.discovery.endpoint_list import EndpointListReceived, WatchFailed
from hollyridge.discovery.watch_state import WatchInput

ANSWERS = {
    "refused": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "closed": b"",
    "no http": b"hello\r\n\r\n",
    "bad json": chunked(b"{"),
    "hangs": "hang",
    "endless head": b"HTTP/1.1 200 OK\r\nX: " + b"y" * 40_000,
    "bad chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
}


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_an_invalid_response_is_reported_and_the_watch_retried(answer):
    script = Script(answer, chunked(line(4, ("a",)), b"", line(5, ("b",), full=False)))
    watch, engine = watch_of(script)
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while len([one for one in engine.told if type(one) is EndpointListReceived]) < 2:
            gevent.sleep(0.01)
    job.kill()
    assert type(engine.told[0]) is WatchFailed
    assert len(script.asked) == 2
    assert [one.event.version for one in engine.told if type(one) is EndpointListReceived] == [4, 5]


def test_after_a_change_of_address_the_watch_continues_from_its_version():
    there = Script(chunked(line(8, ("b",), full=False)))
    here = Script(chunked(line(7, ("a",)), b"", b""))
    watch, engine = watch_of(here, beat=2_000_000)
    engine.update_endpoints = lambda now, what: (engine.told.append(what), watch.endpoint_list.handle(now, what))
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while watch.endpoint_list.version != 7:
            gevent.sleep(0.005)
        watch.change_address(("127.0.0.1", there.server.server_port))
        while watch.endpoint_list.version != 8:
            gevent.sleep(0.005)
    job.kill()
    assert there.asked == [b"/v1/servers?stream=1&index=7"]
    assert set(watch.endpoint_list.entries) == {"a", "b"}


def test_a_change_of_address_before_the_connection_runs_does_not_end_the_watch():
    script = Script(chunked(line(4, ("a",))))
    watch, engine = watch_of(script)
    watch.state.handle(watch.clock(), WatchInput.TICK)
    watch.state.handle(watch.clock(), WatchInput.CONNECT_STARTED)
    watch.connection = gevent.spawn(watch.run_connection)  # has not run yet
    watch.change_address(watch.address)
    assert watch.connection is None
    assert not watch.state.connected
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not any(type(one) is EndpointListReceived for one in engine.told):
            gevent.sleep(0.01)
    job.kill()
