"""Encoder of the messages that change the state of a proxy from what it was sent to what it should have. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence

from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.resp.assign_message import NO_MARK, TableUpdate, assign_messages
from hollyridge.resp.codec import encode
from hollyridge.resp.proxy_view import ProxyView
from hollyridge.store.table_versions import Table, difference

MAX_MEMO_ENTRIES = 64  # proxies are mostly at one of a few versions of a table
NO_VERSION = -1
ALL_METHODS_RANK = 99  # above the number of methods in any mask, so that mask 0 (all methods) counts as the widest

Admission = tuple[float, int]  # admitted amount, retry mode


class UpdateEncoder:
    """Encoder of updates for all connections.

    A change of a table from one version to another is computed once, however many proxies get it.

    Args:
        methods: Names of the methods, in the order of their indices.
        task_name: Function that returns the platform's name of a task.
    """

    def __init__(self, methods: Sequence[str], task_name: Callable[[int], str]) -> None:
        self.methods = tuple(methods)
        self.task_name = task_name
        # Parts by table, version before the change, version after it, and methods.
        self.memo: OrderedDict[tuple, tuple[TableUpdate, ...]] = OrderedDict()
        # The last encoded message and its input, kept because the next proxy mostly gets the same message.
        self.last_updates: tuple[TableUpdate, ...] = ()
        self.last_mark = NO_MARK
        self.last_message = b""

    def count_lines(self, view: ProxyView, update: ProxyUpdate) -> int:
        """Return the number of lines that count against the channel if this update is sent now.

        The update is applied to the view, which must be one that includes updates not written yet.
        """
        return sum(part.size for part in self._advance(view, update))

    def encode(self, view: ProxyView, update: ProxyUpdate) -> bytes:
        """Return the message that applies an update to a proxy, and apply the update to its view."""
        updates = self._advance(view, update)
        if self.last_mark != update.mark or self.last_updates != updates or not self.last_message:
            self.last_updates = updates
            self.last_mark = update.mark
            self.last_message = b"".join(encode(message) for message in assign_messages(updates, update.mark))
        return self.last_message

    def _advance(self, view: ProxyView, update: ProxyUpdate) -> tuple[TableUpdate, ...]:
        """Apply an update to a view; return the parts that apply it to the proxy."""
        rebound: set[int] = set()
        for table, method_mask in update.bindings:
            rebound.update(view.bind(table, method_mask, len(self.methods)))
        updates: tuple[TableUpdate, ...] = ()
        for table, value in update.tables:
            updates += self._advance_table(view, table, value, rebound)
        ejected_by_task = dict(update.ejections)
        if ejected_by_task:
            updates += (
                TableUpdate(
                    ejected=tuple(self.task_name(task) for task, ejected in ejected_by_task.items() if ejected),
                    restored=tuple(self.task_name(task) for task, ejected in ejected_by_task.items() if not ejected),
                ),
            )
        return updates

    def _advance_table(self, view: ProxyView, table: int, value: Table, rebound: set[int]) -> tuple[TableUpdate, ...]:
        """Apply one table to a view; return complete parts for methods new to the table, changes for the others."""
        methods = view.methods_using(table)
        if not methods:
            return ()
        sent = view.sent_tables.get(table)
        view.sent_tables[table] = value
        if sent is None:
            new_users, old_users = tuple(sorted(methods)), ()
        else:
            new_users = tuple(sorted(method for method in methods if method in rebound))
            old_users = tuple(sorted(method for method in methods if method not in rebound))
        updates: tuple[TableUpdate, ...] = ()
        if new_users:
            updates += self._table_updates(table, None, value, new_users)
        if old_users:
            updates += self._table_updates(table, sent, value, old_users)
        return updates

    def _table_updates(
        self, table: int, old: Table | None, new: Table, methods: tuple[int, ...]
    ) -> tuple[TableUpdate, ...]:
        """Return the result of `_make_updates` from the memo, which drops its oldest entry when full."""
        key = (table, NO_VERSION if old is None else old.version, new.version, methods)
        updates = self.memo.get(key)
        if updates is None:
            updates = self.memo[key] = tuple(self._make_updates(old, new, methods))
            if len(self.memo) > MAX_MEMO_ENTRIES:
                self.memo.popitem(last=False)
        return updates

    def _make_updates(self, old: Table | None, new: Table, methods: tuple[int, ...]) -> list[TableUpdate]:
        """Return the parts that change a table from `old`, None for no table, to `new` for these methods."""
        old_admission = {method: None if old is None else find_admission(old, method) for method in methods}
        new_admission = {method: find_admission(new, method) for method in methods}
        if any(old_admission[method] is not None and new_admission[method] is None for method in methods):
            # The protocol has no field that removes an admission; only a complete table does so.
            old = None
            old_admission = dict.fromkeys(methods)
        complete = old is None
        weights = sorted(new.lines.items()) if complete else difference(old, new).lines
        lines = tuple((self.task_name(task), weight) for task, weight in weights)
        names = () if len(methods) == len(self.methods) else self._names(methods)
        changed: dict[Admission, list[int]] = {}  # methods by new admission
        for method in methods:
            admission = new_admission[method]
            if admission is not None and admission != old_admission[method]:
                changed.setdefault(admission, []).append(method)
        if len(changed) == 1:
            (admission,) = changed
            # An admission shared by all methods fits into the part with the lines.
            if len(changed[admission]) == len(methods):
                return [TableUpdate(names, complete, lines, admission)]
        updates = [TableUpdate(names, complete, lines)] if lines or complete else []
        updates += [TableUpdate(self._names(group), admission=admission) for admission, group in changed.items()]
        return updates

    def _names(self, methods: Sequence[int]) -> tuple[str, ...]:
        return tuple(self.methods[method] for method in methods)


def find_admission(table: Table, method: int) -> Admission | None:
    """Return the admission of a method: that of the narrowest method mask that includes it."""
    masks = [mask for mask in table.levels if mask == 0 or mask >> method & 1]
    narrowest = min(masks, key=lambda mask: mask.bit_count() or ALL_METHODS_RANK, default=None)
    return None if narrowest is None else table.levels[narrowest]
