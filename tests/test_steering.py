"""The decisions around the module: channel, advice, desk, indices, members, presence, news, doorkeeper."""

from random import Random

import pytest

from hollyridge import interface as api
from hollyridge.delivery.paced_queue import PacedQueue
from hollyridge.delivery.update_builder import ProxyUpdate, ServerCapabilities, UpdateBuilder
from hollyridge.interface import BindTable, RequestAck, SetWeight, TaskState
from hollyridge.limits.connection_limiter import ConnectionLimiter
from hollyridge.registration import members
from hollyridge.registration.index_allocator import IndexAllocator
from hollyridge.registration.members import (
    Deregistered,
    MemberRegistry,
    Quiesced,
    RefreshRequested,
    Refusal,
    Registered,
    StreamLost,
    Tick,
)
from hollyridge.sasp.weight_advice import LEAST, MOST, GroupWeights
from hollyridge.sessions.session_tracker import MAX_TAKEOVERS, SessionTracker
from hollyridge.store.table_versions import EMPTY, TableStore, difference
from hollyridge.telemetry.report_aggregator import SECOND as NS
from hollyridge.telemetry.report_aggregator import DataPoint, Kind, ReportAggregator

SECOND = 1_000_000
PLAIN = ServerCapabilities(False, False, False, True, 1)


# Weights as 16-bit numbers.


@pytest.mark.parametrize("seed", range(20))
def test_shares_survive_rounding(seed):
    rng, group = Random(seed), GroupWeights()
    lines = {i: rng.lognormvariate(0, 1.5) * rng.choice([1, 1000]) for i in range(rng.randrange(1, 200))}
    cold = {i for i in lines if rng.random() < 0.3}
    for _ in range(50):
        changed = rng.sample(sorted(lines), rng.randrange(1, len(lines) + 1))
        lines.update((i, lines[i] * rng.uniform(0.5, 2)) for i in changed)
        group.advise(lines, changed, False, cold.__contains__, lambda i: False)
        largest, whole, said = max(lines.values()), sum(lines.values()), sum(group.said.values())
        assert LEAST // 2 <= max(group.said.values()) <= MOST
        for i, weight in lines.items():
            figure, unit = group.said.get(i, 0), largest / LEAST
            assert abs(figure / group.scale - weight) <= unit  # no line drifts, so no sum does
            if i in cold and len(lines) > 1:
                assert figure / group.scale <= weight  # never above its part
            elif weight > 0:
                assert figure >= 1
        assert abs(said / group.scale - whole) <= len(lines) * largest / LEAST


def test_the_whole_group_is_said_again_only_when_its_scale_must_move():
    group = GroupWeights()
    assert group.advise({1: 1.0, 2: 1.0}, [1, 2], False, bool, lambda i: False).whole
    moves = [
        group.advise({1: 1.0, 2: w}, [2], False, bool, lambda i: False).whole for w in (1.5, 3.9, 4.1, 2.0, 1.0, 0.5)
    ]
    assert moves == [False, False, True, False, True, False]


def test_a_closed_task_stays_closed_whatever_an_older_order_says():
    group = GroupWeights()
    assert group.advise({1: 1.0, 2: 1.0}, [], True, lambda i: False, {2}.__contains__).figures == {1: 16384, 2: 0}


def test_a_task_closed_for_a_moment_comes_back_with_its_old_weight():
    group, shut = GroupWeights(), set()
    lines = {1: 1.0, 2: 1.0}
    group.advise(lines, [], True, lambda i: False, shut.__contains__)
    shut.add(2)
    assert group.advise(lines, [2], False, lambda i: False, shut.__contains__).figures == {2: 0}
    shut.clear()
    assert group.advise(lines, [], False, lambda i: False, shut.__contains__).figures == {2: 16384}


# Versions of tables.


