"""Reader of the commands of one decision: their changes of tables and the resulting update of each proxy."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

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

if TYPE_CHECKING:
    from hollyridge.delivery.update_builder import ServerCapabilities, UpdateBuilder

# Names by which the status page counts refused commands, independent of the names of the classes.
STATUS_NAMES = {
    LogNote: "Note",
    RefreshEndpoints: "Reload",
    SendToPeer: "TellPeer",
    SetTimer: "WakeAt",
    WatchEndpoints: "Watch",
}

# Reasons by which the status page counts commands that a server does not support, by missing capability.
UNSUPPORTED = {"admission": "front has no levels", "ejection": "front has no withdrawals"}
PROXY_HAS_LEFT = "proxy has left"

NO_MARK = -1


class PendingUpdate:
    """The update of one proxy while the commands of a decision are read.

    Attributes:
        bindings: (table, mask of methods) in the order of the commands.
        ejections: (task, whether it is ejected) in the order of the commands.
        line_counts: Number of changed lines, by table.
    """

    __slots__ = ("bindings", "ejections", "line_counts")

    def __init__(self) -> None:
        self.bindings: list[tuple[int, int]] = []
        self.line_counts: dict[int, int] = {}
        self.ejections: list[tuple[int, bool]] = []

    def count_line(self, table: int) -> None:
        """Add a changed line of a table."""
        self.line_counts[table] = self.line_counts.get(table, 0) + 1


class TableEdit(NamedTuple):
    """Changes of a table by one decision.

    Attributes:
        lines: Weight by task.
        levels: Admission level as (amount, retry mode), by mask of methods.
    """

    lines: dict[int, float]
    levels: dict[int, tuple[float, int]]


class CommandReader:
    """Reader of the commands of one decision, with one handler for each kind of command.

    Attributes:
        pending: Update of each proxy, in the order in which commands affect the proxies.
        refused: Number of commands that could not be executed, by reason.
        edits: Changes of each table.
        cleared: Tables whose former content is dropped.
        mark: The mark to acknowledge, or -1.
        ack_from_all: Whether all proxies have to acknowledge it, not only those that the commands affect.
    """

    __slots__ = ("ack_from_all", "builder", "cleared", "edits", "mark", "pending", "refused", "servers")

    def __init__(self, builder: UpdateBuilder, servers: Mapping[int, ServerCapabilities]) -> None:
        self.builder = builder
        self.servers = servers
        self.pending: dict[int, PendingUpdate] = {}
        self.refused: dict[str, int] = {}
        self.edits: dict[int, TableEdit] = {}
        self.cleared: set[int] = set()
        self.mark = NO_MARK
        self.ack_from_all = False

    def read(self, command: Command) -> None:
        """Process one command."""
        handler = _HANDLERS.get(type(command))
        if handler is None:
            kind = type(command)
            self.refuse(f"no {STATUS_NAMES.get(kind, kind.__name__)} here")
        else:
            handler(self, command)

    def pending_for(self, proxy: int) -> PendingUpdate:
        """Return the update of a proxy, created empty if there is none."""
        pending = self.pending.get(proxy)
        if pending is None:
            pending = self.pending[proxy] = PendingUpdate()
        return pending

    def refuse(self, reason: str) -> None:
        """Count a command that can't be executed."""
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def _set_weight(self, command: SetWeight) -> None:
        self._edit(command.table).lines[command.task] = max(command.weight, 0.0)
        self._count_line(command.table)

    def _set_admission(self, command: SetAdmission) -> None:
        self._edit(command.table).levels[command.methods] = command.amount, command.retry_mode
        for proxy in self.builder.users.get(command.table, ()):
            if self.servers[proxy].admission:
                self.pending_for(proxy).count_line(command.table)
            else:
                self.refuse(UNSUPPORTED["admission"])

    def _delete_table(self, command: DeleteTable) -> None:
        self.edits[command.table] = TableEdit({}, {})
        self.cleared.add(command.table)
        self._count_line(command.table)

    def _bind_table(self, command: BindTable) -> None:
        proxy, table = command.proxy, command.table
        if proxy not in self.servers:
            self.refuse(PROXY_HAS_LEFT)
            return
        mask = (command.methods or self.builder.all_methods) & self.builder.all_methods
        self.builder.bind(proxy, table, mask)
        pending = self.pending_for(proxy)
        pending.bindings.append((table, mask))
        edited_lines = sum(map(len, self.edits.get(table, ())))
        pending.line_counts[table] = 1 + len(self.builder.store.latest(table)) + edited_lines

    def _set_ejected(self, command: SetEjected) -> None:
        if command.ejected:
            self.builder.ejected.add(command.task)
        else:
            self.builder.ejected.discard(command.task)
        for proxy in self.builder.bindings:
            if self.servers[proxy].ejection:
                self.pending_for(proxy).ejections.append((command.task, command.ejected))
            else:
                self.refuse(UNSUPPORTED["ejection"])

    def _request_ack(self, command: RequestAck) -> None:
        self.mark = command.mark
        self.ack_from_all = command.from_all

    def _edit(self, table: int) -> TableEdit:
        edit = self.edits.get(table)
        if edit is None:
            edit = self.edits[table] = TableEdit({}, {})
        return edit

    def _count_line(self, table: int) -> None:
        for proxy in self.builder.users.get(table, ()):
            self.pending_for(proxy).count_line(table)


_HANDLERS = {
    SetWeight: CommandReader._set_weight,
    SetAdmission: CommandReader._set_admission,
    DeleteTable: CommandReader._delete_table,
    BindTable: CommandReader._bind_table,
    SetEjected: CommandReader._set_ejected,
    RequestAck: CommandReader._request_ack,
}
