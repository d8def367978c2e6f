"""Tracker of the listed endpoints, fed with the events of discovery. No I/O.

Implements `core.engine.EndpointSource`. Versions only grow: an event that is older than the current list changes
nothing. Each start time is converted to the monotonic clock only once, so that an endpoint that is listed again does
not appear to have restarted.

A complete list with a lower version is ambiguous. Either it comes from a lagging replica and would bring back removed
endpoints, or discovery has lost its versions and no event of it would ever be accepted again. Such a list is therefore
kept up to date beside the current list, and replaces it after `MAX_PROPAGATION_US` unless an event at least as new as
the current list arrives first. The list of a replica that lags by more than that is accepted as current.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from hollyridge.discovery.schema import ListedEndpoint, WatchEvent
from hollyridge.discovery.timing import MAX_PROPAGATION_US
from hollyridge.interface import Endpoint, EndpointListUpdate, TaskState, UpdateKind
from hollyridge.registration.members import RegistrationOutcome, Tick


class EndpointListReceived(NamedTuple):
    """An event received from discovery; `stale` if it dates from before this process started."""

    event: WatchEvent
    stale: bool = False


class WatchFailed(NamedTuple):
    """Notification that discovery could not be reached or that a watch has ended."""


class TrackedEndpoint(NamedTuple):
    """The last entry of an endpoint from discovery, and the endpoint reported to the engine."""

    entry: ListedEndpoint
    endpoint: Endpoint


class OlderList:
    """A complete list with a lower version than the current one, kept up to date beside it."""

    __slots__ = ("entries", "since_us", "version")

    def __init__(self, since_us: int) -> None:
        self.since_us = since_us
        self.version = -1
        self.entries: dict[str, ListedEndpoint] = {}

    @property
    def settled_at_us(self) -> int:
        """Return the time at which this list replaces the current one, in microseconds."""
        return self.since_us + MAX_PROPAGATION_US

    def apply(self, event: WatchEvent) -> None:
        """Apply a complete list, or a change that is not older than this list."""
        if event.full:
            self.entries = {}
        elif event.version < self.version:
            return
        self.version = event.version
        for entry in event.entries:
            if entry.state == TaskState.GONE:
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry

    def as_event(self) -> WatchEvent:
        """Return this list as an event with the complete list."""
        return WatchEvent(self.version, True, tuple(self.entries.values()))


class EndpointListTracker:
    """Tracker of the current endpoint list.

    Args:
        allocate_index: Function that returns the index for the name of an endpoint, None if no more are accepted.
        monotonic_offset_us: Monotonic clock minus Unix clock (usually negative).
    """

    settled = True  # unlike with registered members, the engine need not wait until registrations pause

    def __init__(self, allocate_index: Callable[[str], int | None], monotonic_offset_us: int) -> None:
        self.allocate_index = allocate_index
        self.monotonic_offset_us = monotonic_offset_us
        self.entries: dict[str, TrackedEndpoint] = {}
        self.version = -1
        self.older_list: OlderList | None = None
        self.failed_watches = 0
        self.older_events = 0
        self.rejected_endpoints = 0
        self.restarts = 0
        self.version_resets = 0

    def handle(self, now_us: int, message: object) -> RegistrationOutcome:
        """Handle one message about discovery, or a tick of the engine's timer."""
        if type(message) is EndpointListReceived:
            return self.receive(now_us, message)
        if type(message) is WatchFailed:
            self.failed_watches += 1
            return RegistrationOutcome(EndpointListUpdate(max(self.version, 0), UpdateKind.FAILED, ()))
        if type(message) is Tick and self.older_list is not None and now_us >= self.older_list.settled_at_us:
            return self.accept_older_list(now_us)
        # A refresh needs no action, because a watch is open or being opened.
        return RegistrationOutcome()

    def receive(self, now_us: int, message: EndpointListReceived) -> RegistrationOutcome:
        """Apply an event to the current list, or to the older list if the event is older than the current one."""
        event = message.event
        no_list_yet = self.version < 0
        if event.version < self.version or (no_list_yet and not event.full):
            return self.keep_older_event(now_us, event)
        if self.older_list is not None and not event.full:
            # The change continues the older list and has caught up with the current version: versions were reset.
            self.keep_older_event(now_us, event)
            return self.accept_older_list(now_us)
        self.older_list = None
        if event.version == self.version and not event.full and not event.entries:
            return RegistrationOutcome(EndpointListUpdate(self.version, UpdateKind.DELTA, ()))
        return self.apply(now_us, message)

    def keep_older_event(self, now_us: int, event: WatchEvent) -> RegistrationOutcome:
        """Apply an event to the older list, which is created from the first complete one."""
        self.older_events += 1
        if event.full and self.older_list is None:
            self.older_list = OlderList(now_us)
        if self.older_list is not None:
            self.older_list.apply(event)
        return RegistrationOutcome()

    def accept_older_list(self, now_us: int) -> RegistrationOutcome:
        """Make the older list the current one, because discovery has reset its versions."""
        event = self.older_list.as_event()
        self.older_list = None
        self.version = -1
        self.version_resets += 1
        return self.receive(now_us, EndpointListReceived(event))

    def apply(self, now_us: int, message: EndpointListReceived) -> RegistrationOutcome:
        """Apply an event to the current list."""
        event = message.event
        self.version = event.version
        changed: list[Endpoint] = []
        removed: list[str] = []
        for entry in event.entries:
            if entry.state != TaskState.GONE:
                endpoint = self.add_or_update(now_us, entry)
            else:
                endpoint = self.remove(entry.name)
                if endpoint is not None:
                    removed.append(entry.name)
            if endpoint is not None:
                changed.append(endpoint)
        if event.full:
            removed += self.remove_unlisted(event.entries)
        update = EndpointListUpdate(max(self.version, 0), update_kind(message), tuple(changed))
        return RegistrationOutcome(update, removed_keys=tuple(removed))

    def add_or_update(self, now_us: int, entry: ListedEndpoint) -> Endpoint | None:
        """Add or update an entry and return its endpoint; None if no more endpoints are accepted."""
        tracked = self.entries.get(entry.name)
        index = self.allocate_index(entry.name) if tracked is None else tracked.endpoint.task
        if index is None:
            self.rejected_endpoints += 1
            return None
        if tracked is not None and tracked.entry.started_ms == entry.started_ms:
            started_at_us = tracked.endpoint.started_at_us
        else:
            started_at_us = self.started_at_us(now_us, entry.started_ms)
            self.restarts += tracked is not None
        endpoint = Endpoint(index, entry.zone, 0, entry.cell, entry.state, entry.weight, started_at_us)
        self.entries[entry.name] = TrackedEndpoint(entry, endpoint)
        return endpoint

    def remove(self, name: str) -> Endpoint | None:
        """Remove an endpoint and return it with the state GONE; None if it was not listed."""
        tracked = self.entries.pop(name, None)
        return None if tracked is None else tracked.endpoint._replace(state=TaskState.GONE)

    def remove_unlisted(self, entries: Iterable[ListedEndpoint]) -> list[str]:
        """Remove the endpoints that a complete list no longer includes, and return their names."""
        listed = {entry.name for entry in entries}
        unlisted = [name for name in self.entries if name not in listed]
        for name in unlisted:
            del self.entries[name]
        return unlisted

    def started_at_us(self, now_us: int, started_ms: float) -> int:
        """Convert a start time to the monotonic clock: 0 if unknown, `now_us` if it lies in the future."""
        if started_ms <= 0:
            return 0
        return min(now_us, max(1, round(started_ms * 1000) + self.monotonic_offset_us))

    def full_list(self, kind: UpdateKind) -> EndpointListUpdate:
        """Return the current list as an update of the given kind."""
        endpoints = tuple(tracked.endpoint for tracked in self.entries.values())
        return EndpointListUpdate(max(self.version, 0), kind, endpoints)

    def next_deadline(self, now_us: int) -> int | None:
        """Return the time at which a tick is due, in microseconds; None if there is no deadline."""
        return None if self.older_list is None else self.older_list.settled_at_us

    def counters(self) -> dict[str, int]:
        """Return counters by their keys on the status page."""
        return {
            "list_version": self.version,
            "list_calls_failed": self.failed_watches,
            "older_lists": self.older_events,
            "counted_anew": self.version_resets,
            "restarts": self.restarts,
            "tasks_refused": self.rejected_endpoints,
        }


def update_kind(message: EndpointListReceived) -> UpdateKind:
    """Return the kind of update as which a received event is reported to the engine."""
    if message.stale:
        return UpdateKind.CACHED
    return UpdateKind.FULL if message.event.full else UpdateKind.DELTA
