"""The update protocol explored as a small world: no half table whatever is lost, duplicated, late or reordered."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hollyridge.lab.checks.update_model_check import World, explore


def test_no_interleaving_to_a_stated_depth_breaks_a_table():
    """Loss, doubling, reordering and a restart with smaller numbers: nothing half, nothing back."""
    for begin in ((), ("snapshot", "snapshot")):
        found = explore(depth=7, begin=begin)
        assert found.states > 5000 and not found.broken


@pytest.mark.parametrize(
    "fault, begin",
    [
        ("no count", ("snapshot", "snapshot")),
        ("no run", ("change", "restart", "snapshot", "snapshot")),
        ("no order", ("change", "change", "deliver")),
    ],
)
def test_the_model_catches_a_replica_that_leaves_out_a_check(fault, begin):
    assert explore(depth=7, fault=fault, begin=begin).broken


class Story(RuleBasedStateMachine):
    """The same, longer and at random."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @rule(pick=st.integers(0, 1000))
    def move(self, pick):
        moves = self.world.moves()
        self.world = self.world.after(moves[pick % len(moves)])

    @invariant()
    def whole_and_never_back(self):
        assert not self.world.broken(), self.world.broken()

    def teardown(self):
        """Once the world is quiet and heartbeats get through, the newest table is held."""
        assert self.world.settled().is_newest()


TestStory = Story.TestCase
TestStory.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
