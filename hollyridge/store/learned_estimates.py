"""Selection of estimates of an earlier run or of another assigner: plausible ones of listed tasks are used.

Older estimates have less influence. An estimate that is not used costs little, since it is learned again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import isfinite
from statistics import median
from typing import NamedTuple

from hollyridge.interface import EstimatesRestored, LearnedEstimate
from hollyridge.store.state_file import SavedState, TaskEstimate

MAX_BUSY_PERIODS = 10.0  # as many as the decision module itself remembers of an estimate
MAX_CAPACITY = 1e9  # RPCs per report period; higher values are implausible
MIN_EFFICIENCY = 0.25
MAX_EFFICIENCY = 4.0
MIN_WEIGHT_RATIO = 0.01
MAX_WEIGHT_RATIO = 100.0
MAX_PUSH_PRICE = 1e6
MAX_SHARED_BUSY_PERIODS = 1.0  # of a peer's estimate, so that the first own report counts as much
MAX_SHARED_RATIO = 2.0  # of a peer's capacity to the median own capacity, or the inverse
UNKNOWN_AGE_MS = 86_400_000  # a day, older than any estimate that still has influence
US_PER_MS = 1000
DIGITS = 6  # decimal places of saved values
UNUSABLE = -1  # task index of an implausible estimate

# Reasons why an estimate is left out. They are keys in the log line.
OTHER_FLEET = "of another fleet"
NOT_LISTED = "not listed"
IMPLAUSIBLE = "no sensible figure"
NOTHING_TO_COMPARE = "nothing of one's own yet"


class RestoredEstimates(NamedTuple):
    """The result of a selection.

    Attributes:
        event: The event to submit, or None if no estimate is used.
        left_out: Number of unused estimates, by reason.
    """

    event: EstimatesRestored | None
    left_out: dict[str, int]


def fleet_identity(zones: Iterable[str], methods: Iterable[str]) -> str:
    """Return the identity of a fleet: the zones and methods on which its estimates depend.

    >>> fleet_identity(["a", "b"], ["read"])
    'a,b/read'
    """
    return f"{','.join(zones)}/{','.join(methods)}"


def to_saved_state(
    fleet: str, saved_ms: int, estimates: Iterable[LearnedEstimate], push_price: float, name_of: Callable[[int], str]
) -> SavedState:
    """Return the state to save, with tasks by name, since each run allocates new indices."""
    rows = [
        TaskEstimate(
            name_of(estimate.task),
            round(estimate.capacity, DIGITS),
            round(estimate.busy_periods, DIGITS),
            round(estimate.efficiency, DIGITS),
            round(estimate.weight_ratio, DIGITS),
        )
        for estimate in estimates
    ]
    return SavedState(fleet, saved_ms, rows, round(push_price, DIGITS))


def restore_own(state: SavedState, fleet: str, now_ms: int, index_of: Callable[[str], int | None]) -> RestoredEstimates:
    """Return the usable estimates of this assigner's own last run.

    A state from the future was saved before the clock was set back. Its age is unknown, so it counts as old.
    """
    if state.fleet != fleet:
        return RestoredEstimates(None, {OTHER_FLEET: len(state.estimates)})
    age_ms = now_ms - state.saved_ms if now_ms >= state.saved_ms else UNKNOWN_AGE_MS
    return _accepted(state.estimates, state.push_price, age_ms * US_PER_MS, index_of, MAX_BUSY_PERIODS)


def restore_from_peer(
    rows: Iterable[tuple],
    push_price: float,
    age_us: int,
    index_of: Callable[[str], int | None],
    own_estimates: Iterable[LearnedEstimate],
) -> RestoredEstimates:
    """Return the usable estimates of another assigner, which may be wrong or malicious.

    Only capacities are used, and only once there are own ones. Each is limited to a factor of `MAX_SHARED_RATIO` around
    the median of the own capacities, and its busy periods to `MAX_SHARED_BUSY_PERIODS`. The peer's push price is never
    used.

    Args:
        rows: (name, capacity, busy periods, efficiency, weight ratio) of each task.
        push_price: Push price of the peer.
        age_us: Age of the estimates, in microseconds.
        index_of: Returns the index of a task, given its name, or None if it is not listed.
        own_estimates: Estimates that this assigner has learned itself.
    """
    own_median = median([estimate.capacity for estimate in own_estimates] or [0.0])
    if not own_median:
        return RestoredEstimates(None, {NOTHING_TO_COMPARE: 1})
    limited = []
    for name, capacity, busy_periods, _efficiency, _weight_ratio in rows:
        if isfinite(capacity) and capacity > 0:
            limited_capacity = min(max(capacity, own_median / MAX_SHARED_RATIO), own_median * MAX_SHARED_RATIO)
            limited.append(TaskEstimate(name, limited_capacity, min(busy_periods, MAX_SHARED_BUSY_PERIODS)))
    return _accepted(limited, 0.0, age_us, index_of, MAX_SHARED_BUSY_PERIODS)


def _accepted(
    estimates: Iterable[TaskEstimate],
    push_price: float,
    age_us: int,
    index_of: Callable[[str], int | None],
    max_busy_periods: float,
) -> RestoredEstimates:
    accepted: list[LearnedEstimate] = []
    left_out: dict[str, int] = {}
    for estimate in estimates:
        task = index_of(estimate.name) if _is_plausible(estimate) else UNUSABLE
        if task is None or task < 0:
            reason = NOT_LISTED if task is None else IMPLAUSIBLE
            left_out[reason] = left_out.get(reason, 0) + 1
            continue
        busy_periods = min(estimate.busy_periods, max_busy_periods)
        accepted.append(
            LearnedEstimate(task, estimate.capacity, busy_periods, estimate.efficiency, estimate.weight_ratio)
        )
    if not accepted:
        return RestoredEstimates(None, left_out)
    usable_price = push_price if isfinite(push_price) and 0 <= push_price < MAX_PUSH_PRICE else 0.0
    return RestoredEstimates(EstimatesRestored(tuple(accepted), usable_price, max(age_us, 0)), left_out)


def _is_plausible(estimate: TaskEstimate) -> bool:
    figures = (estimate.capacity, estimate.busy_periods, estimate.efficiency, estimate.weight_ratio)
    return (
        all(map(isfinite, figures))
        and 0 < estimate.capacity < MAX_CAPACITY
        and estimate.busy_periods > 0
        and MIN_EFFICIENCY <= estimate.efficiency <= MAX_EFFICIENCY
        and MIN_WEIGHT_RATIO <= estimate.weight_ratio <= MAX_WEIGHT_RATIO
    )
