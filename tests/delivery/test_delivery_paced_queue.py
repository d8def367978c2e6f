"""Updates leave in order and at the stated pace; what waits for a proxy is merged."""

from random import Random

from helpers import SECOND

from hollyridge.delivery.paced_queue import PacedQueue
from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.store.table_versions import TableStore


def update(proxy, lines=1, mark=-1, number=1, table=0):
    value = TableStore(1).put(number, table, {i: 1.0 for i in range(lines)})
    return ProxyUpdate(proxy, number, 0, (), ((table, value),), ((table, lines),), mark)


def test_messages_leave_in_order_at_the_stated_pace():
    channel, left = PacedQueue(lines_per_s=1000, head=3, most=10_000), []
    for k in range(50):
        channel.put(0, update(k, 7), 7, 7)
    for now in range(0, SECOND, 1000):
        while (sent := channel.take(now)) is not None:
            left.append((now, sent.proxy))
    assert [p for _, p in left] == list(range(50))
    assert left[0][0] == 10_000 and left[-1][0] == 500_000 and channel.waiting_lines == 0


def test_what_comes_for_a_proxy_that_waits_joins_its_message_at_its_place():
    channel, store = PacedQueue(1000, 10, most=10_000), TableStore(4)
    for number, mark in ((1, 4), (2, 5)):
        for proxy in (7, 8, 9):
            value = store.put(number, 0, {task: float(number) for task in range(3)})
            channel.put(number, ProxyUpdate(proxy, number, number, (), ((0, value),), ((0, 3),), mark), 3, 6)
    assert channel.waiting_lines == 3 * (10 + 1 + 6)  # not 28 each: one head and one mark
    sent = [channel.take(SECOND) for _ in range(3)]
    assert [one.proxy for one in sent] == [7, 8, 9] and {one.mark for one in sent} == {5}
    assert all(dict(one.tables[0][1].lines) == {0: 2.0, 1: 2.0, 2: 2.0} for one in sent)


def test_at_the_limit_messages_merge_and_none_is_lost():
    channel, rng, store, wanted, marks = PacedQueue(1000, 3, most=200), Random(5), TableStore(1), {}, {}
    highest = 0
    for number in range(400):
        proxy, table = number % 10, rng.randrange(2)
        value = store.put(number, table, {task: rng.random() for task in rng.sample(range(12), 4)})
        wanted.setdefault(proxy, {})[table] = value
        if number % 7 == 0:
            marks[proxy] = number
        mark = number if number % 7 == 0 else -1
        channel.put(0, ProxyUpdate(proxy, number, 0, ((table, 1),), ((table, value),), ((table, 4),), mark), 4, 24)
        highest = max(highest, channel.waiting_lines)
    assert highest <= 10 * (24 + 4) + 200 and channel.merged_updates > 300
    got, told = {}, {}
    while channel.due is not None:
        sent = channel.take(channel.due)
        got.setdefault(sent.proxy, {}).update(sent.tables)
        told[sent.proxy] = max(sent.mark, told.get(sent.proxy, -1))
    assert got == wanted and told == marks


def test_what_waits_for_a_broken_stream_is_lost_and_counted():
    channel = PacedQueue(1000, 3, 1000)
    for proxy in (1, 2, 1):
        channel.put(0, update(proxy, 5), 5, 5)
    assert channel.discard(1) == 1 and channel.waiting_lines == 8 and channel.lost_lines == 8
    assert channel.take(SECOND).proxy == 2


def test_a_sender_that_stood_still_does_not_burst():
    channel = PacedQueue(100, 0, 10_000)
    for k in range(100):
        channel.put(0, update(k, 10), 10, 10)
    sent = 0
    while channel.take(5 * SECOND) is not None:
        sent += 1
    assert sent <= 2
