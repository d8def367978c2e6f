"""The fair share of sources of reports under a budget of data points."""

from random import Random

import pytest

from hollyridge.limits.fair_share import OVERFLOW_SOURCE, FairShareLimiter, fair_share

SECOND = 1_000_000


def play(rates, budget, seconds=30, seed=1, most=1000, size=10):
    """Points heard a second by sender: each sends requests of `size` points at its rate, and comes again when told."""
    fair, rng, heard = FairShareLimiter(budget, SECOND, most), Random(seed), dict.fromkeys(rates, 0)
    due = sorted((rng.random() * SECOND, name) for name in rates)
    while due and due[0][0] < seconds * SECOND:
        now, name = due.pop(0)
        wait = fair.retry_after_us(int(now), name)
        if not wait:
            fair.record(int(now), name, size)
            heard[name] += size * (now > 5 * SECOND)
        gap = max(wait if rates[name] < 1e4 else 0, SECOND * size / rates[name])  # floods do not listen
        due.append((now + gap * rng.uniform(0.9, 1.1), name))
        due.sort()
    return {name: points / (seconds - 5) for name, points in heard.items()}, fair


def test_light_sources_are_read_in_full_whatever_heavy_ones_send():
    rates = {**{f"quiet-{k}": 20.0 for k in range(20)}, "loud": 20_000.0}
    heard, _ = play(rates, 1000.0)
    assert min(heard[f"quiet-{k}"] for k in range(20)) > 17
    assert 400 < heard["loud"] < 900
    assert sum(heard.values()) < 1150


def test_heavy_sources_get_equal_shares():
    heard, fair = play({**{f"q{k}": 10.0 for k in range(10)}, **{f"loud-{k}": 500.0 for k in range(4)}}, 600.0)
    loud = [heard[f"loud-{k}"] for k in range(4)]
    assert max(loud) < 1.4 * min(loud)
    assert min(heard[f"q{k}"] for k in range(10)) > 8
    assert fair.counts["limited"] == 4


def test_no_source_is_limited_while_all_fit_into_the_budget():
    heard, fair = play({f"s{k}": 40.0 for k in range(10)}, 1000.0)
    assert min(heard.values()) > 36
    assert fair.counts["turned_away"] == 0


def test_sources_beyond_the_maximum_share_as_one():
    fair = FairShareLimiter(1000.0, SECOND, 8)
    for k in range(5000):
        if not fair.retry_after_us(k * 400, f"name-{k}"):
            fair.record(k * 400, f"name-{k}", 10)
    assert len(fair.sources) <= 9
    assert OVERFLOW_SOURCE in fair.sources
    for k in range(20):  # one of those told apart is heard all the same
        now = 2 * SECOND + k * SECOND
        assert fair.retry_after_us(now, "name-0") == 0
        fair.record(now, "name-0", 10)


def test_an_overdrawn_source_waits_until_its_shares_have_made_up_for_it():
    fair = FairShareLimiter(100.0, SECOND, 10)
    assert fair.retry_after_us(0, "a") == 0
    fair.record(0, "a", 1000)
    waits = fair.retry_after_us(10, "a")
    assert waits > 5 * SECOND
    assert fair.retry_after_us(10 + waits + 2 * SECOND, "a") == 0


@pytest.mark.parametrize(
    ("wanted", "budget", "share"), [([], 5.0, 5.0), ([10.0, 10.0], 10.0, 5.0), ([0.0, 9.0], 6.0, 6.0)]
)
def test_the_fair_share_fits_the_demands_into_the_budget(wanted, budget, share):
    assert fair_share(wanted, budget) == share
