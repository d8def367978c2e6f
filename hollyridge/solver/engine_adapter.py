"""Adapter between the decision module and the solver: builds a fleet from its estimates, and proposals from a plan.

It reads the state of the decision module and never changes it.
"""

from __future__ import annotations

from hollyridge.decisions.assigner import Assigner
from hollyridge.interface import AssignerConfig, BalancingPolicy, TaskState, WeightProposal
from hollyridge.solver.fleet import Fleet, Method, Task, Zone
from hollyridge.solver.planner import Plan

FULLY_SERVED = 0.99  # fraction of the RPCs from which all count as served
UNTESTED_UNCERTAINTY = 0.25  # of a capacity without a reported busy period; it falls as busy periods are reported
MIN_OWN_SHARE = 0.05  # usable part of a task's capacity, however much of it other assigners seem to use
MIN_TABLE_SIZE = 2  # lines
US_PER_S = 1e6


def fleet_of(assigner: Assigner, now_us: int, handshake: float, connections: float) -> Fleet | None:
    """Return the fleet as the decision module knows it, or None while no capacity is known.

    A single method represents all methods, because they share the zone's table and the decision module keeps control
    of admission.

    Args:
        assigner: The decision module.
        now_us: Current time, in microseconds.
        handshake: Work of a new connection, in average RPCs.
        connections: Maximum number of connections to a task.
    """
    capacity = assigner.estimates.capacity
    known = [task for task in assigner.endpoints.ready_tasks() if task < len(capacity) and capacity[task] > 0]
    if not known:
        return None
    listed_weight = assigner.endpoints.listed_weight
    per_weight = sum(capacity[task] for task in known) / sum(listed_weight[task] for task in known)
    config, tables = assigner.config, assigner.tables
    current_tables = tuple(dict(tables[z].weights) if tables[z].proxies else {} for z in range(config.zones))
    return Fleet(
        (Method("all", 1.0),),
        tuple(zone_of(assigner, zone) for zone in range(config.zones)),
        tuple(
            task_of(assigner, task, now_us, per_weight, connections) for task in range(len(assigner.endpoints.state))
        ),
        current_tables,
        config.cross_zone_cost,
        handshake,
        balancing_policy="p2c" if config.balancing_policy == BalancingPolicy.P2C else "random",
        min_table_size=max(MIN_TABLE_SIZE, 2 * config.initial_table_size),
    )


def task_of(assigner: Assigner, task: int, now_us: int, capacity_per_weight: float, connections: float) -> Task:
    """Return a task with the part of its capacity that other assigners do not use.

    Args:
        assigner: The decision module.
        task: Index of the task.
        now_us: Current time, in microseconds.
        capacity_per_weight: Capacity per unit of listed weight, in RPCs per report period, for tasks without an
            estimate.
        connections: Maximum number of connections to the task.
    """
    config, estimates, endpoints = assigner.config, assigner.estimates, assigner.endpoints
    reported = task < len(estimates.capacity)  # all estimates by task have the same length
    capacity = capacity_per_weight * endpoints.listed_weight[task]
    if reported and estimates.capacity[task] > 0:
        capacity = estimates.capacity[task]
    own_use = estimates.attempts_and_failures([task])[0] / capacity if reported else 0.0
    shared = reported and config.assigners > 1
    others_use = max(0.0, estimates.mean_utilization[task] - own_use) if shared else 0.0
    busy_periods = estimates.busy_periods[task] if reported else 0.0
    health = max((factors[task] for factors in assigner.outliers.factor if task < len(factors)), default=1.0)
    period_s = config.report_period_us / US_PER_S
    return Task(
        str(task),
        max(0, endpoints.zone[task]),
        capacity * health * max(MIN_OWN_SHARE, 1 - others_use) / period_s,
        UNTESTED_UNCERTAINTY / (1 + busy_periods),
        warm_fraction(config, now_us, endpoints.started_at_us[task]),
        connections,
        endpoints.state[task] == TaskState.READY,
    )


def zone_of(assigner: Assigner, zone: int) -> Zone:
    """Return a zone with its demand; its RPCs in flight follow from demand and mean latency (Little's law)."""
    estimates, tables = assigner.estimates, assigner.tables
    period_s = assigner.config.report_period_us / US_PER_S
    proxies = [proxy for proxy, home in tables.proxy_zone.items() if home == zone]
    demand = sum(estimates.offered(proxy) or tables.proxy_rate[proxy] * period_s for proxy in proxies) / period_s
    traffic = estimates.traffic[zone]
    attempts, failed, latency_sum_us = (sum(column) for column in zip(*traffic)) if traffic else (0.0, 0.0, 0.0)
    latency_s = latency_sum_us / max(attempts - failed, 1.0) / US_PER_S
    return Zone(str(zone), len(proxies), (demand,), demand * latency_s / max(len(proxies), 1))


def without_removed_tasks(fleet: Fleet) -> Fleet:
    """Return the fleet with only the tasks that accept requests or are still in a table, renumbered."""
    kept = [
        i
        for i, task in enumerate(fleet.tasks)
        if task.accepts_requests or any(i in table for table in fleet.current_tables)
    ]
    new_index = {i: position for position, i in enumerate(kept)}
    tables = tuple({new_index[i]: weight for i, weight in table.items()} for table in fleet.current_tables)
    return fleet._replace(tasks=tuple(fleet.tasks[i] for i in kept), current_tables=tables)


def warm_fraction(config: AssignerConfig, now_us: int, started_at_us: int) -> float:
    """Return the fraction of its warm capacity that a task has, by its reported start and the warm-up time."""
    if started_at_us <= 0 or now_us - started_at_us >= config.warm_up_us:
        return 1.0
    return (
        config.cold_capacity_fraction
        + (1 - config.cold_capacity_fraction) * max(0, now_us - started_at_us) / config.warm_up_us
    )


def proposals(plan: Plan, sheds_load: bool) -> list[WeightProposal]:
    """Return a proposal for each zone for which the plan has a table.

    If capacity is too low and no load can be shed, all RPCs arrive regardless, so a plan for the part that can be
    served does not apply. There are no proposals then, and the feedback loop alone spreads the RPCs.
    """
    if not sheds_load and any(served < FULLY_SERVED for row in plan.served for served in row):
        return []
    return [WeightProposal(zone, tuple(sorted(table.items()))) for zone, table in enumerate(plan.tables) if table]
