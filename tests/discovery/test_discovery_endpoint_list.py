"""The endpoint list from events of discovery: versions, starts, changes and complete lists."""

from helpers import SECOND
from in_process import EndpointListRig

from hollyridge.discovery import schema
from hollyridge.discovery.endpoint_list import EndpointListReceived, WatchFailed
from hollyridge.interface import TaskState, UpdateKind
from hollyridge.registration.members import RefreshRequested

NOW = 1_000 * SECOND


READY, DRAINING, GONE = TaskState.READY, TaskState.DRAINING, TaskState.GONE


def news(version, *rows, full=False):
    entries = tuple(schema.ListedEndpoint(name, 0, 0, state, 1.0, ms) for name, state, ms in rows)
    return EndpointListReceived(schema.WatchEvent(version, full, entries))


def test_a_start_is_converted_to_the_monotonic_clock_once():
    desk = EndpointListRig()
    change = desk.take(news(1, ("a", READY, 0), ("b", READY, 49_998_000), ("c", READY, 60_000_000), full=True))
    assert [entry.started_at_us for entry in change.endpoints] == [0, NOW - 2 * SECOND, NOW]
    later = desk.take(news(2, ("c", DRAINING, 60_000_000)), NOW + SECOND)
    assert later.endpoints[0].started_at_us == NOW  # the same start, not a restart a second later
    again = desk.take(news(3, ("b", READY, 50_001_000)), NOW + 2 * SECOND)
    assert again.endpoints[0].started_at_us == NOW + SECOND and desk.listing.restarts == 1


def test_changes_and_complete_lists_are_handed_on_as_updates():
    desk = EndpointListRig()
    assert (
        desk.take(EndpointListReceived(news(5, ("a", READY, 0), ("b", READY, 0), full=True).event, stale=True)).kind
        == UpdateKind.CACHED
    )
    change = desk.take(news(6, ("a", GONE, 0), ("never", GONE, 0)))
    assert change.kind == UpdateKind.DELTA and [(e.task, e.state) for e in change.endpoints] == [(0, GONE)]
    assert desk.take(news(7, ("c", READY, 0), full=True)).kind == UpdateKind.FULL and set(desk.listing.entries) == {"c"}
    assert [e.task for e in desk.listing.full_list(UpdateKind.CACHED).endpoints] == [2]
    assert desk.take(WatchFailed()).kind == UpdateKind.FAILED and desk.take(RefreshRequested()) is None


def test_an_older_event_changes_nothing():
    desk = EndpointListRig()
    desk.take(news(9, ("a", READY, 0), full=True))
    for old in (news(8, ("a", GONE, 0)), news(3, full=True)):
        assert desk.take(old) is None
    assert set(desk.listing.entries) == {"a"} and desk.listing.older_events == 2
