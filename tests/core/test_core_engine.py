"""The engine under drains, restarts, failures of the decision module and floods of reports."""

import pytest
import structlog
from engine_rig import EngineRig
from helpers import SECOND

from hollyridge import interface as api
from hollyridge.core.engine import DecisionModuleError
from hollyridge.decisions.assigner import Assigner
from hollyridge.lab.experiments.policies import Even
from hollyridge.registration.members import Deregistered, Quiesced, StreamLost


def test_all_proxies_hold_all_tasks_after_one_update_each():
    rig = EngineRig()
    assert set(rig.held_tasks()) == set(rig.proxies)
    assert all(held == set(range(6)) for held in rig.held_tasks().values())
    assert len(rig.server.updates) == 4


@pytest.mark.parametrize("make_assigner", [Assigner, Even])
def test_a_drain_reaches_all_proxies_within_the_grace(make_assigner):
    rig = EngineRig(make_assigner)
    for event in (Quiesced(1, ("t1",), True), Deregistered(1, (("t2",),))):
        rig.engine.update_endpoints(rig.now, event)
        rig.run(0.5)
    assert all(not held & {rig.task("t1"), 2} for held in rig.held_tasks().values())
    late_proxy = rig.engine.join(rig.now, rig.server, "late", 0, 5.0)
    rig.run(2)
    assert rig.held_tasks()[late_proxy] == {0, 3, 4, 5}


def test_a_task_restarted_under_the_same_address_gets_a_slow_start():
    rig = EngineRig()
    for _ in range(10):
        for k in range(6):
            rig.report_traffic(k, zone=k % 2)
        rig.run(1)
    warm_weight = rig.server.tables[0][0]
    rig.register({"t0": ("run=b up=0.1", 0)}, stream=2)
    rig.run(1.5)
    assert rig.server.tables[0].get(0, 0.0) < warm_weight * 0.6
    assert rig.engine.endpoint_source.restarts == 1


def test_an_assigner_start_during_a_release_empties_no_table():
    """Only the list and the streams are known then: no table becomes empty, and cold tasks get only their fraction."""
    rig = EngineRig(tasks=4)
    fresh = {f"n{k}": (f"run=n up={k * 0.5}", k % 2) for k in range(3)}
    rig.register(fresh)
    rig.engine.update_endpoints(rig.now, Quiesced(1, ("t0",), True))
    rig.run(3)
    for proxy, table in rig.server.tables.items():
        assert {1, 2, 3} <= set(table)
        assert 0 not in table
        cold = [table[rig.task(name)] for name in fresh if rig.task(name) in table]
        assert all(weight <= 0.6 * max(table.values()) for weight in cold), proxy


class Flaky(Assigner):
    """A decision module that fails whenever a proxy leaves."""

    def decide(self, now, events):
        if any(isinstance(e, api.ProxyLeft) for e in events):
            raise KeyError("a fault of the module")
        return super().decide(now, events)


class Recording(Assigner):
    """A decision module that keeps the events of its last decision."""

    def decide(self, now, events):
        self.last_events = events
        return super().decide(now, events)


def test_the_queue_depth_is_the_last_event_although_a_merged_update_acknowledges_its_mark_early():
    rig = EngineRig(Recording, lines_per_s=40.0)
    rig.engine.queue.us_per_line = 1e6 / 40  # slow enough that every update waits and others are merged into it
    for k in range(3):
        rig.engine.update_endpoints(rig.now, Quiesced(1, (f"t{k}",), True))
        rig.run(0.3)
        events, waiting_lines = rig.engine.assigner.last_events, rig.engine.queue.waiting_lines
        assert type(events[-1]) is api.QueueDepth
        assert sum(type(event) is api.QueueDepth for event in events) == 1
        assert (
            rig.engine.assigner.backlog.sent - rig.engine.assigner.backlog.delivered >= events[-1].waiting_lines - 1e-6
        )
    assert rig.engine.queue.merged_updates > 0
    assert waiting_lines > 0


def test_a_failure_of_the_decision_module_is_logged_and_the_engine_continues():
    rig = EngineRig(Flaky)
    held = rig.held_tasks()
    with structlog.testing.capture_logs() as logs:
        rig.engine.log = structlog.get_logger()
        rig.engine.leave(rig.now, rig.proxies[0])
        rig.run(0.01)
        assert rig.held_tasks() == held  # proxies keep the tables they hold
        rig.run(3)
    (entry,) = [row for row in logs if row["event"] == "decision_module_failed"]
    assert "a fault of the module" in entry["error"]
    assert any("Left" in row for row in entry["events"])
    rig.engine.update_endpoints(rig.now, Quiesced(1, ("t3",), True))
    rig.run(1)
    assert all(3 not in rig.held_tasks()[p] for p in rig.proxies[1:])


def test_the_engine_gives_up_when_the_decision_module_keeps_failing():
    rig = EngineRig(Flaky)
    with pytest.raises(DecisionModuleError):
        for proxy in rig.proxies:
            rig.engine.leave(rig.now, proxy)
            rig.run(0.2)


def test_a_flood_of_reports_never_displaces_an_endpoint_list_update():
    rig = EngineRig()
    for _ in range(10_000):
        rig.engine.submit(rig.now, api.TrafficReport(0, 1, 1, 0, 1000, SECOND, ()))
    rig.engine.update_endpoints(rig.now, Quiesced(1, ("t1",), True))
    assert rig.engine.counts["events_dropped"] >= 6000
    rig.run(0.5)
    assert all(1 not in held for held in rig.held_tasks().values())


def test_indices_and_tables_do_not_grow_with_tasks_that_register_and_leave():
    rig = EngineRig(tasks=3, proxies=2)
    for week in range(300):
        rig.register({f"x{week}": (f"run=x{week} up=100", 0)}, stream=9)
        rig.run(0.3)
        rig.engine.update_endpoints(rig.now, StreamLost(9))
        rig.engine.update_endpoints(rig.now, Deregistered(9, ((f"x{week}",),)))
        rig.run(0.3)
    assert len(rig.engine.task_indices.names) < 150
    assert all(len(held) == 3 for held in rig.held_tasks().values())


def run_and_collect_updates(seed):
    rig = EngineRig(seed=seed)
    for second in range(6):
        for k in range(6):
            rig.report_traffic(k, failed=20 if k == 3 and second < 4 else 0, zone=k % 2)
        rig.run(1)
    return [
        (p.proxy, p.decision, p.decided_at_us, p.bindings, [(t, sorted(v.lines.items())) for t, v in p.tables])
        for p in rig.server.updates
    ]


def test_the_same_events_give_the_same_updates():
    first = run_and_collect_updates(3)
    assert first == run_and_collect_updates(3)
    assert len(first) > 8
