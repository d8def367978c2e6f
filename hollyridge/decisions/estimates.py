"""Estimates: what load reports tell of tasks and proxies, smoothed over report periods."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.interface import AssignerConfig, OfferedLoad, TrafficReport

BUSY_UTILIZATION = 0.85  # utilisation from which tasks count as busy, and which admission aims at
OVERLOAD_FAILURE_RATIO = 0.25  # part of all attempts that fail while the fleet is overloaded
MIN_ATTEMPTS = 6.0  # a period, from a zone's proxies; below that they show nothing of an overload
HISTORY_DECAY = 0.75  # part of what was reported that still counts a period later
CAPACITY_DECAY = 0.9  # the same for what a task can do, which changes less
UTILIZATION_METRIC = "util"  # the platform's name for a task's utilisation among its load metrics
UNKNOWN_UTILIZATION = -1.0  # not reported since it was last used
MAX_REPORTED_UTILIZATION = 1.5  # anything above is an error of the report
MAX_SMOOTHED_UTILIZATION = 0.95  # keeps 1 / (1 - utilisation) bounded
UTILIZATION_SMOOTHING = 2  # the smoothed figure goes half of the way to the reported one
VALID_INTERVALS = 2  # report intervals for which a report counts: it would have come again by then
OBJECTIVE_AT_OVERLOAD = 0.6  # mean latency, in latency objectives, that scores as overload by itself
BEST_TASKS_DIVISOR = 4  # the best quarter of the tasks shows whether all fail
MIN_ANSWERED = 1.0  # RPCs a period; keeps a mean over answers finite where nearly all fail
PRIOR_BUSY_PERIODS = 1.0  # busy periods' worth of trust in the listed weight
MIN_LOAD = 1e-9  # RPCs a period; keeps a ratio to what comes finite
MICROSECONDS_PER_SECOND = 1e6


class PeriodTraffic(NamedTuple):
    """What proxies of a zone saw at a task in a report period: attempts, failed ones, latency sum of the others."""

    attempts: float
    failed: float
    latency_sum_us: float


NO_TRAFFIC = PeriodTraffic(0.0, 0.0, 0.0)


class PeriodLoad(NamedTuple):
    """RPCs of a method that reach a proxy in a report period, and until when its reports cover time."""

    rpcs: float
    covered_until_us: int


class Estimates:
    """Figures by task, by zone of proxies and task, and by proxy and method.

    Attributes:
        latency_objective_us: Soft deadline, the mean over methods by criticality.
        failure_cost_us: Hard deadline, the same mean: what a failed attempt counts as.
        attempts: Attempts by zone of proxies and task, decayed each period, as the next two are.
        failed: The failed ones among them.
        latency_sum_us: Their summed latency, failures at `failure_cost_us`.
        utilization: As just reported, by task; `UNKNOWN_UTILIZATION` once used.
        mean_utilization: The same, smoothed.
        answered: RPCs answered while warm, by task, decayed.
        busy_periods: Periods' worth of full utilisation in which they were answered.
        capacity: RPCs that a task answers in a busy period.
        traffic: By zone of proxies and task, as last reported; reports come in parts and hold for a while.
        valid_until_us: Until when that holds.
        offered_load: By proxy and method, as last reported.
        joined_at_us: When each proxy joined.
    """

    def __init__(self, config: AssignerConfig) -> None:
        self.config = config
        self.zones = range(config.zones)
        total = sum(method.criticality for method in config.methods) or 1.0
        self.latency_objective_us = sum(m.soft_deadline_us * m.criticality for m in config.methods) / total
        self.failure_cost_us = sum(m.deadline_us * m.criticality for m in config.methods) / total
        self.attempts: list[list[float]] = [[] for _ in self.zones]
        self.failed: list[list[float]] = [[] for _ in self.zones]
        self.latency_sum_us: list[list[float]] = [[] for _ in self.zones]
        self.utilization: list[float] = []
        self.mean_utilization: list[float] = []
        self.answered: list[float] = []
        self.busy_periods: list[float] = []
        self.capacity: list[float] = []
        self.traffic: list[list[PeriodTraffic]] = [[] for _ in self.zones]
        self.valid_until_us: list[list[int]] = [[] for _ in self.zones]
        self.offered_load: dict[int, dict[int, PeriodLoad]] = {}
        self.joined_at_us: dict[int, int] = {}

    def ensure_tasks(self, count: int) -> None:
        """Makes room for tasks up to this count."""
        missing = count - len(self.utilization)
        self.utilization.extend([UNKNOWN_UTILIZATION] * missing)
        for traffic in self.traffic:
            traffic.extend([NO_TRAFFIC] * missing)
        for column in self.valid_until_us + self._learned_columns():
            column.extend([0] * missing)

    def forget(self, task: int) -> None:
        """Starts a task over: what was learned of its earlier run says nothing of this one."""
        for column in self._learned_columns():
            column[task] = 0.0

    def record_traffic(self, now_us: int, report: TrafficReport) -> None:
        """Takes in a report; one that can't be is ignored."""
        zone, task = report.zone, report.task
        if zone >= self.config.zones or task >= len(self.utilization):
            return
        if report.interval_us <= 0 or report.attempts <= 0:
            return
        failed = min(report.failed, report.attempts)
        answered = report.attempts - failed if report.latency_us >= 0 else 0
        attempts = failed + answered
        latency_sum_us = answered * report.latency_us
        self.attempts[zone][task] += attempts
        self.failed[zone][task] += failed
        self.latency_sum_us[zone][task] += latency_sum_us + failed * self.failure_cost_us
        metrics = dict(zip(self.config.load_metric_names, report.load))
        self.utilization[task] = min(metrics.get(UTILIZATION_METRIC, UNKNOWN_UTILIZATION), MAX_REPORTED_UTILIZATION)
        period_us = self.config.report_period_us
        span_us = max(report.interval_us, period_us)
        per_period = period_us / span_us
        self.traffic[zone][task] = PeriodTraffic(
            attempts * per_period, failed * per_period, latency_sum_us * per_period
        )
        self.valid_until_us[zone][task] = now_us + VALID_INTERVALS * span_us

    def record_offered_load(self, event: OfferedLoad) -> None:
        """Takes in what reached a proxy; a report of no time is ignored."""
        if event.interval_us <= 0:
            return
        by_method = self.offered_load.setdefault(event.proxy, {})
        before = by_method.get(event.method)
        covered_us = self.joined_at_us.get(event.proxy, 0) if before is None else before.covered_until_us
        period_us = self.config.report_period_us
        per_period = period_us / max(event.interval_us, period_us)
        by_method[event.method] = PeriodLoad(event.rpcs * per_period, covered_us + event.interval_us)

    def offered_rates(self, proxy_zone: dict[int, int], zone: int, method: int) -> list[float]:
        """RPCs of a method that come to each of a zone's proxies a second, ascending, as far as reported."""
        loads = (by.get(method) for proxy, by in self.offered_load.items() if proxy_zone.get(proxy) == zone)
        return sorted(load.rpcs * MICROSECONDS_PER_SECOND / self.config.report_period_us for load in loads if load)

    def offered(self, proxy: int) -> float:
        """RPCs of all methods that reach a proxy in a report period."""
        return sum(load.rpcs for load in self.offered_load.get(proxy, {}).values())

    def covered_until_us(self) -> int:
        """Up to when the newest report covers time."""
        loads = (load for by_method in self.offered_load.values() for load in by_method.values())
        return max((load.covered_until_us for load in loads), default=0)

    def decay(self, now_us: int) -> None:
        """Ages all that was reported by one period, and drops what would have come again by now."""
        for column in (*self.attempts, *self.failed, *self.latency_sum_us):
            column[:] = [figure * HISTORY_DECAY for figure in column]
        for traffic, valid_until_us in zip(self.traffic, self.valid_until_us):
            traffic[:] = [seen if now_us <= until_us else NO_TRAFFIC for seen, until_us in zip(traffic, valid_until_us)]

    def capacity_fraction(self, usable: dict[int, float]) -> float:
        """Part of the RPCs that come which the tasks can answer without being too busy; 1 if not known.

        Args:
            usable: Part of its capacity that each task can be used for.
        """
        capacity = sum(self.capacity[task] * part for task, part in usable.items())
        load = sum(map(self.offered, self.offered_load))
        return min(1.0, BUSY_UTILIZATION * capacity / max(load, MIN_LOAD)) if capacity > 0 else 1.0

    def attempts_and_failures(self, tasks: list[int] | set[int]) -> tuple[float, float]:
        """Attempts at these tasks in a period, from all zones, and the failed ones."""
        attempts = sum(traffic[task].attempts for traffic in self.traffic for task in tasks)
        failed = sum(traffic[task].failed for traffic in self.traffic for task in tasks)
        return attempts, failed

    def all_overloaded(self, tasks: list[int]) -> bool:
        """Whether even the best quarter of these tasks fail as in an overload: more than some faulty tasks."""
        seen = (self.attempts_and_failures([task]) for task in tasks)
        ratios = sorted(failed / attempts for attempts, failed in seen if attempts > 0)
        return bool(ratios) and ratios[len(ratios) // BEST_TASKS_DIVISOR] > OVERLOAD_FAILURE_RATIO

    def update_sizes(self, listed_weight: list[float], tasks: list[int], warm: list[int]) -> list[float]:
        """Learns capacities from the last period; returns each task's size, on the scale of listed weights.

        Args:
            listed_weight: By task; it stands in where little was reported.
            tasks: The ready tasks.
            warm: Those that are past their slow start; others show nothing of their capacity.
        """
        warm_tasks = set(warm)
        for task in tasks:
            if self.utilization[task] >= 0.0:
                self._learn_capacity(task, task in warm_tasks)
            self.utilization[task] = UNKNOWN_UTILIZATION
        answered = sum(self.answered[task] for task in tasks)
        busy_periods = sum(self.busy_periods[task] for task in tasks)
        if busy_periods <= 0 or answered <= 0:
            return list(listed_weight)
        per_weight = answered / sum(self.busy_periods[task] * listed_weight[task] for task in tasks)
        self.capacity[:] = [
            (rpcs + weight * per_weight) / (periods + PRIOR_BUSY_PERIODS)
            for rpcs, weight, periods in zip(self.answered, listed_weight, self.busy_periods)
        ]
        scale = sum(listed_weight[task] for task in tasks) / sum(self.capacity[task] for task in tasks)
        return [capacity * scale for capacity in self.capacity]

    def overload_score(self, zone: int) -> float:
        """Above 1 where a zone's attempts fail or are late; 0 while there are few.

        Where cores are idle it is for weights and outlier detection to mend that, not for admission.
        """
        attempts, failed, latency_sum_us = (sum(column) for column in zip(*self.traffic[zone]))
        if attempts < MIN_ATTEMPTS:
            return 0.0
        mean_latency_us = latency_sum_us / max(attempts - failed, MIN_ANSWERED)
        lateness = mean_latency_us / self.latency_objective_us / OBJECTIVE_AT_OVERLOAD
        return lateness + failed / attempts / OVERLOAD_FAILURE_RATIO

    def has_idle_capacity(self, weights: dict[int, float]) -> bool:
        """Whether a table's tasks are less than busy on average, by weight, as far as just reported."""
        return (
            sum(
                weight * (BUSY_UTILIZATION - self.utilization[task])
                for task, weight in weights.items()
                if self.utilization[task] >= 0.0
            )
            > 0
        )

    def _learned_columns(self) -> list[list[float]]:
        return [
            self.mean_utilization,
            self.answered,
            self.busy_periods,
            self.capacity,
            *self.attempts,
            *self.failed,
            *self.latency_sum_us,
        ]

    def _learn_capacity(self, task: int, warm: bool) -> None:
        utilization = self.utilization[task]
        target = min(utilization, MAX_SMOOTHED_UTILIZATION)
        self.mean_utilization[task] += (target - self.mean_utilization[task]) / UTILIZATION_SMOOTHING
        attempts, failed = self.attempts_and_failures([task])
        # An overload shows nothing of capacity.
        if warm and failed < OVERLOAD_FAILURE_RATIO * attempts:
            self.answered[task] = self.answered[task] * CAPACITY_DECAY + attempts - failed
            self.busy_periods[task] = self.busy_periods[task] * CAPACITY_DECAY + utilization
