"""One source of connections never shuts out the others."""

from helpers import SECOND

from hollyridge.limits.connection_limiter import ConnectionLimiter


def test_doors_stay_open_for_others():
    keeper = ConnectionLimiter(max_connections=100, max_per_address=10, connects_per_s=80, requests_per_s=10)
    taken = sum(not keeper.admit(at, "storm") for at in range(0, SECOND, 1000))
    assert taken == 10
    assert not keeper.admit(SECOND, "quiet")
