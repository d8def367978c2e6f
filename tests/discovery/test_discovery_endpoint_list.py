"""The tracker of the endpoint list: versions, start times, changes and complete lists."""

from helpers import SECOND
from in_process import EndpointListRig

from hollyridge.discovery import schema
from hollyridge.discovery.endpoint_list import EndpointListReceived, WatchFailed
from hollyridge.discovery.timing import MAX_PROPAGATION_US
from hollyridge.interface import TaskState, UpdateKind
from hollyridge.registration.members import RefreshRequested, Tick

NOW = 1_000 * SECOND
READY, DRAINING, GONE = TaskState.READY, TaskState.DRAINING, TaskState.GONE


def list_event(version, *rows, full=False, stale=False):
    entries = tuple(schema.ListedEndpoint(name, 0, 0, state, 1.0, started_ms) for name, state, started_ms in rows)
    return EndpointListReceived(schema.WatchEvent(version, full, entries), stale)


def test_a_start_is_converted_to_the_monotonic_clock():
    rig = EndpointListRig()
    change = rig.apply(list_event(1, ("a", READY, 0), ("b", READY, 49_998_000), ("c", READY, 60_000_000), full=True))
    assert [entry.started_at_us for entry in change.endpoints] == [0, NOW - 2 * SECOND, NOW]


def test_an_unchanged_start_is_converted_once_and_a_different_one_is_a_restart():
    rig = EndpointListRig()
    rig.apply(list_event(1, ("a", READY, 0), ("b", READY, 49_998_000), ("c", READY, 60_000_000), full=True))
    later = rig.apply(list_event(2, ("c", DRAINING, 60_000_000)), NOW + SECOND)
    assert later.endpoints[0].started_at_us == NOW  # the same start, not a restart a second later
    again = rig.apply(list_event(3, ("b", READY, 50_001_000)), NOW + 2 * SECOND)
    assert again.endpoints[0].started_at_us == NOW + SECOND
    assert rig.tracker.restarts == 1


def test_changes_and_complete_lists_become_updates():
    rig = EndpointListRig()
    assert rig.apply(list_event(5, ("a", READY, 0), ("b", READY, 0), full=True, stale=True)).kind == UpdateKind.CACHED
    change = rig.apply(list_event(6, ("a", GONE, 0), ("never", GONE, 0)))
    assert change.kind == UpdateKind.DELTA
    assert [(e.task, e.state) for e in change.endpoints] == [(0, GONE)]
    assert rig.apply(list_event(7, ("c", READY, 0), full=True)).kind == UpdateKind.FULL
    assert set(rig.tracker.entries) == {"c"}
    assert [e.task for e in rig.tracker.full_list(UpdateKind.CACHED).endpoints] == [2]


def test_a_failed_watch_becomes_an_update_and_a_refresh_does_not():
    rig = EndpointListRig()
    rig.apply(list_event(7, ("c", READY, 0), full=True))
    assert rig.apply(WatchFailed()).kind == UpdateKind.FAILED
    assert rig.apply(RefreshRequested()) is None


def test_an_older_event_changes_nothing():
    rig = EndpointListRig()
    rig.apply(list_event(9, ("a", READY, 0), full=True))
    for old in (list_event(8, ("a", GONE, 0)), list_event(3, full=True)):
        assert rig.apply(old) is None
    assert set(rig.tracker.entries) == {"a"}
    assert rig.tracker.older_events == 2


def test_an_older_list_is_updated_and_replaces_the_current_one_after_the_propagation_time():
    rig = EndpointListRig()
    rig.apply(list_event(9, ("a", READY, 0), ("b", READY, 0), full=True))
    assert rig.apply(list_event(3, ("b", READY, 0), ("c", READY, 0), full=True)) is None
    assert rig.apply(list_event(4, ("c", GONE, 0), ("d", READY, 0)), NOW + SECOND) is None
    due = rig.tracker.next_deadline(NOW)
    assert due == NOW + MAX_PROPAGATION_US
    assert rig.apply(Tick(), due - 1) is None
    assert set(rig.tracker.entries) == {"a", "b"}
    assert rig.apply(Tick(), due).kind == UpdateKind.FULL
    assert set(rig.tracker.entries) == {"b", "d"}
    assert (rig.tracker.version, rig.tracker.version_resets, rig.tracker.next_deadline(due)) == (4, 1, None)


def test_a_complete_list_as_new_as_the_current_one_discards_the_older_list():
    rig = EndpointListRig()
    rig.apply(list_event(9, ("a", READY, 0), full=True))
    rig.apply(list_event(3, ("b", READY, 0), full=True))
    assert rig.apply(list_event(9, ("a", READY, 0), full=True)).kind == UpdateKind.FULL
    assert rig.tracker.next_deadline(NOW) is None
    assert rig.tracker.version_resets == 0
    assert rig.apply(Tick(), NOW + 2 * MAX_PROPAGATION_US) is None
    assert set(rig.tracker.entries) == {"a"}


def test_an_endpoint_beyond_the_maximum_is_rejected_and_counted():
    rig = EndpointListRig()
    rows = [(f"s-{k}", READY, 0) for k in range(101)]  # one more than there are indices
    assert len(rig.apply(list_event(1, *rows, full=True)).endpoints) == 100
    assert rig.tracker.rejected_endpoints == 1
    assert len(rig.tracker.entries) == 100
