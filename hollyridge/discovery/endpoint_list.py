"""Which tasks are listed, from what discovery tells: versions that grow, starts on the monotonic clock. No I/O.

Fulfils `core.engine.Source`. Starts are turned to the monotonic clock once, so that a task told of twice has started
once. A change that is older than what is held changes nothing. A whole list that is older may come from a copy that
lags, and would bring back tasks that have left; or discovery counts anew, and nothing it says would be heard again. So
it is kept up beside the list that is held, and taken in its place if after `TOLD` none as new as that has come: all
that discovery has to tell counts as told by then. It may hurt where a copy lags by more than that.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hollyridge.discovery.schema import ListedEndpoint, WatchEvent
from hollyridge.interface import Endpoint, EndpointListUpdate, TaskState, UpdateKind
from hollyridge.registration.members import RegistrationOutcome, Tick

TOLD = 6_000_000  # us after which whatever discovery has to tell counts as told (the protocol page, Figures)


class EndpointListReceived(NamedTuple):
    """Discovery told this; `stale`: it is what was known before the start."""

    news: WatchEvent
    stale: bool = False


class WatchFailed(NamedTuple):
    """Discovery could not be asked, or a watch of it broke."""


class TrackedEndpoint(NamedTuple):
    entry: ListedEndpoint
    listed: Endpoint


class EndpointListTracker:
    """`enter(name)` is a task's index, None where no more are taken. `ahead`: microseconds by which the monotonic clock
    is ahead of the Unix clock (mostly below 0)."""

    settled = True

    def __init__(self, enter: Callable[[str], int | None], ahead: int) -> None:
        self.enter, self.ahead = enter, ahead
        self.entries: dict[str, TrackedEndpoint] = {}
        self.version = -1
        self.older_list: dict[str, ListedEndpoint] | None = None  # a whole list with a lower version, kept up
        self.older_version, self.older_since = -1, 0
        self.failed = self.older = self.too_many = self.starts = self.counted_anew = 0

    def handle(self, now: int, what: object) -> RegistrationOutcome:
        if type(what) is EndpointListReceived:
            return self.hear(now, what)
        if type(what) is WatchFailed:
            self.failed += 1
            return RegistrationOutcome(EndpointListUpdate(max(self.version, 0), UpdateKind.FAILED, ()))
        if type(what) is Tick and self.older_list is not None and now >= self.older_since + TOLD:
            return self.count_anew(now)
        return RegistrationOutcome()  # asked again: a watch stands or is dialled already

    def keep_older(self, now: int, news: WatchEvent) -> RegistrationOutcome:
        """Something older than what is held."""
        self.older += 1
        if news.full:
            if self.older_list is None:
                self.older_since = now
            self.older_list = {}
        if self.older_list is not None and (news.full or news.version >= self.older_version):
            self.older_version = news.version
            for entry in news.entries:
                if entry.state == TaskState.GONE:
                    self.older_list.pop(entry.name, None)
                else:
                    self.older_list[entry.name] = entry
        return RegistrationOutcome()

    def count_anew(self, now: int) -> RegistrationOutcome:
        """What was kept beside the list becomes the list."""
        news = WatchEvent(self.older_version, True, tuple(self.older_list.values()))
        self.version, self.older_list = -1, None
        self.counted_anew += 1
        return self.hear(now, EndpointListReceived(news))

    def hear(self, now: int, what: EndpointListReceived) -> RegistrationOutcome:
        news = what.news
        if news.version < self.version or not news.full and self.version < 0:
            return self.keep_older(now, news)
        if self.older_list is not None and not news.full:  # it follows the older list, and is no older than ours
            self.keep_older(now, news)
            return self.count_anew(now)
        self.older_list = None
        if news.version == self.version and not news.full and not news.entries:
            return RegistrationOutcome(EndpointListUpdate(self.version, UpdateKind.DELTA, ()))
        self.version = news.version
        listed: list[Endpoint] = []
        left: list[str] = []
        for entry in news.entries:
            before = self.entries.get(entry.name)
            if entry.state == TaskState.GONE:
                if before is not None:
                    listed.append(before.listed._replace(state=TaskState.GONE))
                    left.append(entry.name)
                    del self.entries[entry.name]
                continue
            task = before.listed.task if before is not None else self.enter(entry.name)
            if task is None:
                self.too_many += 1
                continue
            if before is not None and before.entry.started_ms == entry.started_ms:
                started = before.listed.started_at_us
            else:
                started = self.start_of(now, entry.started_ms)
                self.starts += before is not None
            row = TrackedEndpoint(entry, Endpoint(task, entry.zone, 0, entry.cell, entry.state, entry.weight, started))
            self.entries[entry.name] = row
            listed.append(row.listed)
        if news.full:
            told = {entry.name for entry in news.entries}
            for name in [name for name in self.entries if name not in told]:
                left.append(name)
                del self.entries[name]
        kind = UpdateKind.CACHED if what.stale else UpdateKind.FULL if news.full else UpdateKind.DELTA
        return RegistrationOutcome(EndpointListUpdate(max(self.version, 0), kind, tuple(listed)), left=tuple(left))

    def start_of(self, now: int, started_ms: float) -> int:
        """On the monotonic clock; 0 for long ago, now for what is yet to come."""
        return 0 if started_ms <= 0 else min(now, max(1, round(started_ms * 1000) + self.ahead))

    def full_list(self, kind: UpdateKind) -> EndpointListUpdate:
        return EndpointListUpdate(max(self.version, 0), kind, tuple(row.listed for row in self.entries.values()))

    def next_deadline(self, now: int) -> int | None:
        return None if self.older_list is None else self.older_since + TOLD

    def counters(self) -> dict[str, int]:
        return {
            "list_version": self.version,
            "list_calls_failed": self.failed,
            "older_lists": self.older,
            "counted_anew": self.counted_anew,
            "restarts": self.starts,
            "tasks_refused": self.too_many,
        }
