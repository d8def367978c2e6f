"""The weight controller: a feedback loop on reported latency, one bounded step a report period."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.decisions.estimates import BUSY_UTILIZATION, Estimates
from hollyridge.interface import AssignerConfig

MAX_STEP = 0.1  # part of a task's size by which its weight moves in a period at most, all assigners together
MIN_ATTEMPTS = 6.0  # decayed attempts below which a zone's proxies show nothing of costs
MAX_PULL = 1.0  # the pull at which a whole step is made
FULL_SPILLOVER = 1.0  # tasks of another zone count as much as the own
EFFICIENCY_GAIN = 2  # pull on the efficiency, in relative differences of cost
EFFICIENCY_SLOWNESS = 3  # efficiency moves by a third of a weight's step
MAX_MIN_SPILLOVER = 0.3  # spillover that a zone which lacks tasks gets at least
PROBE_SPILLOVER = 0.02  # spillover of any zone, so that reports of the way there keep coming
MAX_SPILLOVER_STEP = 0.1  # by which spillover rises in a period, unless a zone has lost half its capacity
MIN_LINE_WEIGHT = 0.5  # part of its weight that a line of another zone's task should have to be worth its place
CROSS_ZONE_PENALTY = 4.0  # latency objectives that one point of the price for crossing zones counts as
TARGET_TASKS_FACTOR = 2  # initial tables' worth of tasks that a zone needs to even out bursts
WAY_COST_FACTOR = 2  # spillover ends where the way costs half a latency objective
MIN_HEADROOM = 1.1  # of the mean load; zones up to it keep their work
BUSY_HEADROOM = 0.75  # of a busy task's load; where all are idle, zones up to that keep their work
LOST_CAPACITY = 2  # a zone that has under 1 / this of its weight left spills over at once
MAX_PLAN_LOSS = 0.1  # part of a proposal's weight that may leave with its tasks before it counts as none


class Proposal(NamedTuple):
    """Weights by task that a solver has proposed for a zone's table, and until when they stand."""

    valid_until_us: int
    weights: dict[int, float]


NO_PROPOSAL = Proposal(0, {})


