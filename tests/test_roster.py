"""Discovery: lists read, versions and starts, when it is dialled, and a watch against a scripted stand-in."""

from random import Random

import gevent
import pytest
from helpers import SECOND
from in_process import ZONES, ListingDesk, Script, chunked, line, watch_of

from hollyridge.discovery import schema
from hollyridge.discovery.endpoint_list import EndpointListReceived, WatchFailed
from hollyridge.discovery.watch_state import WatchAction, WatchInput, WatchState
from hollyridge.interface import TaskState, UpdateKind
from hollyridge.registration.members import RefreshRequested

NOW = 1_000 * SECOND


def news(version, *rows, full=False):
    entries = tuple(schema.ListedEndpoint(name, 0, 0, state, 1.0, ms) for name, state, ms in rows)
    return EndpointListReceived(schema.WatchEvent(version, full, entries))


READY, DRAINING, GONE = TaskState.READY, TaskState.DRAINING, TaskState.GONE


def test_starts_are_turned_to_the_monotonic_clock_once():
    desk = ListingDesk()
    change = desk.take(news(1, ("a", READY, 0), ("b", READY, 49_998_000), ("c", READY, 60_000_000), full=True))
    assert [entry.started_at_us for entry in change.endpoints] == [0, NOW - 2 * SECOND, NOW]
    later = desk.take(news(2, ("c", DRAINING, 60_000_000)), NOW + SECOND)
    assert later.endpoints[0].started_at_us == NOW  # the same start, not a restart a second later
    again = desk.take(news(3, ("b", READY, 50_001_000)), NOW + 2 * SECOND)
    assert again.endpoints[0].started_at_us == NOW + SECOND and desk.listing.restarts == 1


def test_changes_and_whole_lists():
    desk = ListingDesk()
    assert (
        desk.take(EndpointListReceived(news(5, ("a", READY, 0), ("b", READY, 0), full=True).event, stale=True)).kind
        == UpdateKind.CACHED
    )
    change = desk.take(news(6, ("a", GONE, 0), ("never", GONE, 0)))
    assert change.kind == UpdateKind.DELTA and [(e.task, e.state) for e in change.endpoints] == [(0, GONE)]
    assert desk.take(news(7, ("c", READY, 0), full=True)).kind == UpdateKind.FULL and set(desk.listing.entries) == {"c"}
    assert [e.task for e in desk.listing.full_list(UpdateKind.CACHED).endpoints] == [2]
    assert desk.take(WatchFailed()).kind == UpdateKind.FAILED and desk.take(RefreshRequested()) is None


def test_an_older_list_changes_nothing():
    desk = ListingDesk()
    desk.take(news(9, ("a", READY, 0), full=True))
    for old in (news(8, ("a", GONE, 0)), news(3, full=True)):
        assert desk.take(old) is None
    assert set(desk.listing.entries) == {"a"} and desk.listing.older_events == 2


FAULTS = [
    b"",
    b"[]",
    b"{",
    b"\xff\xfe",
    b'{"version":1}',
    b'{"version":-1,"full":true,"servers":[]}',
    b'{"version":"1","full":true,"servers":[]}',
    b'{"version":1,"full":true,"servers":{}}',
    b'{"version":1,"full":true,"servers":[{"id":"","zone":"khalda","state":"in_service"}]}',
    b'{"version":1,"full":true,"servers":[{"id":"a,b","zone":"khalda","state":"in_service"}]}',
    b'{"version":1,"full":true,"servers":[{"id":"a","zone":"mars","state":"in_service"}]}',
    b'{"version":1,"full":true,"servers":[{"id":"a","zone":"khalda","state":"up"}]}',
    b'{"version":1,"full":true,"servers":[{"id":"a","zone":"khalda","state":"in_service","weight":-1}]}',
    b'{"version":1,"full":true,"servers":[{"id":"a","zone":"khalda","state":"in_service","started_ms":-1}]}',
]


