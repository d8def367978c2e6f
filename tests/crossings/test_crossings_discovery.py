"""Crossings in discovery: heartbeats, slow lists, address changes and lagging replicas."""

import socket
import time

import gevent
from in_process import ScriptedDiscovery, chunked, list_line, make_watch_client

from hollyridge import interface as api
from hollyridge.discovery.endpoint_list import EndpointListReceived, WatchFailed
from hollyridge.discovery.timing import MAX_PROPAGATION_US
from hollyridge.discovery.watch_state import WatchInput
from hollyridge.registration.members import Tick


def test_a_watch_with_heartbeats_but_no_first_list_is_closed():
    header = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    scripted_discovery = ScriptedDiscovery([header, *[b"1\r\n\n\r\n"] * 100], chunked(list_line(4, ("a",))))
    watch, engine = make_watch_client(scripted_discovery, heartbeat_interval_us=100_000)
    greenlet = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not any(type(event) is EndpointListReceived for event in engine.received):
            assert not watch.state.watching
            gevent.sleep(0.005)
    assert len(scripted_discovery.requested_paths) == 2
    assert watch.counts["beats"] > 2
    greenlet.kill()


def test_bytes_without_a_line_end_do_not_keep_a_watch_open():
    scripted_discovery = ScriptedDiscovery(
        [chunked(list_line(4, ("a",))), *[b"1\r\nx\r\n"] * 1000], chunked(list_line(5, ("b",), full=False))
    )
    watch, engine = make_watch_client(scripted_discovery, heartbeat_interval_us=100_000)
    greenlet = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while [event.event.version for event in engine.received if type(event) is EndpointListReceived] != [4, 5]:
            gevent.sleep(0.005)
    assert len(scripted_discovery.requested_paths) == 2
    assert watch.counts["ended"] == 1
    greenlet.kill()