def test_every_version_can_be_reached_from_every_kept_one():
    rng, store, truth = Random(4), TableStore(keep=10), {}
    for version in range(1, 60):
        lines = {rng.randrange(20): rng.choice([0.0, 1.0, 2.0]) for _ in range(rng.randrange(5))}
        levels = {0: (rng.random(), 0)} if rng.random() < 0.2 else {}
        store.put(version, 0, lines, levels, clear=rng.random() < 0.1)
        truth[version] = store.latest(0)
        for old in range(1, version + 1):
            change = store.since(0, old)
            assert (change is None) == (old <= version - 10)
            if change is not None:
                held = dict(truth[old].lines)
                held.update(change.lines)
                assert {k: w for k, w in held.items() if w} == dict(store.latest(0).lines)
    with pytest.raises(ValueError):
        store.put(3, 0, {})
    assert store.at(0, 3) is None and len(store.memo) <= TableStore.MEMO
    store.drop(0)
    assert store.latest(0) is EMPTY


def test_the_same_version_put_twice_is_one_version():
    store = TableStore(4)
    store.put(1, 0, {1: 1.0})
    store.put(2, 0, {2: 1.0})
    assert store.since(0, 1).lines == ((2, 1.0),)
    store.put(2, 0, {3: 1.0})
    assert store.since(0, 1).lines == ((2, 1.0), (3, 1.0)) and len(store.history[0]) == 2
    assert len(difference(store.at(0, 1), store.at(0, 1))) == 0


# The channel.


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


# The desk.


def test_one_message_a_proxy_with_what_its_tables_are_in_the_end():
    desk = UpdateBuilder(2, TableStore(4))
    fronts = {1: PLAIN, 2: PLAIN}
    desk.build(0, 1, [SetWeight(1.0, 5, 0), BindTable(1, 0, 0), BindTable(2, 0, 0)], fronts)
    orders = [SetWeight(2.0, 6, 0), BindTable(2, 1, 2), SetWeight(0.0, 5, 0), RequestAck(4, False)]
    carried = desk.build(1, 2, orders, fronts)
    updates = {p.proxy: p for p in carried.updates}
    assert {p: dict(dict(row.tables)[0].lines) for p, row in updates.items()} == {1: {6: 2.0}, 2: {6: 2.0}}
    assert updates[1].line_counts == ((0, 2),) and updates[2].line_counts == ((0, 2), (1, 1))
    assert updates[2].bindings == ((1, 2),) and all(p.mark == 4 for p in carried.updates)
    desk.forget(2)
    assert [p.proxy for p in desk.build(2, 3, [SetWeight(1.0, 7, 0), SetWeight(1.0, 7, 1)], fronts).updates] == [1]


@pytest.mark.parametrize(
    "order, why",
    [
        (api.SetAdmission(0, 1, 0.5, 0), "front has no levels"),
        (api.SetEjected(3, True), "front has no withdrawals"),
        (BindTable(9, 0, 0), "proxy has left"),
        (api.Probe(1), "no Probe here"),
        (api.SendToPeer(1, b""), "no TellPeer here"),
    ],
)
def test_what_cannot_be_carried_is_refused_and_counted(order, why):
    desk = UpdateBuilder(1, TableStore(4))
    desk.build(0, 1, [SetWeight(1.0, 5, 0), BindTable(1, 0, 0)], {1: PLAIN})
    assert desk.build(0, 2, [order], {1: PLAIN}).refused == {why: 1}


# Indices.


def test_weeks_of_tasks_do_not_grow_the_arrays():
    used = set()
    indices, now = IndexAllocator(rest=100, most=200, still_used=used.__contains__), 0
    for week in range(2000):
        at = indices.allocate(now, f"task-{week}")
        assert at is not None and indices.names[at] == f"task-{week}"
        used = {at}
        now += 10
        indices.release(now, f"task-{week}")
    assert len(indices.names) <= 13


def test_an_index_rests_while_an_order_may_name_it():
    used = {0}
    indices = IndexAllocator(rest=10, most=5, still_used=lambda i: i in used)
    indices.allocate(0, "a")
    indices.release(0, "a")
    assert indices.allocate(1000, "b") == 1
    used.clear()
    assert indices.allocate(1000, "c") == 0


