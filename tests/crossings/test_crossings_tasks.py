"""Tasks, their indices and a decision module that fails, crossed with connections that stand still."""

from crossing_helpers import TASKS, received_orders
from in_process import ServerRig
from stand_ins import apply_lines

from hollyridge import interface as api
from hollyridge.decisions.assigner import Assigner as DecisionModule


def test_an_index_is_not_reused_while_a_stalled_connection_was_sent_its_former_task(rig):
    """The proxy would see no change between the two tasks and keep sending to the one that was removed."""
    rig.proxy(3)
    rig.advance(2)
    table = rig.engine.update_builder.store.latest(0)
    connection = rig.server.by_proxy[0]
    assert 5 in connection.view.sent_tables[0].lines
    connection.unsent = b"x"  # the reader stalls from here: what follows is pending
    rig.update_list(2, TASKS[:5])
    rig.advance(100)
    assert 5 in connection.view.sent_tables[0].lines
    assert 5 not in rig.engine.update_builder.store.latest(0).lines
    rig.update_list(3, [*TASKS[:5], "s-new"])
    assert rig.engine.task_indices.index["s-new"] == 6
    assert table is not rig.engine.update_builder.store.latest(0)
    rig.server.close(connection, "it ended")
    rig.until(lambda: not rig.server.by_proxy)
    rig.update_list(4, TASKS[:5])
    rig.advance(100)
    rig.update_list(5, [*TASKS[:5], "s-newer"])
    assert rig.engine.task_indices.index["s-newer"] == 5  # no connection names the old one any more


def test_a_task_missing_from_a_complete_list_leaves_nothing_behind(rig):
    for week in range(2, 30):
        rig.update_list(week, [f"week-{week}-{k}" for k in range(6)])
        rig.advance(40)
        assert sorted(rig.engine.endpoints) == sorted(rig.engine.task_indices.index.values())
        assert not any(rig.engine.is_running(task) for task in range(100) if task not in rig.engine.endpoints)
    assert len(rig.engine.task_indices.names) <= 18


class FailingAssigner(DecisionModule):
    def decide(self, now, told):
        if any(type(event) is api.ProxyLeft for event in told):
            raise RuntimeError("a fault of the module")
        return super().decide(now, told)


def test_after_a_decision_module_failure_no_proxy_keeps_old_lines_though_updates_were_lost():
    rig = ServerRig(make=FailingAssigner)
    socks = {node: rig.proxy(node) for node in (1, 2, 3)}
    rig.advance(2)
    held = {node: {} for node in socks}

    def obey():
        for node, sock in socks.items():
            for fields in received_orders(sock) or ():
                apply_lines(held[node], fields)

    obey()
    assert all(len(rows) == 6 for rows in held.values())
    rig.update_list(2, TASKS[:4])
    rig.engine.run(rig.now)
    assert rig.engine.queue.queue  # removals wait, and are lost with the channel
    socks.pop(3).close()
    held.pop(3)
    rig.until(lambda: len(rig.server.by_proxy) == 2)
    rig.engine.run(rig.now)
    assert rig.engine.counts["module_failures"] == 1
    rig.advance(3)
    obey()
    assert all(set(rows) == set(TASKS[:4]) for rows in held.values())
    rig.server.stop()
