"""Tables as immutable values, one per version, with a bounded history.

The changes between two versions are always computed from the two tables and never recorded separately, so that they
can't be inconsistent with the tables. A reader whose version is older than the history gets the whole table.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Mapping
from typing import Any, NamedTuple

from immutables import Map

REMOVED_WEIGHT = 0.0  # weight that removes a line
REMOVED_LEVEL = None  # admission level that removes a level


class Table(NamedTuple):
    """One version of a table.

    Attributes:
        version: Number of the decision that made it.
        lines: Weight by task.
        levels: Admission level as (amount, retry mode), by mask of methods.
    """

    version: int
    lines: Map
    levels: Map

    def __len__(self) -> int:
        return len(self.lines) + len(self.levels)


EMPTY = Table(0, Map(), Map())


class TableChange(NamedTuple):
    """Changes from one version of a table to another.

    Attributes:
        lines: (task, new weight), with weight 0 for a removed line.
        levels: (mask of methods, new level), with None for a removed level.
    """

    lines: tuple[tuple[int, float], ...]
    levels: tuple[tuple[int, tuple[float, int] | None], ...]

    def __len__(self) -> int:
        return len(self.lines) + len(self.levels)


class VersionPair(NamedTuple):
    """A table and two of its versions."""

    table: int
    old_version: int
    new_version: int


def difference(old: Table, new: Table) -> TableChange:
    """Return the changes from one table to another, sorted by index so that equal tables give equal changes.

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
    """Store of the last versions of each table.

    Args:
        max_versions: Number of versions kept of each table, including the newest.

    Attributes:
        history: The versions of each table, oldest first.
        cached_changes: Changes that were computed before, by table and versions.

    >>> store = TableStore(max_versions=2)
    >>> for version, weight in ((1, 1.0), (2, 2.0), (3, 3.0)):
    ...     _ = store.put(version, 0, {7: weight})
    >>> store.since(0, 2), store.since(0, 1)
    (TableChange(lines=((7, 3.0),), levels=()), None)
    """

    MAX_CACHED_CHANGES = 512  # cached, since most readers need the changes between the same two versions

    def __init__(self, max_versions: int) -> None:
        self.max_versions = max_versions
        self.history: dict[int, deque[Table]] = {}
        self.cached_changes: OrderedDict[VersionPair, TableChange] = OrderedDict()

    def latest(self, table: int) -> Table:
        """Return the newest version, or an empty table if there is none."""
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
        """Add a new version, or replace the newest if it has the same number.

        Args:
            version: Number of the decision.
            table: Number of the table.
            lines: Weights to set, by task. Weight 0 removes a line.
            levels: Admission levels to set, by mask of methods. None removes a level.
            clear: Whether all other lines and levels are removed.

        Returns:
            The new version.

        Raises:
            ValueError: The version is older than the newest one.
        """
        before = self.latest(table)
        if version < before.version:
            raise ValueError(f"table {table}: version {version} is older than the newest version {before.version}")
        base = EMPTY if clear else before
        new = Table(
            version,
            _with_changes(base.lines, lines, REMOVED_WEIGHT),
            _with_changes(base.levels, levels or {}, REMOVED_LEVEL),
        )
        history = self.history.setdefault(table, deque(maxlen=self.max_versions))
        if history and history[-1].version == version:
            history.pop()
            self._drop_cached_changes(table)
        history.append(new)
        return new

    def drop(self, table: int) -> None:
        """Remove a table with its history."""
        self.history.pop(table, None)

    def at(self, table: int, version: int) -> Table | None:
        """Return the table at a version, or None if the version is not in the history."""
        for known in reversed(self.history.get(table, ())):
            if known.version == version:
                return known
        return None

    def change(self, table: int, old: Table, new: Table) -> TableChange:
        """Return the `difference` of two versions, cached for readers of the same two."""
        pair = VersionPair(table, old.version, new.version)
        change = self.cached_changes.get(pair)
        if change is None or old.version == new.version:
            change = difference(old, new)
            if self.at(table, old.version) is old and self.at(table, new.version) is new:
                self.cached_changes[pair] = change
                if len(self.cached_changes) > self.MAX_CACHED_CHANGES:
                    self.cached_changes.popitem(last=False)
        return change

    def since(self, table: int, version: int) -> TableChange | None:
        """Return the changes since a version, or None if it is not in the history."""
        old = self.at(table, version)
        return None if old is None else self.change(table, old, self.latest(table))

    def _drop_cached_changes(self, table: int) -> None:
        for pair in [pair for pair in self.cached_changes if pair.table == table]:
            del self.cached_changes[pair]