class WeightController:
    """Moves weights towards size x efficiency; in other zones' tables they count by the spillover.

    Attributes:
        weight: By task.
        efficiency: By task, a factor on its size that is learned from costs.
        spillover: By zone of proxies and zone of tasks, the part of its weight that a task has there.
        learned_spillover: The part of it that is learned from costs.
        proposed: By zone of proxies, what a solver has proposed.
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
        self.spillover = [[float(here == there) for there in self.zones] for here in self.zones]
        self.learned_spillover = [[0.0 for _ in self.zones] for _ in self.zones]

    def reset(self, task: int, listed_weight: list[float]) -> None:
        """Starts a task over at its listed weight."""
        self.efficiency.extend([1.0] * (len(listed_weight) - len(self.efficiency)))
        self.weight.extend(listed_weight[len(self.weight) :])
        self.efficiency[task] = 1.0
        self.weight[task] = listed_weight[task]

    def expire_proposals(self, now_us: int) -> None:
        """Drops proposals that no newer one has replaced in time."""
        self.proposed = [proposal if now_us <= proposal.valid_until_us else NO_PROPOSAL for proposal in self.proposed]

    def marginal_cost_us(self, latency_us: float, utilization: float, crosses_zones: bool) -> float:
        """What one more RPC adds to latency, and the penalty for crossing zones."""
        return latency_us / (1 - utilization) + self.cross_zone_cost_us * crosses_zones

    def adjust_weights(self, costs: list[dict[int, float]], size: list[float], zone_tasks: list[int]) -> None:
        """Moves the weights of a zone's tasks by a step.

        Args:
            costs: Marginal cost by zone of proxies and task.
            size: By task.
            zone_tasks: The zone's ready tasks.
        """
        cost = {task: sum(by_task[task] for by_task in costs) for task in zone_tasks}
        total = sum(self.weight[task] for task in zone_tasks) or 1.0
        average = sum(self.weight[task] * cost[task] for task in zone_tasks) / total
        for task in zone_tasks:
            # The second term draws efficiency back to 1: equal latency, chased all the way, overloads the quickest.
            pull = EFFICIENCY_GAIN * (average - cost[task]) / average - (self.efficiency[task] - 1)
            self.efficiency[task] *= 1 + max(-MAX_PULL, min(MAX_PULL, pull)) * self.max_step / EFFICIENCY_SLOWNESS
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
        """Moves how far each zone's proxies send to other zones, by the means of whole zones, which are calm.

        Args:
            latency_us: Mean latency by zone of proxies and task.
            zone_tasks: Ready tasks by zone.
            slow_start_factors: By ready task.
            outlier_factor: By zone of proxies and task.
            demand: RPCs in a period by zone of proxies.
        """
        mass = [sum(self.weight[task] for task in tasks) for tasks in zone_tasks]
        usable = [
            sum(self.weight[task] * slow_start_factors[task] * factor[task] for task in tasks)
            for tasks, factor in zip(zone_tasks, outlier_factor)
        ]
        load = self._zone_means(self.estimates.mean_utilization, zone_tasks, mass)
        latency = [self._zone_means(by_task, zone_tasks, mass) for by_task in latency_us]
        balanced = self._demand_spillover(usable, demand, sum(load) / len(load))
        for here in self.zones:
            by_steps = usable[here] > mass[here] / LOST_CAPACITY
            min_spillover = self._min_spillover(len(zone_tasks[here]), len(slow_start_factors))
            cost = [self.marginal_cost_us(latency[here][to], load[to], to != here) for to in self.zones]
            for there in self.zones:
                if there != here and mass[there] > 0:
                    self._learn_spillover(here, there, cost, mass[here] > 0)
                    way_us = max(0.0, latency[here][there] - latency[there][there])
                    wanted = max(min_spillover, balanced[here][there]) + self.learned_spillover[here][there]
                    self._move_spillover(here, there, wanted, way_us, by_steps)

    def table_weights(self, zone: int, zone_tasks: list[list[int]]) -> dict[int, float]:
        """The weights of a zone's table: what is proposed, trimmed by efficiency, or else by spillover.

        All of the zone's own tasks are in it, and so many of each other zone that a line is worth its place.
        """
        proposed = self._proposed_weights(zone, zone_tasks)
        if proposed:
            return proposed
        weights: dict[int, float] = {}
        tasks_in_all = sum(map(len, zone_tasks))
        for there, tasks in enumerate(zone_tasks):
            spillover = self.spillover[zone][there] or self._min_spillover(len(zone_tasks[zone]), tasks_in_all)
            # Zones of proxies begin at different tasks, so that their few lines spread over all.
            start = zone * len(tasks) // len(zone_tasks)
            count = max(1, self.initial_table_size, round(len(tasks) * spillover / MIN_LINE_WEIGHT))
            chosen = (tasks[start:] + tasks[:start])[:count]
            weights.update((task, self.weight[task] * spillover * len(tasks) / len(chosen)) for task in chosen)
        return weights

    def _proposed_weights(self, zone: int, zone_tasks: list[list[int]]) -> dict[int, float]:
        """What is proposed, or nothing where over a tenth of the proposal has left with its tasks.

        What is left of a plan whose tasks left with a zone is none: it kept little where all is to go now.
        """
        proposed = self.proposed[zone].weights
        weights = {
            task: proposed[task] * self.efficiency[task]
            for tasks in zone_tasks
            for task in tasks
            if proposed.get(task, 0.0) > 0
        }
        if sum(proposed[task] for task in weights) > (1 - MAX_PLAN_LOSS) * sum(proposed.values()):
            return weights
        return {}

    def _zone_means(self, figures: list[float], zone_tasks: list[list[int]], mass: list[float]) -> list[float]:
        """Means over each zone's tasks, by weight."""
        return [
            sum(self.weight[task] * figures[task] for task in tasks) / (total or 1.0)
            for tasks, total in zip(zone_tasks, mass)
        ]

    def _min_spillover(self, own_tasks: int, tasks: int) -> float:
        """Borrows what a zone lacks to two initial tables: few tasks can't even out bursts."""
        lacking = TARGET_TASKS_FACTOR * self.initial_table_size - own_tasks
        return max(PROBE_SPILLOVER, min(MAX_MIN_SPILLOVER, lacking / max(1, tasks - own_tasks)))

    def _learn_spillover(self, here: int, there: int, cost: list[float], has_own_tasks: bool) -> None:
        """Moves the learned part by the relative difference of cost; not where the zone's proxies report nothing."""
        if has_own_tasks:
            reports = sum(self.estimates.attempts[here]) >= MIN_ATTEMPTS
            pull = (cost[here] - cost[there]) / max(cost[here], cost[there]) * reports
        else:
            pull = MAX_PULL
        learned = self.learned_spillover[here][there] + pull * self.max_step
        self.learned_spillover[here][there] = max(0.0, min(FULL_SPILLOVER, learned))

    def _move_spillover(self, here: int, there: int, wanted: float, way_us: float, by_steps: bool) -> None:
        """Goes to what is wanted, less what the way costs: down at once, up by steps or at once."""
        spillover = self.spillover[here]
        discount = max(0.0, 1 - WAY_COST_FACTOR * way_us / self.estimates.latency_objective_us)
        target = max(PROBE_SPILLOVER, wanted * discount)
        limit = spillover[there] + MAX_SPILLOVER_STEP if spillover[there] and by_steps else FULL_SPILLOVER
        spillover[there] = min(target, limit)

    @staticmethod
    def _demand_spillover(usable: list[float], demand: list[float], utilization: float) -> list[list[float]]:
        """The spillover that makes all zones about as busy, from what comes and what their tasks can do.

        Args:
            usable: Weight by zone that can be used now.
            demand: RPCs in a period by zone.
            utilization: The mean of all zones.
        """
        headroom = max(MIN_HEADROOM, BUSY_HEADROOM * BUSY_UTILIZATION / utilization if utilization > 0 else 0.0)
        per_weight = sum(demand) / (sum(usable) or 1.0) * headroom
        needed = [rpcs / (per_weight or 1.0) for rpcs in demand]
        spare = [max(0.0, have - need) * (need > 0) for have, need in zip(usable, needed)]
        over = [max(0.0, need - have) for have, need in zip(usable, needed)]
        share = 1 / (max(sum(over), sum(spare)) or 1.0)
        return [
            [lacking * share * free / have if have > 0 else 0.0 for free, have in zip(spare, usable)]
            for lacking in over
        ]
