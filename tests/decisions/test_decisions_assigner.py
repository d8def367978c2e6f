"""The assigner as a whole: robustness against any events, deterministic commands, limits of the channel."""

from random import Random

import pytest
from helpers import SECOND, START, AssignerRig, assigner_config, endpoint_list_update, make_endpoint

from hollyridge import interface as api
from hollyridge.decisions.assigner import Assigner


@pytest.mark.parametrize(
    "event",
    [
        api.TrafficReport(0, 99, 5, 1, 1, SECOND, ()),
        api.TrafficReport(7, 0, 5, 1, 1, SECOND, ()),
        api.TrafficReport(0, 0, 5, 9, -1, SECOND, (float("nan"), -3.0)),
        api.TrafficReport(0, 0, 5, 0, 1, 0, ()),
        api.TrafficReport(0, 0, 0, 3, 1, -1, (0.5,)),
        api.OfferedLoad(5, 0, 77, 0, 0),
        api.ProxyLeft(77),
        api.Ack(77, 5, -1),
        api.TimerFired(99),
        api.PeerMessage(3, b""),
        api.ProbeResult(99, 20, -1, ()),
        api.ProxyJoined(float("nan"), True, 5, 0),
        api.SliceLoad(0, 0, 1, 0, 0),
        api.SliceCharge(True, 0),
    ],
)
def test_invalid_events_are_harmless(event):
    rig = AssignerRig()
    for _ in range(3):
        rig.period(event, *[rig.report(z, i) for z in (0, 1) for i in range(8)])
    assert all(0.0 < w < 10 for table in rig.tables.values() for w in table.values())


def test_the_same_events_give_the_same_commands():
    def run(seed):
        rig, commands = AssignerRig(seed=seed, subscribe=True), []
        for step in range(20):
            commands += rig.period(
                *[rig.report(z, i, latency=0.1 + (i * step % 5) / 9) for z in (0, 1) for i in range(8)]
            )
            commands += rig.feed(endpoint_list_update([], api.UpdateKind.FAILED), after=0.01)
        return commands

    assert run(5) == run(5) != run(6)
    assert Assigner(assigner_config(slices=16), 1).decide(START, [api.ProxyJoined(1.0, True, 1, 0)]) == []


@pytest.mark.parametrize("seed", range(12))
def test_tables_stay_valid_under_any_order_of_events(seed):
    rng = Random(seed)
    rig = AssignerRig(
        tasks=rng.choice((0, 1, 6)),
        subscribe=seed % 2 == 0,
        max_messages_per_proxy=seed % 3 * 15,
        admission=list(api.Admission)[seed % 3],
        proxy_ejection_failures=seed % 2 * 3,
        balancing_policy=list(api.BalancingPolicy)[seed % 3],
    )

    def random_event():
        task, zone, proxy = rng.randrange(10), rng.randrange(2), rng.randrange(6)
        attempts, interval_us = rng.randrange(40), rng.choice((0, SECOND, 5 * SECOND))
        return rng.choice(
            (
                endpoint_list_update(
                    [make_endpoint(task, zone, rng.randrange(3), rig.now * rng.randrange(2))], api.UpdateKind.DELTA
                ),
                endpoint_list_update([make_endpoint(i) for i in range(rng.randrange(10))], rng.randrange(4)),
                api.TrafficReport(
                    zone,
                    task,
                    attempts,
                    rng.randrange(40),
                    rng.choice((-1, 0, SECOND)),
                    interval_us,
                    rng.choice(((), (1.0, 9.0), (0.0, -1.0))),
                ),
                api.ProxyJoined(rng.choice((0.0, 5.0)), True, proxy, zone),
                api.ProxyLeft(proxy),
                api.TimerFired(1),
                api.OfferedLoad(attempts, interval_us, proxy, zone, 0),
                api.Ack(proxy, attempts, interval_us),
            )
        )

    for _ in range(250):
        rig.feed(*[random_event() for _ in range(rng.randrange(6))], after=rng.choice((0, 0.01, 0.5, 3)))
        ready = set(rig.assigner.endpoints.ready_tasks())
        assert all(w > 0 for table in rig.tables.values() for w in table.values())
        assert rig.assigner.publisher.has_deferred or all(set(table) <= ready for table in rig.tables.values())


@pytest.mark.parametrize("admission", list(api.Admission))
def test_a_large_fleet_stays_within_its_limits_through_joins_restarts_and_unusual_reports(admission):
    rig = AssignerRig(
        tasks=0,
        proxies=0,
        max_waiting_lines=3000.0,
        max_messages_per_proxy=30,
        lines_per_s=1000.0,
        proxy_ejection_failures=0,
        admission=admission,
    )
    backlog, tables = rig.assigner.backlog, rig.assigner.tables
    rig.feed(endpoint_list_update([make_endpoint(i) for i in range(100)]), after=0.1)
    joins = [api.ProxyJoined(5.0, False, p, p % 2) for p in range(160)]
    for step in range(12):
        reports = [
            rig.report(z, i, failed=i % 11)._replace(interval_us=(step % 4) * SECOND, load=(step / 6, float("inf")))
            for z in (0, 1)
            for i in range(0, 300, 7)
        ]
        rig.period(*joins[: 80 + 80 * (step > 3)], *reports, acks=step % 3 > 0)  # proxies join repeatedly
        if step == 5:  # the fleet triples at once; most tasks are cold and some have started twice
            rig.feed(
                *[
                    endpoint_list_update(
                        [make_endpoint(i, started_at=rig.now + s) for i in range(40, 300)], api.UpdateKind.DELTA
                    )
                    for s in (0, 1)
                ],
                after=0.2,
            )
        if step == 8:
            rig.feed(
                endpoint_list_update([make_endpoint(0)]), api.ProxyLeft(3), api.ProxyLeft(3), after=0.2
            )  # only one task remains
        assert backlog.sent - backlog.delivered <= 3000
        assert all(len(times) <= 30 for times in backlog.message_times_us.values())
    assert all(tables[z].weights == {0: rig.tables[z][0]} for z in (0, 1))
