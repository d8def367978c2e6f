"""Estimates of a former run or of a peer are used within bounds."""

import math

import pytest
from helpers import SECOND

from hollyridge import interface as api
from hollyridge.store import learned_estimates
from hollyridge.store.state_file import SavedState, TaskEstimate

ROWS = [TaskEstimate("127.1.0.1:9000", 20.0, 5.0, 1.2, 0.9), TaskEstimate("127.1.0.2:9000", 40.0, 5.0, 0.8, 1.1)]


INDEX = {"127.1.0.1:9000": 0, "127.1.0.2:9000": 1}.get


@pytest.mark.parametrize(
    ("state", "now_ms", "used", "age_s"),
    [
        (SavedState("f", 1000, ROWS, 0.6), 3000, 2, 2),
        (SavedState("other", 1000, ROWS, 0.6), 3000, 0, 0),  # from another fleet
        (SavedState("f", 9000, ROWS, 0.6), 3000, 2, 86_400),  # from the future, since the clock was set back
        (SavedState("f", 1000, [*ROWS, TaskEstimate("gone:1", 1.0, 1.0)], 0.6), 3000, 2, 2),
        (SavedState("f", 1000, [ROWS[0], TaskEstimate("127.1.0.2:9000", math.nan, 1.0)], 0.6), 3000, 1, 2),
        (SavedState("f", 1000, [TaskEstimate("127.1.0.1:9000", 5.0, 1.0, 900.0)], 0.6), 3000, 0, 0),
    ],
)
def test_estimates_of_the_last_run_are_used_if_plausible_and_listed(state, now_ms, used, age_s):
    restored = learned_estimates.restore_own(state, "f", now_ms, INDEX)
    if used:
        assert (len(restored.event.estimates), restored.event.age_us) == (used, age_s * SECOND)
    else:
        assert restored.event is None


def test_estimates_of_a_peer_are_limited_to_the_range_of_own_estimates():
    own = [api.LearnedEstimate(k, capacity, 3.0, 1.0, 1.0) for k, capacity in enumerate((10.0, 12.0, 14.0))]
    false_rows = [
        ("127.1.0.1:9000", 1e8, 1e8, 1.0, 1.0),
        ("127.1.0.2:9000", 1e-8, 9.0, 4.0, 100.0),
        ("x", 1.0, 1.0, 1, 1),
    ]
    restored = learned_estimates.restore_from_peer(false_rows, 1e9, 0, INDEX, own)
    assert [(r.capacity, r.busy_periods, r.efficiency, r.weight_ratio) for r in restored.event.estimates] == [
        (24.0, 1.0, 1.0, 1.0),
        (6.0, 1.0, 1.0, 1.0),
    ]
    assert restored.event.push_price == 0.0
    assert restored.left_out == {"not listed": 1}
    assert learned_estimates.restore_from_peer(false_rows, 0.0, 0, INDEX, []).event is None
