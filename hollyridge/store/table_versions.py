"""Tables as immutable values, one a version, with a bounded history.

What changes between two versions is computed from the two and never kept by hand, so it can't be wrong in another way
than the tables are. A reader whose version is older than the history takes the whole table.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Mapping
from typing import Any, NamedTuple

from immutables import Map

REMOVED_WEIGHT = 0.0  # as a line's weight: the line is taken out
REMOVED_LEVEL = None  # as an admission level: the level is taken out


class Table(NamedTuple):
    """A table at one version.

    Attributes:
        version: The decision that made it.
        lines: Weight by task.
        levels: Admission, (amount, retry mode) by mask of methods.
    """

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


class VersionPair(NamedTuple):
    """A table and the two versions of it that are compared."""

    table: int
    old_version: int
    new_version: int


def difference(old: Table, new: Table) -> TableChange:
    """What turns one table into another, in the order of indices, so that equal tables give equal changes.

    >>> old = Table(1, Map({1: 1.0, 2: 2.0}), Map())
    >>> difference(old, Table(2, Map({2: 2.5, 3: 1.0}), Map({0: (0.5, 0)})))
    TableChange(lines=((1, 0.0), (2, 2.5), (3, 1.0)), levels=((0, (0.5, 0)),))
    """
    lines = _changed_entries(old.lines, new.lines, REMOVED_WEIGHT)
    levels = _changed_entries(old.levels, new.levels, REMOVED_LEVEL)
    return TableChange(tuple(lines), tuple(levels))


def _changed_entries(old: Map, new: Map, removed: object) -> list[tuple[int, Any]]:
    if old is new:
        return []
    changes = [(key, value) for key, value in new.items() if old.get(key) != value]
    changes += [(key, removed) for key in old if key not in new]
    return sorted(changes, key=lambda change: change[0])


def _with_changes(old: Map, changes: Mapping, removed: object) -> Map:
    with old.mutate() as edit:
        for key, value in changes.items():
            if value == removed:
                edit.pop(key, None)
            else:
                edit[key] = value
        return edit.finish()


class TableStore:
    """Keeps the last `keep` versions of each table, the newest included.

    Attributes:
        history: The versions of each table, oldest first.
        memo: Differences that were asked for, by table and versions.

    >>> store = TableStore(keep=2)
    >>> for version, weight in ((1, 1.0), (2, 2.0), (3, 3.0)):
    ...     _ = store.put(version, 0, {7: weight})
    >>> store.since(0, 2), store.since(0, 1)
    (TableChange(lines=((7, 3.0),), levels=()), None)
    """

    MAX_MEMO = 512  # differences kept; most readers go from the same version to the same other one

    def __init__(self, keep: int) -> None:
        self.keep = keep
        self.history: dict[int, deque[Table]] = {}
        self.memo: OrderedDict[VersionPair, TableChange] = OrderedDict()

    def latest(self, table: int) -> Table:
        """The newest version; an empty table where there is none."""
        history = self.history.get(table)
        return history[-1] if history else EMPTY

    def put(
        self,
        version: int,
        table: int,
        lines: Mapping[int, float],
        levels: Mapping[int, tuple[float, int] | None] | None = None,
        clear: bool = False,
    ) -> Table:
        """Make a new version; a version that is put again is replaced.

        Args:
            version: Number of the decision.
            table: Number of the table.
            lines: Weights to set; weight 0 takes a line out.
            levels: Admission levels to set; None takes a level out.
            clear: The new version holds nothing else.

        Raises:
            ValueError: The version is older than the newest one.
        """
        before = self.latest(table)
        if version < before.version:
            raise ValueError(f"table {table}: version {version} after {before.version}")
        base = EMPTY if clear else before
        new = Table(
            version,
            _with_changes(base.lines, lines, REMOVED_WEIGHT),
            _with_changes(base.levels, levels or {}, REMOVED_LEVEL),
        )
        history = self.history.setdefault(table, deque(maxlen=self.keep))
        if history and history[-1].version == version:
            history.pop()
            self._forget_changes(table)
        history.append(new)
        return new

    def drop(self, table: int) -> None:
        """Forget a table with its history."""
        self.history.pop(table, None)

    def at(self, table: int, version: int) -> Table | None:
        """The table at that version; None if it is not known any more, or not yet."""
        for known in reversed(self.history.get(table, ())):
            if known.version == version:
                return known
        return None

    def change(self, table: int, old: Table, new: Table) -> TableChange:
        """`difference`, remembered for all who go between the same two versions."""
        pair = VersionPair(table, old.version, new.version)
        change = self.memo.get(pair)
        if change is None or old.version == new.version:
            change = difference(old, new)
            if self.at(table, old.version) is old and self.at(table, new.version) is new:
                self.memo[pair] = change
                if len(self.memo) > self.MAX_MEMO:
                    self.memo.popitem(last=False)
        return change

    def since(self, table: int, version: int) -> TableChange | None:
        """What has changed since that version; None where only the whole table will do."""
        old = self.at(table, version)
        return None if old is None else self.change(table, old, self.latest(table))

    def _forget_changes(self, table: int) -> None:
        for pair in [pair for pair in self.memo if pair.table == table]:
            del self.memo[pair]
