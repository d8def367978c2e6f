"""The endpoint directory: endpoint lists and repeated requests for them."""

from random import Random

from helpers import SECOND, START, AssignerRig, assigner_config, endpoint_list_update, make_endpoint

from hollyridge import interface as api
from hollyridge.decisions.endpoints import EndpointDirectory


def test_failed_requests_are_repeated_with_backoff_until_one_succeeds():
    rig = AssignerRig(subscribe=True)
    assert api.WatchEndpoints(True) in rig.commands
    waits = []
    for _ in range(4):
        rig.feed(endpoint_list_update([], api.UpdateKind.FAILED), after=0.1)
        start = rig.now
        while api.WatchEndpoints(True) not in rig.feed(api.TimerFired(1), after=0.05):
            assert rig.now - start < 20 * SECOND
        waits.append(rig.now - start)
    assert waits[3] > waits[0]
    rig.feed(endpoint_list_update([], api.UpdateKind.DELTA), after=0.1)
    assert api.WatchEndpoints(True) not in rig.feed(api.TimerFired(1), after=5)
    # The watch is renewed before a lack of updates could mean that it was lost.
    assert api.WatchEndpoints(True) in rig.feed(api.TimerFired(1), after=6)


def test_a_cached_list_is_replaced_by_the_full_one():
    directory = EndpointDirectory(assigner_config(), Random(1))
    assert directory.apply_update(
        START, endpoint_list_update([make_endpoint(0), make_endpoint(1)], api.UpdateKind.CACHED)
    ) == [0, 1]
    assert directory.apply_update(START, endpoint_list_update([make_endpoint(1), make_endpoint(2)])) == [2]
    assert directory.ready_tasks() == [1, 2]
    assert directory.apply_update(
        START, endpoint_list_update([make_endpoint(1, started_at=START)], api.UpdateKind.DELTA)
    ) == [1]
