"""Limits on the time and number of connections that have not joined.

They prevent clients that send nothing, half a message or only heartbeats from occupying file descriptors: such a client
keeps one for at most the join timeout, and never one that a joined proxy needs. Connections that have sent nothing are
closed first, then those that have waited longest, so that a proxy whose first message arrives in pieces survives a
flood of silent connections. A proxy whose first message takes longer than the timeout has to reconnect.
"""

from __future__ import annotations

from collections import OrderedDict


class PendingConnections:
    """Connections that have not joined, by number.

    >>> pending = PendingConnections(join_timeout_us=2_000_000)
    >>> [pending.add(at, at, 2) for at in (1, 2)]
    [[], []]
    >>> pending.mark_active(1); pending.add(3, 3, 2), pending.next_deadline
    ([2], 2000001)
    >>> pending.remove(1); pending.overdue(2_000_003), pending.next_deadline
    ([3], None)

    Attributes:
        waiting: Join deadline by connection, in microseconds, earliest first.
        silent: Connections that have sent nothing, oldest first.
    """

    def __init__(self, join_timeout_us: int) -> None:
        self.join_timeout_us = join_timeout_us
        self.waiting: OrderedDict[int, int] = OrderedDict()
        self.silent: OrderedDict[int, None] = OrderedDict()

    def add(self, now_us: int, number: int, max_waiting: int) -> list[int]:
        """Add a connection and return the numbers of those to close so that at most `max_waiting` remain."""
        self.waiting[number] = now_us + self.join_timeout_us
        self.silent[number] = None
        evicted = []
        while len(self.waiting) > max(1, max_waiting):
            # The new connection is itself silent; if it is the only silent one, the longest waiting one is closed.
            candidates = self.silent if len(self.silent) > 1 else self.waiting
            evicted.append(next(iter(candidates)))
            self.remove(evicted[-1])
        return evicted

    def mark_active(self, number: int) -> None:
        """Record that a connection has sent bytes that are valid so far."""
        self.silent.pop(number, None)

    def remove(self, number: int) -> None:
        """Remove a connection that has joined or ended."""
        self.waiting.pop(number, None)
        self.silent.pop(number, None)

    def overdue(self, now_us: int) -> list[int]:
        """Remove the connections whose timeout has passed, and return their numbers; the caller closes them."""
        expired = []
        while self.waiting and next(iter(self.waiting.values())) <= now_us:
            expired.append(next(iter(self.waiting)))
            self.remove(expired[-1])
        return expired

    @property
    def next_deadline(self) -> int | None:
        """Return the time at which the next timeout passes, in microseconds; None without waiting connections."""
        return next(iter(self.waiting.values()), None)