# Members.

TERMS = members.RegistrationConfig(
    warm_up=16 * SECOND, hold_own=SECOND, hold_agent=30 * SECOND, settle=SECOND // 2, settle_most=3 * SECOND, most=100
)


class Fleet:
    """Members with a clock; `states` is what the module has been told."""

    def __init__(self):
        self.book, self.now, self.states, self.started = MemberRegistry(TERMS, 0), 0, {}, {}

    def take(self, what, after=0.0):
        self.now += round(after * SECOND)
        outcome = self.book.handle(self.now, what)
        for entry in outcome.change.endpoints if outcome.change else ():
            self.states[entry.task], self.started[entry.task] = TaskState(entry.state), entry.started_at_us
        return outcome.refusal

    def register(self, task, stream=1, label="run=a up=100", own=False, after=0.0):
        return self.take(Registered(stream, (members.MemberRequest((task,), task, 0, label, own),)), after)

    def settled(self):
        self.register(99, stream=50)
        self.take(Tick(), after=4)
        return self


def test_the_first_list_waits_till_registrations_pause():
    fleet = Fleet()
    for task in range(5):
        fleet.register(task, after=0.3)
        assert not fleet.states
    fleet.take(Tick(), after=0.6)
    assert len(fleet.states) == 5


def test_an_empty_fleet_settles_in_the_end():
    fleet = Fleet()
    assert fleet.book.handle(2 * SECOND, Tick()).change is None
    assert fleet.book.handle(3 * SECOND, Tick()).change.endpoints == ()


RUNS = [
    # first label, seconds later on a new stream the second, whether it counts as a start
    ("run=a up=100", "run=a up=105", False),
    ("run=a up=100", "run=b up=0.5", True),
    ("", "", True),
    ("run=a up=100", "", True),
]


@pytest.mark.parametrize("first, second, starts", RUNS)
def test_restart_or_reconnection(first, second, starts):
    fleet = Fleet().settled()
    fleet.register(1, stream=1, label=first)
    before = fleet.started[1]
    fleet.take(StreamLost(1))
    fleet.register(1, stream=2, label=second, after=5)
    assert (fleet.started[1] > before) == starts
    assert fleet.states[1] == TaskState.READY


def test_ages():
    fleet = Fleet().settled()
    fleet.register(1, label="run=a up=100")
    fleet.register(2, label="run=b up=1.5")
    fleet.register(3, label="run=c")
    fleet.register(4, label="run=d up=-5e400")
    assert fleet.started[1] == 0 and fleet.started[2] == fleet.now - 1_500_000
    assert fleet.started[3] == fleet.started[4] == fleet.now


def test_a_deregistration_overtaken_by_a_registration_ends_nothing():
    fleet = Fleet().settled()
    fleet.register(1, stream=1, label="run=a up=100")
    fleet.register(1, stream=2, label="run=b up=0")
    assert fleet.take(Deregistered(1, ((1,),))) == Refusal.NOT_REGISTERED
    assert fleet.states[1] == TaskState.READY
    assert fleet.take(Quiesced(1, (1,), True)) == Refusal.NOT_REGISTERED
    assert fleet.take(Deregistered(2, ((1,),))) is None and fleet.states[1] == TaskState.GONE


def test_streams_that_break():
    fleet = Fleet().settled()
    fleet.register(1, stream=1, own=True)
    fleet.register(2, stream=2, own=False)
    fleet.take(StreamLost(1))
    fleet.take(StreamLost(2))
    fleet.take(Tick(), after=2)
    assert fleet.states[1] == TaskState.GONE and fleet.states[2] == TaskState.READY
    fleet.register(2, stream=3, label="run=a up=105", after=20)
    fleet.take(Tick(), after=60)
    assert fleet.states[2] == TaskState.READY  # its list's bearer came back and said it again


