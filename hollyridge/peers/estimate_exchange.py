"""Exchange of learned estimates between assigners.

An assigner that takes over proxies thereby knows the capacities of their tasks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from hollyridge.core.engine import Engine
from hollyridge.membership.messages import SharedEstimates
from hollyridge.store import learned_estimates

ESTIMATES_PER_MESSAGE = 100  # so many estimates, with the names of their tasks, fit into a packet
DIGITS = 4  # decimal places to which estimates are rounded on the wire
US_PER_MS = 1000


class TaskLookup(NamedTuple):
    """Look-ups between names and indices of tasks.

    Attributes:
        name_of: Function that returns the name of the task with the given index.
        index_of: Function that returns the index of the task with the given name, None if there is none.
    """

    name_of: Callable[[int], str]
    index_of: Callable[[str], int | None]


class EstimateExchange:
    """Export of the decision module's estimates to peers, and import of the peers' estimates.

    A decision module without estimates neither exports nor imports any.
    """

    def __init__(self, engine: Engine, tasks: TaskLookup) -> None:
        self._engine = engine
        self._tasks = tasks

    def outgoing(self) -> Iterator[SharedEstimates]:
        """Yield messages with all estimates of this assigner."""
        learned = getattr(self._engine.assigner, "learned_estimates", None)
        estimates, push_price = learned() if learned is not None else ([], 0.0)
        for start in range(0, len(estimates), ESTIMATES_PER_MESSAGE):
            rows = tuple(
                (self._tasks.name_of(estimate.task), *(round(value, DIGITS) for value in estimate[1:]))
                for estimate in estimates[start : start + ESTIMATES_PER_MESSAGE]
            )
            yield SharedEstimates(rows, round(push_price, DIGITS), 0)

    def import_estimates(self, now_us: int, message: SharedEstimates) -> int:
        """Submit the plausible estimates of a peer to the engine and return their number."""
        learned = getattr(self._engine.assigner, "learned_estimates", None)
        if learned is None:
            return 0
        restored = learned_estimates.restore_from_peer(
            message.estimates, message.push_price, message.age_ms * US_PER_MS, self._tasks.index_of, learned()[0]
        )
        if restored.event is None:
            return 0
        self._engine.submit(now_us, restored.event)
        return len(restored.event.estimates)
