"""Queue that releases the updates of an assigner in order, at the configured pace, overhead included.

An update is merged into one that already waits for the same proxy, at the position of the older one in the queue.
Only the newest state of each line counts, so the proxy gets it sooner, and the overhead, the mark and the outdated
lines are saved. No update is ever dropped. The price is that updates behind one that grew wait longer, as they would
have behind two.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from hollyridge.delivery.update_builder import ProxyUpdate, merge_updates

US_PER_S = 1e6
MAX_LAG_US = 1_000_000  # a sender that lags by more restarts its pace instead of catching up in a burst


class QueuedUpdate(NamedTuple):
    """An update that waits.

    Attributes:
        update: The update.
        lines: Its cost in lines, overhead included.
        full_lines: Its cost in lines if it contained all its tables in full, overhead included.
    """

    update: ProxyUpdate
    lines: float
    full_lines: float


class PacedQueue:
    """The queue of updates to all proxies.

    Args:
        lines_per_s: Pace, in lines per second.
        overhead_lines: Overhead of each update, in lines.
        max_lines: Limit on waiting lines, overhead included. Updates beyond it are queued and counted in `overflows`.

    Attributes:
        waiting_lines: Number of lines that wait, overhead included.
        peak_lines: Maximum of `waiting_lines` so far.
        merged_updates: Number of updates that were merged into a waiting one.
        overflows: Number of updates queued beyond the limit.
        lost_lines: Number of lines that waited for proxies when they left.

    >>> queue = PacedQueue(lines_per_s=10, overhead_lines=1, max_lines=100)
    >>> queue.put(0, ProxyUpdate(4, 1, 0, (), (), (), -1), 1, 5)
    >>> queue.take_due(199_999), queue.due
    (None, 200000)
    >>> queue.take_due(200_000).proxy, queue.waiting_lines
    (4, 0.0)
    """

    def __init__(self, lines_per_s: float, overhead_lines: float, max_lines: float) -> None:
        self.us_per_line = US_PER_S / lines_per_s
        self.overhead_lines = overhead_lines
        self.max_lines = max_lines
        self.queue: OrderedDict[int, QueuedUpdate] = OrderedDict()  # by proxy
        self.waiting_lines = 0.0
        self.free_at_us = 0  # time, in microseconds, at which the channel will have sent all that was taken
        self.merged_updates = 0
        self.overflows = 0
        self.lost_lines = 0
        self.peak_lines = 0

    def put(self, now_us: int, update: ProxyUpdate, lines: int, full_lines: int) -> None:
        """Queue an update, or merge it into the one that waits for its proxy.

        Args:
            now_us: The time, in microseconds.
            update: The update.
            lines: Number of its lines, without overhead.
            full_lines: Number of lines if it contained all its tables in full, without overhead.
        """
        overhead = self.overhead_lines + (update.mark >= 0)
        if update.proxy in self.queue:
            self._merge(update, lines, full_lines + overhead)
            return
        cost = lines + overhead
        self.overflows += self.waiting_lines + cost > self.max_lines
        if not self.queue:
            self.free_at_us = max(self.free_at_us, now_us)
        self.queue[update.proxy] = QueuedUpdate(update, cost, max(full_lines, lines) + overhead)
        self.waiting_lines += cost
        self.peak_lines = max(self.peak_lines, round(self.waiting_lines))

    def _merge(self, update: ProxyUpdate, lines: int, full_lines: float) -> None:
        """Merge an update into the waiting one. The result costs no more than all its tables in full."""
        waiting = self.queue[update.proxy]
        full_lines = max(full_lines, waiting.full_lines)
        new_mark = update.mark >= 0 > waiting.update.mark
        cost = min(waiting.lines + lines + new_mark, max(full_lines, waiting.lines))
        self.queue[update.proxy] = QueuedUpdate(merge_updates(waiting.update, update), cost, full_lines)
        self.waiting_lines += cost - waiting.lines
        self.merged_updates += 1

    @property
    def due(self) -> int | None:
        """Time at which the next update may be sent, in microseconds, or None if nothing waits."""
        if not self.queue:
            return None
        first = next(iter(self.queue.values()))
        return self.free_at_us + round(first.lines * self.us_per_line)

    def charge(self, now_us: int, lines: float) -> None:
        """Account for lines that were sent in a reply, bypassing the queue. Waiting updates are delayed as much."""
        self.free_at_us = max(self.free_at_us, now_us) + round(lines * self.us_per_line)

    def take_due(self, now_us: int) -> ProxyUpdate | None:
        """Remove and return the next update if it is due, else return None."""
        due = self.due
        if due is None or now_us < due:
            return None
        _, first = self.queue.popitem(last=False)
        self.waiting_lines = max(0.0, self.waiting_lines - first.lines) if self.queue else 0.0
        self.free_at_us = due  # not `now_us`, since a sender that woke late must not slow the pace
        if now_us - due > MAX_LAG_US:
            self.free_at_us = now_us  # a sender that was stalled must not send all missed updates at once
        return first.update

    def discard(self, proxy: int) -> int:
        """Drop the update that waits for a proxy whose stream has ended. Return the number of updates dropped."""
        dropped = self.queue.pop(proxy, None)
        if dropped is None:
            return 0
        self.waiting_lines -= dropped.lines
        self.lost_lines += round(dropped.lines)
        return 1
