"""The cost of filling tasks, as a piecewise linear function (after Fortz and Thorup, INFOCOM 2000)."""

from __future__ import annotations

from functools import cache
from typing import NamedTuple

SEGMENTS = 14  # with few, whole classes of tasks end at the bounds of segments, unevenly full
MAX_UTILIZATION = 0.95  # beyond this the formula grows without bounds


class CostSegment(NamedTuple):
    """A part of the allowed utilization, and the cost of one more unit of work within it."""

    fraction: float
    slope: float


@cache
def cost_segments(target_utilization: float) -> tuple[CostSegment, ...]:
    """Returns segments of equal width, from empty to the target utilization.

    The slope is what one more unit of work costs itself and those that wait for it: d/dp of p + p^2 / (1 - p)
    (Pollaczek and Khinchine), with the utilization p at the middle of the segment.

    >>> first, *_, last = cost_segments(0.85)
    >>> round(first.slope, 2), round(last.slope)
    (1.06, 31)
    """
    segments = []
    for number in range(SEGMENTS):
        p = min(MAX_UTILIZATION, target_utilization * (number + 0.5) / SEGMENTS)
        segments.append(CostSegment(1 / SEGMENTS, 1 + (2 * p - p * p) / (1 - p) ** 2))
    return tuple(segments)
