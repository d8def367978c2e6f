"""The token bucket: a sustained rate that allows bursts."""

from hollyridge.limits.token_bucket import TokenBucket

SECOND = 1_000_000


def test_the_burst_is_admitted_at_once_and_then_the_rate():
    bucket = TokenBucket(rate_per_s=10, burst=5)
    assert sum(bucket.take(0) for _ in range(100)) == 5
    assert sum(bucket.take(now_us) for now_us in range(0, 10 * SECOND, 1000)) == 99


def test_idle_time_saves_up_no_more_than_the_burst():
    bucket = TokenBucket(rate_per_s=10, burst=5)
    bucket.take(0)
    assert sum(bucket.take(1000 * SECOND) for _ in range(100)) == 5


def test_a_rejected_amount_takes_nothing():
    bucket = TokenBucket(rate_per_s=1, burst=3)
    assert not bucket.take(0, 4.0)
    assert bucket.take(0, 3.0)
    assert not bucket.take(0)
