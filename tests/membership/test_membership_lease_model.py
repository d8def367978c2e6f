"""Leases, fencing and moves under model checking."""

from hollyridge.lab.checks.lease_model_check import explore


def test_no_short_run_of_events_breaks_a_lease_or_leaves_a_proxy_stuck():
    found = explore(4, asks=2, orders=2)
    assert not found.wrong, found
    assert found.worlds > 500


def test_without_fencing_a_former_owner_is_obeyed_again():
    """A first design, in which assigners chose the tokens, broke within six moves."""
    found = explore(9, fencing=False, asks=2, restarts=0)
    assert "again after" in found.wrong
