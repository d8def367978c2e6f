"""The two-choice model against simulation, and the weights derived from it."""

from random import Random

import pytest

from hollyridge.client.picking import Picker
from hollyridge.solver.two_choices import arrivals, weights_for


def simulated(weights, in_flight, times, calls=40_000):
    """Shares that arrive when one proxy picks, with Poisson arrivals and exponential stays."""
    rng, picker = Random(3), Picker("p2c", Random(4))
    picker.set({str(i): w for i, w in enumerate(weights)})
    mean = sum(times) / len(times)
    rate, now, under, count = in_flight / mean, 0.0, [[] for _ in weights], [0] * len(weights)
    for _ in range(calls):
        now += rng.expovariate(rate)
        for row in under:
            row[:] = [end for end in row if end > now]
        i = int(picker.choose(lambda task: len(under[int(task)])))
        under[i].append(now + rng.expovariate(1 / times[i]))
        count[i] += 1
    return [n / calls for n in count]


@pytest.mark.parametrize(
    ("weights", "in_flight", "times"),
    [
        ([1, 1, 1, 1], 1.0, [1, 1, 1, 1]),
        ([4, 2, 1, 1], 0.5, [1, 1, 1, 1]),
        ([4, 2, 1, 1], 4.0, [1, 1, 1, 1]),
        ([1, 1, 1, 1], 3.0, [1, 1, 1, 4]),
        ([8, 1, 1], 6.0, [1, 1, 1]),
        ([1, 1], 8.0, [1, 3]),
    ],
)
def test_the_two_choice_model_against_simulation(weights, in_flight, times):
    modelled = arrivals(weights, in_flight, times)
    measured = simulated(weights, in_flight, times)
    assert max(abs(a - b) for a, b in zip(modelled, measured)) < 0.035


def test_weights_yield_the_wanted_shares():
    rng = Random(1)
    for _ in range(20):
        shares = [rng.uniform(0.5, 2) for _ in range(rng.randint(2, 30))]
        wanted = [share / sum(shares) for share in shares]
        out = rng.uniform(0, 0.4 * len(shares))
        found = arrivals(weights_for(wanted, out), out)
        assert max(abs(a - b) / b for a, b in zip(found, wanted)) < 0.02
