"""Model checking of leases, fencing and moves."""

from hollyridge.lab.checks.lease_model_check import explore


def test_no_short_sequence_of_events_violates_a_lease_or_leaves_a_proxy_unserved():
    found = explore(4, asks=2, orders=2)
    assert not found.violation, found
    assert found.states > 500


def test_without_fencing_a_proxy_accepts_messages_of_a_former_owner():
    """The model checker has to find the fault of an earlier design, in which assigners chose the tokens.

    That design failed within six moves.
    """
    found = explore(9, fencing=False, asks=2, restarts=0)
    assert "again after" in found.violation
