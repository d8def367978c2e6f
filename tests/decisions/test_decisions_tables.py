"""Tables: who uses which, separated methods, and waves of joining proxies."""

from helpers import SECOND, Rig, entry, lines, method, roster

from hollyridge import interface as api

ZONE_LOCAL = method(same_zone_only=True, criticality=0.5)


def test_a_zone_has_one_shared_table_and_joining_proxies_get_it_at_once():
    rig = Rig()
    assert rig.bound == {0: 0, 1: 1, 2: 0, 3: 1}
    assert set(rig.tables) == {0, 1}
    assert rig.share(0, 0) > rig.share(0, 1) > 0
    assert rig.share(1, 1) > rig.share(1, 0) > 0
    rig.feed(api.ProxyLeft(0), after=0.1)
    commands = rig.feed(api.ProxyJoined(5.0, False, 0, 0), after=0.1)
    assert api.BindTable(0, 0, 0) in commands
    assert not lines(commands)


def test_in_a_lasting_overload_without_levels_lesser_methods_are_left_few_tasks_until_it_is_over():
    rig = Rig(admission=api.Admission.OFF)

    def step(failed):
        rig.period(*[rig.report(z, i, failed=failed) for z in (0, 1) for i in range(8)])
        return [o for o in rig.commands if isinstance(o, api.BindTable)]

    attached = [step(8) for _ in range(4)]
    assert [o for some in attached for o in some] == [api.BindTable(p, 2, 1) for p in range(4)]  # method 0
    (sink,) = rig.tables[2]
    assert rig.share(0, sink) < 0.02
    back = [o for _ in range(12) for o in step(0)]
    assert sorted(back) == [api.BindTable(p, p % 2, 1) for p in range(4)]
    step(0)
    assert not rig.tables[2]
    rig.feed(api.ProxyJoined(5.0, False, 9, 0), after=0.1)
    assert rig.bound[9] == 0


def test_a_wave_of_joins_gets_slices_at_once_and_whole_tables_later():
    """Found on a recorded day of the bench (a zone and an assigner lost within a second): whole tables for 83 joins
    held up the removals behind them past the grace."""
    rig = Rig(tasks=96, proxies=24, lines_per_s=700.0, max_waiting_lines=4000.0)
    for _ in range(12):
        rig.period()
    assert not rig.assigner.tables.pending
    tables, whole = rig.assigner.tables, len(rig.tables[0])
    before = rig.assigner.backlog.sent
    commands = rig.feed(*[api.ProxyJoined(10.0, False, 100 + k, k % 2) for k in range(24)])
    for _ in range(4):
        commands += rig.feed(api.TimerFired(0), after=0.1)
    given = {o.proxy: o.table for o in reversed(commands) if isinstance(o, api.BindTable)}  # its first table
    assert len(given) == 24
    assert all(table > tables.overflow for table in given.values())
    assert {tables.zone_of(table) for proxy, table in given.items() if proxy % 2} == {1}
    assert rig.assigner.backlog.sent - before < 24 * whole * 0.6  # some have their whole table already
    shares = {table: set(tables[table].weights) for table in set(given.values())}
    assert set().union(*shares.values()) == set(rig.tables[0]) | set(rig.tables[1])
    assert max(map(len, shares.values())) <= whole / 4 + 2
    closed = 2
    rig.feed(roster([entry(closed, state=api.TaskState.DRAINING)], api.UpdateKind.DELTA))
    for _ in range(10):  # behind a long queue removals wait a quarter of the grace for more of them
        rig.feed(api.TimerFired(0), after=0.1)
    assert all(closed not in table.weights for table in tables.tables if table.proxies)
    for _ in range(12):
        rig.period()
    assert all(sum(proxy in table.proxies for table in tables.tables) == 1 for proxy in given)
    assert all(any(proxy in tables[zone].proxies for zone in (0, 1)) for proxy in given)


def test_in_a_wave_of_joins_zone_local_methods_cost_no_second_table():
    """Slices of all zones and whole home tables for 187 joins held up the removals behind them past the grace."""
    rig = Rig(tasks=96, proxies=24, lines_per_s=700.0, max_waiting_lines=4000.0, methods=(method(), ZONE_LOCAL))
    for _ in range(12):
        rig.period()
    tables = rig.assigner.tables
    commands = rig.feed(*[api.ProxyJoined(10.0, False, 100 + k, k % 2) for k in range(24)])
    for _ in range(4):
        commands += rig.feed(api.TimerFired(0), after=0.1)
    first: dict[int, api.BindTable] = {}
    for order in commands:
        if isinstance(order, api.BindTable):
            first.setdefault(order.proxy, order)
    assert len(first) == 24
    assert all(tables.overflow < o.table < tables.first_home and o.methods == 0 for o in first.values())
    assert all(i % 2 == proxy % 2 for proxy, o in first.items() for i in tables[o.table].weights)
    assert max(len(tables[o.table].weights) for o in first.values()) <= 48 / 4 + 1  # of 48 tasks a zone
    for _ in range(16):
        rig.period()
    for proxy in first:
        assert [number for number, table in enumerate(tables.tables) if proxy in table.proxies] == [
            proxy % 2,
            tables.first_home + proxy % 2,
        ]


def test_a_start_that_would_fill_the_channel_twice_is_a_wave():
    rig = Rig(tasks=96, proxies=0, lines_per_s=700.0, max_waiting_lines=40_000.0, drain_grace_us=20 * SECOND)
    rig.feed(*[api.ProxyJoined(5.0, True, proxy, proxy % 2) for proxy in range(80)], after=0.1)
    tables = rig.assigner.tables
    assert tables.join_wave
    assert not any(tables[zone].proxies for zone in (0, 1))
    for _ in range(30):
        rig.period()
    bound = [len(table.proxies) for table in tables.tables]
    assert not tables.join_wave
    assert sum(bound[:2]) == 80 == sum(bound)


def test_a_start_that_fits_the_channel_is_no_wave():
    rig = Rig(tasks=96, proxies=24, lines_per_s=700.0, max_waiting_lines=4000.0)
    assert not rig.assigner.tables.join_wave
    tables = rig.assigner.tables
    assert not any(table.proxies for table in tables.tables[tables.overflow + 1 :])
