"""Outlier detection: cuts by zone of proxies, and recovery."""

import pytest
from helpers import AssignerRig


@pytest.mark.parametrize(
    ("failed", "latency", "is_cut"),
    [
        (10, 0.0, True),  # a task that hangs, is gone or is cut off gives no answers
        (7, 0.01, True),  # most attempts fail quickly
        (3, 0.3, False),  # a slow task with some timeouts is left to the weight controller
        (0, 0.4, False),
    ],
)
def test_a_task_that_fails_more_than_the_rest_is_cut_and_recovers_in_steps(failed, latency, is_cut):
    rig = AssignerRig()
    for _ in range(5):
        rig.period(
            *[
                rig.report(z, i, latency=latency if i == 2 else 0.1, failed=failed if i == 2 else 0)
                for z in (0, 1)
                for i in range(8)
            ]
        )
    factor = rig.assigner.outliers.factor[0]
    assert (factor[2] < 0.1) is is_cut
    assert rig.tables[0][2] > 0
    assert factor[0] == 1.0
    for _ in range(12):
        previous_factor = factor[2]
        rig.period(*[rig.report(z, i) for z in (0, 1) for i in range(8)])
        assert factor[2] <= 4 * previous_factor
    assert factor[2] == 1.0


def test_a_network_fault_cuts_tasks_for_one_zone_of_proxies_only():
    rig = AssignerRig()
    for _ in range(6):
        rig.period(*[rig.report(z, i, failed=10 if i % 2 != z else 0) for z in (0, 1) for i in range(8)])
    factor = rig.assigner.outliers.factor
    assert all((factor[z][i] < 0.2) is (i % 2 != z) for z in (0, 1) for i in range(8))


def test_a_table_whose_proxies_report_nothing_is_unchanged():
    rig = AssignerRig()
    for _ in range(8):
        rig.period(*[rig.report(0, i, failed=10 * (i % 2)) for i in range(8)])
    assert rig.assigner.outliers.factor[1] == [1.0] * 8
    assert rig.share(1, 1) > rig.share(1, 0)
