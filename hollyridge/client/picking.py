"""Which task of a table an RPC goes to. Decides without I/O; chance comes from the generator that is passed in."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random


class Picker:
    """Picks by `way`: p2c (of two drawn by weight the less loaded), rotate (evenly by weight) or random.

    >>> picker = Picker("rotate", Random(1))
    >>> picker.set({"a": 2.0, "b": 1.0})
    >>> "".join(picker.choose() for _ in range(6))
    'abaaba'
    """

    def __init__(self, way: str, rng: Random) -> None:
        self.way = way
        self.random = rng.random
        self.table: Mapping[str, float] = {}
        self.tasks: list[str] = []
        self.credit: dict[str, float] = {}

    def set(self, table: Mapping[str, float]) -> None:
        """Pick from this table from now on; weight by task."""
        self.table = table
        self.tasks = list(table)
        self.credit = {task: self.credit.get(task, 0.0) for task in table}

    def choose(self, out: Callable[[str], int] = lambda task: 0, avoid: frozenset | set = frozenset()) -> str | None:
        """A task, None without any; one of `avoid` only if no other is left. `out(task)`: RPCs in flight to it."""
        candidates = [task for task in self.tasks if task not in avoid] if avoid else self.tasks
        candidates = candidates or self.tasks
        if not candidates:
            return None
        if self.way == "rotate":
            return self._rotate(candidates)
        first = self._draw(candidates)
        if self.way == "random":
            return first
        second = self._draw(candidates)
        return second if out(second) < out(first) else first

    def _rotate(self, candidates: list[str]) -> str:
        """Smooth weighted round robin."""
        total = sum(self.table[task] for task in candidates)
        for task in candidates:
            self.credit[task] += self.table[task] / total
        best = max(candidates, key=self.credit.__getitem__)
        self.credit[best] -= 1
        return best

    def _draw(self, candidates: list[str]) -> str:
        point = self.random() * sum(self.table[task] for task in candidates)
        for task in candidates:
            point -= self.table[task]
            if point < 0:
                return task
        return candidates[-1]
