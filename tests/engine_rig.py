"""An engine with a simulated clock and a protocol server that records updates and the tables of its proxies."""

import structlog
from helpers import SECOND, assigner_config

from hollyridge import interface as api
from hollyridge.core.engine import Engine, EngineLimits
from hollyridge.decisions.assigner import Assigner
from hollyridge.delivery.update_builder import ServerCapabilities
from hollyridge.registration import members
from hollyridge.registration.members import MemberRequest, Registered
from hollyridge.telemetry.report_aggregator import DataPoint, Kind

START = 1_000 * SECOND
REGISTRATION_CONFIG = members.RegistrationConfig(16 * SECOND, SECOND, 30 * SECOND, SECOND // 2, 3 * SECOND, 1000)


class RecordingServer:
    """A protocol server that records the updates and the tables that proxies hold after them."""

    capabilities = ServerCapabilities(False, False, False, True, 1)

    def __init__(self):
        self.tables, self.bound, self.updates = {}, {}, []

    def count_lines(self, proxy, update):
        return sum(lines for _, lines in update.line_counts), sum(len(value) for _, value in update.tables)

    def write(self, proxy, update):
        self.updates.append(update)
        for table, _ in update.bindings:
            self.bound[proxy] = table
        for table, value in update.tables:
            if table == self.bound.get(proxy):
                self.tables[proxy] = dict(value.lines)


class EngineRig:
    """An engine with registered tasks and joined proxies, advanced by `run`."""

    def __init__(self, make_assigner=Assigner, tasks=6, proxies=4, seed=7, **config_values):
        config = assigner_config(admission=api.Admission.NOT_SUPPORTED, **config_values)
        limits = EngineLimits(2000.0, 3.0, 4000.0, 1000, 100, 1000, 500, 1e6, 500, 4000)
        self.now, self.server = START, RecordingServer()
        self.engine = Engine(
            config,
            seed,
            limits,
            members.MemberRegistry(REGISTRATION_CONFIG, START),
            START,
            structlog.get_logger(),
            make_assigner,
        )
        self.register({f"t{k}": ("run=a up=100", k % 2) for k in range(tasks)})
        self.proxies = [self.engine.join(self.now, self.server, f"gw-{k}", k % 2, 5.0) for k in range(proxies)]
        self.run(5)

    def register(self, labels, stream=1):
        requests = tuple(
            MemberRequest((name,), self.engine.task_indices.allocate(self.now, (name,)), zone, label, False)
            for name, (label, zone) in labels.items()
        )
        return self.engine.update_endpoints(self.now, Registered(stream, requests))

    def task(self, name):
        return self.engine.task_indices.index[(name,)]

    def run(self, seconds, acks=True):
        """Advance the clock. Proxies acknowledge updates with an apply time of 50 ms."""
        until = self.now + round(seconds * SECOND)
        seen = len(self.server.updates)
        while self.now < until:
            due = self.engine.run(self.now)
            for update in self.server.updates[seen:] if acks else ():
                if update.mark >= 0:
                    self.engine.acknowledge(self.now, update.proxy, update.mark, 50_000)
            seen = len(self.server.updates)
            self.now = max(self.now + 1000, min(due, until, self.now + 50_000))

    def report_traffic(self, task, attempts=20, failed=0, zone=0, period_s=1.0):
        end_ns = self.now * 1000
        start_ns = end_ns - round(period_s * 1e9)
        figures = (
            (Kind.ATTEMPTS, attempts),
            (Kind.FAILED_ATTEMPTS, failed),
            (Kind.ATTEMPT_TIME, (attempts - failed) * 0.1),
        )
        for kind, value in figures:
            self.engine.report(self.now, DataPoint("gw", kind, (zone, task), 0, value, start_ns, end_ns))

    def held_tasks(self):
        return {proxy: set(table) for proxy, table in self.server.tables.items()}
