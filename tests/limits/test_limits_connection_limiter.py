"""The connection limiter: one source of connections never blocks the others."""

from helpers import SECOND

from hollyridge.limits.connection_limiter import ConnectionLimiter


def test_one_address_does_not_block_others():
    limiter = ConnectionLimiter(max_connections=100, max_per_address=10, connects_per_s=80, requests_per_s=10)
    admitted = sum(not limiter.admit(now_us, "storm") for now_us in range(0, SECOND, 1000))
    assert admitted == 10
    assert not limiter.admit(SECOND, "quiet")