def test_refusals_leave_everything_as_it_was():
    fleet = Fleet().settled()
    row = members.MemberRequest((1,), 1, 0, "", False)
    cases = [
        (Registered(1, (row, row)), Refusal.TWICE),
        (Registered(1, (row._replace(zone=-1),)), Refusal.NO_ZONE),
        (Registered(1, (row._replace(task=-1),)), Refusal.FULL),
        (Deregistered(1, ((7,),)), Refusal.NOT_REGISTERED),
        (Registered(1, tuple(row._replace(key=(k,), task=k) for k in range(200))), Refusal.FULL),
    ]
    for what, why in cases:
        assert fleet.take(what) == why and set(fleet.states) == {99}
    assert fleet.register(1) is None and fleet.register(1) == Refusal.ALREADY_REGISTERED


def test_drains_end_by_word_or_by_a_new_registration():
    fleet = Fleet().settled()
    fleet.register(1)
    fleet.take(Quiesced(1, (1,), True))
    assert fleet.states[1] == TaskState.DRAINING
    fleet.take(Quiesced(1, (1,), False))
    assert fleet.states[1] == TaskState.READY
    fleet.take(Quiesced(1, (1,), True))
    fleet.register(1, stream=2)
    assert fleet.states[1] == TaskState.READY
    full = fleet.book.handle(fleet.now, RefreshRequested()).change
    assert full.kind == api.UpdateKind.FULL and len(full.endpoints) == 2


# Presence.


def test_a_poller_is_told_an_interval_that_keeps_drains_in_time():
    for grace, bare in ((1, 5), (3, 5), (10, 30), (60, 20)):
        seen = SessionTracker(grace * SECOND, bare * SECOND)
        assert 1 <= seen.interval and (seen.interval * SECOND < seen.timeout_us or grace == 1)
        seen.start(0, 1, "gw", push=False)
        asked = 0
        while asked < 20 * SECOND and seen.interval * SECOND < seen.timeout_us:
            asked += seen.interval * SECOND
            assert not seen.overdue(asked)
            seen.polled(asked, 1)
        assert seen.overdue(asked + grace * SECOND)


