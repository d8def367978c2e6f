"""Bindings of proxies to tables, and the updates of the proxies for the commands of one decision."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hollyridge.delivery.command_reader import CommandReader, PendingUpdate
from hollyridge.interface import Command
from hollyridge.store.table_versions import Table, TableStore


class ServerCapabilities(NamedTuple):
    """Capabilities of a protocol server.

    Attributes:
        admission: Whether it supports admission levels.
        retries: Whether it supports retry modes.
        ejection: Whether it supports the ejection of a task from all tables at once.
        acks: Whether it supports acknowledgements.
        line_copies: Number of copies of a line that are sent to a proxy, one for each group of methods.
    """

    admission: bool
    retries: bool
    ejection: bool
    acks: bool
    line_copies: int


class ProxyUpdate(NamedTuple):
    """One update to one proxy.

    Attributes:
        proxy: Index of the proxy.
        decision: Number of the decision.
        decided_at_us: Time at which the oldest event that led to the decision was submitted.
        bindings: (table, mask of methods) in the order of the commands.
        tables: (table, its value) for each table that changed for the proxy.
        line_counts: (table, lines that the decision module counts for it) for each of these tables.
        mark: The mark to acknowledge, or -1.
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
    """Return one update in place of two, with the newest value of each table."""
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
    """The result of the commands of one decision.

    Attributes:
        updates: At most one update per proxy.
        refused: Number of commands that could not be executed, by reason.
    """

    updates: list[ProxyUpdate]
    refused: dict[str, int]


class UpdateBuilder:
    """Builder of updates, which holds the commanded tables and the proxies that use each.

    Attributes:
        bindings: Number of the table that each proxy uses for each method, by proxy and method.
        users: Proxies of each table, in the order of their bindings.
        ejected: Tasks that are ejected from all tables.

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
        """Return whether the newest version of any table contains this task."""
        return any(task in history[-1].lines for history in self.store.history.values() if history)

    def build(
        self, now_us: int, decision: int, commands: Iterable[Command], servers: Mapping[int, ServerCapabilities]
    ) -> UpdateBatch:
        """Execute the commands about tables and return the updates that follow from them.

        Args:
            now_us: The value of `decided_at_us` of the updates.
            decision: Number of the decision.
            commands: Commands of the decision. Those that a proxy's server does not support are refused and counted by
                reason, and the others are executed.
            servers: Capabilities of the server of each joined proxy.
        """
        reader = CommandReader(self, servers)
        for command in commands:
            reader.read(command)
        for table, edit in reader.edits.items():
            self.store.put(decision, table, edit.lines, edit.levels, table in reader.cleared)
        if reader.ack_from_all:
            for proxy in servers:
                reader.pending_for(proxy)
        updates = [
            self._update_of(proxy, pending, now_us, decision, reader.mark) for proxy, pending in reader.pending.items()
        ]
        return UpdateBatch(updates, reader.refused)

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
        """Bind a proxy to a table for the methods of a mask."""
        by_method = self.bindings.setdefault(proxy, {})
        before = set(by_method.values())
        by_method.update((method, table) for method in range(mask.bit_length()) if mask >> method & 1)
        for unbound in before - set(by_method.values()):
            self.users[unbound].pop(proxy, None)
        self.users.setdefault(table, {})[proxy] = None
