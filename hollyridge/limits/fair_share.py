"""Max-min fair division of the budget of data points among the sources of reports.

Each period, the budget is divided so that a source with less demand than the fair share is read in full, and each
other source up to the share. A source that floods, or uses many names, thus takes capacity from other heavy sources
and never from light ones. The size of a request is known only after reading it, so a source may overdraw its balance
once and then has to wait until its shares have made up for it.
"""

from __future__ import annotations

from collections import OrderedDict

DEMAND_RETENTION = 0.5  # part of a source's past demand that still counts one period later
MAX_SAVED_PERIODS = 2.0  # unused share of a source, or unused budget of all, that can be saved up, in periods
SIZE_GAIN = 1 / 4  # weight of the newest request in the moving average of a source's request size
MAX_PERIODS_AT_ONCE = 64  # maximum number of periods that count as elapsed after a gap
FORGET_AFTER_PERIODS = 64  # periods without a request after which a source is removed
OVERFLOW_SOURCE = ""  # name of the source shared by all sources beyond the maximum number


class ReportSource:
    """State of one source of reports; sizes and balances are in data points."""

    __slots__ = ("balance", "demand", "last_seen_us", "mean_request", "rejected_requests", "used_points")

    def __init__(self, balance: float, now_us: int) -> None:
        self.balance = balance
        self.demand = 0.0  # smoothed demand per period
        self.used_points = 0.0  # points read in this period
        self.mean_request = 1.0
        self.rejected_requests = 0  # requests rejected in this period
        self.last_seen_us = now_us

    def end_period(self, elapsed_periods: int) -> float:
        """Reset the figures of the period and return the source's demand per period."""
        demand_per_period = (self.used_points + self.rejected_requests * self.mean_request) / elapsed_periods
        self.demand += (demand_per_period - self.demand) * (1 - DEMAND_RETENTION**elapsed_periods)
        self.used_points = 0.0
        self.rejected_requests = 0
        return max(demand_per_period, self.demand)


def fair_share(demands: list[float], budget: float) -> float:
    """Return the largest share such that all demands, each capped at the share, fit into the budget.

    >>> fair_share([1.0, 2.0, 50.0, 80.0], 33.0), fair_share([1.0, 2.0], 33.0)
    (15.0, 32.0)
    """
    remaining = budget
    ascending = sorted(demands)
    for position, demand in enumerate(ascending):
        equal_share = remaining / (len(ascending) - position)
        if demand >= equal_share:
            return equal_share
        remaining -= demand
    return (ascending[-1] if ascending else 0.0) + remaining


class FairShareLimiter:
    """Limiter of the data points that are read, by source.

    >>> limiter = FairShareLimiter(100.0, 1_000_000, 10)
    >>> limiter.retry_after_us(0, "heavy"), limiter.record(0, "heavy", 500)
    (0, None)
    >>> limiter.retry_after_us(1, "heavy") > 0, limiter.retry_after_us(2, "light")
    (True, 0)

    Args:
        points_per_period: Data points to read in a period, from all sources together.
        period_us: Length of a period, in microseconds.
        max_sources: Maximum number of separate sources; all further sources count as one.
    """

    def __init__(self, points_per_period: float, period_us: int, max_sources: int) -> None:
        self.budget = points_per_period
        self.period_us = period_us
        self.max_sources = max_sources
        self.sources: OrderedDict[str, ReportSource] = OrderedDict()
        self.period_began_us = -1  # before the first request
        self.share = points_per_period
        self.remaining = MAX_SAVED_PERIODS * points_per_period
        self.counts = {"periods": 0, "heard": 0, "turned_away": 0, "limited": 0}

    def retry_after_us(self, now_us: int, name: str) -> int:
        """Return 0 if a request of this source may be read now, else the time it has to wait, in microseconds."""
        self.start_period(now_us)
        source = self.source_for(now_us, name)
        within_share = source.used_points + source.mean_request <= self.share
        if source.balance > 0 and (self.remaining > 0 or within_share):
            return 0
        source.rejected_requests += 1
        self.counts["turned_away"] += 1
        wait_us = self.period_began_us + self.period_us - now_us
        if source.balance <= 0:  # each period adds one share
            wait_us += int(-source.balance / max(self.share, 1e-9)) * self.period_us
        return max(wait_us, 1)

    def record(self, now_us: int, name: str, points: int) -> None:
        """Charge a source with the points of a request that was read."""
        self.start_period(now_us)
        source = self.source_for(now_us, name)
        source.balance -= points
        source.used_points += points
        source.mean_request += (points - source.mean_request) * SIZE_GAIN
        self.remaining -= points
        self.counts["heard"] += points

    def source_for(self, now_us: int, name: str) -> ReportSource:
        """Return the source of this name, or the shared one for sources beyond `max_sources`."""
        source = self.sources.get(name)
        if source is None:
            if len(self.sources) >= self.max_sources:
                name = OVERFLOW_SOURCE
                source = self.sources.get(OVERFLOW_SOURCE)
            if source is None:
                source = self.sources[name] = ReportSource(MAX_SAVED_PERIODS * self.share, now_us)
        source.last_seen_us = now_us
        return source

    def start_period(self, now_us: int) -> None:
        """If a period has ended, compute the share from the sources' demands and add it to their balances."""
        if self.period_began_us < 0:
            self.period_began_us = now_us
        if now_us < self.period_began_us + self.period_us:
            return
        elapsed_periods = min((now_us - self.period_began_us) // self.period_us, MAX_PERIODS_AT_ONCE)
        self.period_began_us = now_us
        self.counts["periods"] += 1
        demands = self.collect_demands(now_us, elapsed_periods)
        self.share = fair_share(demands, self.budget)
        self.counts["limited"] = sum(demand > self.share for demand in demands)
        self.remaining = min(self.remaining, 0.0) + self.budget * elapsed_periods
        self.remaining = min(self.remaining, self.budget * MAX_SAVED_PERIODS)
        for source in self.sources.values():
            source.balance = min(source.balance + self.share * elapsed_periods, MAX_SAVED_PERIODS * self.share)

    def collect_demands(self, now_us: int, elapsed_periods: int) -> list[float]:
        """Return the demand of each source per period, and remove sources without recent requests or debt."""
        demands = []
        for name, source in list(self.sources.items()):
            demands.append(source.end_period(elapsed_periods))
            silent_us = now_us - source.last_seen_us
            if silent_us > FORGET_AFTER_PERIODS * self.period_us and source.balance >= 0:
                del self.sources[name]
        return demands
