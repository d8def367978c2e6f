"""Events of discovery that cross: heartbeats, slow lists, address changes and replicas that lag."""

import socket
import time

import gevent
from in_process import Script, chunked, line, watch_of

from hollyridge import interface as api
from hollyridge.discovery.endpoint_list import EndpointListReceived, WatchFailed
from hollyridge.discovery.timing import MAX_PROPAGATION_US
from hollyridge.discovery.watch_state import WatchInput
from hollyridge.registration.members import Tick


def test_a_watch_with_heartbeats_but_no_first_list_is_dropped():
    beats = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    script = Script([beats, *[b"1\r\n\n\r\n"] * 100], chunked(line(4, ("a",))))
    watch, engine = watch_of(script, beat=100_000)
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not any(type(event) is EndpointListReceived for event in engine.told):
            assert not watch.state.watching
            gevent.sleep(0.005)
    assert len(script.asked) == 2
    assert watch.counts["beats"] > 2
    job.kill()


def test_bytes_that_end_no_line_do_not_keep_a_watch_alive():
    script = Script([chunked(line(4, ("a",))), *[b"1\r\nx\r\n"] * 1000], chunked(line(5, ("b",), full=False)))
    watch, engine = watch_of(script, beat=100_000)
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while [event.event.version for event in engine.told if type(event) is EndpointListReceived] != [4, 5]:
            gevent.sleep(0.005)
    assert len(script.asked) == 2
    assert watch.counts["ended"] == 1
    job.kill()


def test_a_first_list_that_arrives_slowly_is_read_to_its_end():
    whole = chunked(line(4, *[(f"s-{k}",) for k in range(40)]))
    script = Script([whole[at : at + len(whole) // 20] for at in range(0, len(whole), len(whole) // 20)])
    watch, engine = watch_of(script, beat=200_000)
    assert 0.3 < (len(script.acts[0]) - 1) * Script.PAUSE < 0.6  # longer than an answer may take that does not move
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not any(type(event) is EndpointListReceived for event in engine.told):
            gevent.sleep(0.005)
    assert len(script.asked) == 1
    job.kill()


def test_two_address_changes_at_once_leave_one_watch_at_the_last_address():
    """The first move still waits for the old call to end when the second comes, and the new call stands by then."""
    here = Script(["hang", b""])
    there = Script([chunked(line(7, ("a",))), *[b"1\r\n\n\r\n"] * 100], [chunked(line(7, ("a",)))])
    watch, engine = watch_of(here, beat=2_000_000)
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not here.asked:
            gevent.sleep(0.005)
        end, stood = watch.on_connection_closed, gevent.event.Event()

        def ended(call):
            end(call)
            stood.wait()  # the old call is not dead before the new one stands

        watch.on_connection_closed = ended
        moves = [
            gevent.spawn(watch.change_address, ("127.0.0.1", script.server.server_port)) for script in (here, there)
        ]
        while not there.asked:
            gevent.sleep(0.005)
        while not any(type(event) is EndpointListReceived for event in engine.told):
            gevent.sleep(0.005)
        watch.on_connection_closed = end
        stood.set()
        gevent.joinall(moves)
        gevent.sleep(0.05)
    assert watch.state.connected
    assert watch.state.watching
    assert watch.connection is not None
    assert len(there.asked) == 1
    assert len(here.asked) == 1
    assert sum(type(event) is WatchFailed for event in engine.told) == 1
    job.kill()


def test_an_address_change_ends_a_connection_attempt_that_hangs():
    deaf = socket.create_server(("127.0.0.1", 0), backlog=0)
    filler = [socket.socket() for _ in range(4)]
    for sock in filler:  # fills the backlog: the next connection is neither taken nor refused
        sock.setblocking(False)
        sock.connect_ex(deaf.getsockname())
    there = Script([chunked(line(7, ("a",)))])
    watch, engine = watch_of(there, beat=4_000_000)
    address, watch.address = watch.address, deaf.getsockname()
    job = gevent.spawn(watch.run)
    gevent.sleep(0)
    begun = time.monotonic()
    with gevent.Timeout(5):
        while not watch.state.connected:
            gevent.sleep(0.001)
        gevent.sleep(0.01)
        watch.change_address(address)
        while not any(type(event) is EndpointListReceived for event in engine.told):
            gevent.sleep(0.005)
    assert time.monotonic() - begun < 1.5
    assert len(there.asked) == 1
    assert watch.counts["calls"] == 2
    job.kill()
    for sock in (deaf, *filler):
        sock.close()


def test_discovery_that_restarts_its_versions_is_accepted_after_a_while():
    news = [line(50, ("a",), ("b",)), line(3, ("b",), ("c",)), line(4, ("c", 0, "terminated"), ("d",), full=False)]
    script = Script([chunked(news[0])], [chunked(news[1], news[2]), *[b"1\r\n\n\r\n"] * 100])
    watch, engine = watch_of(script, beat=2_000_000)
    changes = []
    engine.update_endpoints = lambda now, what: changes.append(watch.endpoint_list.handle(now, what).change)
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while watch.endpoint_list.older_events < 2:
            gevent.sleep(0.005)
    listing, now = watch.endpoint_list, watch.clock()
    assert set(listing.entries) == {"a", "b"}
    assert listing.version == 50
    due = listing.next_deadline(now)
    assert listing.handle(due - 1, Tick()).change is None
    change = listing.handle(due, Tick()).change
    assert due <= now + MAX_PROPAGATION_US
    assert change.kind == api.UpdateKind.FULL
    assert set(listing.entries) == {"b", "d"}
    assert listing.version == 4
    assert listing.next_deadline(due) is None
    job.kill()


def test_a_replica_that_catches_up_in_time_brings_back_no_removed_task():
    script = Script(
        [chunked(line(50, ("a",), ("b",)), line(51, ("b", 0, "terminated"), full=False))],
        [chunked(line(49, ("a",), ("b",)), line(51, ("b", 0, "terminated"), full=False))],
    )
    watch, engine = watch_of(script, beat=2_000_000)
    seen = []
    engine.update_endpoints = lambda now, what: seen.append(
        (watch.endpoint_list.handle(now, what).change, set(watch.endpoint_list.entries))
    )
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while watch.endpoint_list.version_resets + (watch.endpoint_list.older_events > 0) < 2:
            gevent.sleep(0.005)
    assert seen[-1][1] == {"a"}
    assert not any("b" in rows for _, rows in seen[2:])
    assert watch.endpoint_list.version == 51
    assert watch.endpoint_list.next_deadline(0) is None
    job.kill()


def test_the_late_end_of_a_replaced_call_ends_nothing():
    watch, engine = watch_of(Script())
    watch.state.handle(watch.clock(), WatchInput.CONNECT_STARTED)
    old, watch.connection = gevent.spawn(watch.run_connection), gevent.spawn(gevent.sleep, 1)
    old.kill()
    watch.on_connection_closed(old)
    assert watch.state.connected
    assert watch.connection is not None
    assert not engine.told
    watch.connection.kill()
