"""Which tasks are listed, and when the endpoint list is asked for again."""

from __future__ import annotations

from random import Random

from hollyridge.interface import AssignerConfig, Command, EndpointListUpdate, TaskState, UpdateKind, WatchEndpoints


class EndpointDirectory:
    def __init__(self, config: AssignerConfig, rng: Random) -> None:
        self.config, self.chance = config, rng.random
        self.state: list[int] = []
        self.zone: list[int] = []
        self.hint: list[float] = []  # listed size
        self.started: list[int] = []
        self.rank: list[int] = []  # by first mention in its zone: shares a zone out evenly and for good
        self.seen = [0] * config.zones
        self.ask_at, self.failures = 0 if config.subscribe else None, 0

    def hear(self, now: int, change: EndpointListUpdate) -> list[int]:
        """Take a list event; returns the tasks that are new or have started again."""
        if change.kind == UpdateKind.FAILED:
            if self.ask_at is None or self.ask_at > now:  # ask again after a growing, jittered wait
                self.failures += 1
                wait = self.config.report_period_us * min(2**self.failures, 16) / 2
                self.ask_at = now + round(wait * (0.5 + self.chance()))
            return []
        if change.kind != UpdateKind.CACHED:
            self.failures = 0  # the watch holds; renew it before silence could mean that it was lost
            self.ask_at = now + self.config.refresh_within_us if self.config.subscribe else None
        more = max([entry.task + 1 for entry in change.endpoints], default=0) - len(self.state)
        for row, start in (
            (self.state, TaskState.GONE),
            (self.zone, 0),
            (self.hint, 1.0),
            (self.started, 0),
            (self.rank, -1),
        ):
            row.extend([start] * more)
        fresh = []
        for task, zone, _sku, _cell, state, weight, started_at in change.endpoints:
            known = self.state[task] == TaskState.READY and started_at <= self.started[task]
            fresh += [task] * (state == TaskState.READY and not known)
            self.state[task] = state
            if state != TaskState.GONE:
                self.zone[task] = zone
                if self.rank[task] < 0:
                    self.rank[task], self.seen[zone] = self.seen[zone], self.seen[zone] + 1
                self.hint[task] = weight if 0 < weight < 1e9 else 1.0
                self.started[task] = max(started_at, self.started[task])
        if change.kind != UpdateKind.DELTA:  # a full list says by silence what has left
            for task in set(range(len(self.state))) - {entry.task for entry in change.endpoints}:
                self.state[task] = TaskState.GONE
        return fresh

    def open(self) -> list[int]:
        return [i for i, state in enumerate(self.state) if state == TaskState.READY]

    def by_zone(self) -> list[list[int]]:
        tasks = self.open()
        return [[i for i in tasks if self.zone[i] == zone] for zone in range(self.config.zones)]

    def calls(self, now: int) -> list[Command]:
        if self.ask_at is None or now < self.ask_at:
            return []
        self.ask_at = now + self.config.refresh_within_us  # an answer that never comes must not end the asking
        return [WatchEndpoints(True)]
