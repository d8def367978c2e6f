"""What a task can do, apart from sockets: cold starts, the budget before it falls, how busy it is."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple


class Build(NamedTuple):
    """A task's make. Times in microseconds, speeds as work done a second by one core."""

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
    cache_us: int = 0  # how long a key that was met costs less work
    cache_keys: int = 200
    cache_gain: float = 0.2


class Warmth:
    """
    >>> w = Warmth(Build(cold_from=0.2, cold_us=10), born=100)
    >>> w.part(100), round(w.part(105), 6), w.part(110)
    (0.2, 0.6, 1.0)
    """

    def __init__(self, build: Build, born: int | None) -> None:
        self.build, self.born = build, born

    def part(self, now: int) -> float:
        """Of what it can do when warm."""
        if self.born is None or now - self.born >= self.build.cold_us:
            return 1.0
        return self.build.cold_from + (1 - self.build.cold_from) * (now - self.born) / self.build.cold_us

    def capacity(self, now: int) -> float:
        """Work (us) that it can do a microsecond."""
        return self.build.cores * self.build.speed * self.part(now)


class Budget:
    """Falls when, while cold, more work than the stated multiple of its present capacity came within the window.

    >>> b = Budget(Build(cores=1, cold_from=0.5, fall_multiple=2, fall_us=1000), Warmth(Build(cores=1), 0))
    >>> [round(b.came(at, 100), 2) for at in (0, 500, 2000)]
    [0.2, 0.4, 0.2]
    """

    def __init__(self, build: Build, warmth: Warmth) -> None:
        self.build, self.warmth = build, warmth
        self.recent: deque[tuple[int, float]] = deque()
        self.total = 0.0

    def came(self, now: int, work: float) -> float:
        """Work arrived; how much of the budget is used, over 1 for a fall."""
        self.recent.append((now, work))
        self.total += work
        while self.recent and self.recent[0][0] <= now - self.build.fall_us:
            self.total -= self.recent.popleft()[1]
        if self.warmth.part(now) >= 1.0:
            return 0.0
        allowed = self.build.fall_multiple * self.warmth.capacity(now) * self.build.fall_us
        return self.total / allowed


class Cache:
    """Keys met lately, the oldest forgotten first.

    >>> cache = Cache(Build(cache_us=100, cache_keys=2, cache_gain=0.2))
    >>> [cache.part(at, key) for at, key in ((0, 1), (50, 1), (200, 1), (201, 2), (202, 3), (203, 1))]
    [1.0, 0.8, 1.0, 1.0, 1.0, 1.0]
    """

    def __init__(self, build: Build) -> None:
        self.build = build
        self.met: OrderedDict[int, int] = OrderedDict()

    def part(self, now: int, key: int) -> float:
        """Of its work that an RPC with this key costs. Below 0: a key that nothing remembers."""
        if key < 0 or not self.build.cache_us:
            return 1.0
        before = self.met.pop(key, None)
        self.met[key] = now
        if len(self.met) > self.build.cache_keys:
            self.met.popitem(last=False)
        return 1.0 if before is None or now - before > self.build.cache_us else 1.0 - self.build.cache_gain


class Busy:
    """Part of the cores in use, over the time since it was last asked."""

    def __init__(self, cores: int, now: int) -> None:
        self.cores, self.running, self.area, self.at, self.since = cores, 0, 0.0, now, now

    def change(self, now: int, by: int) -> None:
        self.area += min(self.running, self.cores) * (now - self.at)
        self.running, self.at = self.running + by, now

    def read(self, now: int) -> float:
        self.change(now, 0)
        span = max(now - self.since, 1)
        part, self.area, self.since = self.area / span / self.cores, 0.0, now
        return part


def service_us(build: Build, warmth: Warmth, now: int, work: float, held: int) -> float:
    """How long work takes on one core: slower while cold, and with more at once than there are cores."""
    share = max(1.0, held / build.cores)
    crowd = 1 + build.thrash * max(0.0, held / build.cores - 1)
    return work / (build.speed * warmth.part(now)) * share * crowd
