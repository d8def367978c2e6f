"""The weight controller: a feedback loop on reported latency, one bounded step a report period."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.decisions.estimates import BUSY_UTILIZATION, Estimates
from hollyridge.interface import AssignerConfig

MAX_STEP = 0.1  # largest change of a weight per period, relative to the task's size, for all assigners together
MIN_ATTEMPTS = 6.0  # decayed attempts below which the costs of a zone's proxies are ignored
MAX_STEP_FACTOR = 1.0  # largest step in proportion to a difference of cost, in full steps
FULL_SPILLOVER = 1.0  # tasks of another zone count as much as those of the own zone
EFFICIENCY_GAIN = 2  # step of the efficiency per relative difference of cost, in full steps
EFFICIENCY_STEP_DIVISOR = 3  # efficiency moves by a third of a weight's step
MAX_MIN_SPILLOVER = 0.3  # largest minimum spillover of a zone that lacks tasks
PROBE_SPILLOVER = 0.02  # minimum spillover to each zone, so that reports about the latency to it continue
MAX_SPILLOVER_STEP = 0.1  # largest rise of spillover per period, unless a zone has lost half its capacity
MIN_LINE_WEIGHT = 0.5  # part of its weight below which a line for another zone's task is not worth sending
CROSS_ZONE_PENALTY = 4.0  # latency objectives per unit of the configured cost for crossing zones
TARGET_TASKS_FACTOR = 2  # tasks that a zone needs to even out bursts, in sizes of an initial table
CROSS_ZONE_DELAY_FACTOR = 2  # spillover ends where crossing zones adds half a latency objective of delay
MIN_HEADROOM = 1.1  # multiple of the mean load up to which a zone keeps its work
BUSY_HEADROOM = 0.75  # part of a busy task's load up to which a zone keeps its work while all zones are idle
CAPACITY_LOSS_DIVISOR = 2  # a zone with less than 1 / this of its weight usable spills over at once
MAX_PROPOSAL_LOSS = 0.1  # part of a proposal's weight that may be lost with its tasks before the proposal is void


class Proposal(NamedTuple):
    """Weights by task that a solver has proposed for a zone's table, and the time until which they are valid."""

    valid_until_us: int
    weights: dict[int, float]


NO_PROPOSAL = Proposal(0, {})


