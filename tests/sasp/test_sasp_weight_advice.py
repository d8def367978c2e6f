"""Tests of weights as 16-bit integers: rounding preserves shares, and closed tasks stay closed."""

from random import Random

import pytest

from hollyridge.sasp.weight_advice import MAX_SASP_WEIGHT, MIN_LARGEST_SASP_WEIGHT, GroupWeights


@pytest.mark.parametrize("seed", range(20))
def test_rounding_preserves_shares(seed):
    rng, group = Random(seed), GroupWeights()
    lines = {i: rng.lognormvariate(0, 1.5) * rng.choice([1, 1000]) for i in range(rng.randrange(1, 200))}
    cold = {i for i in lines if rng.random() < 0.3}
    for _ in range(50):
        changed = rng.sample(sorted(lines), rng.randrange(1, len(lines) + 1))
        lines.update((i, lines[i] * rng.uniform(0.5, 2)) for i in changed)
        group.advise(lines, changed, False, cold.__contains__, lambda i: False)
        largest, total, sent_total = max(lines.values()), sum(lines.values()), sum(group.sent.values())
        assert MIN_LARGEST_SASP_WEIGHT // 2 <= max(group.sent.values()) <= MAX_SASP_WEIGHT
        for i, weight in lines.items():
            sasp_weight, unit = group.sent.get(i, 0), largest / MIN_LARGEST_SASP_WEIGHT
            assert abs(sasp_weight / group.scale - weight) <= unit  # no line drifts, so the sum does not either
            if i in cold and len(lines) > 1:
                assert sasp_weight / group.scale <= weight  # never rounded up
            elif weight > 0:
                assert sasp_weight >= 1
        assert abs(sent_total / group.scale - total) <= len(lines) * largest / MIN_LARGEST_SASP_WEIGHT


def test_the_whole_group_is_sent_again_only_when_its_scale_changes():
    group = GroupWeights()
    assert group.advise({1: 1.0, 2: 1.0}, [1, 2], False, bool, lambda i: False).whole
    whole = [
        group.advise({1: 1.0, 2: w}, [2], False, bool, lambda i: False).whole for w in (1.5, 3.9, 4.1, 2.0, 1.0, 0.5)
    ]
    assert whole == [False, False, True, False, True, False]


def test_a_closed_task_stays_closed_under_an_older_table():
    group = GroupWeights()
    assert group.advise({1: 1.0, 2: 1.0}, [], True, lambda i: False, {2}.__contains__).sasp_weights == {1: 16384, 2: 0}


def test_a_task_that_opens_again_is_sent_with_its_previous_weight():
    group, closed = GroupWeights(), set()
    lines = {1: 1.0, 2: 1.0}
    group.advise(lines, [], True, lambda i: False, closed.__contains__)
    closed.add(2)
    assert group.advise(lines, [2], False, lambda i: False, closed.__contains__).sasp_weights == {2: 0}
    closed.clear()
    assert group.advise(lines, [], False, lambda i: False, closed.__contains__).sasp_weights == {2: 16384}
