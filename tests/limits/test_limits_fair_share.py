"""Fair shares of the sources of reports under a budget of data points."""

from random import Random

import pytest

from hollyridge.limits.fair_share import OVERFLOW_SOURCE, FairShareLimiter, fair_share

SECOND = 1_000_000


def simulate_senders(rates, budget, seconds=30, seed=1, max_sources=1000, points_per_request=10):
    """Return the points read per second by source, and the limiter.

    Each source sends requests of `points_per_request` points at its rate, and retries after the wait it is given.
    """
    limiter, rng, points_read = FairShareLimiter(budget, SECOND, max_sources), Random(seed), dict.fromkeys(rates, 0)
    due_requests = sorted((rng.random() * SECOND, source) for source in rates)
    while due_requests and due_requests[0][0] < seconds * SECOND:
        now_us, source = due_requests.pop(0)
        wait_us = limiter.retry_after_us(int(now_us), source)
        if not wait_us:
            limiter.record(int(now_us), source, points_per_request)
            points_read[source] += points_per_request * (now_us > 5 * SECOND)
        # Sources that flood ignore the wait.
        gap_us = max(wait_us if rates[source] < 1e4 else 0, SECOND * points_per_request / rates[source])
        due_requests.append((now_us + gap_us * rng.uniform(0.9, 1.1), source))
        due_requests.sort()
    return {source: points / (seconds - 5) for source, points in points_read.items()}, limiter


def test_light_sources_are_read_in_full_whatever_heavy_ones_send():
    rates = {**{f"quiet-{index}": 20.0 for index in range(20)}, "loud": 20_000.0}
    points_read, _ = simulate_senders(rates, 1000.0)
    assert min(points_read[f"quiet-{index}"] for index in range(20)) > 17
    assert 400 < points_read["loud"] < 900
    assert sum(points_read.values()) < 1150


def test_heavy_sources_get_equal_shares():
    points_read, limiter = simulate_senders(
        {**{f"q{index}": 10.0 for index in range(10)}, **{f"loud-{index}": 500.0 for index in range(4)}}, 600.0
    )
    heavy_points = [points_read[f"loud-{index}"] for index in range(4)]
    assert max(heavy_points) < 1.4 * min(heavy_points)
    assert min(points_read[f"q{index}"] for index in range(10)) > 8
    assert limiter.counts["limited"] == 4


def test_no_source_is_limited_while_all_fit_into_the_budget():
    points_read, limiter = simulate_senders({f"s{index}": 40.0 for index in range(10)}, 1000.0)
    assert min(points_read.values()) > 36
    assert limiter.counts["turned_away"] == 0


def test_sources_beyond_the_maximum_share_as_one():
    limiter = FairShareLimiter(1000.0, SECOND, 8)
    for index in range(5000):
        if not limiter.retry_after_us(index * 400, f"name-{index}"):
            limiter.record(index * 400, f"name-{index}", 10)
    assert len(limiter.sources) <= 9
    assert OVERFLOW_SOURCE in limiter.sources
    for index in range(20):  # a separate source is still read
        now_us = 2 * SECOND + index * SECOND
        assert limiter.retry_after_us(now_us, "name-0") == 0
        limiter.record(now_us, "name-0", 10)


def test_an_overdrawn_source_waits_until_its_shares_have_made_up_for_it():
    limiter = FairShareLimiter(100.0, SECOND, 10)
    assert limiter.retry_after_us(0, "a") == 0
    limiter.record(0, "a", 1000)
    wait_us = limiter.retry_after_us(10, "a")
    assert wait_us > 5 * SECOND
    assert limiter.retry_after_us(10 + wait_us + 2 * SECOND, "a") == 0


@pytest.mark.parametrize(
    ("demands", "budget", "share"), [([], 5.0, 5.0), ([10.0, 10.0], 10.0, 5.0), ([0.0, 9.0], 6.0, 6.0)]
)
def test_the_fair_share_fits_the_demands_into_the_budget(demands, budget, share):
    assert fair_share(demands, budget) == share