class WeightController:
    """Feedback controller that moves weights towards size x efficiency.

    In the table of another zone, a task's weight is multiplied by the spillover to its zone.

    Attributes:
        weight: Weight by task.
        efficiency: Factor on the task's size that is learned from costs, by task.
        spillover: Part of its weight that a task has, by zone of proxies and zone of tasks.
        learned_spillover: The part of the spillover that is learned from costs.
        proposed: Proposal of a solver, by zone of proxies.
    """

    def __init__(self, config: AssignerConfig, estimates: Estimates) -> None:
        self.zones = range(config.zones)
        self.estimates = estimates
        self.initial_table_size = config.initial_table_size
        self.max_step = MAX_STEP / config.assigners
        self.cross_zone_cost_us = CROSS_ZONE_PENALTY * config.cross_zone_cost * estimates.latency_objective_us
        self.proposed = [NO_PROPOSAL] * config.zones
        self.efficiency: list[float] = []
        self.weight: list[float] = []
        self.spillover = [[float(proxy_zone == task_zone) for task_zone in self.zones] for proxy_zone in self.zones]
        self.learned_spillover = [[0.0 for _ in self.zones] for _ in self.zones]

    def reset(self, task: int, listed_weight: list[float]) -> None:
        """Reset a task to its listed weight."""
        self.efficiency.extend([1.0] * (len(listed_weight) - len(self.efficiency)))
        self.weight.extend(listed_weight[len(self.weight) :])
        self.efficiency[task] = 1.0
        self.weight[task] = listed_weight[task]

    def expire_proposals(self, now_us: int) -> None:
        """Drop the proposals whose validity has ended."""
        self.proposed = [proposal if now_us <= proposal.valid_until_us else NO_PROPOSAL for proposal in self.proposed]

    def marginal_cost_us(self, latency_us: float, utilization: float, crosses_zones: bool) -> float:
        """Return the latency that one more RPC adds, plus the penalty for crossing zones."""
        return latency_us / (1 - utilization) + self.cross_zone_cost_us * crosses_zones

    def adjust_weights(self, costs: list[dict[int, float]], size: list[float], zone_tasks: list[int]) -> None:
        """Move the weights of a zone's tasks by one step.

        Args:
            costs: Marginal cost in microseconds, by zone of proxies and task.
            size: Size by task.
            zone_tasks: The zone's ready tasks.
        """
        cost = {task: sum(by_task[task] for by_task in costs) for task in zone_tasks}
        total = sum(self.weight[task] for task in zone_tasks) or 1.0
        average = sum(self.weight[task] * cost[task] for task in zone_tasks) / total
        for task in zone_tasks:
            # The second term draws efficiency back to 1, since fully equal latency would overload the fastest task.
            step_factor = EFFICIENCY_GAIN * (average - cost[task]) / average - (self.efficiency[task] - 1)
            self.efficiency[task] *= (
                1 + max(-MAX_STEP_FACTOR, min(MAX_STEP_FACTOR, step_factor)) * self.max_step / EFFICIENCY_STEP_DIVISOR
            )
            step = self.max_step * size[task]
            target = size[task] * self.efficiency[task]
            self.weight[task] += max(-step, min(step, target - self.weight[task]))

    def update_spillover(
        self,
        latency_us: list[list[float]],
        zone_tasks: list[list[int]],
        slow_start_factors: dict[int, float],
        outlier_factor: list[list[float]],
        demand: list[float],
    ) -> None:
        """Move the spillover between zones by one step, based on means over whole zones, which fluctuate little.

        Args:
            latency_us: Mean latency by zone of proxies and task.
            zone_tasks: Ready tasks by zone.
            slow_start_factors: Slow-start factor by ready task.
            outlier_factor: Outlier factor by zone of proxies and task.
            demand: RPCs in a period by zone of proxies.
        """
        total_weight = [sum(self.weight[task] for task in tasks) for tasks in zone_tasks]
        usable = [
            sum(self.weight[task] * slow_start_factors[task] * factor[task] for task in tasks)
            for tasks, factor in zip(zone_tasks, outlier_factor)
        ]
        load = self._zone_means(self.estimates.mean_utilization, zone_tasks, total_weight)
        latency = [self._zone_means(by_task, zone_tasks, total_weight) for by_task in latency_us]
        balanced = self._balancing_spillover(usable, demand, sum(load) / len(load))
        for proxy_zone in self.zones:
            in_steps = usable[proxy_zone] > total_weight[proxy_zone] / CAPACITY_LOSS_DIVISOR
            min_spillover = self._min_spillover(len(zone_tasks[proxy_zone]), len(slow_start_factors))
            cost = [
                self.marginal_cost_us(latency[proxy_zone][to_zone], load[to_zone], to_zone != proxy_zone)
                for to_zone in self.zones
            ]
            for task_zone in self.zones:
                if task_zone != proxy_zone and total_weight[task_zone] > 0:
                    self._learn_spillover(proxy_zone, task_zone, cost, total_weight[proxy_zone] > 0)
                    cross_zone_delay_us = max(0.0, latency[proxy_zone][task_zone] - latency[task_zone][task_zone])
                    wanted = (
                        max(min_spillover, balanced[proxy_zone][task_zone])
                        + self.learned_spillover[proxy_zone][task_zone]
                    )
                    self._move_spillover(proxy_zone, task_zone, wanted, cross_zone_delay_us, in_steps)

    def table_weights(self, zone: int, zone_tasks: list[list[int]]) -> dict[int, float]:
        """Return the weights of a zone's table: a valid proposal adjusted by efficiency, or else weights by spillover.

        Without a proposal, the table holds all of the zone's own tasks, and as many of each other zone as keep enough
        weight per line.
        """
        proposed = self._proposed_weights(zone, zone_tasks)
        if proposed:
            return proposed
        weights: dict[int, float] = {}
        task_count = sum(map(len, zone_tasks))
        for task_zone, tasks in enumerate(zone_tasks):
            spillover = self.spillover[zone][task_zone] or self._min_spillover(len(zone_tasks[zone]), task_count)
            # Each zone of proxies starts at a different task, so that the few lines spread over all tasks.
            start = zone * len(tasks) // len(zone_tasks)
            count = max(1, self.initial_table_size, round(len(tasks) * spillover / MIN_LINE_WEIGHT))
            chosen = (tasks[start:] + tasks[:start])[:count]
            weights.update((task, self.weight[task] * spillover * len(tasks) / len(chosen)) for task in chosen)
        return weights

    def _proposed_weights(self, zone: int, zone_tasks: list[list[int]]) -> dict[int, float]:
        """Return the proposed weights, or none if over a tenth of the proposal's weight was lost with its tasks.

        After the loss of a zone, the rest of a proposal is no usable plan: it holds little weight in the zones that
        now have to take all of the work.
        """
        proposed = self.proposed[zone].weights
        weights = {
            task: proposed[task] * self.efficiency[task]
            for tasks in zone_tasks
            for task in tasks
            if proposed.get(task, 0.0) > 0
        }
        if sum(proposed[task] for task in weights) > (1 - MAX_PROPOSAL_LOSS) * sum(proposed.values()):
            return weights
        return {}

    def _zone_means(self, values: list[float], zone_tasks: list[list[int]], total_weight: list[float]) -> list[float]:
        """Return the mean over each zone's tasks, weighted by task weight."""
        return [
            sum(self.weight[task] * values[task] for task in tasks) / (total or 1.0)
            for tasks, total in zip(zone_tasks, total_weight)
        ]

    def _min_spillover(self, own_tasks: int, tasks: int) -> float:
        """Return the spillover that supplements a zone's tasks to two initial tables.

        A zone with fewer tasks can't even out bursts.
        """
        deficit = TARGET_TASKS_FACTOR * self.initial_table_size - own_tasks
        return max(PROBE_SPILLOVER, min(MAX_MIN_SPILLOVER, deficit / max(1, tasks - own_tasks)))

    def _learn_spillover(self, proxy_zone: int, task_zone: int, cost: list[float], has_own_tasks: bool) -> None:
        """Move the learned part by the relative difference of cost, unless the zone's proxies report too little."""
        if has_own_tasks:
            has_reports = sum(self.estimates.attempts[proxy_zone]) >= MIN_ATTEMPTS
            step_factor = (cost[proxy_zone] - cost[task_zone]) / max(cost[proxy_zone], cost[task_zone]) * has_reports
        else:
            step_factor = MAX_STEP_FACTOR
        learned = self.learned_spillover[proxy_zone][task_zone] + step_factor * self.max_step
        self.learned_spillover[proxy_zone][task_zone] = max(0.0, min(FULL_SPILLOVER, learned))

    def _move_spillover(
        self, proxy_zone: int, task_zone: int, wanted: float, cross_zone_delay_us: float, in_steps: bool
    ) -> None:
        """Set the spillover to the wanted value, discounted for the delay of crossing zones.

        The spillover falls at once, and rises in steps or at once.
        """
        spillover = self.spillover[proxy_zone]
        discount = max(0.0, 1 - CROSS_ZONE_DELAY_FACTOR * cross_zone_delay_us / self.estimates.latency_objective_us)
        target = max(PROBE_SPILLOVER, wanted * discount)
        limit = spillover[task_zone] + MAX_SPILLOVER_STEP if spillover[task_zone] and in_steps else FULL_SPILLOVER
        spillover[task_zone] = min(target, limit)

    @staticmethod
    def _balancing_spillover(usable: list[float], demand: list[float], utilization: float) -> list[list[float]]:
        """Return the spillover that makes all zones about equally busy, given their demand and usable weight.

        Args:
            usable: Usable weight by zone.
            demand: RPCs in a period by zone.
            utilization: Mean utilization of all zones.
        """
        headroom = max(MIN_HEADROOM, BUSY_HEADROOM * BUSY_UTILIZATION / utilization if utilization > 0 else 0.0)
        per_weight = sum(demand) / (sum(usable) or 1.0) * headroom
        needed = [rpcs / (per_weight or 1.0) for rpcs in demand]
        surpluses = [max(0.0, have - need) * (need > 0) for have, need in zip(usable, needed)]
        deficits = [max(0.0, need - have) for have, need in zip(usable, needed)]
        share = 1 / (max(sum(deficits), sum(surpluses)) or 1.0)
        return [
            [deficit * share * surplus / have if have > 0 else 0.0 for surplus, have in zip(surpluses, usable)]
            for deficit in deficits
        ]
