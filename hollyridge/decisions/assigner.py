"""The assigner: all decisions about which tasks its proxies send to, and how much to each.

Called as `Assigner(config, seed).decide(now_us, events) -> commands`, once for all events of one moment; nothing else
goes in or out. Events, commands and `AssignerConfig` are in `hollyridge.interface`. Each other module of this package
takes one decision; this one passes events to them and works through the steps of a report period.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from hollyridge.decisions.admission import AdmissionController
from hollyridge.decisions.backlog import BacklogEstimator
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

PROPOSAL_PERIODS = 3  # report periods that a proposal of weights stands without another
FRESH_PERIODS = 3  # report periods after which the newest report is old
MIN_WARM_DIVISOR = 4  # methods are separated only while over a quarter of the tasks are warm
DEFERRED_RETRY_DIVISOR = 8  # what found no room is tried again after an eighth of a report period
TIMER_SLACK_DIVISOR = 2  # the timer stands in half a report period after reports were due
MIN_TIMER_US = 1000  # one millisecond
PRIOR_LATENCY_DIVISOR = 2  # where nothing was reported, latency counts as half its objective
TIMER_TOKEN = 0


class Assigner:
    """Events in, commands out.

    Attributes:
        config: The deployment.
        next_period_at_us: When the next report period is worked through if no reports come earlier.
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
        self.planner = TablePlanner(self.endpoints, self.outliers, self.slow_start, self.weights, self.tables)
        self.publisher = Publisher(config.drain_grace_us, self.planner, self.estimates, self.admission, self.backlog)
        self.next_period_at_us = -1
        self._handlers: dict[type, Callable[[int, Event], None]] = {
            TrafficReport: self.estimates.record_traffic,
            OfferedLoad: self._on_offered_load,
            EndpointListUpdate: self._on_endpoint_list,
            Ack: self.backlog.acknowledge,
            QueueDepth: self._on_queue_depth,
            WeightProposal: self._on_proposal,
            EstimatesRestored: self._on_restored,
            ProxyJoined: self._on_proxy_joined,
            ProxyLeft: self._on_proxy_left,
        }

    def decide(self, now_us: int, events: list[Event]) -> list[Command]:
        """Takes all events of one moment and returns what is to be done."""
        self.backlog.advance(now_us)
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(now_us, event)
        if self.config.slices:  # key slices are not decided yet
            return []
        kinds = {type(event) for event in events}
        # Reports end a period early; the timer stands in where none come.
        early_us = self.config.report_period_us * (TrafficReport in kinds)
        period_ends = now_us >= self.next_period_at_us - early_us
        push = period_ends and self._improve(now_us)
        list_changed = EndpointListUpdate in kinds
        commands = self.endpoints.refresh_commands(now_us)
        if period_ends or list_changed or self._has_unfinished():
            commands += self.publisher.publish(now_us, push)
        if period_ends or list_changed or TimerFired in kinds or self.publisher.has_deferred:
            commands.append(self._next_timer(now_us))
        return commands

    def learned_estimates(self) -> tuple[list[LearnedEstimate], float]:
        """What `EstimatesRestored` takes: of ready tasks that were reported, and the push gate's price."""
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
        """For watchers: push price U and last gain of the gate, admitted fractions by zone. They decide nothing."""
        return {
            "price": self.push_gate.push_price,
            "gain": self.push_gate.gain,
            "levels": list(self.admission.fraction),
        }

    def _has_unfinished(self) -> bool:
        return bool(self.tables.pending) or self.publisher.has_deferred

    def _next_timer(self, now_us: int) -> SetTimer:
        next_deadline_us = min(self.next_period_at_us, self.endpoints.refresh_at_us or self.next_period_at_us)
        if self._has_unfinished():
            retry_us = now_us + self.config.report_period_us // DEFERRED_RETRY_DIVISOR
            next_deadline_us = min(next_deadline_us, retry_us)
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
            valid_until_us = now_us + PROPOSAL_PERIODS * self.config.report_period_us
            self.weights.proposed[event.zone] = Proposal(valid_until_us, dict(event.weights))

    def _on_proxy_left(self, _now_us: int, event: ProxyLeft | ProxyJoined) -> None:
        self.tables.leave(event.proxy)
        self.estimates.offered_load.pop(event.proxy, None)

    def _on_proxy_joined(self, now_us: int, event: ProxyJoined) -> None:
        self._on_proxy_left(now_us, event)  # a new stream ends an old one of the same proxy
        if event.zone < self.config.zones:
            self.tables.join(event, self.admission.sheddable_methods)
            self.estimates.joined_at_us[event.proxy] = now_us

    def _on_restored(self, now_us: int, event: EstimatesRestored) -> None:
        """Takes estimates where they outweigh what is known, less the older they are.

        An old price can only hold pushes back.
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

    def _improve(self, now_us: int) -> bool:
        """Works through the end of a report period; returns whether better weights are to be pushed."""
        self.weights.expire_proposals(now_us)
        period_us = self.config.report_period_us
        self.next_period_at_us = now_us + period_us + period_us // TIMER_SLACK_DIVISOR
        tasks = self.endpoints.ready_tasks()
        if not tasks:
            return self.push_gate.decide(0.0, 0.0, True)
        home = self.endpoints.zone
        self.outliers.update(self.estimates, tasks, home)
        prior_us = self.estimates.latency_objective_us / PRIOR_LATENCY_DIVISOR
        latency_us = per_attempt(self.estimates.latency_sum_us, self.estimates.attempts, prior_us, tasks, home)
        snapshot = self.planner.snapshot(now_us)
        self._judge_load(snapshot, tasks)
        warm = [task for task in tasks if snapshot.factors[task] >= WARM]
        self._separate_methods(tasks, warm)
        size = self.estimates.update_sizes(self.endpoints.listed_weight, tasks, warm)
        self.estimates.decay(now_us)
        costs = self._marginal_costs(latency_us, tasks)
        for zone_tasks in snapshot.zone_tasks:
            self.weights.adjust_weights(costs, size, zone_tasks)
        self.weights.update_spillover(
            latency_us, snapshot.zone_tasks, snapshot.factors, self.outliers.factor, self._demand()
        )
        # The slow start has been judged anew since the snapshot was taken.
        snapshot = snapshot._replace(factors=self.planner.slow_start_factors(now_us))
        published, current = self._table_costs(snapshot, costs)
        return self.push_gate.decide(published, current, self.backlog.is_full())

    def _judge_load(self, snapshot: Snapshot, tasks: list[int]) -> None:
        """Updates slow start and admission by what the fleet can do and what fails."""
        estimates = self.estimates
        factors = snapshot.factors
        usable = {
            task: factor * max(by_task[task] for by_task in self.outliers.factor) for task, factor in factors.items()
        }
        capacity_fraction = estimates.capacity_fraction(usable)
        cold_capacity = sum(factor * estimates.capacity[task] for task, factor in factors.items() if factor < WARM)
        attempts, failed = estimates.attempts_and_failures(tasks)
        age_us = snapshot.now_us - estimates.covered_until_us()
        fresh = age_us < FRESH_PERIODS * self.config.report_period_us
        self.slow_start.update(attempts, failed, cold_capacity, fresh)
        for zone in estimates.zones:
            score = estimates.overload_score(zone)
            busy = not estimates.has_idle_capacity(self.tables[zone].weights)
            self.admission.update(snapshot.now_us, zone, score, capacity_fraction, busy)

    def _separate_methods(self, tasks: list[int], warm: list[int]) -> None:
        others = set(tasks) - set(self.tables[self.tables.overflow].weights)
        attempts, failed = self.estimates.attempts_and_failures(others)
        overloaded = MIN_WARM_DIVISOR * len(warm) > len(tasks) and self.estimates.all_overloaded(warm)
        self.tables.update_separation(overloaded, self.admission.sheddable_methods, attempts, failed)

    def _marginal_costs(self, latency_us: list[list[float]], tasks: list[int]) -> list[dict[int, float]]:
        """By zone of proxies and task."""
        home = self.endpoints.zone
        utilization = self.estimates.mean_utilization
        cost_us = self.weights.marginal_cost_us
        return [
            {task: cost_us(by_task[task], utilization[task], home[task] != zone) for task in tasks}
            for zone, by_task in enumerate(latency_us)
        ]

    def _demand(self) -> list[float]:
        """RPCs in a report period by zone of proxies, as reported, or else as expected when they joined."""
        period_us = self.config.report_period_us
        demand = [0.0] * self.config.zones
        for proxy, zone in self.tables.proxy_zone.items():
            offered = self.estimates.offered(proxy)
            demand[zone] += offered or self.tables.proxy_rate[proxy] * period_us / MICROSECONDS_PER_SECOND
        return demand

    def _table_costs(self, snapshot: Snapshot, costs: list[dict[int, float]]) -> tuple[float, float]:
        """The cost of the published weights and of those that a push would send, by the zones' demand."""
        published = 0.0
        current = 0.0
        for zone, cost in enumerate(costs):
            table = self.tables[zone]
            weights = self.planner.contents(zone, snapshot).weights
            before = {task: weight for task, weight in table.weights.items() if task in cost}
            if table.proxies and before:
                demand = sum(self.tables.proxy_rate[proxy] for proxy in table.proxies)
                published += demand * sum(w * cost[task] for task, w in before.items()) / sum(before.values())
                current += demand * sum(w * cost[task] for task, w in weights.items()) / sum(weights.values())
        return published, current
