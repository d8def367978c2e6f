"""Connections that have not joined: their timeout, and the order in which they are closed when there are too many."""

from helpers import SECOND

from hollyridge.limits.pending_connections import PendingConnections


def test_a_connection_that_does_not_join_is_closed_after_the_timeout():
    pending = PendingConnections(join_timeout_us=2 * SECOND)
    closed = [number for now_us in range(500) for number in pending.add(now_us, now_us, 300)]
    assert closed == list(range(200))
    assert len(pending.waiting) == 300
    pending.remove(499)
    assert pending.overdue(2 * SECOND + 250) == list(range(200, 251))
    assert pending.overdue(9 * SECOND)[-1] == 498
    assert pending.next_deadline is None
    assert not pending.silent


def test_a_connection_that_has_begun_to_join_survives_a_flood_of_silent_ones():
    pending = PendingConnections(join_timeout_us=2 * SECOND)
    pending.add(0, 0, 8)
    pending.mark_active(0)
    assert [number for now_us in range(1, 300) for number in pending.add(now_us, now_us, 8)] == list(range(1, 293))
    for now_us in range(300, 310):
        pending.mark_active(now_us - 1)
        assert len(pending.add(now_us, now_us, 8)) == 1
    assert pending.add(400, 400, 0)
    assert len(pending.waiting) == 1
