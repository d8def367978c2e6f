"""Which tables each proxy uses, and the one update that each is owed for the commands of one decision."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hollyridge.delivery.command_reader import CommandReader, PendingUpdate
from hollyridge.interface import Command
from hollyridge.store.table_versions import Table, TableStore


class ServerCapabilities(NamedTuple):
    """What a protocol server can carry.

    Attributes:
        admission: Admission levels.
        retries: Retry modes.
        ejection: Ejection of a task from all tables at once.
        acks: Acknowledgements.
        line_copies: How often a line is sent to a proxy, once for each group of methods.
    """

    admission: bool
    retries: bool
    ejection: bool
    acks: bool
    line_copies: int


class ProxyUpdate(NamedTuple):
    """One update to one proxy.

    Attributes:
        proxy: Its index.
        decision: Number of the decision.
        decided_at_us: When the oldest event that led to it was submitted.
        bindings: (table, mask of methods) in the order of the commands.
        tables: The value of each table that changed for the proxy.
        line_counts: How many lines the decisions count for each of these tables.
        mark: To be acknowledged; -1 for none.
        ejections: (task, whether it is ejected) in the order of the commands.
    """

    proxy: int
    decision: int
    decided_at_us: int
    bindings: tuple[tuple[int, int], ...]
    tables: tuple[tuple[int, Table], ...]
    line_counts: tuple[tuple[int, int], ...]
    mark: int
    ejections: tuple[tuple[int, bool], ...] = ()


def merge_updates(old: ProxyUpdate, new: ProxyUpdate) -> ProxyUpdate:
    """One update for two: only the newest value of each table counts."""
    tables = {**dict(old.tables), **dict(new.tables)}
    line_counts = dict(old.line_counts)
    for table, lines in new.line_counts:
        line_counts[table] = min(line_counts.get(table, 0) + lines, 1 + len(tables[table]))
    return ProxyUpdate(
        new.proxy,
        new.decision,
        old.decided_at_us,
        (*old.bindings, *new.bindings),
        tuple(tables.items()),
        tuple(line_counts.items()),
        new.mark if new.mark >= 0 else old.mark,
        (*old.ejections, *new.ejections),
    )


class UpdateBatch(NamedTuple):
    """The updates of one decision, and how many commands could not be carried, by reason."""

    updates: list[ProxyUpdate]
    refused: dict[str, int]


class UpdateBuilder:
    """Keeps the tables as commanded and which proxies use them.

    Attributes:
        bindings: The table of each method, by proxy.
        users: The proxies of each table, in the order they were bound.
        ejected: The tasks that are ejected from all tables.

    >>> from hollyridge.interface import BindTable, RequestAck, SetWeight
    >>> builder = UpdateBuilder(methods=2, store=TableStore(4))
    >>> plain = ServerCapabilities(False, False, False, True, 1)
    >>> batch = builder.build(1, 5, [SetWeight(1.0, 3, 0), BindTable(9, 0, 0), RequestAck(1, False)], {9: plain})
    >>> for update in batch.updates:
    ...     print(update.proxy, update.bindings, dict(update.tables[0][1].lines), update.line_counts, update.mark)
    9 ((0, 3),) {3: 1.0} ((0, 2),) 1
    """

    def __init__(self, methods: int, store: TableStore) -> None:
        self.all_methods = (1 << methods) - 1
        self.store = store
        self.bindings: dict[int, dict[int, int]] = {}
        self.users: dict[int, dict[int, None]] = {}
        self.ejected: set[int] = set()

    def forget(self, proxy: int) -> None:
        """Drop the bindings of a proxy that has left."""
        for table in set(self.bindings.pop(proxy, {}).values()):
            self.users[table].pop(proxy, None)

    def mentions(self, task: int) -> bool:
        """Whether any table as it is now holds this task."""
        return any(task in history[-1].lines for history in self.store.history.values() if history)

    def build(
        self, now_us: int, decision: int, commands: Iterable[Command], servers: Mapping[int, ServerCapabilities]
    ) -> UpdateBatch:
        """Carry out the commands about tables and make the updates that follow from them.

        Args:
            now_us: What the updates are to state as `decided_at_us`.
            decision: Number of the decision.
            commands: Its commands. One that a proxy's server can't carry is refused with a reason; others go on.
            servers: What the server of each joined proxy can carry.
        """
        batch = CommandReader(self, servers)
        for command in commands:
            batch.read(command)
        for table, edit in batch.edits.items():
            self.store.put(decision, table, edit.lines, edit.levels, table in batch.cleared)
        if batch.ack_from_all:
            for proxy in servers:
                batch.pending_for(proxy)
        updates = [
            self._update_of(proxy, pending, now_us, decision, batch.mark) for proxy, pending in batch.pending.items()
        ]
        return UpdateBatch(updates, batch.refused)

    def _update_of(self, proxy: int, pending: PendingUpdate, now_us: int, decision: int, mark: int) -> ProxyUpdate:
        used = set(self.bindings.get(proxy, {}).values())
        return ProxyUpdate(
            proxy,
            decision,
            now_us,
            tuple(pending.bindings),
            tuple((table, self.store.latest(table)) for table in pending.line_counts if table in used),
            tuple((table, lines) for table, lines in pending.line_counts.items() if table in used),
            mark,
            tuple(pending.ejections),
        )

    def bind(self, proxy: int, table: int, mask: int) -> None:
        """Have a proxy use a table for the methods of a mask."""
        by_method = self.bindings.setdefault(proxy, {})
        before = set(by_method.values())
        by_method.update((method, table) for method in range(mask.bit_length()) if mask >> method & 1)
        for unbound in before - set(by_method.values()):
            self.users[unbound].pop(proxy, None)
        self.users.setdefault(table, {})[proxy] = None
