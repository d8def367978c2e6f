"""The endpoint list from events of discovery: versions, starts, changes and complete lists."""

from helpers import SECOND
from in_process import ListingDesk

from hollyridge.discovery import schema
from hollyridge.discovery.endpoint_list import EndpointListReceived, WatchFailed
from hollyridge.discovery.timing import MAX_PROPAGATION_US
from hollyridge.interface import TaskState, UpdateKind
from hollyridge.registration.members import RefreshRequested, Tick

NOW = 1_000 * SECOND
READY, DRAINING, GONE = TaskState.READY, TaskState.DRAINING, TaskState.GONE


def received(version, *rows, full=False, stale=False):
    entries = tuple(schema.ListedEndpoint(name, 0, 0, state, 1.0, ms) for name, state, ms in rows)
    return EndpointListReceived(schema.WatchEvent(version, full, entries), stale)


def test_a_start_is_converted_to_the_monotonic_clock():
    desk = ListingDesk()
    change = desk.take(received(1, ("a", READY, 0), ("b", READY, 49_998_000), ("c", READY, 60_000_000), full=True))
    assert [entry.started_at_us for entry in change.endpoints] == [0, NOW - 2 * SECOND, NOW]


def test_the_same_start_is_converted_once_and_another_one_is_a_restart():
    desk = ListingDesk()
    desk.take(received(1, ("a", READY, 0), ("b", READY, 49_998_000), ("c", READY, 60_000_000), full=True))
    later = desk.take(received(2, ("c", DRAINING, 60_000_000)), NOW + SECOND)
    assert later.endpoints[0].started_at_us == NOW  # the same start, not a restart a second later
    again = desk.take(received(3, ("b", READY, 50_001_000)), NOW + 2 * SECOND)
    assert again.endpoints[0].started_at_us == NOW + SECOND
    assert desk.listing.restarts == 1


def test_changes_and_complete_lists_are_handed_on_as_updates():
    desk = ListingDesk()
    assert desk.take(received(5, ("a", READY, 0), ("b", READY, 0), full=True, stale=True)).kind == UpdateKind.CACHED
    change = desk.take(received(6, ("a", GONE, 0), ("never", GONE, 0)))
    assert change.kind == UpdateKind.DELTA
    assert [(e.task, e.state) for e in change.endpoints] == [(0, GONE)]
    assert desk.take(received(7, ("c", READY, 0), full=True)).kind == UpdateKind.FULL
    assert set(desk.listing.entries) == {"c"}
    assert [e.task for e in desk.listing.full_list(UpdateKind.CACHED).endpoints] == [2]


def test_a_failed_watch_is_handed_on_and_a_refresh_is_not():
    desk = ListingDesk()
    desk.take(received(7, ("c", READY, 0), full=True))
    assert desk.take(WatchFailed()).kind == UpdateKind.FAILED
    assert desk.take(RefreshRequested()) is None


def test_an_older_event_changes_nothing():
    desk = ListingDesk()
    desk.take(received(9, ("a", READY, 0), full=True))
    for old in (received(8, ("a", GONE, 0)), received(3, full=True)):
        assert desk.take(old) is None
    assert set(desk.listing.entries) == {"a"}
    assert desk.listing.older_events == 2


def test_an_older_list_is_kept_up_and_replaces_the_current_one_after_the_propagation_time():
    desk = ListingDesk()
    desk.take(received(9, ("a", READY, 0), ("b", READY, 0), full=True))
    assert desk.take(received(3, ("b", READY, 0), ("c", READY, 0), full=True)) is None
    assert desk.take(received(4, ("c", GONE, 0), ("d", READY, 0)), NOW + SECOND) is None
    due = desk.listing.next_deadline(NOW)
    assert due == NOW + MAX_PROPAGATION_US
    assert desk.take(Tick(), due - 1) is None
    assert set(desk.listing.entries) == {"a", "b"}
    assert desk.take(Tick(), due).kind == UpdateKind.FULL
    assert set(desk.listing.entries) == {"b", "d"}
    assert (desk.listing.version, desk.listing.version_resets, desk.listing.next_deadline(due)) == (4, 1, None)


def test_a_complete_list_as_new_as_the_current_one_discards_the_older_list():
    desk = ListingDesk()
    desk.take(received(9, ("a", READY, 0), full=True))
    desk.take(received(3, ("b", READY, 0), full=True))
    assert desk.take(received(9, ("a", READY, 0), full=True)).kind == UpdateKind.FULL
    assert desk.listing.next_deadline(NOW) is None
    assert desk.listing.version_resets == 0
    assert desk.take(Tick(), NOW + 2 * MAX_PROPAGATION_US) is None
    assert set(desk.listing.entries) == {"a"}


def test_an_endpoint_beyond_the_maximum_is_rejected_and_counted():
    desk = ListingDesk()
    rows = [(f"s-{k}", READY, 0) for k in range(101)]  # the desk has indices for a hundred
    assert len(desk.take(received(1, *rows, full=True)).endpoints) == 100
    assert desk.listing.rejected_endpoints == 1
    assert len(desk.listing.entries) == 100
