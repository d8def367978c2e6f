"""Which line of a table an RPC goes by. Decides without I/O; chance comes from the generator handed in."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random


class Picker:
    """By `way`: p2c (of two drawn by weight the one with less out), rotate (evenly by weight), random.

    >>> picker = Picker("rotate", Random(1))
    >>> picker.set({"a": 2.0, "b": 1.0})
    >>> "".join(picker.choose() for _ in range(6))
    'abaaba'
    """

    def __init__(self, way: str, rng: Random) -> None:
        self.way, self.random = way, rng.random
        self.table: Mapping[str, float] = {}
        self.names: list[str] = []
        self.credit: dict[str, float] = {}

    def set(self, table: Mapping[str, float]) -> None:
        self.table, self.names = table, list(table)
        self.credit = {task: self.credit.get(task, 0.0) for task in table}

    def draw(self, among: list[str]) -> str:
        point = self.random() * sum(self.table[task] for task in among)
        for task in among:
            point -= self.table[task]
            if point < 0:
                return task
        return among[-1]

    def choose(self, out: Callable[[str], int] = lambda task: 0, avoid: frozenset | set = frozenset()) -> str | None:
        """A task, none to be avoided while another is left; None without lines. `out` tells of each task how many
        RPCs this proxy has out there."""
        among = [task for task in self.names if task not in avoid] if avoid else self.names
        among = among or self.names
        if not among:
            return None
        if self.way == "rotate":
            whole = sum(self.table[task] for task in among)
            for task in among:
                self.credit[task] += self.table[task] / whole
            best = max(among, key=self.credit.__getitem__)
            self.credit[best] -= 1
            return best
        first = self.draw(among)
        if self.way == "random":
            return first
        second = self.draw(among)
        return second if out(second) < out(first) else first
