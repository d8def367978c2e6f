"""Tables: bindings of proxies, separated methods, and waves of joining proxies."""

import pytest
from helpers import SECOND, AssignerRig, endpoint_list_update, lines, make_endpoint, method

from hollyridge import interface as api

ZONE_LOCAL = method(same_zone_only=True, criticality=0.5)


def test_a_zone_has_one_shared_table_and_joining_proxies_get_it_at_once():
    rig = AssignerRig()
    assert rig.bound == {0: 0, 1: 1, 2: 0, 3: 1}
    assert set(rig.tables) == {0, 1}
    assert rig.share(0, 0) > rig.share(0, 1) > 0
    assert rig.share(1, 1) > rig.share(1, 0) > 0
    rig.feed(api.ProxyLeft(0), after=0.1)
    commands = rig.feed(api.ProxyJoined(5.0, False, 0, 0), after=0.1)
    assert api.BindTable(0, 0, 0) in commands
    assert not lines(commands)


def test_in_a_lasting_overload_without_levels_less_critical_methods_are_limited_to_few_tasks_until_it_ends():
    rig = AssignerRig(admission=api.Admission.OFF)

    def run_period(failed):
        rig.period(*[rig.report(z, i, failed=failed) for z in (0, 1) for i in range(8)])
        return [command for command in rig.commands if isinstance(command, api.BindTable)]

    bindings_by_period = [run_period(8) for _ in range(4)]
    # Mask 1 selects method 0, the less critical one.
    assert [command for bindings in bindings_by_period for command in bindings] == [
        api.BindTable(p, 2, 1) for p in range(4)
    ]
    (overflow_task,) = rig.tables[2]
    assert rig.share(0, overflow_task) < 0.02
    returned = [command for _ in range(12) for command in run_period(0)]
    assert sorted(returned) == [api.BindTable(p, p % 2, 1) for p in range(4)]
    run_period(0)
    assert not rig.tables[2]
    rig.feed(api.ProxyJoined(5.0, False, 9, 0), after=0.1)
    assert rig.bound[9] == 0


def test_a_wave_of_joins_gets_slices_at_once_and_whole_tables_later():
    """Guards against late removals: on a recorded day of the bench, on which a zone and an assigner were lost within a
    second, whole tables for 83 joins delayed the removals behind them beyond the grace."""
    rig = AssignerRig(tasks=96, proxies=24, lines_per_s=700.0, max_waiting_lines=4000.0)
    for _ in range(12):
        rig.period()
    assert not rig.assigner.tables.pending
    tables, whole_lines = rig.assigner.tables, len(rig.tables[0])
    sent_before = rig.assigner.backlog.sent
    commands = rig.feed(*[api.ProxyJoined(10.0, False, 100 + index, index % 2) for index in range(24)])
    for _ in range(4):
        commands += rig.feed(api.TimerFired(0), after=0.1)
    first_table_by_proxy = {
        command.proxy: command.table for command in reversed(commands) if isinstance(command, api.BindTable)
    }
    assert len(first_table_by_proxy) == 24
    assert all(table > tables.overflow for table in first_table_by_proxy.values())
    assert {tables.zone_of(table) for proxy, table in first_table_by_proxy.items() if proxy % 2} == {1}
    # Some proxies already have their whole table.
    assert rig.assigner.backlog.sent - sent_before < 24 * whole_lines * 0.6
    tasks_by_slice = {table: set(tables[table].weights) for table in set(first_table_by_proxy.values())}
    assert set().union(*tasks_by_slice.values()) == set(rig.tables[0]) | set(rig.tables[1])
    assert max(map(len, tasks_by_slice.values())) <= whole_lines / 4 + 2
    draining_task = 2
    rig.feed(endpoint_list_update([make_endpoint(draining_task, state=api.TaskState.DRAINING)], api.UpdateKind.DELTA))
    for _ in range(10):  # behind a long queue, removals wait for further removals for a quarter of the grace
        rig.feed(api.TimerFired(0), after=0.1)
    assert all(draining_task not in table.weights for table in tables.tables if table.proxies)
    for _ in range(12):
        rig.period()
    assert all(sum(proxy in table.proxies for table in tables.tables) == 1 for proxy in first_table_by_proxy)
    assert all(any(proxy in tables[zone].proxies for zone in (0, 1)) for proxy in first_table_by_proxy)


