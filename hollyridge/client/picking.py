"""Choice of a task from a table for each RPC, without I/O; the caller passes in the random number generator."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random


class Picker:
    """Weighted choice of tasks.

    The strategy is "p2c" (power of two choices: draw two tasks by weight and pick the one with fewer RPCs in flight),
    "rotate" (smooth weighted round robin) or "random" (draw one task by weight).

    >>> picker = Picker("rotate", Random(1))
    >>> picker.set({"a": 2.0, "b": 1.0})
    >>> "".join(picker.choose() for _ in range(6))
    'abaaba'
    """

    def __init__(self, strategy: str, rng: Random) -> None:
        self.strategy = strategy
        self.random = rng.random
        self.table: Mapping[str, float] = {}
        self.tasks: list[str] = []
        self.credit: dict[str, float] = {}

    def set(self, table: Mapping[str, float]) -> None:
        """Replace the table, which holds the weight by task."""
        self.table = table
        self.tasks = list(table)
        self.credit = {task: self.credit.get(task, 0.0) for task in table}

    def choose(
        self, in_flight: Callable[[str], int] = lambda task: 0, avoid: frozenset | set = frozenset()
    ) -> str | None:
        """Return a task, None if the table is empty.

        Args:
            in_flight: Function that returns the number of RPCs in flight to a task.
            avoid: Tasks to be chosen only if the table has no others.
        """
        candidates = [task for task in self.tasks if task not in avoid] if avoid else self.tasks
        candidates = candidates or self.tasks
        if not candidates:
            return None
        if self.strategy == "rotate":
            return self._rotate(candidates)
        first = self._draw(candidates)
        if self.strategy == "random":
            return first
        second = self._draw(candidates)
        return second if in_flight(second) < in_flight(first) else first

    def _rotate(self, candidates: list[str]) -> str:
        """Choose by smooth weighted round robin."""
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
