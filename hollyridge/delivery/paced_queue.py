"""When each message of an assigner leaves: in order, at the stated pace, counted with its head.

What comes for a proxy that a message already waits for joins that message, at its place, where only the newest state of
each line counts: the proxy gets the news sooner, and a head, a mark and lines overtaken meanwhile are spared. A
decision is never dropped. It may hurt where a proxy would have been better off with a short message at once: those
behind a message that grew wait for as much longer as they would have waited for two.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from hollyridge.delivery.update_builder import ProxyUpdate, merge_updates


class QueuedUpdate(NamedTuple):
    """A message, what it costs with its head, and what it would cost with all its tables in full."""

    update: ProxyUpdate
    lines: float
    whole: float


class PacedQueue:
    """`lines_per_s` is the pace, `head` the lines that each message costs beyond its own, `most` the lines
    that may wait, heads included.

    >>> channel = PacedQueue(lines_per_s=10, head=1, most=100)
    >>> channel.put(0, ProxyUpdate(4, 1, 0, (), (), (), -1), 1, 5)
    >>> channel.take(199_999), channel.due
    (None, 200000)
    >>> channel.take(200_000).proxy, channel.waiting_lines
    (4, 0.0)
    """

    def __init__(self, lines_per_s: float, head: float, most: float) -> None:
        self.per_line, self.overhead_lines, self.max_lines = 1e6 / lines_per_s, head, most
        self.queue: OrderedDict[int, QueuedUpdate] = OrderedDict()  # by proxy
        self.waiting_lines = 0.0
        self.free_at = 0
        self.merged_updates = self.overflows = self.lost_lines = self.peak_lines = 0

    def put(self, now: int, update: ProxyUpdate, lines: int, whole: int) -> None:
        extra = self.overhead_lines + (update.mark >= 0)
        if update.proxy in self.queue:
            self.merge(update, lines, whole + extra)
            return
        cost = lines + extra
        self.overflows += self.waiting_lines + cost > self.max_lines
        if not self.queue:
            self.free_at = max(self.free_at, now)
        self.queue[update.proxy] = QueuedUpdate(update, cost, max(whole, lines) + extra)
        self.waiting_lines += cost
        self.peak_lines = max(self.peak_lines, round(self.waiting_lines))

    def merge(self, update: ProxyUpdate, lines: int, whole: float) -> None:
        """Into a message that waits: it costs no more than all its tables in full."""
        old, cost, before = self.queue[update.proxy]
        whole = max(whole, before)
        joint = min(cost + lines + (update.mark >= 0 > old.mark), max(whole, cost))
        self.queue[update.proxy] = QueuedUpdate(merge_updates(old, update), joint, whole)
        self.waiting_lines += joint - cost
        self.merged_updates += 1

    @property
    def due(self) -> int | None:
        """When the next message may leave; None when nothing waits."""
        if not self.queue:
            return None
        return self.free_at + round(next(iter(self.queue.values())).lines * self.per_line)

    def charge(self, now: int, lines: float) -> None:
        """Lines said in an answer, beside the queue: what waits is held up by as much."""
        self.free_at = max(self.free_at, now) + round(lines * self.per_line)

    def take(self, now: int) -> ProxyUpdate | None:
        due = self.due
        if due is None or now < due:
            return None
        _, (update, lines, _) = self.queue.popitem(last=False)
        self.waiting_lines = max(0.0, self.waiting_lines - lines) if self.queue else 0.0
        self.free_at = due  # not `now`: a sender that woke late must not slow the pace
        if now - due > 1_000_000:
            self.free_at = now  # nor may one that stood still send a second's worth at once
        return update

    def discard(self, proxy: int) -> int:
        """The proxy's stream broke: what waited for it is gone. Returns the number of messages."""
        gone = self.queue.pop(proxy, None)
        if gone is None:
            return 0
        self.waiting_lines -= gone.lines
        self.lost_lines += round(gone.lines)
        return 1
