"""Admission control: fractions, rates and retry modes."""

import pytest
from helpers import SECOND, AssignerRig, assigner_config, method

from hollyridge import interface as api
from hollyridge.decisions.admission import UNLIMITED_RATE, AdmissionController


@pytest.mark.parametrize(
    ("admission", "util", "is_cut"),
    [(api.Admission.FRACTION, 1.0, True), (api.Admission.FRACTION, 0.5, False), (api.Admission.OFF, 1.0, False)],
)
def test_levels_fall_in_an_overload_with_busy_cores_only_and_rise_steadily(admission, util, is_cut):
    rig = AssignerRig(admission=admission)
    fractions = []

    def reports(failed, load):
        return [rig.report(z, i, failed=failed)._replace(load=(load, 0.0)) for z in (0, 1) for i in range(8)]

    for _ in range(4):
        rig.period(*reports(8, util))
    assert (rig.assigner.admission.fraction[0] < 0.5) is is_cut
    assert all(mode == 0 for _, mode in rig.levels.values())  # retries add to an overload
    for _ in range(30):
        rig.period(*reports(0, 0.5))
        fractions.append(rig.assigner.admission.fraction[0])
    assert fractions == sorted(fractions)
    assert fractions[-1] == 1.0


@pytest.mark.parametrize(
    ("fraction", "rates", "level"),
    [(0.5, [10.0, 10.0], 5.0), (0.5, [2.0, 18.0], 8.0), (0.9, [1.0, 1.0, 98.0], 88.0), (0.5, [], UNLIMITED_RATE)],
)
def test_a_rate_limit_admits_its_fraction_and_cuts_the_proxies_with_most_traffic(fraction, rates, level):
    controller = AdmissionController(assigner_config(admission=api.Admission.PER_SECOND))
    assert controller.rate_limit(fraction, rates, UNLIMITED_RATE) == pytest.approx(level)
    assert sum(min(rate, controller.rate_limit(fraction, rates, 1e9)) for rate in rates) == pytest.approx(
        fraction * sum(rates)
    )
    assert controller.rate_limit(fraction, rates, level * 1.05) == level * 1.05  # the change is too small to send


def test_rate_limits_admit_all_rpcs_at_low_load_and_a_fraction_of_the_load_in_an_overload():
    """Guards against a fraction sent as a rate, which admitted one RPC per second at each proxy at any load."""
    rig = AssignerRig(admission=api.Admission.PER_SECOND)

    def run_period(failed, util, rpcs=40):
        rig.period(
            *[rig.report(z, i, failed=failed)._replace(load=(util, 0.0)) for z in (0, 1) for i in range(8)],
            *[api.OfferedLoad(rpcs, SECOND, p, k, 0) for p in range(4) for k in (0, 1)],
        )

    for _ in range(4):
        run_period(0, 0.5)
        assert all(amount == UNLIMITED_RATE for amount, _ in rig.levels.values())
    for _ in range(4):
        run_period(8, 1.0)
    cut_amounts = [amount for (table, _), (amount, _) in rig.levels.items() if table < 2]  # levels of the zones' tables
    assert len(cut_amounts) == 4
    assert all(2.0 <= amount <= 20.0 for amount in cut_amounts)
    for _ in range(30):
        run_period(0, 0.5)
    assert {amount for amount, _ in rig.levels.values()} == {UNLIMITED_RATE}


@pytest.mark.parametrize(("failed", "min_fraction", "max_fraction"), [(3, 0.6, 1.0), (5, 0.4, 0.7), (10, 0.0, 0.3)])
def test_the_first_cut_is_proportional_to_the_failures(failed, min_fraction, max_fraction):
    """Guards against a first cut that is too small: tasks then work on RPCs that have timed out until the next cut."""
    rig = AssignerRig()
    for _ in range(2):
        rig.period(*[rig.report(z, i, failed=failed)._replace(load=(0.95, 0.0)) for z in (0, 1) for i in range(8)])
    assert min_fraction <= rig.assigner.admission.fraction[0] <= max_fraction


@pytest.mark.parametrize("idempotency", list(api.Idempotency))
def test_no_retry_mode_can_repeat_an_effect(idempotency):
    rig = AssignerRig(methods=(method(idempotency), method(idempotency, api.IdempotencyScope.ZONE)))
    for failed in (0, 0, 8, 8, 0, 0, 0, 0, 0):
        rig.period(*[rig.report(z, i, failed=failed) for z in (0, 1) for i in range(8)])
        assert {mode for _, mode in rig.levels.values()} <= {0, 1}  # 1: only if the first attempt provably never ran
    assert 1 in {mode for _, mode in rig.levels.values()}


def test_no_levels_are_sent_where_levels_and_retry_modes_are_not_supported():
    rig = AssignerRig(admission=api.Admission.NOT_SUPPORTED)
    for period in range(12):
        failed = 18 if period < 8 else 0
        rig.period(*[rig.report(z, t, attempts=20, failed=failed) for z in (0, 1) for t in range(8)])
        assert not [command for command in rig.commands if isinstance(command, api.SetAdmission)]
    assert not rig.levels
