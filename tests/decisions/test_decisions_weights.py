"""The weight controller: weights and spillover follow what is reported."""

from helpers import SECOND, Rig, lines

from hollyridge import interface as api
from hollyridge.decisions.weights import MAX_STEP


def test_weights_follow_reported_latency_by_a_tenth_at_most_and_only_changed_lines_are_sent():
    rig = Rig()
    before = list(rig.assigner.weights.weight)
    for _ in range(12):
        rig.period(*[rig.report(z, i, latency=0.4 if i == 2 else 0.1) for z in (0, 1) for i in range(8)])
        after = rig.assigner.weights.weight
        assert all(abs(x - y) <= MAX_STEP + 1e-9 for x, y in zip(after, before))
        before = list(after)
        for o in lines(rig.commands):
            assert o.weight > 0
    assert rig.share(0, 2) < 0.8 * rig.share(0, 0)
    assert rig.share(1, 2) < 0.8 * rig.share(1, 0)
    sent = [len(lines(rig.period(*[rig.report(z, i) for z in (0, 1) for i in range(8)]))) for _ in range(3)]
    assert min(sent) == 0  # nothing worth a push, nothing repeated


def test_spillover_follows_demand_and_avoids_a_way_that_costs():
    rig = Rig(tasks=24, proxies=2)
    reach = rig.assigner.weights.spillover

    def step(way_s):
        rig.period(
            *[rig.report(z, i, latency=0.1 + way_s * (i % 2 != z)) for z in (0, 1) for i in range(24)],
            *[api.OfferedLoad(90 if p == 0 else 10, SECOND, p, 0, 0) for p in (0, 1)],
        )

    for _ in range(8):
        step(0.0)
    assert reach[0][1] > 0.5
    assert reach[1][0] < 0.05
    for _ in range(10):
        step(0.6)
    assert reach[0][1] < 0.05
    far = [i for i in rig.tables[0] if i % 2]
    assert len(far) == rig.config.initial_table_size  # probed by an initial table's worth of lines
