"""Persistence of the decision module's learned estimates across restarts.

Files are read and written on another thread, so that they do not block the event loop. If the disk is slow, full or
read-only, routing continues, and failures are logged.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from hollyridge.core.event_loop import EventLoop
from hollyridge.limits.log_sampling import should_log
from hollyridge.store import learned_estimates, state_file
from hollyridge.store.state_file import StateFileError

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

FIRST_DECISION_POLL_S = 0.05  # between two checks for the first decision
NS_PER_MS = 1_000_000
MS_PER_S = 1e3


def wall_clock_ms() -> int:
    """Return the time of day, in milliseconds since the epoch."""
    return time.time_ns() // NS_PER_MS


class PersistenceConfig(NamedTuple):
    """Configuration of the persistence of estimates.

    Attributes:
        path: Path of the state file.
        every_s: Interval between two writes, in seconds.
        fleet: Identity of the fleet, from `learned_estimates.fleet_identity`.
    """

    path: Path
    every_s: float
    fleet: str


class EstimatePersistence:
    """Service that restores the estimates once and then writes them periodically.

    Args:
        loop: The loop of the engine.
        config: The configuration.
        log: The logger.
        name_of: Returns the name of a task, given its index.
        index_of: Returns the index of a task, given its name, or None if it is not listed.
        apply: `apply(call, arguments)` runs a call on another thread and waits for its result.
        wall_ms: Returns the time of day, in milliseconds since the epoch.

    Attributes:
        stopped: Set by the owner to end `run` after its current pause.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - the service passes its own functions by position
        self,
        loop: EventLoop,
        config: PersistenceConfig,
        log: FilteringBoundLogger,
        name_of: Callable[[int], str],
        index_of: Callable[[str], int | None],
        apply: Callable,
        wall_ms: Callable[[], int] = wall_clock_ms,
    ) -> None:
        self.loop = loop
        self.engine = loop.engine
        self.config = config
        self.log = log
        self.name_of = name_of
        self.index_of = index_of
        self.apply = apply
        self.wall_ms = wall_ms
        self.write = state_file.write
        self.read = state_file.read
        self.stopped = False
        self.counts = {"written": 0, "failed": 0, "recalled": 0, "left_out": 0}  # keys of the status page

    def run(self) -> None:
        """Restore the estimates once the endpoint list has settled, then save them periodically until stopped."""
        state = self.load()
        while state is not None and not self.engine.has_decided and not self.stopped:
            self.loop.sleep(FIRST_DECISION_POLL_S)
        if state is not None:
            self.restore(state)
        while not self.stopped:
            self.loop.sleep(self.config.every_s)
            self.save()

    def load(self) -> state_file.SavedState | None:
        """Return the saved state, or None if there is none or it can't be read."""
        path = self.config.path
        try:
            return state_file.unpack(self.apply(self.read, (path,)))
        except FileNotFoundError:
            self.log.info("estimates_missing", file=str(path))
        except (OSError, StateFileError) as error:
            self.log.warning("estimates_unreadable", file=str(path), error=str(error))
        return None

    def restore(self, state: state_file.SavedState) -> None:
        """Submit the usable estimates of a saved state."""
        restored = learned_estimates.restore_own(state, self.config.fleet, self.wall_ms(), self.index_of)
        event = restored.event
        restored_tasks = len(event.estimates) if event is not None else 0
        self.counts["left_out"] += sum(restored.left_out.values())
        if event is not None:
            self.counts["recalled"] += restored_tasks
            self.engine.submit(self.loop.clock(), event)
            self.loop.wake()
        self.log.info(
            "estimates_restored",
            tasks=restored_tasks,
            left_out=restored.left_out or None,
            age_s=round((self.wall_ms() - state.saved_ms) / MS_PER_S, 1),
        )

    def save(self) -> None:
        """Write the current estimates, if the decision module has any."""
        learned = getattr(self.engine.assigner, "learned_estimates", None)  # baselines lack it
        if learned is None:
            return
        estimates, push_price = learned()
        if not estimates:
            return  # keep the state on disk, which holds more
        state = learned_estimates.to_saved_state(self.config.fleet, self.wall_ms(), estimates, push_price, self.name_of)
        try:
            self.apply(self.write, (self.config.path, state_file.pack(state)))
        except OSError as error:
            self.counts["failed"] += 1
            if should_log(self.counts["failed"]):
                self.log.warning(
                    "estimates_write_failed",
                    file=str(self.config.path),
                    error=str(error),
                    failures=self.counts["failed"],
                )
        else:
            self.counts["written"] += 1

    def status(self) -> dict:
        """Return counts for the status page."""
        return dict(self.counts)
