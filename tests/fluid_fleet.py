"""A modelled fleet around an assigner: proxies that apply commands at once, and tasks that get fluid traffic."""

from collections import defaultdict

from helpers import SECOND, AssignerRig, endpoint_list_update, make_endpoint

from hollyridge import interface as api

CAPACITY = 40.0  # RPCs that a warm task answers per second


class FluidFleet:
    """An assigner, proxies with a constant demand, and tasks with a linear warm-up.

    Attributes:
        rig: The assigner with its clock.
        demand: RPCs per second by proxy and method.
        zone_of_proxy: Zone by joined proxy.
        zone_of_task: Zone by task.
        started_at: Start time of each ready task; 0 for long ago.
        worst_cold_load: Largest load so far of a cold task, as a multiple of its capacity at that time.
    """

    def __init__(self, methods, task_zones, proxy_zones, demand, **overrides):
        overrides = {"methods": methods, "zones": max(task_zones) + 1, "proxy_ejection_failures": 0, **overrides}
        self.demand = demand
        self.zone_of_task = dict(enumerate(task_zones))
        self.started_at = dict.fromkeys(self.zone_of_task, 0)
        self.zone_of_proxy = {}
        self.worst_cold_load = 0.0
        self.rig = AssignerRig(tasks=0, proxies=0, **overrides)
        self._forget_orders()
        entries = [make_endpoint(task, zone) for task, zone in self.zone_of_task.items()]
        self.join_all(proxy_zones, endpoint_list_update(entries, api.UpdateKind.CACHED))

    def join_all(self, proxy_zones, *events):
        self.feed(*events, *[self._join(proxy, zone) for proxy, zone in enumerate(proxy_zones)])

    def join(self, proxy, zone):
        self.feed(self._join(proxy, zone))

    def restart_assigner(self):
        """Replace the assigner by a new one that knows the list as it is, and let all proxies join it.

        What proxies send by their former tables until they get new ones is not modelled.
        """
        rig = self.rig
        rig.assigner = type(rig.assigner)(rig.config, 8)
        entries = [make_endpoint(t, self.zone_of_task[t], started_at=at) for t, at in self.started_at.items()]
        proxies = dict(self.zone_of_proxy)
        self._forget_orders()
        self.feed(
            endpoint_list_update(entries, api.UpdateKind.CACHED),
            *[self._join(proxy, zone) for proxy, zone in proxies.items()],
        )

    def lose(self, *tasks, state=api.TaskState.GONE):
        for task in tasks:
            del self.started_at[task]
        self._change([make_endpoint(task, self.zone_of_task[task], state) for task in tasks])

    def start(self, *tasks, zone=None):
        """Start tasks now, cold; `zone` is that of tasks that are new."""
        for task in tasks:
            self.zone_of_task.setdefault(task, zone)
            self.started_at[task] = self.rig.now
        self._change([make_endpoint(task, self.zone_of_task[task], started_at=self.started_at[task]) for task in tasks])

    def run(self, seconds):
        """Play report periods; proxies and tasks report what they get."""
        for _ in range(seconds):
            load = self.load()
            reports = [self._report(zone, task, rpcs, load) for (zone, task), rpcs in sorted(load.items())]
            offered = [
                api.OfferedLoad(round(rpcs), SECOND, proxy, method, 0)
                for proxy in self.zone_of_proxy
                for method, rpcs in enumerate(self.demand)
            ]
            self._apply(self.rig.period(*reports, *offered))

    def load(self):
        """Return the RPCs per second by zone of proxies and task."""
        load = defaultdict(float)
        for (proxy, method), table in self.table_of_method.items():
            lines = self.lines[table]
            admitted = self._admitted(table, method)
            for task, weight in lines.items():
                load[self.zone_of_proxy[proxy], task] += admitted * weight / sum(lines.values())
        return load

    def load_of(self, *tasks):
        return sum(rpcs for (_, task), rpcs in self.load().items() if task in tasks)

    def capacity(self, task):
        """Return the RPCs per second that a task can answer now."""
        config, age = self.rig.config, self.rig.now - self.started_at[task]
        warm_part = 1.0 if not self.started_at[task] else min(1.0, age / config.warm_up_us)
        return CAPACITY * (config.cold_capacity_fraction + (1 - config.cold_capacity_fraction) * warm_part)

    def feed(self, *events, after=0.0):
        self._apply(self.rig.feed(*events, after=after))

    def _join(self, proxy, zone):
        for key in [key for key in self.table_of_method if key[0] == proxy]:
            del self.table_of_method[key]
        self.zone_of_proxy[proxy] = zone
        return api.ProxyJoined(sum(self.demand), False, proxy, zone)

    def _change(self, entries):
        self.feed(endpoint_list_update(entries, api.UpdateKind.DELTA), after=0.1)

    def _forget_orders(self):
        self.lines = defaultdict(dict)
        self.levels = {}
        self.table_of_method = {}

    def _admitted(self, table, method):
        amount = self.levels.get((table, method))
        if amount is None:
            return self.demand[method]
        if self.rig.config.admission == api.Admission.PER_SECOND:
            return min(amount, self.demand[method])
        return amount * self.demand[method]

    def _apply(self, commands):
        methods = range(len(self.demand))
        for command in commands:
            if isinstance(command, api.SetWeight):
                self.lines[command.table][command.task] = command.weight
                if command.weight == 0:
                    del self.lines[command.table][command.task]
            elif isinstance(command, api.SetAdmission):
                selected = [method for method in methods if command.methods >> method & 1]
                self.levels.update(((command.table, method), command.amount) for method in selected)
            elif isinstance(command, api.BindTable):
                selected = [m for m in methods if not command.methods or command.methods >> m & 1]
                self.table_of_method.update(((command.proxy, method), command.table) for method in selected)
        self._record_cold_load()

    def _record_cold_load(self):
        for task, started_at in self.started_at.items():
            if started_at and self.rig.now - started_at < self.rig.config.warm_up_us:
                self.worst_cold_load = max(self.worst_cold_load, self.load_of(task) / self.capacity(task))

    def _report(self, zone, task, rpcs, load):
        total = sum(part for (_, other), part in load.items() if other == task)
        capacity = self.capacity(task) if task in self.started_at else 0.0
        failed = rpcs * max(0.0, 1 - capacity / total)
        attempts = max(1, round(rpcs))
        utilization = min(1.0, total / capacity) if capacity else 1.0
        report = self.rig.report(zone, task, attempts=attempts, failed=min(attempts, round(failed)))
        return report._replace(load=(utilization, 0.0))
