"""Shared builders for tests of the decision module: configurations, endpoint lists, and an assigner with a clock."""

from hollyridge import interface as api
from hollyridge.decisions.assigner import Assigner

SECOND = 1_000_000
START = 1_000 * SECOND


def method(repeat=api.Idempotency.IDEMPOTENT, group=api.IdempotencyScope.ALL, **overrides):
    defaults = dict(
        soft_deadline_us=SECOND // 2,
        deadline_us=3 * SECOND // 2,
        criticality=1.0,
        idempotency=repeat,
        idempotency_scope=group,
        idempotency_window_us=2 * SECOND,
        same_zone_only=False,
    )
    return api.MethodConfig(**{**defaults, **overrides})


def assigner_config(**overrides):
    defaults = dict(
        methods=(method(), method(api.Idempotency.NON_IDEMPOTENT, criticality=2.0)),
        zones=2,
        assigners=1,
        subscribe=False,
        refresh_within_us=10 * SECOND,
        report_period_us=SECOND,
        lines_per_s=1000.0,
        message_overhead_lines=3.0,
        max_waiting_lines=2000.0,
        max_messages_per_proxy=0,
        message_count_window_us=10 * SECOND,
        transit_us=SECOND // 5,
        max_transit_us=SECOND // 2,
        empty_table_limit_us=5 * SECOND,
        drain_grace_us=3 * SECOND,
        removal_is_advisory=False,
        cold_capacity_fraction=0.2,
        warm_up_us=16 * SECOND,
        overload_window_us=2 * SECOND,
        overload_multiple=4.0,
        balancing_policy=api.BalancingPolicy.P2C,
        admission=api.Admission.FRACTION,
        default_retry_mode=0,
        attempt_timeout_factor=1.2,
        slices=0,
        exclusive_slices=False,
        load_metric_names=("util", "queue"),
        proxy_ejection_failures=3,
        initial_table_size=5,
        cross_zone_cost=0.1,
    )
    return api.AssignerConfig(**{**defaults, **overrides})


def make_endpoint(task, zone=None, state=api.TaskState.READY, started_at=0):
    return api.Endpoint(task, task % 2 if zone is None else zone, 0, 0, state, 1.0, started_at)


def endpoint_list_update(entries, kind=api.UpdateKind.FULL):
    return api.EndpointListUpdate(1, kind, tuple(entries))


class AssignerRig:
    """An assigner with a clock, and the state of its proxies after its commands.

    Attributes:
        now: The clock, in microseconds.
        tables: Weight of each task in each table.
        bound: Table that each proxy is bound to.
        levels: Admission level and retry mode, by table and methods.
        commands: Commands of the last call.
    """

    def __init__(self, tasks=8, proxies=4, seed=7, **overrides):
        self.config = assigner_config(**overrides)
        self.assigner = Assigner(self.config, seed)
        self.now = START
        self.tables: dict[int, dict[int, float]] = {}
        self.bound: dict[int, int] = {}
        self.levels: dict[tuple, tuple] = {}
        self.commands: list = []
        self.feed(
            endpoint_list_update([make_endpoint(i) for i in range(tasks)], api.UpdateKind.CACHED),
            *[api.ProxyJoined(5.0, True, p, p % 2) for p in range(proxies)],
        )

    def feed(self, *events, after=0.0):
        self.now += round(after * SECOND)
        self.commands = self.assigner.decide(self.now, list(events))
        for command in self.commands:
            if isinstance(command, api.SetWeight):
                self.tables.setdefault(command.table, {})[command.task] = command.weight
                if command.weight == 0:
                    del self.tables[command.table][command.task]
            elif isinstance(command, api.BindTable):
                self.bound[command.proxy] = command.table
            elif isinstance(command, api.SetAdmission):
                self.levels[command.table, command.methods] = (command.amount, command.retry_mode)
        return self.commands

    def period(self, *reports, acks=True):
        """Advance the clock by a report period and feed reports; with `acks`, acknowledge the requested marks."""
        events = [api.TimerFired(0), *reports]
        if acks:
            events += [
                api.Ack(0, command.mark, SECOND // 5)
                for command in self.commands
                if isinstance(command, api.RequestAck)
            ]
        return self.feed(*events, after=self.config.report_period_us / SECOND)

    def report(self, zone, task, latency=0.1, attempts=10, failed=0):
        return api.TrafficReport(zone, task, attempts, failed, round(latency * SECOND), SECOND, ())

    def share(self, zone, task):
        table = self.tables[zone]
        return table.get(task, 0.0) / sum(table.values())


def lines(commands):
    return [command for command in commands if isinstance(command, api.SetWeight)]
