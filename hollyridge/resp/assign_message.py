"""Encoding of the message `assign`, the only one that changes the state of a proxy. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

NO_MARK = -1


class TableUpdate(NamedTuple):
    """One part of an update, sent as one `assign` message.

    Attributes:
        methods: Names of the methods to which the part applies; empty for all.
        complete: Whether `lines` replace the proxy's table instead of changing it.
        lines: Pairs of task name and weight; weight 0 removes a task.
        admission: Admitted amount and retry mode; None for no change.
        ejected: Names of tasks to eject, whether or not they are in the table.
        restored: Names of tasks whose ejection ends.
    """

    methods: tuple[str, ...] = ()
    complete: bool = False
    lines: tuple[tuple[str, float], ...] = ()
    admission: tuple[float, int] | None = None
    ejected: tuple[str, ...] = ()
    restored: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Number of lines that count against the channel, without the mark and the overhead of the message."""
        return self.complete + len(self.lines) + (self.admission is not None) + len(self.ejected) + len(self.restored)


def encode_fields(update: TableUpdate) -> list[bytes]:
    """Return the alternating names and values of the message.

    >>> encode_fields(TableUpdate(("lookup", "order"), True, (("s-1", 1.5), ("s-2", 0.0)), (0.9, 1)))
    [b'classes', b'lookup+order', b'whole', b'1', b'lines', b's-1:1.5,s-2:0', b'level', b'0.9', b'retry', b'1']
    >>> encode_fields(TableUpdate(ejected=("s-1", "s-2"), restored=("s-3",)))
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
    """Return the protocol messages of one update; in all but the last, `more` says that another one follows.

    Args:
        updates: Parts of the update; if empty, the only message carries just the mark.
        mark: Number that the proxy acknowledges, written on the last message; `NO_MARK` for none.

    >>> assign_messages([TableUpdate(lines=(("s-1", 2.0),)), TableUpdate(("lookup",), admission=(0.5, 0))], 7)[1]
    [b'assign', b'classes', b'lookup', b'level', b'0.5', b'retry', b'0', b'ticket', b'7']
    """
    messages = [[b"assign", *encode_fields(update)] for update in updates] or [[b"assign"]]
    if mark > NO_MARK:
        messages[-1] += [b"ticket", b"%d" % mark]
    for message in messages[:-1]:
        message += [b"more", b"1"]
    return messages
