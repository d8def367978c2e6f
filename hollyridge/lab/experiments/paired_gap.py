"""Statistics of paired differences: bootstrap interval and sign test."""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

BOOTSTRAP_DRAWS = 2000  # enough for the second digit of a 95% interval
BOOTSTRAP_SEED = 1  # fixed, so that the same gaps always give the same interval
TAIL = 40  # one draw in 40 lies beyond each end of a 95% interval
MIN_PAIRS = 8  # with fewer, the sign test is not below MAX_CHANCE even if all pairs agree
MAX_CHANCE = 0.01  # probability below which a sign test counts as clear


class PairedGap(NamedTuple):
    """Difference B minus A over pairs. Its `_asdict()` is part of `lab compare --json`.

    Attributes:
        pairs: Number of pairs.
        mean: Mean difference.
        low: Lower end of its 95% interval, by bootstrap over pairs.
        high: Upper end of the interval.
        better: Number of pairs in which B was higher.
        worse: Number of pairs in which B was lower.
        chance: Two-sided probability of such a split if both were equally good, by the sign test.
    """

    pairs: int
    mean: float
    low: float
    high: float
    better: int
    worse: int
    chance: float

    @property
    def clear(self) -> bool:
        """Return whether the interval and the sign test agree that there is a difference."""
        excludes_zero = self.low > 0 or self.high < 0
        return self.pairs >= MIN_PAIRS and excludes_zero and self.chance < MAX_CHANCE


def sign_test(better: int, worse: int) -> float:
    """Return the two-sided probability that fair coin tosses split at least as unevenly.

    >>> sign_test(8, 0), sign_test(3, 3)
    (0.0078125, 1.0)
    """
    decided = better + worse
    if not decided:
        return 1.0
    tail = sum(math.comb(decided, heads) for heads in range(min(better, worse) + 1)) / 2**decided
    return min(1.0, 2 * tail)


def gap_of(gaps: list[float]) -> PairedGap:
    """Summarize the differences of all pairs.

    >>> gap = gap_of([0.1, 0.2, 0.3, 0.1, 0.2, 0.1, 0.2, 0.1])
    >>> gap.better, gap.worse, gap.low > 0, round(gap.chance, 4), gap.clear
    (8, 0, True, 0.0078, True)
    """
    if not gaps:
        return PairedGap(0, 0.0, 0.0, 0.0, 0, 0, 1.0)
    rng = Random(BOOTSTRAP_SEED)
    means = sorted(sum(rng.choices(gaps, k=len(gaps))) / len(gaps) for _ in range(BOOTSTRAP_DRAWS))
    better = sum(gap > 0 for gap in gaps)
    worse = sum(gap < 0 for gap in gaps)
    return PairedGap(
        pairs=len(gaps),
        mean=round(sum(gaps) / len(gaps), 5),
        low=round(means[BOOTSTRAP_DRAWS // TAIL], 5),
        high=round(means[-BOOTSTRAP_DRAWS // TAIL - 1], 5),
        better=better,
        worse=worse,
        chance=sign_test(better, worse),
    )
