"""Tables as immutable values, one a version, with a bounded history.

What changes between two versions is computed from the two, never kept by hand, so it can't be wrong in another way
than the tables are. A reader whose version is past the history takes the whole table.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

from immutables import Map


class Table(NamedTuple):
    """`lines`: weight by task. `levels`: (amount, way to try again) by mask of methods. `version`: the decision."""

    version: int
    lines: Map
    levels: Map

    def __len__(self) -> int:
        return len(self.lines) + len(self.levels)


EMPTY = Table(0, Map(), Map())


class TableChange(NamedTuple):
    """What turns one version into another: weight 0 and level None take out."""

    lines: tuple[tuple[int, float], ...]
    levels: tuple[tuple[int, tuple[float, int] | None], ...]

    def __len__(self) -> int:
        return len(self.lines) + len(self.levels)


def difference(old: Table, new: Table) -> TableChange:
    """In the order of indices, so that equal tables give equal changes.

    >>> a = Table(1, Map({1: 1.0, 2: 2.0}), Map())
    >>> difference(a, Table(2, Map({2: 2.5, 3: 1.0}), Map({0: (0.5, 0)})))
    TableChange(lines=((1, 0.0), (2, 2.5), (3, 1.0)), levels=((0, (0.5, 0)),))
    """
    return TableChange(tuple(_changed(old.lines, new.lines, 0.0)), tuple(_changed(old.levels, new.levels, None)))


def _changed(old: Map, new: Map, gone: object) -> Iterable[tuple]:
    if old is new:
        return []
    rows = [(key, value) for key, value in new.items() if old.get(key) != value]
    rows += [(key, gone) for key in old if key not in new]
    return sorted(rows, key=lambda row: row[0])


class TableStore:
    """`keep` versions of each table, the newest included.

    >>> store = TableStore(keep=2)
    >>> for version, weight in ((1, 1.0), (2, 2.0), (3, 3.0)):
    ...     _ = store.put(version, 0, {7: weight})
    >>> store.since(0, 2), store.since(0, 1)
    (TableChange(lines=((7, 3.0),), levels=()), None)
    """

    MEMO = 512  # differences kept: most readers go from one same version to one other

    def __init__(self, keep: int) -> None:
        self.keep = keep
        self.history: dict[int, deque[Table]] = {}
        self.memo: OrderedDict[tuple[int, int, int], TableChange] = OrderedDict()

    def latest(self, table: int) -> Table:
        history = self.history.get(table)
        return history[-1] if history else EMPTY

    def put(
        self,
        version: int,
        table: int,
        lines: dict[int, float],
        levels: dict[int, tuple[float, int] | None] | None = None,
        clear: bool = False,
    ) -> Table:
        """A new version with these lines and levels set (weight 0, level None: taken out); after `clear` with
        nothing else. ValueError for a version that does not grow."""
        before = self.latest(table)
        if version < before.version:
            raise ValueError(f"table {table}: version {version} after {before.version}")
        base = EMPTY if clear else before
        new = Table(version, self._set(base.lines, lines, 0.0), self._set(base.levels, levels or {}, None))
        history = self.history.setdefault(table, deque(maxlen=self.keep))
        if history and history[-1].version == version:
            history.pop()
            for key in [key for key in self.memo if key[0] == table]:
                del self.memo[key]
        history.append(new)
        return new

    @staticmethod
    def _set(old: Map, changes: dict, gone: object) -> Map:
        with old.mutate() as edit:
            for key, value in changes.items():
                if value == gone:
                    edit.pop(key, None)
                else:
                    edit[key] = value
            return edit.finish()

    def drop(self, table: int) -> None:
        """Forget a table with its history."""
        self.history.pop(table, None)

    def at(self, table: int, version: int) -> Table | None:
        """The table as it was at that version; None if that is no longer, or not yet, known."""
        for row in reversed(self.history.get(table, ())):
            if row.version == version:
                return row
        return None

    def change(self, table: int, old: Table, new: Table) -> TableChange:
        """`difference`, remembered for those who read the same two versions."""
        key = table, old.version, new.version
        found = self.memo.get(key)
        if found is None or old.version == new.version:
            found = difference(old, new)
            if self.at(table, old.version) is old and self.at(table, new.version) is new:
                self.memo[key] = found
                if len(self.memo) > self.MEMO:
                    self.memo.popitem(last=False)
        return found

    def since(self, table: int, version: int) -> TableChange | None:
        """What came after that version; None where only the whole table will do."""
        old = self.at(table, version)
        return None if old is None else self.change(table, old, self.latest(table))
