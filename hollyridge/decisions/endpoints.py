"""The endpoint directory: the tasks that are listed and ready, and the time of the next request for the list."""

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

MAX_RETRY_PERIODS = 8  # longest backoff after failed calls, in report periods, before jitter
MIN_RETRY_JITTER = 0.5  # smallest factor on the backoff; the largest is 1 more
DEFAULT_LISTED_WEIGHT = 1.0  # weight of entries whose listed weight is invalid
MAX_LISTED_WEIGHT = 1e9  # listed weights from here on count as errors of the list
UNRANKED = -1


class EndpointDirectory:
    """Directory of the tasks in the endpoint list.

    Attributes:
        state: `TaskState` by task.
        zone: Zone by task.
        listed_weight: Listed size by task.
        started_at_us: Latest known start time by task; 0 for a start long ago.
        rank: Position by first mention within its zone, by task; spreads a zone's tasks evenly and never changes.
        refresh_at_us: Time of the next request for the list; None where it is delivered without a request.
    """

    def __init__(self, config: AssignerConfig, rng: Random) -> None:
        self.config = config
        self.random = rng.random
        self.state: list[int] = []
        self.zone: list[int] = []
        self.listed_weight: list[float] = []
        self.started_at_us: list[int] = []
        self.rank: list[int] = []
        self.ranked_count = [0] * config.zones  # number of tasks with a rank, by zone
        self.refresh_at_us = 0 if config.subscribe else None
        self.consecutive_failures = 0  # failed requests for the list

    def apply_update(self, now_us: int, update: EndpointListUpdate) -> list[int]:
        """Apply an update of the list and return the tasks that are new or have restarted."""
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
        """Return the tasks that accept requests, in order of their index."""
        return [task for task, state in enumerate(self.state) if state == TaskState.READY]

    def ready_by_zone(self) -> list[list[int]]:
        """Return the ready tasks of each zone."""
        tasks = self.ready_tasks()
        return [[task for task in tasks if self.zone[task] == zone] for zone in range(self.config.zones)]

    def refresh_commands(self, now_us: int) -> list[Command]:
        """Return the command that requests the list, if a request is due."""
        if self.refresh_at_us is None or now_us < self.refresh_at_us:
            return []
        # The next request is scheduled now, so that a missing answer does not end the requests.
        self.refresh_at_us = now_us + self.config.refresh_within_us
        return [WatchEndpoints(True)]

    def _schedule_retry(self, now_us: int) -> None:
        """Schedule a retry with exponential backoff and jitter, unless a request is already due."""
        if self.refresh_at_us is not None and self.refresh_at_us <= now_us:
            return
        self.consecutive_failures += 1
        backoff_us = self.config.report_period_us * min(2 ** (self.consecutive_failures - 1), MAX_RETRY_PERIODS)
        self.refresh_at_us = now_us + round(backoff_us * (MIN_RETRY_JITTER + self.random()))

    def _schedule_refresh(self, now_us: int) -> None:
        """Schedule the next renewal of the watch, before a lack of updates could mean that the watch was lost."""
        self.consecutive_failures = 0
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
            self.rank[task] = self.ranked_count[entry.zone]
            self.ranked_count[entry.zone] += 1
        usable = 0 < entry.listed_weight < MAX_LISTED_WEIGHT
        self.listed_weight[task] = entry.listed_weight if usable else DEFAULT_LISTED_WEIGHT
        self.started_at_us[task] = max(entry.started_at_us, self.started_at_us[task])

    def _remove_all_but(self, listed: set[int]) -> None:
        """Mark the tasks that a full list does not mention as gone."""
        for task in range(len(self.state)):
            if task not in listed:
                self.state[task] = TaskState.GONE
