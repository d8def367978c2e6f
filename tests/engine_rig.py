"""An engine with a clock and a protocol server of the tests' own, and the tables that its proxies would hold."""

import structlog
from helpers import SECOND, bootstrap

from hollyridge import interface as api
from hollyridge.core.engine import Engine, EngineLimits
from hollyridge.decisions.assigner import Assigner
from hollyridge.delivery.update_builder import ServerCapabilities
from hollyridge.registration import members
from hollyridge.registration.members import MemberRequest, Registered
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
