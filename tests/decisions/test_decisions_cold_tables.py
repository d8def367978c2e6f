"""Cold tables: what the tasks of a table get while none of them is warm."""

import pytest
from fluid_fleet import FluidFleet
from helpers import method

from hollyridge import interface as api

ZONE_LOCAL = method(same_zone_only=True)
ANYWHERE = method()
LEVELS = [api.Admission.FRACTION, api.Admission.PER_SECOND, api.Admission.OFF]
LOST = (0, 1, 2, 3, 4, 5)  # the tasks of zone 0
DEMAND = (20, 5)  # RPCs per second at each proxy, by method


def fleet_of_three_zones(methods, **overrides):
    """Return a fleet with a load of 0.6 and a proxy for each task, after its first reports."""
    zones = [0] * 6 + [1] * 6 + [2] * 3
    fleet = FluidFleet(methods, zones, zones, DEMAND, **overrides)
    fleet.run(5)
    return fleet


@pytest.mark.parametrize("admission", LEVELS)
@pytest.mark.parametrize("methods", [(ZONE_LOCAL, ANYWHERE), (ZONE_LOCAL, ZONE_LOCAL)])
def test_the_first_tasks_of_a_lost_zone_that_return_are_not_overloaded(admission, methods):
    """Guards against a cold task that got all RPCs of the methods that keep to its zone, and crashed (review, 2)."""
    fleet = fleet_of_three_zones(methods, admission=admission)
    fleet.lose(*LOST)
    fleet.run(8)
    for tasks in ((0,), (1, 2), (3, 4, 5)):
        fleet.start(*tasks)
        fleet.run(2)
    fleet.run(20)
    assert fleet.worst_cold_load <= fleet.rig.config.overload_multiple
    assert fleet.load_of(*LOST) >= 6 * 20


def tasks_of_a_lost_zone_are_listed_one_by_one(fleet):
    fleet.lose(*LOST)
    fleet.run(8)
    for task in LOST:
        fleet.start(task)
        fleet.run(1)


def a_whole_zone_restarts_while_it_is_listed_as_warm(fleet):
    fleet.start(*LOST[:3])
    fleet.run(1)
    fleet.start(*LOST[3:])


def the_assigner_restarts_while_a_zone_is_cold(fleet):
    fleet.lose(*LOST)
    fleet.run(8)
    fleet.start(0)
    fleet.restart_assigner()
    fleet.run(2)
    fleet.start(*LOST[1:])


def proxies_join_a_cold_zone(fleet, count=6):
    fleet.lose(*LOST)
    fleet.run(8)
    fleet.start(0, 1, 2)
    fleet.run(2)
    for proxy in range(100, 100 + count):
        fleet.join(proxy, 0)
    fleet.run(1)
    fleet.start(3, 4, 5)


def most_cold_tasks_of_a_zone_are_lost_again(fleet):
    fleet.lose(*LOST)
    fleet.run(8)
    fleet.start(*LOST)
    fleet.run(2)
    fleet.lose(*LOST[1:])
    fleet.run(3)
    fleet.start(*LOST[1:])


def the_last_warm_task_of_a_zone_drains(fleet):
    fleet.lose(*LOST[1:])
    fleet.run(3)
    fleet.start(1, 2)
    fleet.run(3)
    fleet.lose(0, state=api.TaskState.DRAINING)
    fleet.run(5)
    fleet.start(0, 3, 4, 5)


def one_warm_task_is_left_beside_cold_ones(fleet):
    fleet.lose(*LOST[1:])
    fleet.run(6)
    fleet.start(1)
    fleet.run(1)
    fleet.start(2, 3, 4, 5)


def a_whole_fleet_is_lost_and_returns_one_by_one(fleet):
    fleet.lose(*range(15))
    fleet.run(5)
    for task in range(15):
        fleet.start(task)
        fleet.run(1)


