"""Decides how long connections that have not joined are kept, and which are closed when there is no room.

Keeps clients that connect and send nothing, half a message or only heartbeats from holding descriptors: they hold one
for the join timeout at most, and never one that a joined proxy needs. Connections that have sent nothing are closed
first, then those that have waited longest, so that a proxy whose first message arrives in pieces survives a flood of
silent connections. A proxy whose first message takes longer than the timeout has to reconnect.
"""

from __future__ import annotations

from collections import OrderedDict


class PendingConnections:
    """Connections that have not joined, by number.

    >>> pending = PendingConnections(join_timeout_us=2_000_000)
    >>> [pending.add(at, at, 2) for at in (1, 2)]
    [[], []]
    >>> pending.heard_from(1); pending.add(3, 3, 2), pending.next_deadline
    ([2], 2000001)
    >>> pending.remove(1); pending.overdue(2_000_003), pending.next_deadline
    ([3], None)

    Attributes:
        waiting: Deadline in microseconds of each connection, earliest first.
        silent: Those that have sent nothing, oldest first.
    """

    def __init__(self, join_timeout_us: int) -> None:
        self.join_timeout_us = join_timeout_us
        self.waiting: OrderedDict[int, int] = OrderedDict()
        self.silent: OrderedDict[int, None] = OrderedDict()

    def add(self, now_us: int, number: int, max_waiting: int) -> list[int]:
        """Add a connection; returns the numbers of those to be closed so that at most `max_waiting` remain."""
        self.waiting[number] = now_us + self.join_timeout_us
        self.silent[number] = None
        evicted = []
        while len(self.waiting) > max(1, max_waiting):
            # The newest is silent too: with no other silent one, the longest wait decides.
            candidates = self.silent if len(self.silent) > 1 else self.waiting
            evicted.append(next(iter(candidates)))
            self.remove(evicted[-1])
        return evicted

    def heard_from(self, number: int) -> None:
        """A connection has sent bytes that are valid so far."""
        self.silent.pop(number, None)

    def remove(self, number: int) -> None:
        """A connection has joined or ended."""
        self.waiting.pop(number, None)
        self.silent.pop(number, None)

    def overdue(self, now_us: int) -> list[int]:
        """Remove and return the numbers of those whose timeout has passed; they are to be closed."""
        expired = []
        while self.waiting and next(iter(self.waiting.values())) <= now_us:
            expired.append(next(iter(self.waiting)))
            self.remove(expired[-1])
        return expired

    @property
    def next_deadline(self) -> int | None:
        """When the next timeout passes, in microseconds; None if nothing waits."""
        return next(iter(self.waiting.values()), None)
