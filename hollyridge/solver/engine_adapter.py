"""From what the decision module knows to what the solver is told, and back. Reads the module, changes nothing in it."""

from __future__ import annotations

from hollyridge import interface as api
from hollyridge.decisions.assigner import Assigner
from hollyridge.solver.fleet import Fleet, Method, Task, Zone
from hollyridge.solver.planner import Plan

ENOUGH = 0.99  # part of the RPCs from which all counts as served
DOUBT = 0.25  # of a rate that no busy period was heard of yet; it falls as more are


def fleet_of(module: Assigner, now: int, handshake: float, connections: float) -> Fleet | None:
    """None where nothing is known yet of what tasks can do. One method stands for all: a zone's table is theirs in
    common, and levels stay with the module. What others send to a task, as its load tells, is not ours to share out."""
    config, estimates, endpoints, tables = module.config, module.estimates, module.endpoints, module.tables
    period = config.report_period_us / 1e6
    known = [i for i in endpoints.ready_tasks() if i < len(estimates.capacity) and estimates.capacity[i] > 0]
    if not known:
        return None
    usual = sum(estimates.capacity[i] for i in known) / sum(endpoints.listed_weight[i] for i in known)
    tasks = []
    for i, state in enumerate(endpoints.state):
        reported = i < len(estimates.capacity)  # columns by task are all of one length
        does = usual * endpoints.listed_weight[i]
        if reported and estimates.capacity[i] > 0:
            does = estimates.capacity[i]
        mine = estimates.attempts_and_failures([i])[0] / does if reported else 0.0
        others = max(0.0, estimates.mean_utilization[i] - mine) if reported and config.assigners > 1 else 0.0
        heard = estimates.busy_periods[i] if reported else 0.0
        health = max((row[i] for row in module.outliers.factor if i < len(row)), default=1.0)
        tasks.append(
            Task(
                str(i),
                max(0, endpoints.zone[i]),
                does * health * max(0.05, 1 - others) / period,
                DOUBT / (1 + heard),
                stated_part(config, now, endpoints.started_at_us[i]),
                connections,
                state == api.TaskState.READY,
            )
        )
    zones = []
    for z in range(config.zones):
        proxies = [p for p, zone in tables.proxy_zone.items() if zone == z]
        comes = sum(estimates.offered(p) or tables.proxy_rate[p] * period for p in proxies) / period
        tries, bad, slow = (
            (sum(column) for column in zip(*estimates.traffic[z])) if estimates.traffic[z] else (0.0, 0.0, 0.0)
        )
        stays = slow / max(tries - bad, 1.0) / 1e6
        zones.append(Zone(str(z), len(proxies), (comes,), comes * stays / max(len(proxies), 1)))
    held = tuple(dict(tables[z].weights) if tables[z].proxies else {} for z in range(config.zones))
    pick = "p2c" if config.balancing_policy == api.BalancingPolicy.P2C else "random"
    return Fleet(
        (Method("all", 1.0),),
        tuple(zones),
        tuple(tasks),
        held,
        config.cross_zone_cost,
        handshake,
        balancing_policy=pick,
        min_table_size=max(2, 2 * config.initial_table_size),
    )


def without_the_gone(fleet: Fleet) -> Fleet:
    """Only the tasks that are open or still in a table, numbered anew."""
    kept = [
        i
        for i, task in enumerate(fleet.tasks)
        if task.accepts_requests or any(i in table for table in fleet.current_tables)
    ]
    number = {i: at for at, i in enumerate(kept)}
    held = tuple({number[i]: weight for i, weight in table.items()} for table in fleet.current_tables)
    return fleet._replace(tasks=tuple(fleet.tasks[i] for i in kept), current_tables=held)


def stated_part(config: api.AssignerConfig, now: int, started: int) -> float:
    """Of what it can do when warm, by the stated floor and time."""
    if started <= 0 or now - started >= config.warm_up_us:
        return 1.0
    return (
        config.cold_capacity_fraction + (1 - config.cold_capacity_fraction) * max(0, now - started) / config.warm_up_us
    )


def proposals(plan: Plan, pushes_back: bool) -> list[api.WeightProposal]:
    """What the module is told. Where there is too little for everyone and nothing can be pushed back, all of it comes
    all the same: a plan for what could be let in is no plan then, and the loop, which spreads, goes on alone."""
    if not pushes_back and any(part < ENOUGH for row in plan.served for part in row):
        return []
    return [api.WeightProposal(z, tuple(sorted(table.items()))) for z, table in enumerate(plan.tables) if table]
