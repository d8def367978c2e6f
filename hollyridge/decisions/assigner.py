"""The assigner: all decisions about which tasks its proxies send to, and in what proportions.

It is called as `Assigner(config, seed).decide(now_us, events) -> commands`, once for all events of one moment, and has
no other input or output. Events, commands and `AssignerConfig` are in `hollyridge.interface`. Each other module of
this package makes one kind of decision; this module passes events to them and runs the steps at the end of a report
period.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from hollyridge.decisions.admission import AdmissionController
from hollyridge.decisions.backlog import BacklogEstimator
from hollyridge.decisions.cold_tables import ColdTableLimiter
from hollyridge.decisions.endpoints import EndpointDirectory
from hollyridge.decisions.estimates import MICROSECONDS_PER_SECOND, Estimates
from hollyridge.decisions.outliers import OutlierDetector
from hollyridge.decisions.pooling import per_attempt
from hollyridge.decisions.publisher import Publisher
from hollyridge.decisions.push_gate import PushGate
from hollyridge.decisions.slow_start import WARM, SlowStart
from hollyridge.decisions.table_planner import Snapshot, TablePlanner
from hollyridge.decisions.tables import TableSet
from hollyridge.decisions.weights import Proposal, WeightController
from hollyridge.interface import (
    Ack,
    AssignerConfig,
    Command,
    EndpointListUpdate,
    EstimatesRestored,
    Event,
    LearnedEstimate,
    OfferedLoad,
    ProxyJoined,
    ProxyLeft,
    QueueDepth,
    SetTimer,
    TimerFired,
    TrafficReport,
    WeightProposal,
)

PROPOSAL_VALID_PERIODS = 3  # report periods for which a proposal of weights is valid
RECENT_PERIODS = 3  # report periods after which the newest report is no longer recent
MIN_WARM_DIVISOR = 4  # methods are separated only while over a quarter of the tasks are warm
DEFERRED_RETRY_DIVISOR = 8  # deferred changes are retried after an eighth of a report period
TIMER_SLACK_DIVISOR = 2  # the timer ends a period half a report period after reports were due
MIN_TIMER_US = 1000  # one millisecond
PRIOR_LATENCY_DIVISOR = 2  # without reports, latency is assumed to be half its objective
TIMER_TOKEN = 0


class Assigner:
    """The decision module: it takes events and returns commands.

    Attributes:
        config: Configuration of the deployment.
        next_period_at_us: End of the current report period if no reports arrive earlier.
        retry_at_us: Time of the last timer that was set to retry deferred changes and waiting proxies.
    """

    def __init__(self, config: AssignerConfig, seed: int) -> None:
        self.config = config
        self.endpoints = EndpointDirectory(config, Random(seed))
        self.estimates = Estimates(config)
        self.outliers = OutlierDetector(config)
        self.slow_start = SlowStart(config)
        self.weights = WeightController(config, self.estimates)
        self.push_gate = PushGate()
        self.admission = AdmissionController(config)
        self.tables = TableSet(config)
        self.backlog = BacklogEstimator(config)
        self.cold_tables = ColdTableLimiter(config, self.endpoints, self.estimates, self.slow_start, self.tables)
        self.planner = TablePlanner(
            self.endpoints, self.outliers, self.slow_start, self.weights, self.tables, self.cold_tables
        )
        self.publisher = Publisher(config.drain_grace_us, self.planner, self.estimates, self.admission, self.backlog)
        self.next_period_at_us = -1
        self.retry_at_us = -1
        self._handlers: dict[type, Callable[[int, Event], None]] = {
            TrafficReport: self.estimates.record_traffic,
            OfferedLoad: self._on_offered_load,
            EndpointListUpdate: self._on_endpoint_list,
            Ack: self.backlog.acknowledge,
            QueueDepth: self._on_queue_depth,
            WeightProposal: self._on_proposal,
            EstimatesRestored: self._on_estimates_restored,
            ProxyJoined: self._on_proxy_joined,
            ProxyLeft: self._on_proxy_left,
        }

    def decide(self, now_us: int, events: list[Event]) -> list[Command]:
        """Process all events of one moment and return the commands that follow from them."""
        self.backlog.advance(now_us)
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(now_us, event)
        if self.config.slices:  # decisions for key slices are not implemented
            return []
        event_types = {type(event) for event in events}
        # Reports end a period early; without reports, the timer ends it.
        early_allowance_us = self.config.report_period_us * (TrafficReport in event_types)
        period_ends = now_us >= self.next_period_at_us - early_allowance_us
        push = period_ends and self._end_report_period(now_us)
        list_changed = EndpointListUpdate in event_types
        commands = self.endpoints.refresh_commands(now_us)
        if period_ends or list_changed or self._has_pending_work():
            commands += self.publisher.publish(now_us, push)
        # An empty table is sent some time after the join, when no other event may come.
        awaits_empty_table = self.retry_at_us <= now_us and self.tables.awaits_empty_table()
        if (
            period_ends
            or list_changed
            or TimerFired in event_types
            or self.publisher.has_deferred
            or awaits_empty_table
        ):
            commands.append(self._next_timer(now_us))
        return commands

    def learned_estimates(self) -> tuple[list[LearnedEstimate], float]:
        """Return the estimates of ready tasks that were reported, and the push price, as for `EstimatesRestored`."""
        estimates = self.estimates
        learned = [
            LearnedEstimate(
                task=task,
                capacity=estimates.answered[task] / estimates.busy_periods[task],
                busy_periods=estimates.busy_periods[task],
                efficiency=self.weights.efficiency[task],
                weight_ratio=self.weights.weight[task] / self.endpoints.listed_weight[task],
            )
            for task in self.endpoints.ready_tasks()
            if estimates.busy_periods[task] > 0
        ]
        return learned, self.push_gate.push_price

    def counters(self) -> dict[str, object]:
        """Return figures for monitoring: push price U and last gain of the gate, and admitted fractions by zone."""
        return {
            "price": self.push_gate.push_price,
            "gain": self.push_gate.gain,
            "levels": list(self.admission.fraction),
        }

    def _has_pending_work(self) -> bool:
        return bool(self.tables.pending) or self.publisher.has_deferred

    def _next_timer(self, now_us: int) -> SetTimer:
        next_deadline_us = min(self.next_period_at_us, self.endpoints.refresh_at_us or self.next_period_at_us)
        if self._has_pending_work():
            self.retry_at_us = now_us + self.config.report_period_us // DEFERRED_RETRY_DIVISOR
            next_deadline_us = min(next_deadline_us, self.retry_at_us)
        return SetTimer(TIMER_TOKEN, max(next_deadline_us - now_us, MIN_TIMER_US))

    def _on_offered_load(self, _now_us: int, event: OfferedLoad) -> None:
        self.estimates.record_offered_load(event)

    def _on_queue_depth(self, _now_us: int, event: QueueDepth) -> None:
        self.backlog.limit_delivered(event.waiting_lines)

    def _on_endpoint_list(self, now_us: int, update: EndpointListUpdate) -> None:
        started = self.endpoints.apply_update(now_us, update)
        self.estimates.ensure_tasks(len(self.endpoints.state))
        for task in started:
            self.estimates.forget(task)
            self.outliers.reset(task)
            self.weights.reset(task, self.endpoints.listed_weight)

    def _on_proposal(self, now_us: int, event: WeightProposal) -> None:
        if event.zone < self.config.zones:
            valid_until_us = now_us + PROPOSAL_VALID_PERIODS * self.config.report_period_us
            self.weights.proposed[event.zone] = Proposal(valid_until_us, dict(event.weights))

    def _on_proxy_left(self, _now_us: int, event: ProxyLeft | ProxyJoined) -> None:
        self.tables.remove_proxy(event.proxy)
        self.estimates.offered_load.pop(event.proxy, None)

    def _on_proxy_joined(self, now_us: int, event: ProxyJoined) -> None:
        self._on_proxy_left(now_us, event)  # a new stream replaces an old one of the same proxy
        if event.zone < self.config.zones:
            self.tables.add_proxy(event, self.admission.sheddable_methods)
            self.estimates.joined_at_us[event.proxy] = now_us

    def _on_estimates_restored(self, now_us: int, event: EstimatesRestored) -> None:
        """Restore the estimates that rest on more reports than the present ones; older estimates count less.

        The restored push price replaces a lower one only, so it can only hold pushes back.
        """
        estimates = self.estimates
        trust = self.config.warm_up_us / (self.config.warm_up_us + max(event.age_us, 0))
        factors = self.planner.slow_start_factors(now_us)
        for task, capacity, periods, efficiency, weight_ratio in event.estimates:
            busy_periods = periods * trust
            if factors.get(task, 0.0) >= WARM and estimates.busy_periods[task] < busy_periods:
                estimates.answered[task] = capacity * periods * trust
                estimates.busy_periods[task] = busy_periods
                self.weights.efficiency[task] = 1 + (efficiency - 1) * trust
                self.weights.weight[task] = self.endpoints.listed_weight[task] * (1 + (weight_ratio - 1) * trust)
        self.push_gate.push_price = max(self.push_gate.push_price, event.push_price)

    def _end_report_period(self, now_us: int) -> bool:
        """Run the steps at the end of a report period, and return whether weights are to be pushed."""
        self.weights.expire_proposals(now_us)
        period_us = self.config.report_period_us
        self.next_period_at_us = now_us + period_us + period_us // TIMER_SLACK_DIVISOR
        tasks = self.endpoints.ready_tasks()
        if not tasks:
            return self.push_gate.decide(0.0, 0.0, True)
        task_zone = self.endpoints.zone
        self.outliers.update(self.estimates, tasks, task_zone)
        prior_us = self.estimates.latency_objective_us / PRIOR_LATENCY_DIVISOR
        latency_us = per_attempt(self.estimates.latency_sum_us, self.estimates.attempts, prior_us, tasks, task_zone)
        snapshot = self.planner.snapshot(now_us)
        self._update_load_limits(snapshot, tasks)
        warm = [task for task in tasks if snapshot.factors[task] >= WARM]
        self._separate_methods(tasks, warm)
        size = self.estimates.update_sizes(self.endpoints.listed_weight, tasks, warm)
        self.cold_tables.observe(
            [[task for task in zone_tasks if snapshot.factors[task] >= WARM] for zone_tasks in snapshot.zone_tasks]
        )
        self.estimates.decay(now_us)
        costs = self._marginal_costs(latency_us, tasks)
        for zone_tasks in snapshot.zone_tasks:
            self.weights.adjust_weights(costs, size, zone_tasks)
        self.weights.update_spillover(
            latency_us, snapshot.zone_tasks, snapshot.factors, self.outliers.factor, self._demand()
        )
        # Slow start has been updated since the snapshot was taken.
        snapshot = snapshot._replace(factors=self.planner.slow_start_factors(now_us))
        published, current = self._table_costs(snapshot, costs)
        return self.push_gate.decide(published, current, self.backlog.is_full())

    def _update_load_limits(self, snapshot: Snapshot, tasks: list[int]) -> None:
        """Update slow start and admission from the fleet's capacity and failures."""
        estimates = self.estimates
        factors = snapshot.factors
        usable = {
            task: factor * max(by_task[task] for by_task in self.outliers.factor) for task, factor in factors.items()
        }
        capacity_fraction = estimates.capacity_fraction(usable)
        cold_capacity = sum(factor * estimates.capacity[task] for task, factor in factors.items() if factor < WARM)
        attempts, failed = estimates.attempts_and_failures(tasks)
        age_us = snapshot.now_us - estimates.covered_until_us()
        reports_are_recent = age_us < RECENT_PERIODS * self.config.report_period_us
        self.slow_start.update(attempts, failed, cold_capacity, reports_are_recent)
        for zone in estimates.zones:
            score = estimates.overload_score(zone)
            busy = not estimates.has_idle_capacity(self.tables[zone].weights)
            self.admission.update(snapshot.now_us, zone, score, capacity_fraction, busy)

    def _separate_methods(self, tasks: list[int], warm: list[int]) -> None:
        other_tasks = set(tasks) - set(self.tables[self.tables.overflow].weights)
        attempts, failed = self.estimates.attempts_and_failures(other_tasks)
        overloaded = MIN_WARM_DIVISOR * len(warm) > len(tasks) and self.estimates.all_overloaded(warm)
        self.tables.update_separation(overloaded, self.admission.sheddable_methods, attempts, failed)

    def _marginal_costs(self, latency_us: list[list[float]], tasks: list[int]) -> list[dict[int, float]]:
        """Return the marginal cost in microseconds, by zone of proxies and task."""
        task_zone = self.endpoints.zone
        utilization = self.estimates.mean_utilization
        cost_us = self.weights.marginal_cost_us
        return [
            {task: cost_us(by_task[task], utilization[task], task_zone[task] != zone) for task in tasks}
            for zone, by_task in enumerate(latency_us)
        ]

    def _demand(self) -> list[float]:
        """Return the RPCs in a report period by zone of proxies, as reported or else as expected at the join."""
        period_us = self.config.report_period_us
        demand = [0.0] * self.config.zones
        for proxy, zone in self.tables.proxy_zone.items():
            offered = self.estimates.offered(proxy)
            demand[zone] += offered or self.tables.proxy_rate[proxy] * period_us / MICROSECONDS_PER_SECOND
        return demand

    def _table_costs(self, snapshot: Snapshot, costs: list[dict[int, float]]) -> tuple[float, float]:
        """Return the cost of the published weights and of those a push would send, weighted by the zones' demand."""
        published = 0.0
        current = 0.0
        for zone, cost in enumerate(costs):
            table = self.tables[zone]
            weights = self.planner.contents(zone, snapshot).weights
            published_weights = {task: weight for task, weight in table.weights.items() if task in cost}
            if table.proxies and published_weights and weights:
                demand = sum(self.tables.proxy_rate[proxy] for proxy in table.proxies)
                published += (
                    demand
                    * sum(w * cost[task] for task, w in published_weights.items())
                    / sum(published_weights.values())
                )
                current += demand * sum(w * cost[task] for task, w in weights.items()) / sum(weights.values())
        return published, current
