"""Weights as 16-bit numbers: shares survive rounding, closed tasks stay closed."""

from random import Random

import pytest

from hollyridge.sasp.weight_advice import MAX_FIGURE, MIN_LARGEST_FIGURE, GroupWeights


@pytest.mark.parametrize("seed", range(20))
def test_shares_survive_rounding(seed):
    rng, group = Random(seed), GroupWeights()
    lines = {i: rng.lognormvariate(0, 1.5) * rng.choice([1, 1000]) for i in range(rng.randrange(1, 200))}
    cold = {i for i in lines if rng.random() < 0.3}
    for _ in range(50):
        changed = rng.sample(sorted(lines), rng.randrange(1, len(lines) + 1))
        lines.update((i, lines[i] * rng.uniform(0.5, 2)) for i in changed)
        group.advise(lines, changed, False, cold.__contains__, lambda i: False)
        largest, whole, said = max(lines.values()), sum(lines.values()), sum(group.sent.values())
        assert MIN_LARGEST_FIGURE // 2 <= max(group.sent.values()) <= MAX_FIGURE
        for i, weight in lines.items():
            figure, unit = group.sent.get(i, 0), largest / MIN_LARGEST_FIGURE
            assert abs(figure / group.scale - weight) <= unit  # no line drifts, so no sum does
            if i in cold and len(lines) > 1:
                assert figure / group.scale <= weight  # never above its part
            elif weight > 0:
                assert figure >= 1
        assert abs(said / group.scale - whole) <= len(lines) * largest / MIN_LARGEST_FIGURE


def test_the_whole_group_is_said_again_only_when_its_scale_must_move():
    group = GroupWeights()
    assert group.advise({1: 1.0, 2: 1.0}, [1, 2], False, bool, lambda i: False).whole
    moves = [
        group.advise({1: 1.0, 2: w}, [2], False, bool, lambda i: False).whole for w in (1.5, 3.9, 4.1, 2.0, 1.0, 0.5)
    ]
    assert moves == [False, False, True, False, True, False]


def test_a_closed_task_stays_closed_whatever_an_older_order_says():
    group = GroupWeights()
    assert group.advise({1: 1.0, 2: 1.0}, [], True, lambda i: False, {2}.__contains__).figures == {1: 16384, 2: 0}


def test_a_task_closed_for_a_moment_comes_back_with_its_old_weight():
    group, shut = GroupWeights(), set()
    lines = {1: 1.0, 2: 1.0}
    group.advise(lines, [], True, lambda i: False, shut.__contains__)
    shut.add(2)
    assert group.advise(lines, [2], False, lambda i: False, shut.__contains__).figures == {2: 0}
    shut.clear()
    assert group.advise(lines, [], False, lambda i: False, shut.__contains__).figures == {2: 16384}
