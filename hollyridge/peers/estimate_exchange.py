"""Sharing of what assigners learn about tasks, so that one that takes over proxies knows the sizes of its tasks."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from hollyridge.core.engine import Engine
from hollyridge.membership.messages import SharedEstimates
from hollyridge.store import learned_estimates

ESTIMATES_PER_MESSAGE = 100  # with the names of tasks they fit into a packet
DIGITS = 4  # that estimates are rounded to on the wire
US_PER_MS = 1000


class TaskLookup(NamedTuple):
    """The names of tasks.

    Attributes:
        name_of: Name of the task with this index.
        index_of: Index of the task with this name, None if there is none.
    """

    name_of: Callable[[int], str]
    index_of: Callable[[str], int | None]


class EstimateExchange:
    """Reads estimates from the decision module for peers, and feeds it those of peers.

    A decision module without estimates shares none and takes none.
    """

    def __init__(self, engine: Engine, tasks: TaskLookup) -> None:
        self._engine = engine
        self._tasks = tasks

    def outgoing(self) -> Iterator[SharedEstimates]:
        """Yields the messages that carry all estimates of this assigner."""
        learned = getattr(self._engine.assigner, "learned_estimates", None)
        estimates, push_price = learned() if learned is not None else ([], 0.0)
        for start in range(0, len(estimates), ESTIMATES_PER_MESSAGE):
            rows = tuple(
                (self._tasks.name_of(estimate.task), *(round(figure, DIGITS) for figure in estimate[1:]))
                for estimate in estimates[start : start + ESTIMATES_PER_MESSAGE]
            )
            yield SharedEstimates(rows, round(push_price, DIGITS), 0)

    def take(self, now_us: int, message: SharedEstimates) -> int:
        """Submits what is credible of a peer's estimates to the engine; returns how many."""
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
