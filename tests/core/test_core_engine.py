"""The engine with a clock and a protocol server of the tests' own."""

import pytest
import structlog
from engine_rig import House
from helpers import SECOND

from hollyridge import interface as api
from hollyridge.core.engine import DecisionModuleError
from hollyridge.decisions.assigner import Assigner
from hollyridge.lab.experiments.policies import Even
from hollyridge.registration.members import Deregistered, Quiesced, StreamLost


def test_all_proxies_hold_all_tasks_and_one_message_each():
    house = House()
    assert set(house.held()) == set(house.proxies) and all(held == set(range(6)) for held in house.held().values())
    assert len(house.front.log) == 4


@pytest.mark.parametrize("make", [Assigner, Even])
def test_a_drain_is_everywhere_within_the_grace(make):
    house = House(make)
    for how in (Quiesced(1, ("t1",), True), Deregistered(1, (("t2",),))):
        house.engine.update_endpoints(house.now, how)
        house.run(0.5)
    assert all(not held & {house.task("t1"), 2} for held in house.held().values())
    late = house.engine.join(house.now, house.front, "late", 0, 5.0)
    house.run(2)
    assert house.held()[late] == {0, 3, 4, 5}


def test_a_restart_under_the_same_address_rises_again():
    house = House()
    for _ in range(10):
        for k in range(6):
            house.met(k, zone=k % 2)
        house.run(1)
    warm = house.front.tables[0][0]
    house.register({"t0": ("run=b up=0.1", 0)}, stream=2)
    house.run(1.5)
    assert house.front.tables[0].get(0, 0.0) < warm * 0.6
    assert house.engine.endpoint_source.restarts == 1


def test_started_over_in_the_middle_of_a_release():
    """The list and the streams are all it has: nothing empties, the cold get their part only."""
    house = House(tasks=4)
    fresh = {f"n{k}": (f"run=n up={k * 0.5}", k % 2) for k in range(3)}
    house.register(fresh)
    house.engine.update_endpoints(house.now, Quiesced(1, ("t0",), True))
    house.run(3)
    for proxy, table in house.front.tables.items():
        assert {1, 2, 3} <= set(table) and 0 not in table
        cold = [table[house.task(name)] for name in fresh if house.task(name) in table]
        assert all(weight <= 0.6 * max(table.values()) for weight in cold), proxy


class Flaky(Assigner):
    """Fails whenever it is told of this many proxies that left at once."""

    def decide(self, now, events):
        if any(isinstance(e, api.ProxyLeft) for e in events):
            raise KeyError("a fault of the module")
        return super().decide(now, events)


class Listening(Assigner):
    def decide(self, now, events):
        self.heard = events
        return super().decide(now, events)


def test_the_module_is_told_last_what_waits_though_a_joined_message_tells_its_mark_early():
    house = House(Listening, lines_per_s=40.0)
    house.engine.queue.us_per_line = 1e6 / 40  # a channel so slow that every message waits and is joined to
    for k in range(3):
        house.engine.update_endpoints(house.now, Quiesced(1, (f"t{k}",), True))
        house.run(0.3)
        heard, waits = house.engine.assigner.heard, house.engine.queue.waiting_lines
        assert type(heard[-1]) is api.QueueDepth and sum(type(event) is api.QueueDepth for event in heard) == 1
        assert (
            house.engine.assigner.backlog.sent - house.engine.assigner.backlog.delivered
            >= heard[-1].waiting_lines - 1e-6
        )
    assert house.engine.queue.merged_updates > 0 and waits > 0


def test_a_failure_of_the_module_is_told_and_outlived():
    house = House(Flaky)
    held = house.held()
    with structlog.testing.capture_logs() as logs:
        house.engine.log = structlog.get_logger()
        house.engine.leave(house.now, house.proxies[0])
        house.run(0.01)
        assert house.held() == held  # they keep what they hold
        house.run(3)
    (entry,) = [row for row in logs if row["event"] == "decision_module_failed"]
    assert "a fault of the module" in entry["error"] and any("Left" in row for row in entry["events"])
    house.engine.update_endpoints(house.now, Quiesced(1, ("t3",), True))
    house.run(1)
    assert all(3 not in house.held()[p] for p in house.proxies[1:])


def test_it_gives_up_when_the_module_fails_on_and_on():
    house = House(Flaky)
    with pytest.raises(DecisionModuleError):
        for proxy in house.proxies:
            house.engine.leave(house.now, proxy)
            house.run(0.2)


def test_a_flood_of_reports_never_displaces_the_list():
    house = House()
    for _ in range(10_000):
        house.engine.submit(house.now, api.TrafficReport(0, 1, 1, 0, 1000, SECOND, ()))
    house.engine.update_endpoints(house.now, Quiesced(1, ("t1",), True))
    assert house.engine.counts["events_dropped"] >= 6000
    house.run(0.5)
    assert all(1 not in held for held in house.held().values())


def test_tasks_that_come_and_go_leave_no_trace():
    house = House(tasks=3, proxies=2)
    for week in range(300):
        house.register({f"x{week}": (f"run=x{week} up=100", 0)}, stream=9)
        house.run(0.3)
        house.engine.update_endpoints(house.now, StreamLost(9))
        house.engine.update_endpoints(house.now, Deregistered(9, ((f"x{week}",),)))
        house.run(0.3)
    assert len(house.engine.task_indices.names) < 150
    assert all(len(held) == 3 for held in house.held().values())


def story(seed):
    house = House(seed=seed)
    for second in range(6):
        for k in range(6):
            house.met(k, bad=20 if k == 3 and second < 4 else 0, zone=k % 2)
        house.run(1)
    return [
        (p.proxy, p.decision, p.decided_at_us, p.bindings, [(t, sorted(v.lines.items())) for t, v in p.tables])
        for p in house.front.log
    ]


def test_same_events_same_orders():
    first = story(3)
    assert first == story(3) and len(first) > 8
