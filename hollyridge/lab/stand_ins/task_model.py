"""Performance model of a stand-in task: warm-up, overload budget, key cache and utilization."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple


class TaskSpec(NamedTuple):
    """Specification of a task. Times are in microseconds.

    Attributes:
        cores: Number of cores.
        speed: Work that one core does, in seconds per second.
        slots: Maximum number of RPCs that are worked on at once.
        queue: Maximum number of RPCs that wait.
        thrash: Increase of the service time, as a fraction, for each RPC per core beyond the first.
        cold_from: Fraction of its speed at which a cold task starts.
        cold_us: Duration of the warm-up.
        fall_multiple: Multiple of a cold task's capacity over `fall_us`; it crashes when more work than this arrives.
        fall_us: Window of the overload budget.
        handshake_us: Work of a new connection.
        connections: Maximum number of connections.
        cache_us: Time for which a key that the task has seen costs less work; 0 for never.
        cache_keys: Maximum number of keys in the cache.
        cache_gain: Fraction of the work that a cached key saves.
    """

    cores: int = 2
    speed: float = 1.0
    slots: int = 6
    queue: int = 20
    thrash: float = 0.15
    cold_from: float = 0.25
    cold_us: int = 10_000_000
    fall_multiple: float = 4.0
    fall_us: int = 2_000_000
    handshake_us: int = 3000
    connections: int = 200
    cache_us: int = 0
    cache_keys: int = 200
    cache_gain: float = 0.2


class WarmUp:
    """Warm-up of a task, whose speed grows linearly from its start until it is warm.

    >>> warm_up = WarmUp(TaskSpec(cold_from=0.2, cold_us=10), started_us=100)
    >>> warm_up.fraction(100), round(warm_up.fraction(105), 6), warm_up.fraction(110)
    (0.2, 0.6, 1.0)
    """

    def __init__(self, spec: TaskSpec, started_us: int | None) -> None:
        """Create the warm-up of a run; `started_us` is None for a task that is warm from the start."""
        self.spec = spec
        self.started_us = started_us

    def fraction(self, now: int) -> float:
        """Return the speed as a fraction of the warm task's speed."""
        if self.started_us is None or now - self.started_us >= self.spec.cold_us:
            return 1.0
        return self.spec.cold_from + (1 - self.spec.cold_from) * (now - self.started_us) / self.spec.cold_us

    def capacity(self, now: int) -> float:
        """Return the work that all cores together do, in microseconds per microsecond."""
        return self.spec.cores * self.spec.speed * self.fraction(now)


class OverloadBudget:
    """Overload budget of a cold task, which crashes when too much work arrives within a window.

    >>> budget = OverloadBudget(
    ...     TaskSpec(cores=1, cold_from=0.5, fall_multiple=2, fall_us=1000), WarmUp(TaskSpec(cores=1), 0)
    ... )
    >>> [round(budget.add(at, 100), 2) for at in (0, 500, 2000)]
    [0.2, 0.4, 0.2]
    """

    def __init__(self, spec: TaskSpec, warm_up: WarmUp) -> None:
        self.spec = spec
        self.warm_up = warm_up
        self.recent: deque[tuple[int, float]] = deque()  # (arrival time, work), both in microseconds
        self.total_us = 0.0

    def add(self, now: int, work_us: float) -> float:
        """Count arriving work and return the fraction of the budget in use, above 1 if the task crashes."""
        self.recent.append((now, work_us))
        self.total_us += work_us
        while self.recent and self.recent[0][0] <= now - self.spec.fall_us:
            self.total_us -= self.recent.popleft()[1]
        if self.warm_up.fraction(now) >= 1.0:
            return 0.0
        allowed_us = self.spec.fall_multiple * self.warm_up.capacity(now) * self.spec.fall_us
        return self.total_us / allowed_us


class KeyCache:
    """Cache of recently used keys, which cost less work; the least recently used key is evicted first.

    >>> cache = KeyCache(TaskSpec(cache_us=100, cache_keys=2, cache_gain=0.2))
    >>> [cache.work_fraction(at, key) for at, key in ((0, 1), (50, 1), (200, 1), (201, 2), (202, 3), (203, 1))]
    [1.0, 0.8, 1.0, 1.0, 1.0, 1.0]
    """

    def __init__(self, spec: TaskSpec) -> None:
        self.spec = spec
        self.last_seen_us: OrderedDict[int, int] = OrderedDict()

    def work_fraction(self, now: int, key: int) -> float:
        """Return the fraction of its work that an RPC with this key costs. A negative key means none."""
        if key < 0 or not self.spec.cache_us:
            return 1.0
        last_us = self.last_seen_us.pop(key, None)
        self.last_seen_us[key] = now
        if len(self.last_seen_us) > self.spec.cache_keys:
            self.last_seen_us.popitem(last=False)
        return 1.0 if last_us is None or now - last_us > self.spec.cache_us else 1.0 - self.spec.cache_gain


class Utilization:
    """Fraction of the cores in use, averaged over the time since it was last read."""

    def __init__(self, cores: int, now: int) -> None:
        self.cores = cores
        self.running = 0
        self.core_us = 0.0  # used since the last read
        self.updated_at = now
        self.read_at = now

    def change(self, now: int, by: int) -> None:
        """Add `by` to the number of running pieces of work."""
        self.core_us += min(self.running, self.cores) * (now - self.updated_at)
        self.running += by
        self.updated_at = now

    def read(self, now: int) -> float:
        """Return the average since the last read and start a new span."""
        self.change(now, 0)
        span_us = max(now - self.read_at, 1)
        average = self.core_us / span_us / self.cores
        self.core_us = 0.0
        self.read_at = now
        return average


def service_time_us(spec: TaskSpec, warm_up: WarmUp, now: int, work_us: float, in_progress: int) -> float:
    """Return the time that work takes, in microseconds; it is longer while cold and with several RPCs per core."""
    share = max(1.0, in_progress / spec.cores)
    crowding = 1 + spec.thrash * max(0.0, in_progress / spec.cores - 1)
    return work_us / (spec.speed * warm_up.fraction(now)) * share * crowding
