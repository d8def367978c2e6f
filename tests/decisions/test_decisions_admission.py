"""Admission control: fractions, rates and retry modes."""

import pytest
from helpers import SECOND, Rig, bootstrap, method

from hollyridge import interface as api
from hollyridge.decisions.admission import UNLIMITED_RATE, AdmissionController


@pytest.mark.parametrize(
    ("admission", "util", "lowered"),
    [(api.Admission.FRACTION, 1.0, True), (api.Admission.FRACTION, 0.5, False), (api.Admission.OFF, 1.0, False)],
)
def test_levels_fall_in_an_overload_with_busy_cores_only_and_rise_steadily(admission, util, lowered):
    rig = Rig(admission=admission)
    seen = []

    def reports(failed, load):
        return [rig.report(z, i, failed=failed)._replace(load=(load, 0.0)) for z in (0, 1) for i in range(8)]

    for _ in range(4):
        rig.period(*reports(8, util))
    assert (rig.assigner.admission.fraction[0] < 0.5) is lowered
    assert all(mode == 0 for _, mode in rig.levels.values())  # retries feed an overload
    for _ in range(30):
        rig.period(*reports(0, 0.5))
        seen.append(rig.assigner.admission.fraction[0])
    assert seen == sorted(seen)
    assert seen[-1] == 1.0


@pytest.mark.parametrize(
    ("part", "rates", "level"),
    [(0.5, [10.0, 10.0], 5.0), (0.5, [2.0, 18.0], 8.0), (0.9, [1.0, 1.0, 98.0], 88.0), (0.5, [], UNLIMITED_RATE)],
)
def test_a_rate_limit_admits_its_fraction_and_cuts_the_proxies_with_most_traffic(part, rates, level):
    levels = AdmissionController(bootstrap(admission=api.Admission.PER_SECOND))
    assert levels.rate_limit(part, rates, UNLIMITED_RATE) == pytest.approx(level)
    assert sum(min(rate, levels.rate_limit(part, rates, 1e9)) for rate in rates) == pytest.approx(part * sum(rates))
    assert levels.rate_limit(part, rates, level * 1.05) == level * 1.05  # too small a change for a line


def test_rates_admit_all_on_a_calm_day_and_a_fraction_of_what_comes_in_an_overload():
    """A fraction sent as a rate admitted one RPC a second at each proxy, on every day of such a deployment."""
    rig = Rig(admission=api.Admission.PER_SECOND)

    def step(failed, util, rpcs=40):
        rig.period(
            *[rig.report(z, i, failed=failed)._replace(load=(util, 0.0)) for z in (0, 1) for i in range(8)],
            *[api.OfferedLoad(rpcs, SECOND, p, k, 0) for p in range(4) for k in (0, 1)],
        )

    for _ in range(4):
        step(0, 0.5)
        assert all(amount == UNLIMITED_RATE for amount, _ in rig.levels.values())
    for _ in range(4):
        step(8, 1.0)
    cut = [amount for (table, _), (amount, _) in rig.levels.items() if table < 2]  # of zones
    assert len(cut) == 4
    assert all(2.0 <= amount <= 20.0 for amount in cut)
    for _ in range(30):
        step(0, 0.5)
    assert {amount for amount, _ in rig.levels.values()} == {UNLIMITED_RATE}


@pytest.mark.parametrize(("failed", "least", "most"), [(3, 0.6, 1.0), (5, 0.4, 0.7), (10, 0.0, 0.3)])
def test_the_first_cut_is_as_deep_as_attempts_fail(failed, least, most):
    """An overload that is cut by half only goes on serving what has timed out, until the next cut can show."""
    rig = Rig()
    for _ in range(2):
        rig.period(*[rig.report(z, i, failed=failed)._replace(load=(0.95, 0.0)) for z in (0, 1) for i in range(8)])
    assert least <= rig.assigner.admission.fraction[0] <= most


@pytest.mark.parametrize("repeat", list(api.Idempotency))
def test_no_retry_mode_can_repeat_an_effect(repeat):
    rig = Rig(methods=(method(repeat), method(repeat, api.IdempotencyScope.ZONE)))
    for failed in (0, 0, 8, 8, 0, 0, 0, 0, 0):
        rig.period(*[rig.report(z, i, failed=failed) for z in (0, 1) for i in range(8)])
        assert {mode for _, mode in rig.levels.values()} <= {0, 1}  # 1: on proof that the first never ran
    assert 1 in {mode for _, mode in rig.levels.values()}


def test_a_deployment_without_levels_and_retry_modes_is_ordered_none():
    rig = Rig(admission=api.Admission.SILENT)
    for second in range(12):
        failed = 18 if second < 8 else 0
        rig.period(*[rig.report(z, t, attempts=20, failed=failed) for z in (0, 1) for t in range(8)])
        assert not [o for o in rig.commands if isinstance(o, api.SetAdmission)]
    assert not rig.levels
