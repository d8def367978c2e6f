"""The budget of bytes that connections hold in unfinished messages."""

from random import Random

from hollyridge.limits.buffer_budget import MIN_COUNTED_BYTES, BufferBudget


def test_the_held_bytes_stay_within_the_budget_and_small_holders_stay_open():
    rng, budget, held = Random(4), BufferBudget(100_000), {}
    for _ in range(3000):
        number, size = rng.randrange(60), rng.choice((0, 10, MIN_COUNTED_BYTES - 1, 5000, 40_000, 90_000))
        held[number] = size
        for evicted in budget.hold(number, size):
            assert held.pop(evicted) >= MIN_COUNTED_BYTES
        counted = {number: size for number, size in held.items() if size >= MIN_COUNTED_BYTES}
        assert budget.bytes_by_connection == counted
        assert budget.held_bytes == sum(counted.values()) <= 100_000


def test_a_single_message_over_the_budget_closes_its_own_connection():
    budget = BufferBudget(10_000)
    assert budget.hold(1, 5000) == []
    assert budget.hold(2, 20_000) == [2]
    assert budget.held_bytes == 5000