@pytest.mark.parametrize("raw", FAULTS)
def test_nonsense_is_named(raw):
    with pytest.raises(schema.EndpointListError, match="."):
        schema.read(raw, ZONES)


def test_calls_that_fail_are_made_again_after_growing_pauses():
    state, now, pauses = WatchState(2 * SECOND, Random(5)), 0, []
    for _ in range(12):
        assert state.handle(now, WatchInput.TICK) is WatchAction.CONNECT
        state.handle(now, WatchInput.CONNECT_STARTED)
        state.handle(now, WatchInput.CONNECTION_CLOSED)
        assert state.handle(now, WatchInput.TICK) is WatchAction.NONE
        pauses.append(state.next_at_us - now)
        now = state.next_at_us
    assert all(1 * SECOND <= pause <= 3 * SECOND for pause in pauses[5:]) and max(pauses[:1]) <= 0.3 * SECOND
    assert len(set(pauses)) == len(pauses)


def test_a_silent_watch_is_dead_and_a_moved_one_dialled_at_once():
    state = WatchState(2 * SECOND, Random(5))
    state.handle(0, WatchInput.CONNECT_STARTED)
    for second in range(1, 20):
        state.handle(second * SECOND, WatchInput.EVENT_RECEIVED)
        assert state.handle(second * SECOND + 1, WatchInput.TICK) is WatchAction.NONE
    assert state.handle(22 * SECOND, WatchInput.TICK) is WatchAction.DISCONNECT
    state.handle(22 * SECOND, WatchInput.CONNECTION_CLOSED)
    assert state.handle(22 * SECOND, WatchInput.ADDRESS_CHANGED) is WatchAction.CONNECT
    state.handle(22 * SECOND, WatchInput.CONNECT_STARTED)
    assert state.handle(22 * SECOND, WatchInput.ADDRESS_CHANGED) is WatchAction.DISCONNECT


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
def test_a_bad_answer_is_told_and_asked_again(answer):
    script = Script(answer, chunked(line(4, ("a",)), b"", line(5, ("b",), full=False)))
    watch, engine = watch_of(script)
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while len([one for one in engine.told if type(one) is EndpointListReceived]) < 2:
            gevent.sleep(0.01)
    job.kill()
    assert type(engine.told[0]) is WatchFailed and len(script.asked) == 2
    assert [one.event.version for one in engine.told if type(one) is EndpointListReceived] == [4, 5]


def test_after_a_move_it_asks_there_from_the_version_it_holds():
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
    assert there.asked == [b"/v1/servers?stream=1&index=7"] and set(watch.endpoint_list.entries) == {"a", "b"}


def test_a_move_before_a_call_has_begun_does_not_end_the_asking():
    script = Script(chunked(line(4, ("a",))))
    watch, engine = watch_of(script)
    watch.state.handle(watch.clock(), WatchInput.TICK)
    watch.state.handle(watch.clock(), WatchInput.CONNECT_STARTED)
    watch.connection = gevent.spawn(watch.run_connection)  # has not run yet
    watch.change_address(watch.address)
    assert watch.connection is None and not watch.state.connected
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not any(type(one) is EndpointListReceived for one in engine.told):
            gevent.sleep(0.01)
    job.kill()


def test_a_call_that_a_move_ended_is_no_failure():
    state = WatchState(2 * SECOND, Random(5))
    state.handle(0, WatchInput.CONNECT_STARTED)
    assert state.handle(SECOND, WatchInput.ADDRESS_CHANGED) is WatchAction.DISCONNECT
    state.handle(SECOND + 7, WatchInput.CONNECTION_CLOSED)
    assert state.failures == 0 and state.handle(SECOND + 7, WatchInput.TICK) is WatchAction.CONNECT
    state.handle(SECOND + 7, WatchInput.CONNECT_STARTED)
    state.handle(SECOND + 9, WatchInput.CONNECTION_CLOSED)
    assert state.failures == 1 and state.handle(SECOND + 9, WatchInput.TICK) is WatchAction.NONE
