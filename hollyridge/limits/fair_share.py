"""Which senders of reports are heard when all together say more than can be read: max-min fair, by points.

Each period the budget is shared out by a water level: who says less than the level is heard in full, the others up to
it. So one that talks, or lies about who it is, takes from those that talk as much, never from the quiet ones. A
request's points are known only once it has been read, so a sender may overdraw once, and waits until its share has made
up for that.
"""

from __future__ import annotations

from collections import OrderedDict

MEMORY = 0.5  # part of what a sender wanted that still counts a period later
CREDIT = 2.0  # periods of its share that a quiet sender may save up
ALL = ""  # stands for the senders beyond those that are told apart


class ReportSource:
    __slots__ = ("balance", "wanted", "now", "usual", "refused", "heard")

    def __init__(self, share: float, now: int) -> None:
        self.balance, self.wanted, self.now, self.usual, self.refused, self.heard = share, 0.0, 0.0, 1.0, 0, now


def level(wanted: list[float], budget: float) -> float:
    """The largest share such that all wants, each cut off there, fit into the budget.

    >>> level([1.0, 2.0, 50.0, 80.0], 33.0), level([1.0, 2.0], 33.0)
    (15.0, 32.0)
    """
    rest, some = budget, sorted(wanted)
    for at, want in enumerate(some):
        part = rest / (len(some) - at)
        if want >= part:
            return part
        rest -= want
    return (some[-1] if some else 0.0) + rest


class FairShareLimiter:
    """`per_period` points are read of all senders together, `most` senders are told apart, the rest share as one.

    >>> fair = FairShareLimiter(100.0, 1_000_000, 10)
    >>> fair.retry_after_us(0, "loud"), fair.record(0, "loud", 500)
    (0, None)
    >>> fair.retry_after_us(1, "loud") > 0, fair.retry_after_us(2, "quiet")
    (True, 0)
    """

    def __init__(self, per_period: float, period: int, most: int) -> None:
        self.budget, self.period, self.most = per_period, period, most
        self.senders: OrderedDict[str, ReportSource] = OrderedDict()
        self.begins, self.share, self.left = -1, per_period, CREDIT * per_period
        self.counts = {"periods": 0, "heard": 0, "turned_away": 0, "limited": 0}

    def retry_after_us(self, now: int, sender: str) -> int:
        """0 if a request of this sender is to be read now, else microseconds after which it may come again."""
        self.start_period(now)
        one = self.source_for(now, sender)
        if one.balance > 0 and (self.left > 0 or one.now + one.usual <= self.share):
            return 0
        one.refused += 1
        self.counts["turned_away"] += 1
        due = self.begins + self.period - now
        if one.balance <= 0:  # each period gives it a share
            due += int(-one.balance / max(self.share, 1e-9)) * self.period
        return max(due, 1)

    def record(self, now: int, sender: str, points: int) -> None:
        """So many points of a sender were read."""
        self.start_period(now)
        one = self.source_for(now, sender)
        one.balance -= points
        one.now += points
        one.usual += (points - one.usual) / 4
        self.left -= points
        self.counts["heard"] += points

    def source_for(self, now: int, sender: str) -> ReportSource:
        one = self.senders.get(sender)
        if one is None:
            if len(self.senders) >= self.most:
                sender = ALL
                one = self.senders.get(ALL)
            if one is None:
                one = self.senders[sender] = ReportSource(CREDIT * self.share, now)
        one.heard = now
        return one

    def start_period(self, now: int) -> None:
        """A new period: what senders wanted sets the level, balances rise by it."""
        if self.begins < 0:
            self.begins = now
        if now < self.begins + self.period:
            return
        passed = min((now - self.begins) // self.period, 64)
        self.begins = now
        self.counts["periods"] += 1
        wants = []
        for name, one in list(self.senders.items()):
            want = (one.now + one.refused * one.usual) / passed
            one.wanted += (want - one.wanted) * (1 - MEMORY**passed)
            wants.append(max(want, one.wanted))
            one.now, one.refused = 0.0, 0
            if now - one.heard > 64 * self.period and one.balance >= 0:
                del self.senders[name]
        self.share = level(wants, self.budget)
        self.counts["limited"] = sum(want > self.share for want in wants)
        self.left = min(self.left, 0.0) + self.budget * passed
        self.left = min(self.left, self.budget * CREDIT)
        for one in self.senders.values():
            one.balance = min(one.balance + self.share * passed, CREDIT * self.share)
