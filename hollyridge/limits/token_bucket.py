"""A token bucket: a sustained rate that allows bursts."""

from __future__ import annotations


class TokenBucket:
    """Rate limiter that admits `rate_per_s` on average and `burst` at once.

    >>> bucket = TokenBucket(rate_per_s=2, burst=2)
    >>> [bucket.take(at) for at in (0, 0, 0, 500_000)]
    [True, True, False, True]
    """

    __slots__ = ("burst", "rate_per_s", "tokens", "updated_at_us")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.updated_at_us = 0

    def take(self, now_us: int, amount: float = 1.0) -> bool:
        """Take `amount` tokens if they are available, and return whether they were."""
        self.tokens = min(self.burst, self.tokens + (now_us - self.updated_at_us) * self.rate_per_s / 1e6)
        self.updated_at_us = now_us
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True