def test_in_a_wave_of_joins_zone_local_methods_cost_no_second_table():
    """Guards against late removals: slices of all zones and whole home tables for 187 joins delayed the removals
    behind them beyond the grace."""
    rig = AssignerRig(tasks=96, proxies=24, lines_per_s=700.0, max_waiting_lines=4000.0, methods=(method(), ZONE_LOCAL))
    for _ in range(12):
        rig.period()
    tables = rig.assigner.tables
    commands = rig.feed(*[api.ProxyJoined(10.0, False, 100 + index, index % 2) for index in range(24)])
    for _ in range(4):
        commands += rig.feed(api.TimerFired(0), after=0.1)
    first_binding: dict[int, api.BindTable] = {}
    for command in commands:
        if isinstance(command, api.BindTable):
            first_binding.setdefault(command.proxy, command)
    assert len(first_binding) == 24
    assert all(
        tables.overflow < command.table < tables.first_home and command.methods == 0
        for command in first_binding.values()
    )
    assert all(i % 2 == proxy % 2 for proxy, command in first_binding.items() for i in tables[command.table].weights)
    # A zone has 48 tasks.
    assert max(len(tables[command.table].weights) for command in first_binding.values()) <= 48 / 4 + 1
    for _ in range(16):
        rig.period()
    for proxy in first_binding:
        assert [number for number, table in enumerate(tables.tables) if proxy in table.proxies] == [
            proxy % 2,
            tables.first_home + proxy % 2,
        ]


def test_a_start_that_would_fill_the_channel_twice_is_a_wave():
    rig = AssignerRig(tasks=96, proxies=0, lines_per_s=700.0, max_waiting_lines=40_000.0, drain_grace_us=20 * SECOND)
    rig.feed(*[api.ProxyJoined(5.0, True, proxy, proxy % 2) for proxy in range(80)], after=0.1)
    tables = rig.assigner.tables
    assert tables.join_wave
    assert not any(tables[zone].proxies for zone in (0, 1))
    for _ in range(30):
        rig.period()
    proxies_by_table = [len(table.proxies) for table in tables.tables]
    assert not tables.join_wave
    assert sum(proxies_by_table[:2]) == 80 == sum(proxies_by_table)


def test_a_start_that_fits_the_channel_is_no_wave():
    rig = AssignerRig(tasks=96, proxies=24, lines_per_s=700.0, max_waiting_lines=4000.0)
    assert not rig.assigner.tables.join_wave
    tables = rig.assigner.tables
    assert not any(table.proxies for table in tables.tables[tables.overflow + 1 :])


@pytest.mark.parametrize("state", [api.TaskState.DRAINING, api.TaskState.GONE])
@pytest.mark.parametrize("methods", [(method(), ZONE_LOCAL), (ZONE_LOCAL, ZONE_LOCAL), (method(), method())])
def test_a_proxy_that_joins_while_no_task_is_ready_for_a_method_gets_an_empty_table(methods, state):
    """Guards against a proxy that keeps its old table and sends to draining tasks (review, case 1)."""
    rig = AssignerRig(methods=methods)
    zone_local = [index for index, config in enumerate(methods) if config.same_zone_only]
    closed = [task for task in range(8) if task % 2 == 0 or not zone_local]  # the tasks of zone 0, or all
    rig.feed(endpoint_list_update([make_endpoint(t, state=state) for t in closed], api.UpdateKind.DELTA), after=1)
    commands = rig.feed(api.ProxyJoined(5.0, False, 9, 0), after=1)
    for _ in range(10):
        commands += rig.feed(api.TimerFired(0), after=0.1)
    bound = {command.table for command in commands if isinstance(command, api.BindTable) and command.proxy == 9}
    assert any(not rig.tables.get(table) for table in bound)
    assert not rig.assigner.tables.pending
    rig.feed(endpoint_list_update([make_endpoint(t) for t in closed], api.UpdateKind.DELTA), after=1)
    assert all(rig.tables[table] for table in bound)  # the proxy gets the lines as they return


def test_no_empty_table_is_sent_before_the_list_is_known():
    """Guards against an assigner that takes all lines from its proxies because it has just started."""
    rig = AssignerRig(tasks=0)
    for _ in range(30):
        rig.feed(api.TimerFired(0), after=0.1)
    assert not rig.bound
    rig.feed(endpoint_list_update([make_endpoint(task) for task in range(8)]), after=0.1)
    assert set(rig.bound) == {0, 1, 2, 3}


def test_a_proxy_that_has_just_joined_waits_for_lines_rather_than_get_an_empty_table():
    """Guards against proxies that lose all lines because the list is a moment behind at their joining."""
    rig = AssignerRig()
    rig.feed(endpoint_list_update([make_endpoint(t, state=api.TaskState.GONE) for t in range(8)]), after=1)
    rig.feed(api.ProxyJoined(5.0, False, 9, 0), after=1)
    assert 9 not in rig.bound
    commands = rig.feed(endpoint_list_update([make_endpoint(task) for task in range(8)]), after=0.1)
    assert api.BindTable(9, 0, 0) in commands
    assert len(rig.tables[0]) == 8
