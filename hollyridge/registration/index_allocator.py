"""Gives names small dense indices, and uses an index again once nothing can mean its former holder.

The decisions keep figures in arrays by index, so a fleet whose tasks come and go for weeks must not make them grow for
ever. A released index is kept back for a while, and longer as long as a table or an update may still name it.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import NamedTuple


class ReleasedIndex(NamedTuple):
    """An index that is kept back until a time."""

    until_us: int
    index: int


def _never_used(index: int) -> bool:
    return False


class IndexAllocator:
    """Allocates indices to names.

    Args:
        rest: Microseconds for which a released index is kept back.
        most: How many indices there are.
        still_used: Whether something may still name an index; it is kept back for as long.

    Attributes:
        index: The index of each name that has one.
        names: The last holder of each index.
        released: Names whose index is kept back, in the order of their release.

    >>> indices = IndexAllocator(rest=10, most=3)
    >>> indices.allocate(0, "a"), indices.allocate(0, "b"), indices.allocate(0, "a")
    (0, 1, 0)
    >>> indices.release(5, "a"); indices.allocate(6, "c"), indices.allocate(15, "d")
    (2, 0)
    >>> indices.allocate(15, "e") is None
    True
    """

    def __init__(self, rest: int, most: int, still_used: Callable[[int], bool] = _never_used) -> None:
        self.rest_us = rest
        self.max_indices = most
        self.still_used = still_used
        self.index: dict[Hashable, int] = {}
        self.names: list[Hashable] = []
        self.released: dict[Hashable, ReleasedIndex] = {}

    def allocate(self, now_us: int, name: Hashable) -> int | None:
        """The index of a name: its present one, its former one if that is kept back, or a free one; None if none is."""
        present = self.index.get(name)
        if present is not None:
            return present
        former = self.released.pop(name, None)
        if former is not None:
            self.index[name] = former.index
            return former.index
        reused = self._reuse(now_us, name)
        if reused is not None:
            return reused
        if len(self.names) >= self.max_indices:
            return None
        self.index[name] = len(self.names)
        self.names.append(name)
        return self.index[name]

    def _reuse(self, now_us: int, name: Hashable) -> int | None:
        for holder, (until_us, index) in self.released.items():
            if until_us > now_us:
                return None
            if not self.still_used(index):
                del self.released[holder]
                self.index[name] = index
                self.names[index] = name
                return index
        return None

    def release(self, now_us: int, name: Hashable) -> None:
        """Take the index from a name."""
        index = self.index.pop(name, None)
        if index is not None:
            self.released[name] = ReleasedIndex(now_us + self.rest_us, index)

    def lookup(self, name: Hashable) -> int | None:
        """The index of a name that has one, or whose former one is kept back."""
        index = self.index.get(name)
        if index is not None:
            return index
        former = self.released.get(name)
        return None if former is None else former.index

    def __len__(self) -> int:
        return len(self.index)
