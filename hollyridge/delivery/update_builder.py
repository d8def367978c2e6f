"""What each proxy is to hold, and the one message that each is owed for what the module ordered at once."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hollyridge.interface import (
    BindTable,
    Command,
    DeleteTable,
    LogNote,
    RefreshEndpoints,
    RequestAck,
    SendToPeer,
    SetAdmission,
    SetEjected,
    SetTimer,
    SetWeight,
    WatchEndpoints,
)
from hollyridge.store.table_versions import Table, TableStore

# The status page counts refused commands by these names, whatever the classes are called.
STATUS_NAMES = {
    LogNote: "Note",
    RefreshEndpoints: "Reload",
    SendToPeer: "TellPeer",
    SetTimer: "WakeAt",
    WatchEndpoints: "Watch",
}


# And commands that a server can't carry by these reasons.
UNSUPPORTED = {"admission": "front has no levels", "ejection": "front has no withdrawals"}


class ServerCapabilities(NamedTuple):
    """What a front can carry. `groups`: how often a line is said to a proxy, once for each group of methods."""

    admission: bool
    retries: bool
    ejection: bool
    acks: bool
    line_copies: int


class ProxyUpdate(NamedTuple):
    """One message to one proxy. `number` is that of the decision, `binds` (table, mask of methods) in order,
    `tables` the value of each table that changed for it, `counts` how many lines the module counts for each,
    `mark` -1 for none."""

    proxy: int
    decision: int
    decided_at_us: int
    bindings: tuple[tuple[int, int], ...]
    tables: tuple[tuple[int, Table], ...]
    line_counts: tuple[tuple[int, int], ...]
    mark: int
    ejections: tuple[tuple[int, bool], ...] = ()


def merge_updates(old: ProxyUpdate, new: ProxyUpdate) -> ProxyUpdate:
    """One message for two: only the newest value of each table matters."""
    tables = {**dict(old.tables), **dict(new.tables)}
    counts = dict(old.line_counts)
    for table, lines in new.line_counts:
        counts[table] = min(counts.get(table, 0) + lines, 1 + len(tables[table]))
    return ProxyUpdate(
        new.proxy,
        new.decision,
        old.decided_at_us,
        (*old.bindings, *new.bindings),
        tuple(tables.items()),
        tuple(counts.items()),
        new.mark if new.mark >= 0 else old.mark,
        (*old.ejections, *new.ejections),
    )


class PendingUpdate:
    """What one proxy is owed while a decision is being read."""

    __slots__ = ("bindings", "line_counts", "ejections")

    def __init__(self) -> None:
        self.bindings: list[tuple[int, int]] = []
        self.line_counts: dict[int, int] = {}
        self.ejections: list[tuple[int, bool]] = []


class UpdateBuilder:
    """Tables as ordered, and who uses which.

    >>> desk, can = UpdateBuilder(methods=2, store=TableStore(4)), ServerCapabilities(False, False, False, True, 1)
    >>> carried = desk.build(1, 5, [SetWeight(1.0, 3, 0), BindTable(9, 0, 0), RequestAck(1, False)], {9: can})
    >>> for p in carried.updates:
    ...     print(p.proxy, p.bindings, dict(p.tables[0][1].lines), p.line_counts, p.mark)
    9 ((0, 3),) {3: 1.0} ((0, 2),) 1
    """

    def __init__(self, methods: int, store: TableStore) -> None:
        self.every = (1 << methods) - 1
        self.store = store
        self.bindings: dict[int, dict[int, int]] = {}  # proxy: table by method
        self.users: dict[int, dict[int, None]] = {}  # table: proxies, in the order they came
        self.ejected: set[int] = set()

    def forget(self, proxy: int) -> None:
        for table in set(self.bindings.pop(proxy, {}).values()):
            self.users[table].pop(proxy, None)

    def mentions(self, task: int) -> bool:
        """Whether any table as it is now holds this task."""
        return any(task in history[-1].lines for history in self.store.history.values() if history)

    def build(
        self, now: int, number: int, orders: Iterable[Command], fronts: dict[int, ServerCapabilities]
    ) -> UpdateBatch:
        """Take the orders about tables. An order that a proxy's front can't carry is refused with a reason;
        others go on."""
        owed: dict[int, PendingUpdate] = {}
        refused: dict[str, int] = {}
        edits: dict[int, tuple[dict, dict]] = {}
        cleared: set[int] = set()
        mark, everyone = -1, False

        def refuse(why: str) -> None:
            refused[why] = refused.get(why, 0) + 1

        def count(table: int, needs: str = "") -> None:
            for proxy in self.users.get(table, ()):
                if needs and not getattr(fronts[proxy], needs):
                    refuse(UNSUPPORTED[needs])
                else:
                    counts = owed.setdefault(proxy, PendingUpdate()).line_counts
                    counts[table] = counts.get(table, 0) + 1

        for order in orders:
            kind = type(order)
            if kind is SetWeight:
                edits.setdefault(order.table, ({}, {}))[0][order.task] = max(order.weight, 0.0)
                count(order.table)
            elif kind is SetAdmission:
                edits.setdefault(order.table, ({}, {}))[1][order.methods] = order.amount, order.retry_mode
                count(order.table, "admission")
            elif kind is DeleteTable:
                edits[order.table] = ({}, {})
                cleared.add(order.table)
                count(order.table)
            elif kind is BindTable:
                if order.proxy not in fronts:
                    refuse("proxy has left")
                    continue
                mask = (order.methods or self.every) & self.every
                self.bind(order.proxy, order.table, mask)
                mine = owed.setdefault(order.proxy, PendingUpdate())
                mine.bindings.append((order.table, mask))
                size = len(self.store.latest(order.table)) + sum(map(len, edits.get(order.table, ())))
                mine.line_counts[order.table] = 1 + size
            elif kind is SetEjected:
                (self.ejected.add if order.ejected else self.ejected.discard)(order.task)
                for proxy in self.bindings:
                    if fronts[proxy].ejection:
                        owed.setdefault(proxy, PendingUpdate()).ejections.append((order.task, order.ejected))
                    else:
                        refuse(UNSUPPORTED["ejection"])
            elif kind is RequestAck:
                mark, everyone = order.mark, order.from_all
            else:
                refuse(f"no {STATUS_NAMES.get(kind, kind.__name__)} here")
        for table, (lines, levels) in edits.items():
            self.store.put(number, table, lines, levels, table in cleared)
        if everyone:
            for proxy in fronts:
                owed.setdefault(proxy, PendingUpdate())
        updates = []
        for proxy, mine in owed.items():
            used = set(self.bindings.get(proxy, {}).values())
            tables = tuple((table, self.store.latest(table)) for table in mine.line_counts if table in used)
            counts = tuple((table, lines) for table, lines in mine.line_counts.items() if table in used)
            updates.append(
                ProxyUpdate(proxy, number, now, tuple(mine.bindings), tables, counts, mark, tuple(mine.ejections))
            )
        return UpdateBatch(updates, refused)

    def bind(self, proxy: int, table: int, mask: int) -> None:
        mine = self.bindings.setdefault(proxy, {})
        before = set(mine.values())
        mine.update((k, table) for k in range(mask.bit_length()) if mask >> k & 1)
        for old in before - set(mine.values()):
            self.users[old].pop(proxy, None)
        self.users.setdefault(table, {})[proxy] = None


class UpdateBatch(NamedTuple):
    updates: list[ProxyUpdate]
    refused: dict[str, int]
