"""Allocation of small dense indices to names, with reuse once nothing can refer to the former holder.

The decision module keeps values in arrays by index, which must not grow without limit when tasks are replaced for
weeks. A released index is reserved for a while, and beyond that as long as a table or an update may still refer to
it.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import NamedTuple


class ReleasedIndex(NamedTuple):
    """An index that is reserved for its former holder until a time, in microseconds."""

    until_us: int
    index: int


def _never_used(index: int) -> bool:
    return False


class IndexAllocator:
    """Allocator of indices to names.

    Args:
        reserve_us: Time for which a released index is reserved, in microseconds.
        max_indices: Maximum number of indices.
        in_use: Returns whether something may still refer to an index, which is reserved as long as it does.

    Attributes:
        index: The index of each name that has one.
        names: The last holder of each index.
        released: The reserved index of each former holder, in the order of their release.

    >>> indices = IndexAllocator(reserve_us=10, max_indices=3)
    >>> indices.allocate(0, "a"), indices.allocate(0, "b"), indices.allocate(0, "a")
    (0, 1, 0)
    >>> indices.release(5, "a"); indices.allocate(6, "c"), indices.allocate(15, "d")
    (2, 0)
    >>> indices.allocate(15, "e") is None
    True
    """

    def __init__(self, reserve_us: int, max_indices: int, in_use: Callable[[int], bool] = _never_used) -> None:
        self.reserve_us = reserve_us
        self.max_indices = max_indices
        self.in_use = in_use
        self.index: dict[Hashable, int] = {}
        self.names: list[Hashable] = []
        self.released: dict[Hashable, ReleasedIndex] = {}

    def allocate(self, now_us: int, name: Hashable) -> int | None:
        """Return the index of a name: its current one, else its reserved one, else a free one, else None."""
        current = self.index.get(name)
        if current is not None:
            return current
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
            if not self.in_use(index):
                del self.released[holder]
                self.index[name] = index
                self.names[index] = name
                return index
        return None

    def release(self, now_us: int, name: Hashable) -> None:
        """Release the index of a name."""
        index = self.index.pop(name, None)
        if index is not None:
            self.released[name] = ReleasedIndex(now_us + self.reserve_us, index)

    def lookup(self, name: Hashable) -> int | None:
        """Return the current or reserved index of a name, or None if it has neither."""
        index = self.index.get(name)
        if index is not None:
            return index
        former = self.released.get(name)
        return None if former is None else former.index

    def __len__(self) -> int:
        return len(self.index)