def test_unread_orders_end_a_stream_within_the_grace():
    seen = SessionTracker(3 * SECOND, 5 * SECOND)
    seen.start(0, 1, "gw", push=True)
    for now in range(0, 20 * SECOND, SECOND // 10):  # a slow reader goes on reading
        seen.check_backlog(now, 1, read_bytes=now // 1000, unread=True)
        assert not seen.overdue(now)
    seen.check_backlog(21 * SECOND, 1, read_bytes=20_000, unread=True)
    seen.check_backlog(22 * SECOND, 1, read_bytes=20_000, unread=True)
    assert seen.overdue(24 * SECOND) == [(1, "leaves orders unread")]
    seen.check_backlog(24 * SECOND, 1, read_bytes=20_001, unread=False)
    assert not seen.overdue(60 * SECOND)


def test_two_of_one_name():
    seen = SessionTracker(3 * SECOND, 5 * SECOND)
    assert seen.start(0, 1, "gw", True).joined
    for k in range(MAX_TAKEOVERS):
        assert seen.start(k, k + 2, "gw", True) == (True, k + 1, False)
    assert seen.start(5, 99, "gw", True).turned_away
    assert seen.start(4 * SECOND, 100, "gw", True).joined


# News.


def point(value=10.0, start=0.0, end=1.0, kind=Kind.TRIES, source="gw-1", place=(0, 3), method=0):
    return DataPoint(source, kind, place, method, value, round(start * NS), round(end * NS))


def news():
    return ReportAggregator(most_series=50, most_each=20, per_s=1000, lines=5, forget=60 * SECOND)


TAKEN = [
    # points in the order they come, tries that count in all
    ([point(), point()], 10),
    ([point(), point(start=1, end=2), point(start=0, end=1)], 20),
    ([point(start=5, end=6), point(start=2, end=3)], 20),  # out of order
    ([point(), point(start=0.5, end=1.5)], 10),  # a period that overlaps
    ([point(), point(source="gw-2"), point(method=1)], 30),
    ([point(value=float("nan")), point(value=float("inf")), point(value=-1.0), point(value=1e9)], 0),
    ([point(start=1, end=1), point(start=2, end=1), point(start=0, end=1e5)], 0),
]


@pytest.mark.parametrize("points, counted", TAKEN)
def test_each_period_counts_once(points, counted):
    book = news()
    for row in points:
        book.add(0, row)
    assert sum(event.attempts for event in book.collect(1)) == counted
    assert book.collect(2) == []


def test_a_steady_sender_costs_one_span_and_gaps_are_bounded():
    book, steady, gappy = news(), point(), point(source="gw-2")
    for k in range(500):
        book.add(k, point(start=k, end=k + 1))
        book.add(k, point(start=1.6 * k, end=1.6 * k + 1, source="gw-2"))
        book.add(k, point(0.5, k, k, kind=Kind.UTIL, source="gw-3"))
    sizes = {key[0]: len(spans) for key, spans in book.spans.items()}
    assert sizes == {"gw-1": 1, "gw-2": 32, "gw-3": 1}
    assert book.add(0, steady) and book.add(0, gappy)
    assert book.add(0, point(0.9, 400, 400, kind=Kind.UTIL, source="gw-3"))  # an older gauge says nothing new


def test_gaps_cost_no_more_than_the_time_that_counts():
    book = news()
    for k in range(0, 500, 20):
        assert not book.add(k, point(start=k, end=k + 1))
    assert [len(spans) for spans in book.spans.values()] == [3]
    assert book.add(500, point(start=420, end=421, method=1))  # too late, whatever its series
    assert not book.add(500, point(start=425, end=426, method=1))


def test_a_clock_that_was_set_back_is_believed_again():
    book = news()
    book.add(0, point(start=3600, end=3601))
    assert book.add(SECOND, point(start=1, end=2))
    assert not book.add(62 * SECOND, point(start=61, end=62))
    assert not book.add(63 * SECOND, point(start=62, end=63))


def test_rates_add_up_however_unequal_the_periods():
    book = news()
    book.add(0, point(20, 0, 2, source="a"))
    book.add(0, point(30, 0, 1, source="b"))
    book.add(0, point(30, 1, 2, source="b"))
    book.add(0, point(7, 0, 1, kind=Kind.FAILED, source="b"))
    book.add(0, point(14.6, 0, 1, kind=Kind.TIME, source="b"))
    (event,) = book.collect(1)
    assert event.attempts == 80 and event.attempts / event.interval_us * SECOND == pytest.approx(40)
    assert event.failed == 7 and event.latency_us == 200_000


def test_floods_of_names_stay_bounded():
    book = news()
    for k in range(1000):
        book.add(k, point(place=(0, k), source=f"s{k % 4}"))
    assert len(book.spans) <= 50 and book.rejected["too many series"] >= 950
    assert len(book.collect(2000)) == 5  # the rest waits
    late = 10**9
    book.collect(late)
    assert book.add(late + 1, point(place=(1, 1), source="new")) == ""


def test_doors_stay_open_for_others():
    keeper = ConnectionLimiter(max_connections=100, max_per_address=10, connects_per_s=80, requests_per_s=10)
    taken = sum(not keeper.admit(at, "storm") for at in range(0, SECOND, 1000))
    assert taken == 10 and not keeper.admit(SECOND, "quiet")


def test_a_load_counts_in_the_report_of_each_zone_that_met_the_task():
    """The module keeps what it hears last: a report without the figure would undo it."""
    seen = news()
    for zone in (0, 1, 2):
        assert not seen.add(SECOND, point(source=f"gw-{zone}", place=(zone, 3)))
    assert not seen.add(SECOND, point(kind=Kind.UTIL, value=0.5, place=(0, 3)))
    reports = seen.collect(SECOND)
    assert [report.load[0] for report in reports] == [0.5, 0.5, 0.5]
    assert not seen.add(2 * SECOND, point(start=1, end=2))
    assert seen.collect(2 * SECOND)[0].load[0] == -1.0  # told once, not again
