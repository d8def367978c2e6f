"""The loop around the module, with a clock and a front of the test's own."""

import pytest
import structlog
from helpers import SECOND, bootstrap

from hollyridge import interface as api
from hollyridge.core.engine import DecisionModuleError, Engine, EngineLimits
from hollyridge.decisions.assigner import Assigner
from hollyridge.delivery.update_builder import ServerCapabilities
from hollyridge.lab.policies import Even
from hollyridge.registration import members
from hollyridge.registration.members import Deregistered, MemberRequest, Quiesced, Registered, StreamLost
from hollyridge.telemetry.report_aggregator import DataPoint, Kind

START = 1_000 * SECOND
TERMS = members.RegistrationConfig(16 * SECOND, SECOND, 30 * SECOND, SECOND // 2, 3 * SECOND, 1000)


class Front:
    """Keeps the tables that proxies would hold."""

    capabilities = ServerCapabilities(False, False, False, True, 1)

    def __init__(self):
        self.tables, self.bound, self.log = {}, {}, []

    def count_lines(self, proxy, update):
        return sum(lines for _, lines in update.line_counts), sum(len(value) for _, value in update.tables)

    def write(self, proxy, update):
        self.log.append(update)
        for table, _ in update.bindings:
            self.bound[proxy] = table
        for table, value in update.tables:
            if table == self.bound.get(proxy):
                self.tables[proxy] = dict(value.lines)


class House:
    def __init__(self, make=Assigner, tasks=6, proxies=4, seed=7, **terms):
        config = bootstrap(admission=api.Admission.SILENT, **terms)
        limits = EngineLimits(2000.0, 3.0, 4000.0, 1000, 100, 1000, 500, 1e6, 500, 4000)
        self.now, self.front = START, Front()
        self.engine = Engine(
            config, seed, limits, members.MemberRegistry(TERMS, START), START, structlog.get_logger(), make
        )
        self.register({f"t{k}": ("run=a up=100", k % 2) for k in range(tasks)})
        self.proxies = [self.engine.join(self.now, self.front, f"gw-{k}", k % 2, 5.0) for k in range(proxies)]
        self.run(5)

    def register(self, rows, stream=1):
        found = tuple(
            MemberRequest((name,), self.engine.task_indices.allocate(self.now, (name,)), zone, label, False)
            for name, (label, zone) in rows.items()
        )
        return self.engine.update_endpoints(self.now, Registered(stream, found))

    def task(self, name):
        return self.engine.task_indices.index[(name,)]

    def run(self, seconds, receipts=True):
        """Let time pass, with receipts 50 ms after each message."""
        until = self.now + round(seconds * SECOND)
        told = len(self.front.log)
        while self.now < until:
            due = self.engine.run(self.now)
            for update in self.front.log[told:] if receipts else ():
                if update.mark >= 0:
                    self.engine.acknowledge(self.now, update.proxy, update.mark, 50_000)
            told = len(self.front.log)
            self.now = max(self.now + 1000, min(due, until, self.now + 50_000))

    def met(self, task, tries=20, bad=0, zone=0, span=1.0):
        end = self.now * 1000
        rows = ((Kind.TRIES, tries), (Kind.FAILED, bad), (Kind.TIME, (tries - bad) * 0.1))
        for kind, value in rows:
            self.engine.report(self.now, DataPoint("gw", kind, (zone, task), 0, value, end - round(span * 1e9), end))

    def held(self):
        return {proxy: set(table) for proxy, table in self.front.tables.items()}


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
    house.engine.queue.per_line = 1e6 / 40  # a channel so slow that every message waits and is joined to
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
    (entry,) = [row for row in logs if row["event"] == "module failed"]
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