def test_a_first_list_that_arrives_slowly_is_read_to_its_end():
    response = chunked(list_line(4, *[(f"s-{k}",) for k in range(40)]))
    scripted_discovery = ScriptedDiscovery(
        [response[start : start + len(response) // 20] for start in range(0, len(response), len(response) // 20)]
    )
    watch, engine = make_watch_client(scripted_discovery, heartbeat_interval_us=200_000)
    assert (
        0.3 < (len(scripted_discovery.responses[0]) - 1) * ScriptedDiscovery.PIECE_INTERVAL_S < 0.6
    )  # longer than the timeout of a stalled response
    greenlet = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not any(type(event) is EndpointListReceived for event in engine.received):
            gevent.sleep(0.005)
    assert len(scripted_discovery.requested_paths) == 1
    greenlet.kill()


def test_two_address_changes_at_once_leave_one_watch_at_the_last_address():
    """The second change comes while the first still waits for the old call to end and a new call is already open."""
    first = ScriptedDiscovery(["hang", b""])
    second = ScriptedDiscovery(
        [chunked(list_line(7, ("a",))), *[b"1\r\n\n\r\n"] * 100], [chunked(list_line(7, ("a",)))]
    )
    watch, engine = make_watch_client(first, heartbeat_interval_us=2_000_000)
    greenlet = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not first.requested_paths:
            gevent.sleep(0.005)
        on_connection_closed, new_call_open = watch.on_connection_closed, gevent.event.Event()

        def delayed_on_connection_closed(call):
            on_connection_closed(call)
            new_call_open.wait()  # keeps the greenlet of the old call alive until the new call is open

        watch.on_connection_closed = delayed_on_connection_closed
        changes = [
            gevent.spawn(watch.change_address, ("127.0.0.1", scripted_discovery.server.server_port))
            for scripted_discovery in (first, second)
        ]
        while not second.requested_paths:
            gevent.sleep(0.005)
        while not any(type(event) is EndpointListReceived for event in engine.received):
            gevent.sleep(0.005)
        watch.on_connection_closed = on_connection_closed
        new_call_open.set()
        gevent.joinall(changes)
        gevent.sleep(0.05)
    assert watch.state.connected
    assert watch.state.watching
    assert watch.connection is not None
    assert len(second.requested_paths) == 1
    assert len(first.requested_paths) == 1
    assert sum(type(event) is WatchFailed for event in engine.received) == 1
    greenlet.kill()


def test_an_address_change_ends_a_connection_attempt_that_hangs():
    full_server = socket.create_server(("127.0.0.1", 0), backlog=0)
    filler = [socket.socket() for _ in range(4)]
    for sock in filler:  # fills the backlog, so that the next connection is neither accepted nor refused
        sock.setblocking(False)
        sock.connect_ex(full_server.getsockname())
    scripted_discovery = ScriptedDiscovery([chunked(list_line(7, ("a",)))])
    watch, engine = make_watch_client(scripted_discovery, heartbeat_interval_us=4_000_000)
    address, watch.address = watch.address, full_server.getsockname()
    greenlet = gevent.spawn(watch.run)
    gevent.sleep(0)
    start = time.monotonic()
    with gevent.Timeout(5):
        while not watch.state.connected:
            gevent.sleep(0.001)
        gevent.sleep(0.01)
        watch.change_address(address)
        while not any(type(event) is EndpointListReceived for event in engine.received):
            gevent.sleep(0.005)
    assert time.monotonic() - start < 1.5
    assert len(scripted_discovery.requested_paths) == 1
    assert watch.counts["calls"] == 2
    greenlet.kill()
    for sock in (full_server, *filler):
        sock.close()


def test_reset_versions_of_discovery_are_accepted_after_the_propagation_time():
    events = [
        list_line(50, ("a",), ("b",)),
        list_line(3, ("b",), ("c",)),
        list_line(4, ("c", 0, "terminated"), ("d",), full=False),
    ]
    scripted_discovery = ScriptedDiscovery(
        [chunked(events[0])], [chunked(events[1], events[2]), *[b"1\r\n\n\r\n"] * 100]
    )
    watch, engine = make_watch_client(scripted_discovery, heartbeat_interval_us=2_000_000)
    changes = []
    engine.update_endpoints = lambda now, event: changes.append(watch.endpoint_list.handle(now, event).change)
    greenlet = gevent.spawn(watch.run)
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
    greenlet.kill()


def test_a_lagging_replica_that_catches_up_in_time_does_not_restore_removed_tasks():
    scripted_discovery = ScriptedDiscovery(
        [chunked(list_line(50, ("a",), ("b",)), list_line(51, ("b", 0, "terminated"), full=False))],
        [chunked(list_line(49, ("a",), ("b",)), list_line(51, ("b", 0, "terminated"), full=False))],
    )
    watch, engine = make_watch_client(scripted_discovery, heartbeat_interval_us=2_000_000)
    seen = []
    engine.update_endpoints = lambda now, event: seen.append(
        (watch.endpoint_list.handle(now, event).change, set(watch.endpoint_list.entries))
    )
    greenlet = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while watch.endpoint_list.version_resets + (watch.endpoint_list.older_events > 0) < 2:
            gevent.sleep(0.005)
    assert seen[-1][1] == {"a"}
    assert not any("b" in names for _, names in seen[2:])
    assert watch.endpoint_list.version == 51
    assert watch.endpoint_list.next_deadline(0) is None
    greenlet.kill()


def test_the_late_end_of_a_replaced_call_does_not_affect_the_new_one():
    watch, engine = make_watch_client(ScriptedDiscovery())
    watch.state.handle(watch.clock(), WatchInput.CONNECT_STARTED)
    old, watch.connection = gevent.spawn(watch.run_connection), gevent.spawn(gevent.sleep, 1)
    old.kill()
    watch.on_connection_closed(old)
    assert watch.state.connected
    assert watch.connection is not None
    assert not engine.received
    watch.connection.kill()
