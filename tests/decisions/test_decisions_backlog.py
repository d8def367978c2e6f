"""The backlog: what acknowledgements prove, and what is free."""

import pytest
from helpers import SECOND, START, bootstrap

from hollyridge import interface as api
from hollyridge.decisions.backlog import BacklogEstimator


def test_lines_of_two_tables_in_one_batch_are_one_message_to_a_proxy():
    backlog = BacklogEstimator(bootstrap(max_messages_per_proxy=2))
    for _ in range(2):
        assert backlog.free_lines(START, [5], True) > 0
        backlog.reserve(START, [5], 10)
    assert backlog.sent == 2 * 10 + 3 + 1
    assert backlog.new_messages == 1
    backlog.request_ack(0.0)
    assert backlog.free_lines(START, [5], True) == 0  # and at most 0.95 of two messages


def test_an_acknowledgement_proves_earlier_batches_and_its_part_of_its_own_and_no_pace_is_assumed():
    backlog = BacklogEstimator(bootstrap())
    for _ in range(2):
        already = backlog.sent
        backlog.reserve(0, [1, 2], 396)
        (mark,) = backlog.request_ack(already)
    assert backlog.sent - backlog.delivered == 1600
    assert backlog.free_lines(0, [1], True) == 196
    assert backlog.is_full()
    assert not backlog.free_lines(0, [1], False)
    backlog.advance(4 * SECOND)
    assert backlog.sent - backlog.delivered == 1600
    backlog.acknowledge(SECOND, api.Ack(2, mark.mark, 9 * SECOND))
    assert backlog.sent - backlog.delivered == 400
    assert backlog.free_lines(0, [1], True) == 1396
    for again in (mark.mark, 999):  # the same proxy again, and a mark that was never requested
        backlog.acknowledge(SECOND, api.Ack(2, again, 1))
        assert backlog.sent - backlog.delivered == 400
    backlog.acknowledge(SECOND, api.Ack(1, mark.mark, 9 * SECOND))
    assert backlog.sent == backlog.delivered
    assert not backlog.is_full()
    assert backlog.free_lines(0, [1, 2], False) == 500
    backlog.reserve(0, [1, 2], 396)
    backlog.advance(20 * SECOND)  # nobody has answered for long
    assert backlog.sent == backlog.delivered


def test_an_acknowledgement_of_a_merged_message_proves_no_more_than_the_queue_depth():
    backlog = BacklogEstimator(bootstrap())
    for proxy in range(3):
        backlog.reserve(START, [proxy], 96)
        (order,) = backlog.request_ack(backlog.sent - 100)
    backlog.acknowledge(START, api.Ack(0, order.mark, SECOND // 5))
    assert backlog.sent - backlog.delivered == 0  # as if all before that mark had left
    backlog.limit_delivered(150.0)
    assert backlog.sent - backlog.delivered == 150.0
    backlog.limit_delivered(50.0)  # less waits than was known: that is for acknowledgements to prove
    assert backlog.sent - backlog.delivered == 150.0


def test_a_batch_that_fills_the_channel_holds_pushes_until_all_have_acknowledged_it():
    """150 proxies on one assigner: one batch was more than may wait, and nothing followed it for 7.5 s."""
    backlog, proxies = BacklogEstimator(bootstrap()), list(range(150))
    already = backlog.sent
    backlog.reserve(0, proxies, 10)
    (mark,) = backlog.request_ack(already)
    assert backlog.is_full()
    for proxy in proxies:
        backlog.acknowledge(SECOND // 2, api.Ack(proxy, mark.mark, SECOND // 4))
    assert not backlog.is_full()
    assert backlog.sent == backlog.delivered


@pytest.mark.parametrize(("grace", "lines"), [(3, 1250), (20, 2000), (1, 250)])
def test_the_soft_limit_is_two_periods_of_the_channel_at_most_however_long_the_grace(grace, lines):
    """On days of a large fleet the grace is 20 s: weights and levels waited 9 s behind others of their kind."""
    assert (
        BacklogEstimator(bootstrap(drain_grace_us=grace * SECOND, max_waiting_lines=50_000.0)).soft_backlog_limit
        == lines
    )
