"""Lines of tables: their number, choice and weights."""

import pytest
from solver_cases import fleet_of_tasks

from hollyridge.solver.planner import solve

FOURTEEN_TASKS = [(k % 2, 10.0, 1.0) for k in range(14)]
TWO_LINES = [{0: 1.0, 1: 1.0}, {}]


def test_no_table_is_too_small_for_bursts():
    """Three tasks could serve the demand, but the minimum is ten; current lines and the zone's own tasks come first."""
    plan = solve(
        fleet_of_tasks(FOURTEEN_TASKS, [15, 2], current_tables=TWO_LINES, min_table_size=10, handshake_cost=0.001)
    )
    first, second = plan.tables
    assert len(first) >= 10
    assert len(second) >= 10
    assert {0, 1, 2, 4, 6, 8, 10, 12} <= set(first)
    assert max(plan.utilization.values()) < 0.35


def test_a_table_has_no_more_lines_than_there_are_tasks():
    plan = solve(fleet_of_tasks(FOURTEEN_TASKS[:4], [15, 2], current_tables=TWO_LINES, min_table_size=10))
    assert len(plan.tables[0]) == 4


def test_tasks_without_free_connections_get_no_new_lines():
    fleet = fleet_of_tasks([(0, 10.0, 1.0)] * 6, [20], current_tables=[{0: 1.0}], min_table_size=1, handshake_cost=0.01)
    limited = fleet._replace(
        tasks=tuple(t._replace(max_connections=0 if i in (1, 2) else 50) for i, t in enumerate(fleet.tasks))
    )
    table = solve(limited).tables[0]
    assert not {1, 2} & set(table)
    assert 0 in table


def test_zones_whose_tables_list_the_same_tasks_have_the_same_shares():
    """The linear program's split between equally full tasks is arbitrary.

    If each zone of proxies used only a few tasks of its own, uneven arrivals within a second would overload these.
    """
    tasks = [(0, rate, 1.0) for rate in (13.0, 15.0, 13.0, 20.0, 12.0, 16.0)]
    current_tables = [dict.fromkeys(range(6), 1.0)] * 3
    plan = solve(fleet_of_tasks(tasks, [14, 14, 14], current_tables=current_tables, balancing_policy="random"))
    for i, (_, rate, _) in enumerate(tasks):
        shares = [table[i] for table in plan.shares]
        assert max(shares) - min(shares) < 1e-6
        assert shares[0] == pytest.approx(rate / 89, rel=0.01)
    assert max(plan.utilization.values()) - min(plan.utilization.values()) < 0.01