@pytest.mark.parametrize("admission", [*LEVELS, api.Admission.NOT_SUPPORTED])
@pytest.mark.parametrize("methods", [(ZONE_LOCAL, ANYWHERE), (ZONE_LOCAL, ZONE_LOCAL), (ANYWHERE, ANYWHERE)])
@pytest.mark.parametrize(
    "events",
    [
        tasks_of_a_lost_zone_are_listed_one_by_one,
        a_whole_zone_restarts_while_it_is_listed_as_warm,
        the_assigner_restarts_while_a_zone_is_cold,
        proxies_join_a_cold_zone,
        most_cold_tasks_of_a_zone_are_lost_again,
        the_last_warm_task_of_a_zone_drains,
        one_warm_task_is_left_beside_cold_ones,
        a_whole_fleet_is_lost_and_returns_one_by_one,
    ],
)
def test_no_cold_task_is_overloaded_when(events, methods, admission):
    """Guards against the same overload of cold tasks after other events than the return of a zone."""
    fleet = fleet_of_three_zones(methods, admission=admission)
    served_before = fleet.load_of(*range(15))
    events(fleet)
    fleet.run(20)
    assert fleet.worst_cold_load <= fleet.rig.config.overload_multiple
    assert fleet.load_of(*range(15)) >= 0.99 * served_before


def test_a_cold_table_admits_what_its_tasks_can_answer_and_more_as_they_warm_up():
    """Guards against lines that are withheld although levels can limit them: the zone would serve nothing meanwhile."""
    fleet = fleet_of_three_zones((ZONE_LOCAL, ZONE_LOCAL))
    fleet.lose(*LOST)
    fleet.run(8)
    fleet.start(*LOST)
    served = []
    for _ in range(12):
        fleet.run(1)
        served.append(fleet.load_of(*LOST) / sum(fleet.capacity(task) for task in LOST))
    assert min(served) >= 0.5
    assert max(served) <= 1.0


def test_a_proposal_of_cold_tasks_alone_gets_the_warm_tasks_added():
    """Guards against a solver's plan that leaves a table only tasks that have restarted since."""
    fleet = fleet_of_three_zones((ANYWHERE, ANYWHERE))
    fleet.start(0, 1)
    fleet.feed(api.WeightProposal(0, ((0, 1.0), (1, 1.0))))
    fleet.run(2)
    assert fleet.worst_cold_load <= fleet.rig.config.overload_multiple
    assert set(fleet.lines[0]) > {0, 1}


def test_lines_of_a_cold_table_that_do_not_fit_the_channel_do_not_raise_its_level():
    """Guards against a level for tasks whose lines are still to be sent."""
    fleet = fleet_of_three_zones((ZONE_LOCAL, ZONE_LOCAL), lines_per_s=60.0, max_waiting_lines=120.0)
    fleet.lose(*LOST)
    fleet.run(8)
    fleet.start(*LOST)
    fleet.run(20)
    assert fleet.worst_cold_load <= fleet.rig.config.overload_multiple
    assert fleet.load_of(*LOST) > 0


def test_a_rate_limit_of_a_cold_table_waits_for_reports():
    """Guards against a rate that is computed from no reports, which admits all RPCs."""
    fleet = fleet_of_three_zones((ZONE_LOCAL, ZONE_LOCAL), admission=api.Admission.PER_SECOND)
    fleet.lose(*LOST)
    fleet.run(8)
    for proxy in range(6):
        fleet.join(proxy, 0)  # a new stream of the same proxy; its reports start anew
    fleet.start(0)
    assert not fleet.load_of(0)
    fleet.run(3)
    assert fleet.worst_cold_load <= fleet.rig.config.overload_multiple


@pytest.mark.parametrize("admission", LEVELS)
def test_cold_lines_fall_at_once_where_the_warm_ones_beside_them_are_cut(admission):
    """Guards against cold lines that wait for the gate while overloaded warm tasks beside them are cut as outliers."""
    fleet = fleet_of_three_zones((ZONE_LOCAL, ZONE_LOCAL), admission=admission)
    proxies_join_a_cold_zone(fleet, count=18)
    fleet.run(20)
    assert fleet.worst_cold_load <= fleet.rig.config.overload_multiple / 2 * 1.01
