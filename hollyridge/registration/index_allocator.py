"""Outer names to small dense indices, and back; indices come round again once nothing can mean the old bearer.

The module keeps figures in arrays by index, so that a fleet whose tasks come and go for weeks must not grow
them for ever. An index rests for `rest` microseconds after its bearer left, and longer while `still_used` says
that an order may name it.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable


class IndexAllocator:
    """
    >>> indices = IndexAllocator(rest=10, most=3)
    >>> indices.allocate(0, "a"), indices.allocate(0, "b"), indices.allocate(0, "a")
    (0, 1, 0)
    >>> indices.release(5, "a"); indices.allocate(6, "c"), indices.allocate(15, "d")
    (2, 0)
    >>> indices.allocate(15, "e") is None
    True
    """

    def __init__(self, rest: int, most: int, still_used: Callable[[int], bool] = lambda index: False) -> None:
        self.rest, self.most, self.still_used = rest, most, still_used
        self.index: dict[Hashable, int] = {}
        self.names: list[Hashable] = []
        self.resting: dict[Hashable, tuple[int, int]] = {}  # until when, in the order they left

    def allocate(self, now: int, name: Hashable) -> int | None:
        """The bearer's index, its old one if it comes back while that rests; None if all are taken."""
        at = self.index.get(name)
        if at is not None:
            return at
        back = self.resting.pop(name, None)
        if back is not None:
            self.index[name] = back[1]
            return back[1]
        for before, (until, old) in self.resting.items():
            if until > now:
                break
            if not self.still_used(old):
                del self.resting[before]
                self.index[name] = old
                self.names[old] = name
                return old
        if len(self.names) >= self.most:
            return None
        self.index[name] = len(self.names)
        self.names.append(name)
        return self.index[name]

    def release(self, now: int, name: Hashable) -> None:
        at = self.index.pop(name, None)
        if at is not None:
            self.resting[name] = now + self.rest, at

    def lookup(self, name: Hashable) -> int | None:
        """The index of a bearer that is in, or has left and still rests."""
        at = self.index.get(name)
        return at if at is not None else self.resting.get(name, (0, None))[1]

    def __len__(self) -> int:
        return len(self.index)
