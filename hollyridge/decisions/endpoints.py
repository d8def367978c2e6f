"""The endpoint directory: which tasks are listed and ready, and when the endpoint list is asked for again."""

from __future__ import annotations

from random import Random

from hollyridge.interface import (
    AssignerConfig,
    Command,
    Endpoint,
    EndpointListUpdate,
    TaskState,
    UpdateKind,
    WatchEndpoints,
)

MAX_RETRY_PERIODS = 8  # report periods; the longest backoff after failed calls, before jitter
MIN_RETRY_JITTER = 0.5  # part of the backoff that is waited at least; up to as much again is drawn at random
DEFAULT_LISTED_WEIGHT = 1.0  # for entries whose weight can't be one
MAX_LISTED_WEIGHT = 1e9  # from here a listed weight counts as an error of the list
UNRANKED = -1


class EndpointDirectory:
    """What the endpoint list says of each task.

    Attributes:
        state: `TaskState` by task.
        zone: Zone by task.
        listed_weight: Size by task, as listed.
        started_at_us: Latest known start by task; 0 for one long past.
        rank: Order of first mention in its zone, by task. It deals a zone's tasks out evenly, and for good.
        refresh_at_us: When the list is asked for again; None where it comes unasked.
    """

    def __init__(self, config: AssignerConfig, rng: Random) -> None:
        self.config = config
        self.random = rng.random
        self.state: list[int] = []
        self.zone: list[int] = []
        self.listed_weight: list[float] = []
        self.started_at_us: list[int] = []
        self.rank: list[int] = []
        self.ranked = [0] * config.zones  # tasks that have a rank, by zone
        self.refresh_at_us = 0 if config.subscribe else None
        self.failures = 0  # failed calls in a row

    def apply_update(self, now_us: int, update: EndpointListUpdate) -> list[int]:
        """Takes a list event; returns the tasks that are new or have started again."""
        if update.kind == UpdateKind.FAILED:
            self._schedule_retry(now_us)
            return []
        if update.kind != UpdateKind.CACHED:
            self._schedule_refresh(now_us)
        self._ensure_tasks(max([entry.task + 1 for entry in update.endpoints], default=0))
        started = []
        for entry in update.endpoints:
            if self._has_started(entry):
                started.append(entry.task)
            self._store(entry)
        if update.kind != UpdateKind.DELTA:
            self._remove_all_but({entry.task for entry in update.endpoints})
        return started

    def ready_tasks(self) -> list[int]:
        """The tasks that may be sent to, in order of their index."""
        return [task for task, state in enumerate(self.state) if state == TaskState.READY]

    def ready_by_zone(self) -> list[list[int]]:
        """The same, for each zone."""
        tasks = self.ready_tasks()
        return [[task for task in tasks if self.zone[task] == zone] for zone in range(self.config.zones)]

    def refresh_commands(self, now_us: int) -> list[Command]:
        """Asks for the list where that is due."""
        if self.refresh_at_us is None or now_us < self.refresh_at_us:
            return []
        # Set ahead, because an answer that never comes must not end the asking.
        self.refresh_at_us = now_us + self.config.refresh_within_us
        return [WatchEndpoints(True)]

    def _schedule_retry(self, now_us: int) -> None:
        """After a failed call: with exponential backoff and jitter, unless a call is due already."""
        if self.refresh_at_us is not None and self.refresh_at_us <= now_us:
            return
        self.failures += 1
        backoff_us = self.config.report_period_us * min(2 ** (self.failures - 1), MAX_RETRY_PERIODS)
        self.refresh_at_us = now_us + round(backoff_us * (MIN_RETRY_JITTER + self.random()))

    def _schedule_refresh(self, now_us: int) -> None:
        """After an answer: the watch is renewed before silence could mean that it was lost."""
        self.failures = 0
        self.refresh_at_us = now_us + self.config.refresh_within_us if self.config.subscribe else None

    def _ensure_tasks(self, count: int) -> None:
        missing = count - len(self.state)
        self.state.extend([TaskState.GONE] * missing)
        self.zone.extend([0] * missing)
        self.listed_weight.extend([DEFAULT_LISTED_WEIGHT] * missing)
        self.started_at_us.extend([0] * missing)
        self.rank.extend([UNRANKED] * missing)

    def _has_started(self, entry: Endpoint) -> bool:
        was_ready = self.state[entry.task] == TaskState.READY
        known = was_ready and entry.started_at_us <= self.started_at_us[entry.task]
        return entry.state == TaskState.READY and not known

    def _store(self, entry: Endpoint) -> None:
        task = entry.task
        self.state[task] = entry.state
        if entry.state == TaskState.GONE:
            return
        self.zone[task] = entry.zone
        if self.rank[task] == UNRANKED:
            self.rank[task] = self.ranked[entry.zone]
            self.ranked[entry.zone] += 1
        usable = 0 < entry.listed_weight < MAX_LISTED_WEIGHT
        self.listed_weight[task] = entry.listed_weight if usable else DEFAULT_LISTED_WEIGHT
        self.started_at_us[task] = max(entry.started_at_us, self.started_at_us[task])

    def _remove_all_but(self, listed: set[int]) -> None:
        """A full list removes what it does not mention."""
        for task in range(len(self.state)):
            if task not in listed:
                self.state[task] = TaskState.GONE
