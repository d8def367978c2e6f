"""The weight controller: weights and spillover follow the load reports."""

from helpers import SECOND, AssignerRig, lines

from hollyridge import interface as api
from hollyridge.decisions.weights import MAX_STEP


def test_weights_follow_reported_latency_by_a_tenth_at_most_and_only_changed_lines_are_sent():
    rig = AssignerRig()
    before = list(rig.assigner.weights.weight)
    for _ in range(12):
        rig.period(*[rig.report(z, i, latency=0.4 if i == 2 else 0.1) for z in (0, 1) for i in range(8)])
        after = rig.assigner.weights.weight
        assert all(abs(new - old) <= MAX_STEP + 1e-9 for new, old in zip(after, before))
        before = list(after)
        for command in lines(rig.commands):
            assert command.weight > 0
    assert rig.share(0, 2) < 0.8 * rig.share(0, 0)
    assert rig.share(1, 2) < 0.8 * rig.share(1, 0)
    line_counts = [len(lines(rig.period(*[rig.report(z, i) for z in (0, 1) for i in range(8)]))) for _ in range(3)]
    assert min(line_counts) == 0  # some period has nothing worth a push, and nothing is repeated


def test_spillover_follows_demand_and_avoids_zones_that_add_delay():
    rig = AssignerRig(tasks=24, proxies=2)
    spillover = rig.assigner.weights.spillover

    def run_period(cross_zone_delay_s):
        rig.period(
            *[rig.report(z, i, latency=0.1 + cross_zone_delay_s * (i % 2 != z)) for z in (0, 1) for i in range(24)],
            *[api.OfferedLoad(90 if p == 0 else 10, SECOND, p, 0, 0) for p in (0, 1)],
        )

    for _ in range(8):
        run_period(0.0)
    assert spillover[0][1] > 0.5
    assert spillover[1][0] < 0.05
    for _ in range(10):
        run_period(0.6)
    assert spillover[0][1] < 0.05
    other_zone_tasks = [i for i in rig.tables[0] if i % 2]
    assert len(other_zone_tasks) == rig.config.initial_table_size  # an initial table's worth of lines probes the zone
