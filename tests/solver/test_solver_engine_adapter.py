"""Proposals to the decision module, and the fleet that is built from its estimates."""

import math

import pytest
from helpers import SECOND, START, endpoint_list_update, make_endpoint
from loaded_assigner import report_second, started_assigner

from hollyridge import interface as api
from hollyridge.solver.engine_adapter import fleet_of, proposals
from hollyridge.solver.planner import Planner, solve


def test_a_plan_lapses_when_its_table_loses_half_its_weight():
    """A plan's weights for the remaining tasks do not show where all RPCs should go after the others are lost.

    On the lost-zone day, two of eight tasks got nine tenths of a zone's RPCs until the gate allowed a push.
    """
    module, now = started_assigner(), START
    plan = {0: 1.0, 3: 1.0, 1: 0.04, 2: 0.01}
    for _ in range(6):
        now += SECOND
        report_second(module, now, plan, slow=4)
    before = dict(module.tables[0].weights)
    assert before[1] > 3 * before[2]
    now += SECOND // 4
    gone = [make_endpoint(i, state=api.TaskState.GONE) for i in (0, 3)]
    commands = module.decide(now, [endpoint_list_update(gone, api.UpdateKind.DELTA)])
    assert {c.task for c in commands if isinstance(c, api.SetWeight) and c.weight > 0} == {1, 2}
    after = module.tables[0].weights
    assert 0.5 < after[2] / after[1] < 2  # the plan has lapsed


def test_proposals_are_pushed_where_they_gain_and_expire_without_new_ones():
    """The gate pushes a proposal that saves latency in one step, not by tenths, and none that saves nothing."""
    ratio = {}
    for name, proposed, slow in (
        ("alone", None, 3),
        ("proposed", {0: 1.0, 1: 0.25, 2: 0.25, 3: 1.0}, 3),
        ("gains nothing", {0: 1.0, 1: 0.25, 2: 0.25, 3: 1.0}, 1),
    ):
        module, now = started_assigner(), START
        for _ in range(3):
            now += SECOND
            report_second(module, now, slow=slow)
        for _ in range(3):
            now += SECOND
            report_second(module, now, proposed, slow=slow)
        lines = module.tables[0].weights
        ratio[name] = lines[1] / lines[0]
        assert any(module.weights.proposed[0].weights.values()) == (proposed is not None)
        for _ in range(6):
            now += SECOND
            report_second(module, now, slow=slow)
        assert not module.weights.proposed[0].weights
    assert ratio["proposed"] < 0.5
    assert ratio["alone"] > 0.7
    assert ratio["gains nothing"] == 1.0


def test_the_modules_estimates_become_a_fleet_and_a_plan():
    module, now = started_assigner(), START
    assert fleet_of(module, now, 0.05, 100.0) is None  # no reports yet
    for _ in range(6):
        now += SECOND
        report_second(module, now)
    fleet = fleet_of(module, now, 0.05, 100.0)
    assert len(fleet.tasks) == 4
    assert fleet.zones[0].proxy_count == 2
    assert fleet.zones[0].demand_rps[0] == pytest.approx(80, rel=0.01)
    # The task serves 20 RPCs per second at half of its capacity.
    assert fleet.tasks[0].capacity_rps == pytest.approx(40, rel=0.3)
    plan = solve(fleet)
    proposed = proposals(plan, True)
    assert [p.zone for p in proposed] == [0]
    assert len(proposed[0].weights) == 4
    overloaded = solve(fleet._replace(zones=(fleet.zones[0]._replace(demand_rps=(1000.0,)),)))
    assert proposals(overloaded, False) == []
    assert proposals(overloaded, True)


@pytest.mark.parametrize("change", [dict(load=0.0), dict(load=50.0), dict(load=-1.0)])
def test_impossible_loads_do_not_prevent_a_plan(change):
    module, now = started_assigner(), START
    for _ in range(6):
        now += SECOND
        report_second(module, now, **change)
    fleet = fleet_of(module, now, 0.05, math.inf)
    if fleet is not None:
        assert Planner(1.0).plan_for(fleet) is not None
