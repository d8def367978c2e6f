"""Limits on the number and rate of connections, and on the rates of requests and replies on each connection.

They prevent one client, or a storm of reconnections, from starving all other clients. The limits also hold for a fleet
that reconnects all at once; a rejected client retries after its own backoff.
"""

from __future__ import annotations

from collections import OrderedDict

from hollyridge.limits.token_bucket import TokenBucket

MAX_TRACKED_ADDRESSES = 4096  # addresses whose rates are tracked; the least recently used is dropped
CONNECT_BURST_S = 1 / 4  # burst of new connections, in seconds at the sustained rate
ADDRESS_SHARE = 1 / 8  # part of the rate of new connections that one address may use
REQUEST_BURST_S = 2  # burst of requests, in seconds at the sustained rate
UNLIMITED_PER_S = 1e9


class ConnectionLimiter:
    """Limiter of connections and of the rates on them.

    >>> limiter = ConnectionLimiter(max_connections=2, max_per_address=1, connects_per_s=100, requests_per_s=1)
    >>> [limiter.admit(0, address) for address in ("a", "a", "b", "c")]
    ['', 'too many connections from one address', '', 'too many connections']
    >>> limiter.release("a"); limiter.admit(0, "c")
    ''

    Args:
        max_connections: Maximum number of open connections.
        max_per_address: Maximum number of open connections from one address.
        connects_per_s: Rate of new connections; one address may use `ADDRESS_SHARE` of it.
        requests_per_s: Rate of requests on one connection.
        replies_per_s: Rate of replies with weights on one connection; 0 for no limit.

    Attributes:
        refused: Number of rejected connections by reason.
    """

    def __init__(
        self,
        max_connections: int,
        max_per_address: int,
        connects_per_s: float,
        requests_per_s: float,
        replies_per_s: float = 0.0,
    ) -> None:
        self.max_connections = max_connections
        self.max_per_address = max_per_address
        self.connects_per_s = connects_per_s
        self.requests_per_s = requests_per_s
        self.replies_per_s = replies_per_s
        self.connect_bucket = TokenBucket(connects_per_s, max(1.0, connects_per_s * CONNECT_BURST_S))
        self.address_buckets: OrderedDict[str, TokenBucket] = OrderedDict()
        self.connections = 0
        self.connections_by_address: dict[str, int] = {}
        self.refused: dict[str, int] = {}

    def admit(self, now_us: int, address: str) -> str:
        """Count a new connection and return the reason for its rejection; an empty string if it is admitted."""
        reason = self.rejection_reason(now_us, address)
        if reason:
            self.refused[reason] = self.refused.get(reason, 0) + 1
        else:
            self.connections += 1
            self.connections_by_address[address] = self.connections_by_address.get(address, 0) + 1
        return reason

    def rejection_reason(self, now_us: int, address: str) -> str:
        """Check all limits in turn and return the reason for a rejection, or an empty string.

        A check takes tokens from the buckets, so it must be called only once for each connection.
        """
        if self.connections >= self.max_connections:
            return "too many connections"
        if self.connections_by_address.get(address, 0) >= self.max_per_address:
            return "too many connections from one address"
        if not self.address_bucket(address).take(now_us):
            return "connects too often"
        return "" if self.connect_bucket.take(now_us) else "too many connects a second"

    def address_bucket(self, address: str) -> TokenBucket:
        """Return the bucket that limits the rate of new connections from one address."""
        bucket = self.address_buckets.get(address)
        if bucket is None:
            rate_per_s = self.connects_per_s * ADDRESS_SHARE
            bucket = self.address_buckets[address] = TokenBucket(rate_per_s, max(1.0, rate_per_s))
            if len(self.address_buckets) > MAX_TRACKED_ADDRESSES:
                self.address_buckets.popitem(last=False)
        self.address_buckets.move_to_end(address)
        return bucket

    def release(self, address: str) -> None:
        """Record the end of an admitted connection."""
        self.connections -= 1
        self.connections_by_address[address] -= 1
        if not self.connections_by_address[address]:
            del self.connections_by_address[address]

    def request_bucket(self) -> TokenBucket:
        """Return a bucket that limits the rate of requests on a new connection."""
        return TokenBucket(self.requests_per_s, max(2.0, REQUEST_BURST_S * self.requests_per_s))

    def reply_bucket(self) -> TokenBucket:
        """Return a bucket that limits the rate of replies with weights on a new connection.

        The platform counts such replies as messages to the proxy, over windows of ten seconds. A third of that number
        may be sent at once and two thirds at the sustained rate, so that no ten seconds exceed the limit.
        """
        rate_per_s = self.replies_per_s or UNLIMITED_PER_S
        return TokenBucket(rate_per_s * 2 / 3, rate_per_s * 10 / 3)
