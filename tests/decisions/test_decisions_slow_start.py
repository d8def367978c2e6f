"""Slow start: the weight of cold tasks, and the conditions for listing them."""

import pytest
from helpers import SECOND, START, AssignerRig, assigner_config, endpoint_list_update, make_endpoint

from hollyridge import interface as api
from hollyridge.decisions.slow_start import SlowStart


@pytest.mark.parametrize(
    ("age_s", "expected_factor"), [(0, 0.25), (2, 0.5), (6, 0.99), (15.9, 0.99), (16, 1.0), (1e6, 1.0)]
)
def test_the_factor_rises_in_steps_from_the_configured_floor(age_s, expected_factor):
    assert SlowStart(assigner_config()).factor(START, START - round(age_s * SECOND)) == expected_factor


@pytest.mark.parametrize("is_known", [False, True])
def test_a_cold_task_gets_its_part_of_a_warm_task_s_work_even_if_its_index_is_known(is_known):
    rig = AssignerRig(proxy_ejection_failures=0)
    task = 3 if is_known else 8
    rig.feed(endpoint_list_update([make_endpoint(task, started_at=rig.now)], api.UpdateKind.DELTA), after=1)
    for zone in (0, 1):
        assert 0 < rig.share(zone, task) <= rig.config.overload_multiple / 2 * 0.25 / 7


def test_many_cold_tasks_leave_most_work_to_the_warm_ones_and_a_fleet_of_cold_tasks_is_fully_listed():
    rig = AssignerRig(proxy_ejection_failures=0)
    rig.feed(
        endpoint_list_update([make_endpoint(i, started_at=rig.now) for i in range(2, 8)], api.UpdateKind.DELTA), after=1
    )
    assert all(rig.share(z, 0) + rig.share(z, 1) > 0.5 for z in (0, 1))
    rig.feed(
        endpoint_list_update([make_endpoint(i, started_at=rig.now) for i in (0, 1)], api.UpdateKind.DELTA), after=1
    )
    assert all(rig.share(0, i) > 0 for i in range(8))


@pytest.mark.parametrize(("ejection_failures", "is_listed"), [(3, False), (0, True)])
def test_in_an_overload_a_cold_task_is_not_listed_where_proxies_eject_tasks(ejection_failures, is_listed):
    rig = AssignerRig(proxy_ejection_failures=ejection_failures)
    for _ in range(5):
        rig.period(*[rig.report(z, i, failed=8) for z in (0, 1) for i in range(8)])
    usual_share = rig.share(0, 0)
    rig.feed(endpoint_list_update([make_endpoint(8, started_at=rig.now)], api.UpdateKind.DELTA), after=0.1)
    assert (8 in rig.tables[0]) is is_listed
    assert not is_listed or rig.share(0, 8) <= rig.config.overload_multiple / 2 * 0.2 * usual_share


def test_cold_tasks_wait_after_a_start_until_attempts_could_have_timed_out():
    rig = AssignerRig()
    rig.feed(endpoint_list_update([make_endpoint(8, started_at=rig.now)], api.UpdateKind.DELTA), after=0.1)
    assert 8 not in rig.tables[0]
    for _ in range(4):
        rig.period()  # missing reports do not count as good reports
    assert 8 not in rig.tables[0]
    for _ in range(6):
        rig.period(*[rig.report(z, i) for z in (0, 1) for i in range(8)], api.OfferedLoad(9, 2 * SECOND, 1, 0, 0))
    assert 8 in rig.tables[0]


def test_cold_tasks_wait_where_proxies_eject_while_reports_are_old():
    rig = AssignerRig()

    def reports():
        return [rig.report(z, i) for z in (0, 1) for i in range(8)] + [api.OfferedLoad(9, SECOND, 1, 0, 0)]

    for _ in range(6):
        rig.period(*reports())
    assert rig.assigner.slow_start.lists_cold
    rig.now += 4 * SECOND  # after a pause, reports arrive at the usual rate but are old
    for _ in range(6):
        rig.period(*reports())
        assert not rig.assigner.slow_start.lists_cold
