"""What really arrives at each line when proxies draw two by weight and take the one with less of their own out.

A proxy with L RPCs a second out to a line for t seconds each has a Poisson number of them out there, with mean L t
(Little's law; a proxy sees its own only). Of two drawn lines i and j the first is kept unless the second has fewer out:

    share(i) = sum over j of w(i) w(j) (P[out(i) <= out(j)] + P[out(i) < out(j)])

with w normalised. Shares and means hang on each other; a damped iteration settles them. At light load nothing is out
and shares are the weights; the busier a proxy's lines, the more its choices even out what is under way there.
"""

from __future__ import annotations

from collections.abc import Sequence

import numpy

DEPTH = 12  # RPCs of one proxy at one line that are told apart
ROUNDS = 60


def poisson(means: numpy.ndarray) -> numpy.ndarray:
    """Chances of 0, 1 ... by row; the last column holds the rest."""
    rows = numpy.zeros((len(means), DEPTH))
    rows[:, 0] = numpy.exp(-means)
    for k in range(1, DEPTH):
        rows[:, k] = rows[:, k - 1] * means / k
    rows[:, -1] += numpy.maximum(0.0, 1.0 - rows.sum(axis=1))
    return rows


def arrivals(
    weights: Sequence[float], out: float, times: Sequence[float] | None = None, pick: str = "p2c"
) -> list[float]:
    """Shares of the RPCs that arrive at each line. `out`: RPCs that one proxy has under way in all; `times`: how long
    one takes at each line, relative to each other.

    >>> [round(share, 3) for share in arrivals([3, 1], 0.0)]
    [0.75, 0.25]
    >>> [round(share, 3) for share in arrivals([3, 1], 0.0, pick="rotate")]
    [0.75, 0.25]
    >>> arrivals([3, 1], 4.0)[0] < 0.75
    True
    """
    w = numpy.asarray(weights, dtype=float)
    w = w / w.sum()
    if pick != "p2c" or len(w) < 2 or out <= 0:
        return w.tolist()
    t = numpy.ones(len(w)) if times is None else numpy.asarray(times, dtype=float)
    shares = w.copy()
    for _ in range(ROUNDS):
        means = shares * t
        chances = poisson(out * means / means.sum())
        least = chances[:, ::-1].cumsum(axis=1)[:, ::-1]  # P[out >= k]
        more = numpy.hstack([least[:, 1:], numpy.zeros((len(w), 1))])  # P[out > k]
        found = w * (chances @ (least.T @ w) + chances @ (more.T @ w))
        found /= found.sum()
        if numpy.abs(found - shares).max() < 1e-9:
            return found.tolist()
        shares = (shares + found) / 2
    return shares.tolist()


def weights_for(
    shares: Sequence[float], out: float, times: Sequence[float] | None = None, pick: str = "p2c"
) -> list[float]:
    """Weights under which these shares arrive, as near as two choices let them: the largest is 1.

    >>> wanted = [0.5, 0.3, 0.2]
    >>> [round(share, 2) for share in arrivals(weights_for(wanted, 3.0), 3.0)]
    [0.5, 0.3, 0.2]
    """
    goal = numpy.asarray(shares, dtype=float)
    goal = goal / goal.sum()
    w = goal.copy()
    if pick == "p2c" and out > 0 and len(w) > 1:
        for _ in range(40):
            found = numpy.asarray(arrivals(w, out, times, pick))
            step = numpy.where(found > 0, goal / numpy.maximum(found, 1e-12), 1.0)
            w = w * numpy.clip(step, 0.5, 2.0)
            w /= w.sum()
            if numpy.abs(step - 1).max() < 1e-6:
                break
    return (w / w.max()).tolist()
