"""The message `assign`, the only one that changes what a proxy holds, and how it is written. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

NO_MARK = -1


class TableUpdate(NamedTuple):
    """One part of an order.

    Attributes:
        methods: Names of the methods that it is for; empty for all.
        complete: Whether the lines are the whole table, in place of the one that the proxy holds.
        lines: Weights by name of the task; weight 0 takes a task out.
        admission: Admitted amount and retry mode; None for no change.
        ejected: Names of tasks to shut out, whatever the table says.
        restored: Names of tasks to let back in.
    """

    methods: tuple[str, ...] = ()
    complete: bool = False
    lines: tuple[tuple[str, float], ...] = ()
    admission: tuple[float, int] | None = None
    ejected: tuple[str, ...] = ()
    restored: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Lines that the channel counts for it, the mark and the message's head left out."""
        return self.complete + len(self.lines) + (self.admission is not None) + len(self.ejected) + len(self.restored)


def fields_of(update: TableUpdate) -> list[bytes]:
    """Names and values of the message, by turns.

    >>> fields_of(TableUpdate(("lookup", "order"), True, (("s-1", 1.5), ("s-2", 0.0)), (0.9, 1)))
    [b'classes', b'lookup+order', b'whole', b'1', b'lines', b's-1:1.5,s-2:0', b'level', b'0.9', b'retry', b'1']
    >>> fields_of(TableUpdate(ejected=("s-1", "s-2"), restored=("s-3",)))
    [b'out', b's-1,s-2', b'back', b's-3']
    """
    fields: list[str] = []
    if update.methods:
        fields += "classes", "+".join(update.methods)
    if update.complete:
        fields += "whole", "1"
    if update.lines:
        fields += "lines", ",".join(f"{name}:{weight:.6g}" for name, weight in update.lines)
    if update.admission is not None:
        amount, retry_mode = update.admission
        fields += "level", f"{amount:.6g}", "retry", str(retry_mode)
    if update.ejected:
        fields += "out", ",".join(update.ejected)
    if update.restored:
        fields += "back", ",".join(update.restored)
    return [field.encode() for field in fields]


def assign_messages(updates: Iterable[TableUpdate], mark: int) -> list[list[bytes]]:
    """One message of the channel as messages of the protocol, all but the last tied to the next by `more`.

    Args:
        updates: The parts of the order; without any, the message carries the mark alone.
        mark: What the proxy acknowledges, written on the last message; `NO_MARK` for none.

    >>> assign_messages([TableUpdate(lines=(("s-1", 2.0),)), TableUpdate(("lookup",), admission=(0.5, 0))], 7)[1]
    [b'assign', b'classes', b'lookup', b'level', b'0.5', b'retry', b'0', b'ticket', b'7']
    """
    messages = [[b"assign", *fields_of(update)] for update in updates] or [[b"assign"]]
    if mark > NO_MARK:
        messages[-1] += [b"ticket", b"%d" % mark]
    for message in messages[:-1]:
        message += [b"more", b"1"]
    return messages
