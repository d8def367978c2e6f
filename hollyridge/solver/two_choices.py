"""Model of the shares that arrive at each task when proxies pick by power of two choices.

A proxy draws two lines (tasks of its table) by weight and picks the one with fewer of its own RPCs in flight. If it
sends L RPCs per second to a line, each for t seconds, the number in flight there has a Poisson distribution with mean
L t (Little's law; a proxy sees only its own RPCs). Of two drawn lines i and j, the first is picked unless the second
has fewer:

    share(i) = sum over j of w(i) w(j) (P[out(i) <= out(j)] + P[out(i) < out(j)])

where w(i) is the normalized weight of line i, and out(i) the number of RPCs in flight there. Shares and means depend on
each other and are found by damped iteration. At light load nothing is in flight and the shares equal the weights; the
busier the lines, the more the choices even out the RPCs in flight.
"""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np

MAX_IN_FLIGHT = 12  # distinct numbers of RPCs of one proxy at one line; the last includes all larger ones
SHARE_ITERATIONS = 60  # damping by a half converges to the tolerance well within them
SHARE_TOLERANCE = 1e-9
WEIGHT_ITERATIONS = 40
WEIGHT_TOLERANCE = 1e-6  # relative
MIN_WEIGHT_STEP = 0.5  # factor by which one iteration may change a weight; the bounds prevent oscillation
MAX_WEIGHT_STEP = 2.0
MIN_SHARE = 1e-12  # replaces smaller shares in divisions


def poisson(means: np.ndarray) -> np.ndarray:
    """Return the Poisson probabilities of 0, 1 ... for each mean, by row; the last column holds the rest."""
    probabilities = np.zeros((len(means), MAX_IN_FLIGHT))
    probabilities[:, 0] = np.exp(-means)
    for count in range(1, MAX_IN_FLIGHT):
        probabilities[:, count] = probabilities[:, count - 1] * means / count
    probabilities[:, -1] += np.maximum(0.0, 1.0 - probabilities.sum(axis=1))
    return probabilities


def arrivals(
    weights: Sequence[float], in_flight: float, times: Sequence[float] | None = None, policy: str = "p2c"
) -> list[float]:
    """Return the share of the RPCs that arrives at each line.

    Args:
        weights: Weight of each line.
        in_flight: Number of RPCs that one proxy has in flight at all lines together.
        times: Relative service time at each line; equal if omitted.
        policy: Policy by which proxies pick; with any but `p2c` the shares equal the weights.

    >>> [round(share, 3) for share in arrivals([3, 1], 0.0)]
    [0.75, 0.25]
    >>> [round(share, 3) for share in arrivals([3, 1], 0.0, policy="rotate")]
    [0.75, 0.25]
    >>> arrivals([3, 1], 4.0)[0] < 0.75
    True
    """
    normalized = np.asarray(weights, dtype=float)
    normalized = normalized / normalized.sum()
    if policy != "p2c" or len(normalized) < 2 or in_flight <= 0:  # noqa: PLR2004 - two choices need two lines
        return normalized.tolist()
    service_times = np.ones(len(normalized)) if times is None else np.asarray(times, dtype=float)
    shares = normalized.copy()
    for _ in range(SHARE_ITERATIONS):
        means = shares * service_times
        found = _picked_shares(normalized, poisson(in_flight * means / means.sum()))
        if np.abs(found - shares).max() < SHARE_TOLERANCE:
            return found.tolist()
        shares = (shares + found) / 2
    return shares.tolist()


def weights_for(
    shares: Sequence[float], in_flight: float, times: Sequence[float] | None = None, policy: str = "p2c"
) -> list[float]:
    """Return weights under which these shares arrive, as nearly as two choices allow; the largest weight is 1.

    Args:
        shares: Wanted share of each line.
        in_flight: Number of RPCs that one proxy has in flight at all lines together.
        times: Relative service time at each line; equal if omitted.
        policy: Policy by which proxies pick; with any but `p2c` the shares equal the weights.

    >>> wanted = [0.5, 0.3, 0.2]
    >>> [round(share, 2) for share in arrivals(weights_for(wanted, 3.0), 3.0)]
    [0.5, 0.3, 0.2]
    """
    wanted = np.asarray(shares, dtype=float)
    wanted = wanted / wanted.sum()
    weights = wanted.copy()
    if policy == "p2c" and in_flight > 0 and len(weights) > 1:
        for _ in range(WEIGHT_ITERATIONS):
            found = np.asarray(arrivals(weights, in_flight, times, policy))
            step = np.where(found > 0, wanted / np.maximum(found, MIN_SHARE), 1.0)
            weights = weights * np.clip(step, MIN_WEIGHT_STEP, MAX_WEIGHT_STEP)
            weights /= weights.sum()
            if np.abs(step - 1).max() < WEIGHT_TOLERANCE:
                break
    return (weights / weights.max()).tolist()


def _picked_shares(weights: np.ndarray, probabilities: np.ndarray) -> np.ndarray:
    """Return the shares by the formula above, given the probabilities of each number in flight by line."""
    at_least = probabilities[:, ::-1].cumsum(axis=1)[:, ::-1]  # P[out >= k]
    more = np.hstack([at_least[:, 1:], np.zeros((len(weights), 1))])  # P[out > k]
    picked = weights * (probabilities @ (at_least.T @ weights) + probabilities @ (more.T @ weights))
    return picked / picked.sum()
