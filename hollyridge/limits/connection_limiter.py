"""Which connections and requests are taken: counts and paces with a little room for bursts.

Guards against one peer, or a storm of them, taking the hub from all others. It may hurt a fleet that comes back
all at once: paces are stated in the settings, and a turned away client comes again after its own wait.
"""

from __future__ import annotations

from collections import OrderedDict


class TokenBucket:
    """A pace with room for `burst` at once.

    >>> bucket = TokenBucket(per_s=2, burst=2)
    >>> [bucket.take(at) for at in (0, 0, 0, 500_000)]
    [True, True, False, True]
    """

    __slots__ = ("per_s", "burst", "left", "at")

    def __init__(self, per_s: float, burst: float) -> None:
        self.per_s, self.burst, self.left, self.at = per_s, burst, burst, 0

    def take(self, now: int, amount: float = 1.0) -> bool:
        self.left = min(self.burst, self.left + (now - self.at) * self.per_s / 1e6)
        self.at = now
        if self.left < amount:
            return False
        self.left -= amount
        return True


class ConnectionLimiter:
    """`most` connections in all and `most_each` from one address; `per_s` new ones in all, an eighth of it from
    one address that already holds connections; `requests_per_s` on each connection; `answers_per_s` with weights
    in them on each, a third of ten seconds' worth at once (0: no limit).

    >>> keeper = ConnectionLimiter(most=2, most_each=1, per_s=100, requests_per_s=1)
    >>> [keeper.admit(0, who) for who in ("a", "a", "b", "c")]
    ['', 'too many connections from one address', '', 'too many connections']
    >>> keeper.release("a"); keeper.admit(0, "c")
    ''
    """

    ADDRESSES = 4096  # paces kept by address; the longest unused goes first

    def __init__(
        self, most: int, most_each: int, per_s: float, requests_per_s: float, answers_per_s: float = 0.0
    ) -> None:
        self.answers_per_s = answers_per_s
        self.most, self.most_each = most, most_each
        self.whole = TokenBucket(per_s, max(1.0, per_s / 4))
        self.per_s, self.requests_per_s = per_s, requests_per_s
        self.open: dict[str, int] = {}
        self.total = 0
        self.each: OrderedDict[str, TokenBucket] = OrderedDict()
        self.refused: dict[str, int] = {}

    def admit(self, now: int, address: str) -> str:
        """Empty if the connection is taken, else why not."""
        why = self.rejection_reason(now, address)
        if why:
            self.refused[why] = self.refused.get(why, 0) + 1
        else:
            self.total += 1
            self.open[address] = self.open.get(address, 0) + 1
        return why

    def rejection_reason(self, now: int, address: str) -> str:
        if self.total >= self.most:
            return "too many connections"
        if self.open.get(address, 0) >= self.most_each:
            return "too many connections from one address"
        pace = self.each.get(address)
        if pace is None:
            pace = self.each[address] = TokenBucket(self.per_s / 8, max(1.0, self.per_s / 8))
            if len(self.each) > self.ADDRESSES:
                self.each.popitem(last=False)
        self.each.move_to_end(address)
        if not pace.take(now):
            return "connects too often"
        return "" if self.whole.take(now) else "too many connects a second"

    def release(self, address: str) -> None:
        self.total -= 1
        self.open[address] -= 1
        if not self.open[address]:
            del self.open[address]

    def request_bucket(self) -> TokenBucket:
        """The pace of one connection's requests."""
        return TokenBucket(self.requests_per_s, max(2.0, 2 * self.requests_per_s))

    def reply_bucket(self) -> TokenBucket:
        """The pace of the answers with weights to one who asks: the messages a proxy may get count them too."""
        pace = self.answers_per_s or 1e9
        return TokenBucket(pace * 2 / 3, pace * 10 / 3)
