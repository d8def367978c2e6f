"""Model check of the update protocol.

A replica never holds a partial table, even if messages are lost, duplicated, delayed or reordered.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hollyridge.lab.checks.update_model_check import World, explore


def test_no_interleaving_up_to_a_given_depth_breaks_a_table():
    """Loss, duplication, reordering or a restart with smaller numbers leads to no partial and no older table."""
    for begin in ((), ("snapshot", "snapshot")):
        found = explore(depth=7, begin=begin)
        assert found.states > 5000
        assert not found.broken


@pytest.mark.parametrize(
    ("fault", "begin"),
    [
        ("no count", ("snapshot", "snapshot")),
        ("no run", ("change", "restart", "snapshot", "snapshot")),
        ("no order", ("change", "change", "deliver")),
    ],
)
def test_the_model_detects_a_replica_that_omits_a_check(fault, begin):
    assert explore(depth=7, fault=fault, begin=begin).broken


class UpdateProtocolMachine(RuleBasedStateMachine):
    """Longer, random sequences of moves."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @rule(pick=st.integers(0, 1000))
    def move(self, pick):
        moves = self.world.moves()
        self.world = self.world.after(moves[pick % len(moves)])

    @invariant()
    def table_is_complete_and_never_older(self):
        assert not self.world.broken(), self.world.broken()

    def teardown(self):
        """Check that the replica holds the newest table once all messages and heartbeats are delivered."""
        assert self.world.settled().is_newest()


TestUpdateProtocol = UpdateProtocolMachine.TestCase
TestUpdateProtocol.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
