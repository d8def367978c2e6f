"""The backlog: lines that acknowledgements prove to be delivered, and lines that are free to send."""

import itertools

import pytest
from helpers import SECOND, START, assigner_config

from hollyridge import interface as api
from hollyridge.decisions.backlog import BacklogEstimator


def test_lines_of_two_tables_in_one_batch_are_one_message_to_a_proxy():
    backlog = BacklogEstimator(assigner_config(max_messages_per_proxy=2))
    for _ in range(2):
        assert backlog.free_lines(START, [5], True) > 0
        backlog.reserve(START, [5], 10)
    assert backlog.sent == 2 * 10 + 3 + 1
    assert backlog.new_messages == 1
    backlog.request_ack(0.0)
    assert backlog.free_lines(START, [5], True) == 0  # at most 0.95 of two messages are allowed


def test_an_acknowledgement_proves_earlier_batches_and_a_part_of_its_own_without_an_assumed_pace():
    backlog = BacklogEstimator(assigner_config())
    for _ in range(2):
        sent_before = backlog.sent
        backlog.reserve(0, [1, 2], 396)
        (mark,) = backlog.request_ack(sent_before)
    assert backlog.sent - backlog.delivered == 1600
    assert backlog.free_lines(0, [1], True) == 196
    assert backlog.is_full()
    assert not backlog.free_lines(0, [1], False)
    backlog.advance(4 * SECOND)
    assert backlog.sent - backlog.delivered == 1600
    backlog.acknowledge(SECOND, api.Ack(2, mark.mark, 9 * SECOND))
    assert backlog.sent - backlog.delivered == 400
    assert backlog.free_lines(0, [1], True) == 1396
    for mark_number in (mark.mark, 999):  # a repeated acknowledgement, and a mark that was never requested
        backlog.acknowledge(SECOND, api.Ack(2, mark_number, 1))
        assert backlog.sent - backlog.delivered == 400
    backlog.acknowledge(SECOND, api.Ack(1, mark.mark, 9 * SECOND))
    assert backlog.sent == backlog.delivered
    assert not backlog.is_full()
    assert backlog.free_lines(0, [1, 2], False) == 500
    backlog.reserve(0, [1, 2], 396)
    backlog.advance(20 * SECOND)  # no proxy has acknowledged for a long time
    assert backlog.sent == backlog.delivered


def test_an_acknowledgement_of_a_merged_message_proves_no_more_than_the_queue_depth():
    backlog = BacklogEstimator(assigner_config())
    for proxy in range(3):
        backlog.reserve(START, [proxy], 96)
        (mark,) = backlog.request_ack(backlog.sent - 100)
    backlog.acknowledge(START, api.Ack(0, mark.mark, SECOND // 5))
    assert backlog.sent - backlog.delivered == 0  # all lines before that mark count as delivered
    backlog.limit_delivered(150.0)
    assert backlog.sent - backlog.delivered == 150.0
    backlog.limit_delivered(50.0)  # only acknowledgements reduce the backlog
    assert backlog.sent - backlog.delivered == 150.0


def test_a_batch_that_fills_the_channel_holds_pushes_until_all_have_acknowledged_it():
    """Guards against a full channel after one batch to 150 proxies, which blocked all other pushes for 7.5 s."""
    backlog, proxies = BacklogEstimator(assigner_config()), list(range(150))
    sent_before = backlog.sent
    backlog.reserve(0, proxies, 10)
    (mark,) = backlog.request_ack(sent_before)
    assert backlog.is_full()
    for proxy in proxies:
        backlog.acknowledge(SECOND // 2, api.Ack(proxy, mark.mark, SECOND // 4))
    assert not backlog.is_full()
    assert backlog.sent == backlog.delivered


@pytest.mark.parametrize(("grace_s", "limit_lines"), [(3, 1250), (20, 2000), (1, 250)])
def test_the_soft_limit_is_two_periods_of_the_channel_at_most_however_long_the_grace(grace_s, limit_lines):
    """Guards against a long backlog: with a grace of 20 s, weights and levels of a large fleet waited for 9 s."""
    assert (
        BacklogEstimator(
            assigner_config(drain_grace_us=grace_s * SECOND, max_waiting_lines=50_000.0)
        ).soft_backlog_limit
        == limit_lines
    )


@pytest.mark.parametrize(("grace_s", "max_transit_s"), [(1.5, 0.6), (2.0, 0.5), (3.0, 0.5), (3.5, 0.8)])
def test_urgent_messages_sent_whenever_they_are_due_never_use_up_the_limit(grace_s, max_transit_s):
    # Guards against tables that stand still for seconds because removals have used up the messages of their proxies.
    overrides = {"drain_grace_us": round(grace_s * SECOND), "max_transit_us": round(max_transit_s * SECOND)}
    backlog = BacklogEstimator(assigner_config(max_messages_per_proxy=30, lines_per_s=1e6, **overrides))
    times = []
    for now in range(START, START + 60 * SECOND, SECOND // 100):
        backlog.delivered = backlog.sent
        if backlog.next_urgent_message_us(now, [5]) <= now:
            assert backlog.free_lines(now, [5], urgent=True) > 0
            backlog.reserve(now, [5], 1)
            backlog.request_ack(0.0)
            times.append(now)
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert max(gaps) <= (overrides["drain_grace_us"] - overrides["max_transit_us"]) / 2 + SECOND // 100
    assert all(sum(start <= time < start + 10 * SECOND for time in times) <= 30 for start in times)
