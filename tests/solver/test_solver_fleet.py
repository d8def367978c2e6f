"""Rejection of fleets with invalid values, and the last plan that is kept instead."""

import math

import pytest
from solver_cases import fleet_of_tasks

from hollyridge.solver.fleet import InvalidFleetError
from hollyridge.solver.planner import Planner, solve

IMPOSSIBLE_FIGURES = [
    dict(capacity_rps=math.nan),
    dict(capacity_rps=math.inf),
    dict(capacity_rps=-1.0),
    dict(slow_start_factor=2.0),
    dict(zone=7),
    dict(uncertainty=math.nan),
]
VALID = fleet_of_tasks([(0, 10.0, 1.0)] * 4, [20])


def invalid_fleet(change):
    return VALID._replace(tasks=(VALID.tasks[0]._replace(**change), *VALID.tasks[1:]))


@pytest.mark.parametrize("change", IMPOSSIBLE_FIGURES)
def test_impossible_figures_are_rejected(change):
    with pytest.raises(InvalidFleetError):
        solve(invalid_fleet(change))


@pytest.mark.parametrize("change", IMPOSSIBLE_FIGURES)
def test_the_last_plan_is_kept_while_a_fleet_is_invalid(change):
    invalid = invalid_fleet(change)
    planner = Planner(1.0)
    assert planner.plan_for(invalid) is None
    first = planner.plan_for(VALID)
    again = planner.plan_for(invalid)
    assert again.tables == first.tables
    assert "t0" in again.stale_reason
    assert not first.stale_reason
    assert planner.counts == {"solved": 1, "late": 0, "nonsense": 2}


@pytest.mark.parametrize("tasks", [[], [(0, 0.0, 1.0)], [(0, 10.0, 0.0)]])
def test_no_capacity_gives_empty_tables(tasks):
    plan = solve(fleet_of_tasks(tasks, [20]))
    assert plan.tables == ({},)
    assert plan.served[0][0] == pytest.approx(0.0, abs=1e-5)


def test_no_demand_leaves_tables_as_they_are():
    plan = solve(fleet_of_tasks([(0, 10.0, 1.0)], [0.0], current_tables=[{0: 1.0}]))
    assert plan.tables == ({0: 1.0},)
