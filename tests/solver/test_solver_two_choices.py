"""Comparison of the two-choice model with a simulation, and the weights derived from the model."""

from random import Random

import pytest

from hollyridge.client.picking import Picker
from hollyridge.solver.two_choices import arrivals, weights_for


def simulated_shares(weights, in_flight, times, calls=40_000):
    """Return the arriving shares when one proxy picks, with Poisson arrivals and exponential service times."""
    rng, picker = Random(3), Picker("p2c", Random(4))
    picker.set({str(i): w for i, w in enumerate(weights)})
    mean = sum(times) / len(times)
    rate, now, in_service, counts = in_flight / mean, 0.0, [[] for _ in weights], [0] * len(weights)
    for _ in range(calls):
        now += rng.expovariate(rate)
        for row in in_service:
            row[:] = [end for end in row if end > now]
        i = int(picker.choose(lambda task: len(in_service[int(task)])))
        in_service[i].append(now + rng.expovariate(1 / times[i]))
        counts[i] += 1
    return [n / calls for n in counts]


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
def test_the_two_choice_model_agrees_with_simulation(weights, in_flight, times):
    modeled = arrivals(weights, in_flight, times)
    measured = simulated_shares(weights, in_flight, times)
    assert max(abs(a - b) for a, b in zip(modeled, measured)) < 0.035


def test_weights_yield_the_wanted_shares():
    rng = Random(1)
    for _ in range(20):
        shares = [rng.uniform(0.5, 2) for _ in range(rng.randint(2, 30))]
        wanted = [share / sum(shares) for share in shares]
        in_flight = rng.uniform(0, 0.4 * len(shares))
        found = arrivals(weights_for(wanted, in_flight), in_flight)
        assert max(abs(a - b) / b for a, b in zip(found, wanted)) < 0.02
