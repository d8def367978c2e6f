"""What a stand-in task can do, apart from sockets: warm-up, its overload budget, key cache, and utilization."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple


class TaskSpec(NamedTuple):
    """What a task can do. Times in microseconds.

    Attributes:
        speed: Work that one core does, in seconds a second.
        slots: RPCs that are worked on at once; `queue` more wait.
        thrash: How much slower work gets for each time that there is more at once than cores.
        cold_from: Fraction of the speed that a cold task begins with; it is warm after `cold_us`.
        fall_multiple: A cold task falls over when more work than this multiple of its capacity arrives in `fall_us`.
        handshake_us: Work of a new connection.
        connections: How many it takes.
        cache_us: For how long a key that it met costs less work; 0 for never.
        cache_gain: The fraction of the work that is saved then.
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
    """A task's speed grows in a straight line from its start until it is warm.

    >>> warm_up = WarmUp(TaskSpec(cold_from=0.2, cold_us=10), born_us=100)
    >>> warm_up.fraction(100), round(warm_up.fraction(105), 6), warm_up.fraction(110)
    (0.2, 0.6, 1.0)
    """

    def __init__(self, spec: TaskSpec, born_us: int | None) -> None:
        """`born_us` is None for a task that is warm from the start."""
        self.spec = spec
        self.born_us = born_us

    def fraction(self, now: int) -> float:
        """Speed as a fraction of the warm task's."""
        if self.born_us is None or now - self.born_us >= self.spec.cold_us:
            return 1.0
        return self.spec.cold_from + (1 - self.spec.cold_from) * (now - self.born_us) / self.spec.cold_us

    def capacity(self, now: int) -> float:
        """Work (us) that all cores do in a microsecond."""
        return self.spec.cores * self.spec.speed * self.fraction(now)


class OverloadBudget:
    """What a cold task bears: it falls over when too much work arrives within a window.

    >>> budget = OverloadBudget(
    ...     TaskSpec(cores=1, cold_from=0.5, fall_multiple=2, fall_us=1000), WarmUp(TaskSpec(cores=1), 0)
    ... )
    >>> [round(budget.add(at, 100), 2) for at in (0, 500, 2000)]
    [0.2, 0.4, 0.2]
    """

    def __init__(self, spec: TaskSpec, warm_up: WarmUp) -> None:
        self.spec = spec
        self.warm_up = warm_up
        self.recent: deque[tuple[int, float]] = deque()  # when, work (us)
        self.total_us = 0.0

    def add(self, now: int, work_us: float) -> float:
        """Count work that arrives; returns the fraction of the budget in use, over 1 when the task falls over."""
        self.recent.append((now, work_us))
        self.total_us += work_us
        while self.recent and self.recent[0][0] <= now - self.spec.fall_us:
            self.total_us -= self.recent.popleft()[1]
        if self.warm_up.fraction(now) >= 1.0:
            return 0.0
        allowed_us = self.spec.fall_multiple * self.warm_up.capacity(now) * self.spec.fall_us
        return self.total_us / allowed_us


class KeyCache:
    """Keys met lately, which cost less work; the oldest is forgotten first.

    >>> cache = KeyCache(TaskSpec(cache_us=100, cache_keys=2, cache_gain=0.2))
    >>> [cache.work_fraction(at, key) for at, key in ((0, 1), (50, 1), (200, 1), (201, 2), (202, 3), (203, 1))]
    [1.0, 0.8, 1.0, 1.0, 1.0, 1.0]
    """

    def __init__(self, spec: TaskSpec) -> None:
        self.spec = spec
        self.met_us: OrderedDict[int, int] = OrderedDict()

    def work_fraction(self, now: int, key: int) -> float:
        """The fraction of its work that an RPC with this key costs. A key below 0 stands for none."""
        if key < 0 or not self.spec.cache_us:
            return 1.0
        last_us = self.met_us.pop(key, None)
        self.met_us[key] = now
        if len(self.met_us) > self.spec.cache_keys:
            self.met_us.popitem(last=False)
        return 1.0 if last_us is None or now - last_us > self.spec.cache_us else 1.0 - self.spec.cache_gain


class Utilization:
    """The fraction of the cores in use, averaged over the time since it was last read."""

    def __init__(self, cores: int, now: int) -> None:
        self.cores = cores
        self.running = 0
        self.core_us = 0.0  # used since the last read
        self.updated_at = now
        self.read_at = now

    def change(self, now: int, by: int) -> None:
        """Work on so many RPCs more (or fewer) begins."""
        self.core_us += min(self.running, self.cores) * (now - self.updated_at)
        self.running += by
        self.updated_at = now

    def read(self, now: int) -> float:
        """The average since the last read; begins a new span."""
        self.change(now, 0)
        span_us = max(now - self.read_at, 1)
        average = self.core_us / span_us / self.cores
        self.core_us = 0.0
        self.read_at = now
        return average


def service_us(spec: TaskSpec, warm_up: WarmUp, now: int, work_us: float, held: int) -> float:
    """How long work takes with so much at once: slower while cold, and beyond one RPC a core."""
    share = max(1.0, held / spec.cores)
    crowding = 1 + spec.thrash * max(0.0, held / spec.cores - 1)
    return work_us / (spec.speed * warm_up.fraction(now)) * share * crowding
