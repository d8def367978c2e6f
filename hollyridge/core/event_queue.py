"""Events and timers that wait for the next decision, and the trail of those that were decided on last."""

from __future__ import annotations

import heapq
from collections import deque
from typing import NamedTuple

from hollyridge.interface import EndpointListUpdate, Event, OfferedLoad, TimerFired, TrafficReport

MAX_TIMERS = 4096  # set at a time; far more than the decisions need, so that a fault of theirs stays bounded
RECENT_EVENTS_KEPT = 64  # for the log line of a failure


class EventBatch(NamedTuple):
    """The events of one decision, and when the oldest of them was submitted."""

    events: list[Event]
    oldest_us: int


class EventQueue:
    """Keeps events in the order they were submitted, and timers by the time they fire.

    Attributes:
        pending: Each event that waits, with the time it was submitted.
        timers: A heap of (due time, token).
        recent: The events that were decided on last, each with the time of its decision.
    """

    __slots__ = ("max_pending", "pending", "recent", "timers")

    def __init__(self, max_pending: int) -> None:
        self.max_pending = max_pending
        self.pending: deque[tuple[int, Event]] = deque()
        self.timers: list[tuple[int, int]] = []
        self.recent: deque[tuple[int, Event]] = deque(maxlen=RECENT_EVENTS_KEPT)

    def submit(self, now_us: int, event: Event) -> bool:
        """Queue an event; False if it was dropped.

        Past the limit, load reports give way to whatever changes the fleet.
        """
        if len(self.pending) >= self.max_pending and isinstance(event, (TrafficReport, OfferedLoad)):
            return False
        self.pending.append((now_us, event))
        return True

    def set_timer(self, now_us: int, delay_us: int, token: int) -> bool:
        """Have a `TimerFired` with this token after the delay; False if no more timers are taken."""
        if len(self.timers) >= MAX_TIMERS:
            return False
        heapq.heappush(self.timers, (now_us + max(delay_us, 1), token))
        return True

    def has_due(self, now_us: int) -> bool:
        """Whether an event waits or a timer has run out."""
        return bool(self.pending) or self._timer_due(now_us)

    def next_timer(self) -> int | None:
        """When the next timer fires; None if none is set."""
        return self.timers[0][0] if self.timers else None

    def take_due(self, now_us: int) -> EventBatch:
        """Take out all that is due: endpoint lists first, then events as submitted, then timers by their time."""
        oldest_us = now_us
        events: list[Event] = []
        while self.pending:
            submitted_us, event = self.pending.popleft()
            oldest_us = min(oldest_us, submitted_us)
            events.append(event)
            self.recent.append((now_us, event))
        while self._timer_due(now_us):
            _, token = heapq.heappop(self.timers)
            events.append(TimerFired(token))
        events.sort(key=_list_updates_first)  # a stable sort keeps the order of the rest
        return EventBatch(events, oldest_us)

    def reset(self) -> None:
        """Drop the timers and the trail: they belong to a decision module that has failed."""
        self.timers.clear()
        self.recent.clear()

    def _timer_due(self, now_us: int) -> bool:
        return bool(self.timers) and self.timers[0][0] <= now_us


def _list_updates_first(event: Event) -> int:
    return 0 if type(event) is EndpointListUpdate else 1
