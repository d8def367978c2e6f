"""Events and timers that wait for the next decision, and the latest events passed to the decision module."""

from __future__ import annotations

import heapq
from collections import deque
from typing import NamedTuple

from hollyridge.interface import EndpointListUpdate, Event, OfferedLoad, TimerFired, TrafficReport

MAX_TIMERS = 4096  # far more than needed, to bound the effect of a faulty decision module
RECENT_EVENTS_KEPT = 64  # for the log line of a failure of the decision module


class EventBatch(NamedTuple):
    """The events of one decision.

    Attributes:
        events: The events in the order in which the decision module gets them.
        oldest_us: Time at which the oldest of them was submitted, in microseconds.
    """

    events: list[Event]
    oldest_us: int


class EventQueue:
    """Queue of events in order of submission, and of timers in order of their due times.

    Attributes:
        pending: The events that wait, as (time of submission, event).
        timers: Heap of (due time, token).
        recent: The latest events passed to the decision module, as (time of the decision, event).
    """

    __slots__ = ("max_pending", "pending", "recent", "timers")

    def __init__(self, max_pending: int) -> None:
        self.max_pending = max_pending
        self.pending: deque[tuple[int, Event]] = deque()
        self.timers: list[tuple[int, int]] = []
        self.recent: deque[tuple[int, Event]] = deque(maxlen=RECENT_EVENTS_KEPT)

    def submit(self, now_us: int, event: Event) -> bool:
        """Queue an event. Return False if it was dropped.

        At the limit only load reports are dropped, so that changes of the fleet are never lost.
        """
        if len(self.pending) >= self.max_pending and isinstance(event, (TrafficReport, OfferedLoad)):
            return False
        self.pending.append((now_us, event))
        return True

    def set_timer(self, now_us: int, delay_us: int, token: int) -> bool:
        """Schedule a `TimerFired` with this token after the delay. Return False if too many timers are set."""
        if len(self.timers) >= MAX_TIMERS:
            return False
        heapq.heappush(self.timers, (now_us + max(delay_us, 1), token))
        return True

    def has_due(self, now_us: int) -> bool:
        """Return whether an event waits or a timer is due."""
        return bool(self.pending) or self._timer_due(now_us)

    def next_timer(self) -> int | None:
        """Return the time at which the next timer fires, or None if none is set."""
        return self.timers[0][0] if self.timers else None

    def take_due(self, now_us: int) -> EventBatch:
        """Remove and return all that is due: endpoint lists, then events as submitted, then timers by due time."""
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
        """Drop the timers and the latest events, which belong to a decision module that has failed."""
        self.timers.clear()
        self.recent.clear()

    def _timer_due(self, now_us: int) -> bool:
        return bool(self.timers) and self.timers[0][0] <= now_us


def _list_updates_first(event: Event) -> int:
    return 0 if type(event) is EndpointListUpdate else 1
