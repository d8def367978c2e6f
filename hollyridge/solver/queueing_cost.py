"""Queueing cost of utilization, as a piecewise linear function (after Fortz and Thorup, INFOCOM 2000)."""

from __future__ import annotations

from functools import cache
from typing import NamedTuple

SEGMENTS = 14  # with fewer, whole classes of tasks end at segment bounds and are unevenly full
MAX_UTILIZATION = 0.95  # towards 1 the formula grows without bound


class CostSegment(NamedTuple):
    """Part of the allowed utilization, and the marginal cost of work within it.

    Attributes:
        fraction: Width of the segment, as a fraction of the usable capacity.
        slope: Cost of one more unit of work.
    """

    fraction: float
    slope: float


@cache
def cost_segments(target_utilization: float) -> tuple[CostSegment, ...]:
    """Return segments of equal width, from empty to the target utilization.

    The slope is the cost of one more unit of work, including the delay of the work that waits for it: d/dp of
    p + p^2 / (1 - p) (Pollaczek and Khinchine), with the utilization p at the middle of the segment.

    >>> first, *_, last = cost_segments(0.85)
    >>> round(first.slope, 2), round(last.slope)
    (1.06, 31)
    """
    segments = []
    for number in range(SEGMENTS):
        p = min(MAX_UTILIZATION, target_utilization * (number + 0.5) / SEGMENTS)
        segments.append(CostSegment(1 / SEGMENTS, 1 + (2 * p - p * p) / (1 - p) ** 2))
    return tuple(segments)
