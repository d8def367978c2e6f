"""Keeps what the module has learnt on disk, and tells it after a restart. The disk is waited for off the hub's thread;
where it is slow, full or not to be written, routing goes on, and it is said."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from hollyridge.core.event_loop import EventLoop
from hollyridge.limits.log_sampling import should_log
from hollyridge.store import learned_estimates, state_file
from hollyridge.store.state_file import StateFileError


class PersistenceConfig(NamedTuple):
    """`every_s` between two writes; `fleet` as of `learned_estimates.fleet_of`."""

    path: Path
    every_s: float
    fleet: str


class EstimatePersistence:
    """`apply(call, words)` runs a call elsewhere and waits for what it returns; `name_of` and `index_of` are a task's
    names and indices; `wall_ms` is the time of day."""

    def __init__(
        self,
        loop: EventLoop,
        terms: PersistenceConfig,
        log,
        name_of: Callable[[int], str],
        index_of: Callable[[str], int | None],
        apply: Callable,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self.loop, self.engine, self.terms, self.log = loop, loop.engine, terms, log
        self.name_of, self.index_of, self.apply, self.wall_ms = name_of, index_of, apply, wall_ms
        self.write, self.read = state_file.write, state_file.read
        self.stopped = False
        self.counts = {"written": 0, "failed": 0, "recalled": 0, "left_out": 0}

    def run(self) -> None:
        """Tells what was kept once the list has settled, then writes again and again."""
        state = self.load()
        while state is not None and not self.engine.started and not self.stopped:
            self.loop.sleep(0.05)
        if state is not None:
            self.recall(state)
        while not self.stopped:
            self.loop.sleep(self.terms.every_s)
            self.save()

    def load(self) -> state_file.SavedState | None:
        try:
            return state_file.unpack(self.apply(self.read, (self.terms.path,)))
        except FileNotFoundError:
            self.log.info("nothing kept yet", file=str(self.terms.path))
        except (OSError, StateFileError) as trouble:
            self.log.warning(
                "what was kept can't be read; it is learnt again", file=str(self.terms.path), why=str(trouble)
            )
        return None

    def recall(self, state: state_file.SavedState) -> None:
        told = learned_estimates.recalled(state, self.terms.fleet, self.wall_ms(), self.index_of)
        self.counts["left_out"] += sum(told.left_out.values())
        if told.event is not None:
            self.counts["recalled"] += len(told.event.estimates)
            self.engine.submit(self.loop.clock(), told.event)
            self.loop.wake()
        self.log.info(
            "recalled",
            tasks=len(told.event.estimates) if told.event else 0,
            left_out=told.left_out or None,
            age_s=round((self.wall_ms() - state.saved) / 1e3, 1),
        )

    def save(self) -> None:
        learned = getattr(self.engine.assigner, "learned_estimates", None)
        if learned is None:
            return
        rows, price = learned()
        if not rows:
            return  # what is on disk knows more
        raw = state_file.pack(learned_estimates.noted(self.terms.fleet, self.wall_ms(), rows, price, self.name_of))
        try:
            self.apply(self.write, (self.terms.path, raw))
            self.counts["written"] += 1
        except OSError as trouble:
            self.counts["failed"] += 1
            if should_log(self.counts["failed"]):
                self.log.warning("not kept", file=str(self.terms.path), why=str(trouble), times=self.counts["failed"])

    def status(self) -> dict:
        return dict(self.counts)
