"""Estimates: capacities, partial reports, and overload of all tasks."""

from helpers import SECOND, START, assigner_config

from hollyridge import interface as api
from hollyridge.decisions.estimates import Estimates


def test_capacity_is_learned_from_answers_in_a_busy_period_but_not_while_cold():
    estimates = Estimates(assigner_config())
    estimates.ensure_tasks(2)
    for _ in range(10):
        for task, attempts in ((0, 30), (1, 10)):
            estimates.record_traffic(START, api.TrafficReport(0, task, attempts, 0, 1000, SECOND, (0.5, 0.0)))
        size = estimates.update_sizes([1.0, 1.0], [0, 1], [0, 1])
        estimates.decay(START)
    assert size[0] > 2 * size[1]
    busy_periods_before = estimates.busy_periods[0]
    estimates.record_traffic(START, api.TrafficReport(0, 0, 30, 0, 1000, SECOND, (0.5, 0.0)))
    estimates.update_sizes([1.0, 1.0], [0, 1], [1])
    assert estimates.busy_periods[0] == busy_periods_before
    assert estimates.utilization == [-1.0, -1.0]


def test_partial_reports_add_up_until_they_expire():
    estimates = Estimates(assigner_config())
    estimates.ensure_tasks(2)
    for period in range(6):  # each period reports one task, over two periods
        now = START + period * SECOND
        estimates.record_traffic(now, api.TrafficReport(0, period % 2, 20, 10, 1000, 2 * SECOND, ()))
        estimates.record_offered_load(api.OfferedLoad(8, 2 * SECOND, period % 2, 0, 0))
        estimates.decay(now)
    assert estimates.attempts_and_failures([0, 1]) == (20.0, 10.0)
    assert [estimates.offered(p) for p in (0, 1, 2)] == [4.0, 4.0, 0.0]
    estimates.decay(now + 5 * SECOND)
    assert estimates.attempts_and_failures([0, 1]) == (0.0, 0.0)


def test_all_tasks_count_as_overloaded_only_if_more_than_a_few_fail():
    estimates = Estimates(assigner_config())
    estimates.ensure_tasks(8)
    for task in range(8):
        estimates.record_traffic(START, api.TrafficReport(0, task, 20, 0 if task < 3 else 16, 1000, SECOND, ()))
    assert not estimates.all_overloaded(range(8))
    assert estimates.all_overloaded(range(3, 8))
