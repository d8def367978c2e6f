"""Crossings of stalled connections with changes of tasks, reuse of their indices and decision module failures."""

from crossing_helpers import TASKS, received_updates
from in_process import ServerRig
from stand_ins import apply_lines

from hollyridge import interface as api
from hollyridge.decisions.assigner import Assigner as DecisionModule


def test_an_index_is_not_reused_while_a_stalled_connection_was_sent_its_former_task(rig):
    """With a reused index the proxy would get no change for the two tasks and keep sending to the removed one."""
    rig.proxy(3)
    rig.advance(2)
    table = rig.engine.update_builder.store.latest(0)
    connection = rig.server.by_proxy[0]
    assert 5 in connection.view.sent_tables[0].lines
    connection.unsent = b"x"  # simulates a stalled reader, so that further updates stay pending
    rig.send_list(2, TASKS[:5])
    rig.advance(100)
    assert 5 in connection.view.sent_tables[0].lines
    assert 5 not in rig.engine.update_builder.store.latest(0).lines
    rig.send_list(3, [*TASKS[:5], "s-new"])
    assert rig.engine.task_indices.index["s-new"] == 6
    assert table is not rig.engine.update_builder.store.latest(0)
    rig.server.close(connection, "closed by the test")
    rig.wait_until(lambda: not rig.server.by_proxy)
    rig.send_list(4, TASKS[:5])
    rig.advance(100)
    rig.send_list(5, [*TASKS[:5], "s-newer"])
    assert rig.engine.task_indices.index["s-newer"] == 5  # no open connection was sent the old task


def test_a_task_missing_from_a_complete_list_leaves_no_state_behind(rig):
    for week in range(2, 30):
        rig.send_list(week, [f"week-{week}-{k}" for k in range(6)])
        rig.advance(40)
        assert sorted(rig.engine.endpoints) == sorted(rig.engine.task_indices.index.values())
        assert not any(rig.engine.is_running(task) for task in range(100) if task not in rig.engine.endpoints)
    assert len(rig.engine.task_indices.names) <= 18


class FailingAssigner(DecisionModule):
    def decide(self, now, events):
        if any(type(event) is api.ProxyLeft for event in events):
            raise RuntimeError("simulated failure of the decision module")
        return super().decide(now, events)


def test_after_a_decision_module_failure_no_proxy_keeps_old_lines_though_updates_were_lost():
    rig = ServerRig(make_module=FailingAssigner)
    socks = {node: rig.proxy(node) for node in (1, 2, 3)}
    rig.advance(2)
    tables = {node: {} for node in socks}

    def apply_updates():
        for node, sock in socks.items():
            for fields in received_updates(sock) or ():
                apply_lines(tables[node], fields)

    apply_updates()
    assert all(len(lines) == 6 for lines in tables.values())
    rig.send_list(2, TASKS[:4])
    rig.engine.run(rig.now)
    assert rig.engine.queue.queue  # the removals are queued, and will be lost with the channel
    socks.pop(3).close()
    tables.pop(3)
    rig.wait_until(lambda: len(rig.server.by_proxy) == 2)
    rig.engine.run(rig.now)
    assert rig.engine.counts["module_failures"] == 1
    rig.advance(3)
    apply_updates()
    assert all(set(lines) == set(TASKS[:4]) for lines in tables.values())
    rig.server.stop()
