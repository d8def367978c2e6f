"""What one proxy has been written, and the parts of the order that brings it up to date. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence

from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.resp.codec import encode
from hollyridge.resp.messages import TableUpdate, order
from hollyridge.store.table_versions import Table, difference


class ProxyView:
    """What a proxy holds by this stream: its table by method, and the value each table was told at."""

    __slots__ = ("bound", "told")

    def __init__(self) -> None:
        self.bound: dict[int, int] = {}
        self.told: dict[int, Table] = {}


class UpdateEncoder:
    """Writes messages for all streams; those that turn the same versions into the same are made once.
    `name_of(task)` is the platform's name of a task."""

    MEMO = 64

    def __init__(self, methods: Sequence[str], name_of: Callable[[int], str]) -> None:
        self.methods, self.name_of = tuple(methods), name_of
        self.memo: OrderedDict[tuple, tuple[TableUpdate, ...]] = OrderedDict()
        self.last: tuple[tuple, bytes] = ((), b"")  # what the message written last was made of

    def lines(self, sheet: ProxyView, update: ProxyUpdate) -> int:
        """What the channel counts for this message if it left now, and the sheet as it will be: for a sheet that runs
        ahead of what is written."""
        return sum(part.size for part in self.parts(sheet, update))

    def write(self, sheet: ProxyView, update: ProxyUpdate) -> bytes:
        """The message that brings the sheet's proxy up to date."""
        key = self.parts(sheet, update), update.mark
        if self.last[0] != key:
            self.last = key, b"".join(encode(message) for message in order(*key))
        return self.last[1]

    def parts(self, sheet: ProxyView, update: ProxyUpdate) -> tuple[TableUpdate, ...]:
        fresh: set[int] = set()
        for table, mask in update.bindings:
            for k in range(len(self.methods)):
                if mask >> k & 1:
                    sheet.bound[k] = table
                    fresh.add(k)
        parts: tuple[TableUpdate, ...] = ()
        for table, value in update.tables:
            users = [k for k, bound in sheet.bound.items() if bound == table]
            old = sheet.told.get(table)
            anew = tuple(sorted(k for k in users if k in fresh or old is None))
            rest = tuple(sorted(k for k in users if k not in anew))
            if anew:
                parts += self.known(table, None, value, anew)
            if rest:
                parts += self.known(table, old, value, rest)
            if users:
                sheet.told[table] = value
        out = dict(update.ejections)
        if out:
            parts += (
                TableUpdate(
                    out=tuple(self.name_of(task) for task, shut in out.items() if shut),
                    back=tuple(self.name_of(task) for task, shut in out.items() if not shut),
                ),
            )
        return parts

    def known(self, table: int, old: Table | None, new: Table, users: tuple[int, ...]) -> tuple[TableUpdate, ...]:
        key = table, -1 if old is None else old.version, new.version, users
        found = self.memo.get(key)
        if found is None:
            found = self.memo[key] = tuple(self.turn(old, new, users))
            if len(self.memo) > self.MEMO:
                self.memo.popitem(last=False)
        return found

    def turn(self, old: Table | None, new: Table, users: tuple[int, ...]) -> list[TableUpdate]:
        """Parts that turn one value of a table into another for these methods; from None: the whole of it."""
        names = () if len(users) == len(self.methods) else tuple(self.methods[k] for k in users)
        after = {k: level_of(new, k) for k in users}
        before = {k: None if old is None else level_of(old, k) for k in users}
        if old is not None and any(before[k] is not None and after[k] is None for k in users):
            old, before = None, dict.fromkeys(users)  # levels leave with the whole table only
        if old is None:
            rows = sorted(new.lines.items())
        else:
            rows = list(difference(old, new).lines)
        lines = tuple((self.name_of(task), weight) for task, weight in rows)
        groups: dict[tuple[float, int], list[int]] = {}
        for k in users:
            if after[k] is not None and after[k] != before[k]:
                groups.setdefault(after[k], []).append(k)
        if len(groups) == 1 and len(next(iter(groups.values()))) == len(users):  # one level for all of them
            return [TableUpdate(names, old is None, lines, next(iter(groups)))]
        parts = [TableUpdate(names, old is None, lines)] if lines or old is None else []
        return parts + [
            TableUpdate(tuple(self.methods[k] for k in some), level=level) for level, some in groups.items()
        ]


def level_of(table: Table, method: int) -> tuple[float, int] | None:
    """The level of one method: that of the narrowest set of methods that holds it."""
    masks = [mask for mask in table.levels if mask == 0 or mask >> method & 1]
    narrowest = min(masks, key=lambda mask: mask.bit_count() or 99, default=None)
    return None if narrowest is None else table.levels[narrowest]
