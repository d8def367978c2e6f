"""The messages that bring proxies up to date, from what each holds to what it should hold. No I/O."""

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
ALL_METHODS_RANK = 99  # more methods than any mask holds: the mask for all is the widest

Admission = tuple[float, int]  # admitted amount, retry mode


class UpdateEncoder:
    """Encodes messages for all connections.

    A change of the same table from the same version to the same version is made once, however many proxies get it.

    Args:
        methods: Names of the methods, in the order of their indices.
        name_of: The platform's name of a task.
    """

    def __init__(self, methods: Sequence[str], name_of: Callable[[int], str]) -> None:
        self.methods = tuple(methods)
        self.name_of = name_of
        self.memo: OrderedDict[tuple, tuple[TableUpdate, ...]] = OrderedDict()
        # The message that was encoded last, and what it was made of: the next proxy mostly gets the same.
        self.last_updates: tuple[TableUpdate, ...] = ()
        self.last_mark = NO_MARK
        self.last_message = b""

    def count_lines(self, view: ProxyView, update: ProxyUpdate) -> int:
        """Lines that the channel counts for this message if it left now.

        The view is brought up to date: it is one that runs ahead of what is written.
        """
        return sum(part.size for part in self._advance(view, update))

    def encode(self, view: ProxyView, update: ProxyUpdate) -> bytes:
        """The message that brings a proxy up to date; the view is brought up to date with it."""
        updates = self._advance(view, update)
        if self.last_mark != update.mark or self.last_updates != updates or not self.last_message:
            self.last_updates = updates
            self.last_mark = update.mark
            self.last_message = b"".join(encode(message) for message in assign_messages(updates, update.mark))
        return self.last_message

    def _advance(self, view: ProxyView, update: ProxyUpdate) -> tuple[TableUpdate, ...]:
        """Bring a view up to date; returns the parts of the order that do the same at the proxy."""
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
                    ejected=tuple(self.name_of(task) for task, ejected in ejected_by_task.items() if ejected),
                    restored=tuple(self.name_of(task) for task, ejected in ejected_by_task.items() if not ejected),
                ),
            )
        return updates

    def _advance_table(self, view: ProxyView, table: int, value: Table, rebound: set[int]) -> tuple[TableUpdate, ...]:
        """Bring one table of a view up to date: complete for methods that did not use it, else by what changed."""
        methods = view.methods_of(table)
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
        """`_make_updates` by way of the memo, the oldest entry of which makes room."""
        key = (table, NO_VERSION if old is None else old.version, new.version, methods)
        updates = self.memo.get(key)
        if updates is None:
            updates = self.memo[key] = tuple(self._make_updates(old, new, methods))
            if len(self.memo) > MAX_MEMO_ENTRIES:
                self.memo.popitem(last=False)
        return updates

    def _make_updates(self, old: Table | None, new: Table, methods: tuple[int, ...]) -> list[TableUpdate]:
        """Parts that turn one value of a table into another for these methods; from None, the complete table."""
        old_admission = {method: None if old is None else admission_of(old, method) for method in methods}
        new_admission = {method: admission_of(new, method) for method in methods}
        if any(old_admission[method] is not None and new_admission[method] is None for method in methods):
            # The protocol has no word for taking an admission back: it leaves with the complete table only.
            old = None
            old_admission = dict.fromkeys(methods)
        complete = old is None
        weights = sorted(new.lines.items()) if complete else difference(old, new).lines
        lines = tuple((self.name_of(task), weight) for task, weight in weights)
        names = () if len(methods) == len(self.methods) else self._names(methods)
        changed: dict[Admission, list[int]] = {}  # methods by their new admission
        for method in methods:
            admission = new_admission[method]
            if admission is not None and admission != old_admission[method]:
                changed.setdefault(admission, []).append(method)
        if len(changed) == 1:
            (admission,) = changed
            if len(changed[admission]) == len(methods):  # the same for all: it shares the part of the lines
                return [TableUpdate(names, complete, lines, admission)]
        updates = [TableUpdate(names, complete, lines)] if lines or complete else []
        updates += [TableUpdate(self._names(group), admission=admission) for admission, group in changed.items()]
        return updates

    def _names(self, methods: Sequence[int]) -> tuple[str, ...]:
        return tuple(self.methods[method] for method in methods)


def admission_of(table: Table, method: int) -> Admission | None:
    """The admission of one method: that of the narrowest mask of methods that holds it."""
    masks = [mask for mask in table.levels if mask == 0 or mask >> method & 1]
    narrowest = min(masks, key=lambda mask: mask.bit_count() or ALL_METHODS_RANK, default=None)
    return None if narrowest is None else table.levels[narrowest]
