"""Updates are sent in order, at the configured pace, and merged with one that waits for the same proxy."""

from random import Random

from helpers import SECOND

from hollyridge.delivery.paced_queue import PacedQueue
from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.store.table_versions import TableStore


def update(proxy, lines=1, mark=-1, number=1, table=0):
    value = TableStore(1).put(number, table, {i: 1.0 for i in range(lines)})
    return ProxyUpdate(proxy, number, 0, (), ((table, value),), ((table, lines),), mark)


def test_updates_are_sent_in_order_at_the_configured_pace():
    queue, departures = PacedQueue(lines_per_s=1000, overhead_lines=3, max_lines=10_000), []
    for k in range(50):
        queue.put(0, update(k, 7), 7, 7)
    for now in range(0, SECOND, 1000):
        while (sent := queue.take_due(now)) is not None:
            departures.append((now, sent.proxy))
    assert [p for _, p in departures] == list(range(50))
    assert departures[0][0] == 10_000
    assert departures[-1][0] == 500_000
    assert queue.waiting_lines == 0


def test_an_update_is_merged_into_the_waiting_one_of_its_proxy_and_keeps_its_position():
    queue, store = PacedQueue(1000, 10, max_lines=10_000), TableStore(4)
    for number, mark in ((1, 4), (2, 5)):
        for proxy in (7, 8, 9):
            value = store.put(number, 0, {task: float(number) for task in range(3)})
            queue.put(number, ProxyUpdate(proxy, number, number, (), ((0, value),), ((0, 3),), mark), 3, 6)
    assert queue.waiting_lines == 3 * (10 + 1 + 6)  # not 28 each: one overhead and one mark
    sent = [queue.take_due(SECOND) for _ in range(3)]
    assert [merged.proxy for merged in sent] == [7, 8, 9]
    assert {merged.mark for merged in sent} == {5}
    assert all(dict(merged.tables[0][1].lines) == {0: 2.0, 1: 2.0, 2: 2.0} for merged in sent)


def test_at_the_limit_updates_merge_and_none_is_lost():
    queue, rng, store, expected_tables, marks = PacedQueue(1000, 3, max_lines=200), Random(5), TableStore(1), {}, {}
    highest = 0
    for number in range(400):
        proxy, table = number % 10, rng.randrange(2)
        value = store.put(number, table, {task: rng.random() for task in rng.sample(range(12), 4)})
        expected_tables.setdefault(proxy, {})[table] = value
        if number % 7 == 0:
            marks[proxy] = number
        mark = number if number % 7 == 0 else -1
        queue.put(0, ProxyUpdate(proxy, number, 0, ((table, 1),), ((table, value),), ((table, 4),), mark), 4, 24)
        highest = max(highest, queue.waiting_lines)
    assert highest <= 10 * (24 + 4) + 200
    assert queue.merged_updates > 300
    sent_tables, sent_marks = {}, {}
    while queue.due is not None:
        sent = queue.take_due(queue.due)
        sent_tables.setdefault(sent.proxy, {}).update(sent.tables)
        sent_marks[sent.proxy] = max(sent.mark, sent_marks.get(sent.proxy, -1))
    assert sent_tables == expected_tables
    assert sent_marks == marks


def test_updates_for_a_lost_stream_are_discarded_and_counted():
    queue = PacedQueue(1000, 3, 1000)
    for proxy in (1, 2, 1):
        queue.put(0, update(proxy, 5), 5, 5)
    assert queue.discard(1) == 1
    assert queue.waiting_lines == 8
    assert queue.lost_lines == 8
    assert queue.take_due(SECOND).proxy == 2


def test_a_sender_that_was_stalled_does_not_burst():
    queue = PacedQueue(100, 0, 10_000)
    for k in range(100):
        queue.put(0, update(k, 10), 10, 10)
    sent = 0
    while queue.take_due(5 * SECOND) is not None:
        sent += 1
    assert sent <= 2
