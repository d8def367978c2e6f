"""Estimates of tasks and proxies, derived from load reports and smoothed over report periods."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.interface import AssignerConfig, OfferedLoad, TrafficReport

BUSY_UTILIZATION = 0.85  # utilization from which tasks count as busy; also the target of admission control
OVERLOAD_FAILURE_RATIO = 0.25  # failed part of all attempts above which the fleet counts as overloaded
MIN_ATTEMPTS = 6.0  # attempts per period of a zone's proxies; fewer do not indicate an overload
HISTORY_DECAY = 0.75  # part of the reported figures that still counts one period later
CAPACITY_DECAY = 0.9  # the same for the figures behind capacities, which change less
UTILIZATION_METRIC = "util"  # the platform's name for a task's utilization among its load metrics
UNKNOWN_UTILIZATION = -1.0  # not reported since its last use
MAX_REPORTED_UTILIZATION = 1.5  # higher figures are errors of the report
MAX_SMOOTHED_UTILIZATION = 0.95  # keeps 1 / (1 - utilization) bounded
UTILIZATION_SMOOTHING = 2  # the smoothed figure moves half of the distance to the reported one
VALID_INTERVALS = 2  # report intervals for which a report counts; a newer one should have arrived by then
OBJECTIVE_AT_OVERLOAD = 0.6  # mean latency, in latency objectives, that alone scores as an overload
BEST_TASKS_DIVISOR = 4  # the best quarter of the tasks shows whether all of them fail
MIN_ANSWERED = 1.0  # RPCs per period; keeps the mean latency finite where nearly all attempts fail
PRIOR_BUSY_PERIODS = 1.0  # weight of the listed weight as a prior, in busy periods
MIN_LOAD = 1e-9  # RPCs per period; keeps the ratio of capacity to load finite
MICROSECONDS_PER_SECOND = 1e6


class PeriodTraffic(NamedTuple):
    """Traffic from the proxies of one zone to one task, scaled to a report period.

    Attributes:
        attempts: All attempts.
        failed: The failed attempts among them.
        latency_sum_us: Sum of the latencies of the other attempts.
    """

    attempts: float
    failed: float
    latency_sum_us: float


NO_TRAFFIC = PeriodTraffic(0.0, 0.0, 0.0)


class PeriodLoad(NamedTuple):
    """RPCs of one method at one proxy, scaled to a report period.

    Attributes:
        rpcs: Number of RPCs.
        covered_until_us: End of the time that the proxy's reports cover.
    """

    rpcs: float
    covered_until_us: int


class Estimates:
    """Estimates by task, by zone of proxies and task, and by proxy and method.

    Attributes:
        latency_objective_us: Mean soft deadline of the methods, weighted by criticality.
        failure_cost_us: Mean hard deadline of the methods, weighted likewise; the latency that a failed attempt
            counts as.
        attempts: Attempts by zone of proxies and task, decayed each period.
        failed: Failed attempts by zone of proxies and task, decayed each period.
        latency_sum_us: Sum of latencies by zone of proxies and task, decayed each period; a failed attempt counts as
            `failure_cost_us`.
        utilization: Utilization last reported, by task; `UNKNOWN_UTILIZATION` after its use.
        mean_utilization: Smoothed utilization by task.
        answered: RPCs answered while warm, by task, decayed.
        busy_periods: Time in which they were answered, by task, in periods of full utilization, decayed.
        capacity: RPCs that a task answers in a busy period, by task.
        traffic: Traffic last reported, by zone of proxies and task; kept for a while, since reports come in parts.
        valid_until_us: Expiry time of that traffic, by zone of proxies and task.
        offered_load: Load last reported, by proxy and method.
        joined_at_us: Join time by proxy.
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
        """Extend all columns to this number of tasks."""
        missing = count - len(self.utilization)
        self.utilization.extend([UNKNOWN_UTILIZATION] * missing)
        for traffic in self.traffic:
            traffic.extend([NO_TRAFFIC] * missing)
        for column in self.valid_until_us + self._learned_columns():
            column.extend([0] * missing)

    def forget(self, task: int) -> None:
        """Reset the estimates of a restarted task, which do not apply to its new run."""
        for column in self._learned_columns():
            column[task] = 0.0

    def record_traffic(self, now_us: int, report: TrafficReport) -> None:
        """Record a load report; ignore one with an unknown zone or task, no attempts or no interval."""
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
        """Record the load offered to a proxy; ignore a report without an interval."""
        if event.interval_us <= 0:
            return
        by_method = self.offered_load.setdefault(event.proxy, {})
        before = by_method.get(event.method)
        covered_us = self.joined_at_us.get(event.proxy, 0) if before is None else before.covered_until_us
        period_us = self.config.report_period_us
        per_period = period_us / max(event.interval_us, period_us)
        by_method[event.method] = PeriodLoad(event.rpcs * per_period, covered_us + event.interval_us)

    def offered_rates(self, proxy_zone: dict[int, int], zone: int, method: int) -> list[float]:
        """Return the RPCs per second of a method at each of a zone's proxies that reported, ascending."""
        loads = (
            by_method.get(method) for proxy, by_method in self.offered_load.items() if proxy_zone.get(proxy) == zone
        )
        return sorted(load.rpcs * MICROSECONDS_PER_SECOND / self.config.report_period_us for load in loads if load)

    def offered(self, proxy: int) -> float:
        """Return the RPCs of all methods that reach a proxy in a report period."""
        return sum(load.rpcs for load in self.offered_load.get(proxy, {}).values())

    def offered_for(self, proxy: int, methods: int) -> float:
        """Return the RPCs of the methods in a mask that reach a proxy in a report period."""
        loads = self.offered_load.get(proxy, {})
        return sum(load.rpcs for method, load in loads.items() if methods >> method & 1)

    def covered_until_us(self) -> int:
        """Return the end of the time that the reports of offered load cover; 0 without any report."""
        loads = (load for by_method in self.offered_load.values() for load in by_method.values())
        return max((load.covered_until_us for load in loads), default=0)

    def decay(self, now_us: int) -> None:
        """Decay the reported figures by one period, and drop traffic that has expired."""
        for column in (*self.attempts, *self.failed, *self.latency_sum_us):
            column[:] = [value * HISTORY_DECAY for value in column]
        for traffic, valid_until_us in zip(self.traffic, self.valid_until_us):
            traffic[:] = [
                reported if now_us <= until_us else NO_TRAFFIC for reported, until_us in zip(traffic, valid_until_us)
            ]

    def capacity_fraction(self, usable: dict[int, float]) -> float:
        """Return the part of the offered RPCs that the tasks can answer at `BUSY_UTILIZATION`; 1 if unknown.

        Args:
            usable: Usable part of its capacity, by task.
        """
        capacity = sum(self.capacity[task] * part for task, part in usable.items())
        load = sum(map(self.offered, self.offered_load))
        return min(1.0, BUSY_UTILIZATION * capacity / max(load, MIN_LOAD)) if capacity > 0 else 1.0

    def attempts_and_failures(self, tasks: list[int] | set[int]) -> tuple[float, float]:
        """Return the attempts per period at these tasks from all zones, and the number of failed ones."""
        attempts = sum(traffic[task].attempts for traffic in self.traffic for task in tasks)
        failed = sum(traffic[task].failed for traffic in self.traffic for task in tasks)
        return attempts, failed

    def all_overloaded(self, tasks: list[int]) -> bool:
        """Return whether even the best quarter of these tasks fail as in an overload, not only some faulty tasks."""
        reported = (self.attempts_and_failures([task]) for task in tasks)
        ratios = sorted(failed / attempts for attempts, failed in reported if attempts > 0)
        return bool(ratios) and ratios[len(ratios) // BEST_TASKS_DIVISOR] > OVERLOAD_FAILURE_RATIO

    def update_sizes(self, listed_weight: list[float], tasks: list[int], warm: list[int]) -> list[float]:
        """Learn capacities from the last period, and return the size of each task on the scale of listed weights.

        Args:
            listed_weight: Listed weight by task, used as a prior where little was reported.
            tasks: The ready tasks.
            warm: The ready tasks that are past their slow start; only these show their capacity.
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

    def rpcs_per_weight(self, listed_weight: list[float], tasks: list[int]) -> float:
        """Return the RPCs that these tasks answer in a busy period per listed weight; 0 if utilization is unknown."""
        busy_weight = sum(self.busy_periods[task] * listed_weight[task] for task in tasks)
        return sum(self.answered[task] for task in tasks) / busy_weight if busy_weight > 0 else 0.0

    def answered_per_weight(self, listed_weight: list[float], tasks: list[int]) -> float:
        """Return the RPCs per listed weight that these tasks answered in the last period, at whatever utilization."""
        attempts, failed = self.attempts_and_failures(tasks)
        return (attempts - failed) / (sum(listed_weight[task] for task in tasks) or 1.0)

    def overload_score(self, zone: int) -> float:
        """Return a score above 1 where a zone's attempts fail or are late; 0 while there are few attempts.

        Where tasks have idle capacity, failures are a matter for weights and outlier detection, not for admission.
        """
        attempts, failed, latency_sum_us = (sum(column) for column in zip(*self.traffic[zone]))
        if attempts < MIN_ATTEMPTS:
            return 0.0
        mean_latency_us = latency_sum_us / max(attempts - failed, MIN_ANSWERED)
        lateness = mean_latency_us / self.latency_objective_us / OBJECTIVE_AT_OVERLOAD
        return lateness + failed / attempts / OVERLOAD_FAILURE_RATIO

    def has_idle_capacity(self, weights: dict[int, float]) -> bool:
        """Return whether a table's newly reported tasks are below `BUSY_UTILIZATION` on average, by weight."""
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
        # Traffic during an overload does not show the capacity.
        if warm and failed < OVERLOAD_FAILURE_RATIO * attempts:
            self.answered[task] = self.answered[task] * CAPACITY_DECAY + attempts - failed
            self.busy_periods[task] = self.busy_periods[task] * CAPACITY_DECAY + utilization
