"""What the tests share: a bootstrap, an assigner at work, and a reading of its orders."""

from hollyridge import interface as api
from hollyridge.decisions.assigner import Assigner

SECOND = 1_000_000
START = 1_000 * SECOND


def method(repeat=api.Idempotency.IDEMPOTENT, group=api.IdempotencyScope.ALL, **terms):
    row = dict(
        soft_deadline=SECOND // 2,
        deadline=3 * SECOND // 2,
        criticality=1.0,
        repeat=repeat,
        group=group,
        window=2 * SECOND,
        own_zone=False,
    )
    return api.MethodConfig(**{**row, **terms})


def bootstrap(**terms):
    row = dict(
        methods=(method(), method(api.Idempotency.NON_IDEMPOTENT, criticality=2.0)),
        zones=2,
        assigners=1,
        subscribe=False,
        ask_within=10 * SECOND,
        period=SECOND,
        lines_per_s=1000.0,
        overhead=3.0,
        most_waiting=2000.0,
        messages_most=0,
        counted_over=10 * SECOND,
        transit=SECOND // 5,
        worst_transit=SECOND // 2,
        bare=5 * SECOND,
        drain_grace=3 * SECOND,
        gone_is_advice=False,
        cold_from=0.2,
        warm_up=16 * SECOND,
        fall=2 * SECOND,
        fall_multiple=4.0,
        pick=api.BalancingPolicy.P2C,
        admission=api.Admission.FRACTION,
        retry_default=0,
        per_try=1.2,
        partitions=0,
        one_owner=False,
        load_names=("util", "queue"),
        outlier_after=3,
        initial_set=5,
        cross_zone_price=0.1,
    )
    return api.AssignerConfig(**{**row, **terms})


def entry(task, zone=None, state=api.TaskState.READY, started_at=0):
    return api.Endpoint(task, task % 2 if zone is None else zone, 0, 0, state, 1.0, started_at)


def roster(entries, kind=api.UpdateKind.FULL):
    return api.EndpointListUpdate(1, kind, tuple(entries))


class Rig:
    """An assigner with a clock, and the tables its proxies would hold after its orders."""

    def __init__(self, tasks=8, proxies=4, seed=7, **terms):
        self.boot = bootstrap(**terms)
        self.assigner = Assigner(self.boot, seed)
        self.now = START
        self.tables: dict[int, dict[int, float]] = {}
        self.bound: dict[int, int] = {}
        self.levels: dict[tuple, tuple] = {}
        self.orders: list = []
        self.feed(
            roster([entry(i) for i in range(tasks)], api.UpdateKind.CACHED),
            *[api.ProxyJoined(5.0, True, p, p % 2) for p in range(proxies)],
        )

    def feed(self, *events, after=0.0):
        self.now += round(after * SECOND)
        self.orders = self.assigner.decide(self.now, list(events))
        for o in self.orders:
            if isinstance(o, api.SetWeight):
                self.tables.setdefault(o.table, {})[o.task] = o.weight
                if o.weight == 0:
                    del self.tables[o.table][o.task]
            elif isinstance(o, api.BindTable):
                self.bound[o.proxy] = o.table
            elif isinstance(o, api.SetAdmission):
                self.levels[o.table, o.methods] = (o.amount, o.retry)
        return self.orders

    def period(self, *reports, receipts=True):
        """Let a report period pass, with reports at its end."""
        events = [api.TimerFired(0), *reports]
        if receipts:
            events += [api.Ack(0, o.mark, SECOND // 5) for o in self.orders if isinstance(o, api.RequestAck)]
        return self.feed(*events, after=self.boot.period / SECOND)

    def met(self, zone, task, latency=0.1, tries=10, bad=0):
        return api.TrafficReport(zone, task, tries, bad, round(latency * SECOND), SECOND, ())

    def share(self, zone, task):
        table = self.tables[zone]
        return table.get(task, 0.0) / sum(table.values())


def lines(orders):
    return [o for o in orders if isinstance(o, api.SetWeight)]
