"""The publisher: immediate removals within the limits of the channel."""

import pytest
from helpers import SECOND, AssignerRig, endpoint_list_update, lines, make_endpoint

from hollyridge import interface as api

DRAINING = api.TaskState.DRAINING
GONE = api.TaskState.GONE


@pytest.mark.parametrize(
    "change",
    [
        endpoint_list_update([make_endpoint(2, state=DRAINING)], api.UpdateKind.DELTA),
        endpoint_list_update([make_endpoint(2, state=GONE)], api.UpdateKind.DELTA),
        endpoint_list_update(
            [make_endpoint(i) for i in range(8) if i != 2]
        ),  # a full list removes what it does not mention
    ],
)
def test_draining_and_removed_tasks_leave_at_once_also_for_proxies_that_join_later(change):
    rig = AssignerRig()
    rig.feed(change, after=0.3)
    assert all(2 not in table for table in rig.tables.values())
    rig.feed(api.ProxyJoined(5.0, True, 9, 0), after=1)
    assert rig.bound[9] == 0
    assert 2 not in rig.tables[0]


def test_a_removal_is_sent_though_acknowledgements_of_stalled_proxies_come_late():
    rig = AssignerRig(max_messages_per_proxy=30)
    for _ in range(5):
        marks = [o.mark for o in rig.commands if isinstance(o, api.RequestAck)]
        rig.period(*[rig.report(z, i, latency=0.1 + i / 10) for z in (0, 1) for i in range(8)], acks=False)
        rig.feed(*[api.Ack(p, m, 3 * SECOND) for m in marks for p in (0, 1)], after=0.1)
    rig.feed(endpoint_list_update([make_endpoint(2, state=DRAINING)], api.UpdateKind.DELTA), after=0.3)
    assert 2 not in rig.tables[0]
    assert 2 not in rig.tables[1]


@pytest.mark.parametrize("tasks_gone", [3, 7, 8])
def test_no_table_is_empty_while_a_warm_task_is_ready(tasks_gone):
    rig = AssignerRig()
    for _ in range(10):
        rig.period(*[rig.report(z, i, failed=10) for z in (0, 1) for i in range(8)])
    rig.feed(
        endpoint_list_update([make_endpoint(i, state=GONE) for i in range(tasks_gone)], api.UpdateKind.DELTA), after=0.1
    )
    assert all(len(table) == 8 - tasks_gone for table in rig.tables.values())
    assert all(w > 0 for table in rig.tables.values() for w in table.values())


def test_backlog_and_messages_stay_within_limits_without_acknowledgements():
    rig = AssignerRig(tasks=40, proxies=10, max_waiting_lines=900.0, max_messages_per_proxy=20, lines_per_s=200.0)
    backlog, message_times = rig.assigner.backlog, []
    for step in range(40):
        rig.period(*[rig.report(z, i, latency=0.1 + (i * step % 7) / 5) for z in (0, 1) for i in range(40)], acks=False)
        assert backlog.sent - backlog.delivered <= 900
        message_times += [rig.now] * bool(lines(rig.commands))
        assert sum(time > rig.now - 10 * SECOND for time in message_times) <= 20
    assert rig.assigner.tables.pending == []  # joins that were deferred have got their tables


def test_a_task_that_restarts_under_its_index_gets_its_cold_line_though_the_channel_is_full():
    rig = AssignerRig(proxy_ejection_failures=0)
    usual_share, backlog = rig.share(0, 2), rig.assigner.backlog
    backlog.reserve(rig.now, [0], int(backlog.soft_backlog_limit))  # non-urgent changes are held back
    rig.feed(endpoint_list_update([make_endpoint(2, started_at=rig.now)], api.UpdateKind.DELTA), after=1)
    rig.feed(api.TimerFired(0), after=1)
    assert rig.share(0, 2) <= rig.config.overload_multiple / 2 * rig.config.cold_capacity_fraction * usual_share


def test_nonurgent_changes_delay_a_removal_by_at_most_half_its_grace_and_joins_by_at_most_all_of_it():
    rig = AssignerRig(tasks=60, proxies=20, lines_per_s=200.0, max_waiting_lines=2000.0)
    backlog = rig.assigner.backlog
    usable_grace_lines = 200 * (rig.config.drain_grace_us - rig.config.max_transit_us) / SECOND
    assert backlog.soft_backlog_limit == usable_grace_lines / 2
    assert backlog.sent - backlog.delivered <= usable_grace_lines / 2 + 80
    for _ in range(8):
        rig.feed(api.TimerFired(0), after=0.2)
        assert backlog.sent - backlog.delivered <= usable_grace_lines + 80
    assert 0 < len(rig.assigner.tables.pending) < 20


def test_removals_of_a_rolling_deploy_reach_all_tables_within_the_grace():
    # Guards against tables that stand still once the first drains of a deploy have used up the limit on messages.
    rig = AssignerRig(
        tasks=118,
        proxies=8,
        max_messages_per_proxy=30,
        drain_grace_us=round(1.5 * SECOND),
        transit_us=SECOND // 4,
        max_transit_us=round(0.6 * SECOND),
        lines_per_s=2400.0,
        max_waiting_lines=2400.0,
    )
    drained_at = {}
    drain_times = [0.05 * number for number in range(18)] + [0.9 + 0.218 * number for number in range(92)]
    began = rig.now
    for _step in range(24 * 20):
        events = [api.TimerFired(0)]
        events += [api.Ack(0, command.mark, SECOND // 4) for command in rig.commands if type(command) is api.RequestAck]
        while len(drained_at) < len(drain_times) and drain_times[len(drained_at)] <= (rig.now - began) / SECOND:
            task = len(drained_at)
            drained_at[task] = rig.now
            events.append(endpoint_list_update([make_endpoint(task, state=DRAINING)], api.UpdateKind.DELTA))
        rig.feed(*events, after=0.05)
        listed = {task for table in rig.tables.values() for task in table}
        waiting_us = [rig.now - drained_at[task] for task in listed & drained_at.keys()]
        assert max(waiting_us, default=0) <= rig.config.drain_grace_us - rig.config.max_transit_us
    assert len(drained_at) == 110
