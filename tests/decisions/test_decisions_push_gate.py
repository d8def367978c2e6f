"""The push gate: the price of a push and the budget of pushes."""

import pytest

from hollyridge.decisions.push_gate import PUSH_BUDGET_PER_PERIOD, PushGate


@pytest.mark.parametrize(
    ("gains", "pushes", "price"),
    [
        ([0.5], [1], 1.0),
        ([0.5, 0.5, 0.5], [1, 1, 1], 2.6),
        ([0.5, 0.0, 0.04, 0.049], [1, 0, 0, 0], 0.4),  # a gain below the noise floor counts as zero
        ([0.05] * 5, [1, 1, 1, 0, 1], 3.2),  # V x 0.05 is 2.5: held while the price is higher, pushed at 2.4
    ],
)
def test_push_price_follows_the_equation(gains, pushes, price):
    gate = PushGate()
    assert [gate.decide(1.0, 1.0 - g, False) for g in gains] == [bool(p) for p in pushes]
    assert gate.push_price == pytest.approx(price)


def test_pushes_stay_within_the_budget_in_the_long_run():
    gate = PushGate()
    pushes = sum(gate.decide(1.0, 0.9, False) for _ in range(2000))
    assert PUSH_BUDGET_PER_PERIOD * 2000 - 10 <= pushes <= PUSH_BUDGET_PER_PERIOD * 2000 + 30
    assert not PushGate().decide(1.0, 0.1, True)  # no push while pushes are on hold
