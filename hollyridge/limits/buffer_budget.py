"""Limit on the bytes that all connections together hold in unfinished messages.

A message may be much larger than what a process can hold for each of its connections. Hence the connections share a
budget. If it is exceeded, those with the most bytes are closed, so that a peer with small messages is never affected.
"""

from __future__ import annotations

MIN_COUNTED_BYTES = 4096  # smaller unfinished messages do not count; the number of connections bounds them


class BufferBudget:
    """Budget of buffered bytes, by connection.

    >>> budget = BufferBudget(max_bytes=20_000)
    >>> budget.hold(1, 100), budget.hold(2, 8_000), budget.hold(3, 9_000), budget.hold(4, 5_000)
    ([], [], [], [3])
    >>> budget.release(2); budget.held_bytes
    5000

    Attributes:
        held_bytes: Sum of the counted bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.bytes_by_connection: dict[int, int] = {}

    def hold(self, number: int, size: int) -> list[int]:
        """Record what a connection holds now; return the connections to close, which no longer count."""
        self.release(number)
        if size < MIN_COUNTED_BYTES:
            return []
        self.bytes_by_connection[number] = size
        self.held_bytes += size
        evicted = []
        while self.held_bytes > self.max_bytes:
            largest = max(self.bytes_by_connection, key=self.bytes_by_connection.__getitem__)
            self.release(largest)
            evicted.append(largest)
        return evicted

    def release(self, number: int) -> None:
        """Remove a connection whose message is complete or that has ended."""
        self.held_bytes -= self.bytes_by_connection.pop(number, 0)
