"""What of another time, or of another assigner, is believed: figures that can be, of tasks that are known, and the less
the older they are. What is not believed costs nothing: it is learnt again."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import isfinite
from statistics import median
from typing import NamedTuple

from hollyridge.interface import EstimatesRestored, LearnedEstimate
from hollyridge.store.state_file import SavedState, TaskEstimate

LONGEST = 10.0  # busy periods that count; as many as the module itself remembers
SKILLS = (0.25, 4.0)
WEIGHTS = (0.01, 100.0)
LENT = 1.0  # busy periods that a peer's word counts for: one's own first news is as good
APART = 2.0  # times above or below one's own median task that a peer's figure is taken for


class RestoredEstimates(NamedTuple):
    """`event` None where nothing is; `left_out` counts rows by why."""

    event: EstimatesRestored | None
    left_out: dict[str, int]


def fleet_of(zones: Iterable[str], methods: Iterable[str]) -> str:
    """Names a fleet by what its figures hang on.

    >>> fleet_of(["a", "b"], ["read"])
    'a,b/read'
    """
    return f"{','.join(zones)}/{','.join(methods)}"


def noted(
    fleet: str, saved_ms: int, rows: Iterable[LearnedEstimate], price: float, name_of: Callable[[int], str]
) -> SavedState:
    return SavedState(
        fleet,
        saved_ms,
        [TaskEstimate(name_of(row.task), *(round(x, 6) for x in row[1:])) for row in rows],
        round(price, 6),
    )


def sane(row: TaskEstimate) -> bool:
    figures = (row.capacity, row.busy_periods, row.efficiency, row.weight_ratio)
    return (
        all(map(isfinite, figures))
        and 0 < row.capacity < 1e9
        and row.busy_periods > 0
        and SKILLS[0] <= row.efficiency <= SKILLS[1]
        and WEIGHTS[0] <= row.weight_ratio <= WEIGHTS[1]
    )


def recalled(state: SavedState, fleet: str, now_ms: int, index_of: Callable[[str], int | None]) -> RestoredEstimates:
    """A state of one's own last run. One from the future was saved under a clock that has been set back: nobody knows
    how old it is, so it counts as older than anything learnt in a day."""
    if state.fleet != fleet:
        return RestoredEstimates(None, {"of another fleet": len(state.rows)})
    age_ms = now_ms - state.saved if now_ms >= state.saved else 86_400_000
    return believed(state.rows, state.price, age_ms * 1000, index_of, LONGEST)


def lent(
    rows: Iterable[tuple], price: float, age: int, index_of: Callable[[str], int | None], own: Iterable[LearnedEstimate]
) -> RestoredEstimates:
    """A peer's. It may be wrong or lie: each figure is taken within twice of one's own median task, for no longer than
    a busy period of one's own news, only once there is some of that; and its price not at all."""
    usual = median([row.capacity for row in own] or [0.0])
    if not usual:
        return RestoredEstimates(None, {"nothing of one's own yet": 1})
    near = []
    for name, does, heard, _skill, _weight in rows:
        if isfinite(does) and does > 0:
            near.append(TaskEstimate(name, min(max(does, usual / APART), usual * APART), min(heard, LENT)))
    return believed(near, 0.0, age, index_of, LENT)


def believed(
    rows: Iterable[TaskEstimate], price: float, age: int, index_of: Callable[[str], int | None], longest: float
) -> RestoredEstimates:
    found: list[LearnedEstimate] = []
    left_out: dict[str, int] = {}
    for row in rows:
        task = index_of(row.name) if sane(row) else -1
        if task is None or task < 0:
            why = "not listed" if task is None else "no sensible figure"
            left_out[why] = left_out.get(why, 0) + 1
        else:
            found.append(
                LearnedEstimate(task, row.capacity, min(row.busy_periods, longest), row.efficiency, row.weight_ratio)
            )
    price = price if isfinite(price) and 0 <= price < 1e6 else 0.0
    return RestoredEstimates(EstimatesRestored(tuple(found), price, max(age, 0)) if found else None, left_out)
