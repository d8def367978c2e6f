"""Explanation of what limits a plan, as text for operators."""

from __future__ import annotations

from collections.abc import Iterator
from statistics import median

from hollyridge.solver.evaluation import served_value
from hollyridge.solver.fleet import Fleet, Task
from hollyridge.solver.placement import Placement, served_fractions

ALL_SERVED = 0.999  # fraction of the demand from which all of it counts as served
MIN_GAIN = 0.001  # gain in served demand below which a remedy is not listed
MIN_SPAN = 0.005  # difference between zones below which a single figure is shown


def explain(fleet: Fleet, placement: Placement, utilization: dict[int, float], deadline_s: float) -> list[str]:
    """Return what limits the plan and what would help, one line each.

    Raises:
        SolverTimeoutError: A comparison was not solved by its deadline.
    """
    reasons = [*_shortages(fleet, placement), *_full_zones(fleet, placement)]
    served = served_value(fleet, placement.served)
    if served < ALL_SERVED:
        reasons += _remedies(fleet, served, deadline_s)
    elif utilization:
        fullest = max(utilization, key=lambda task: (utilization[task], -task))
        name = fleet.tasks[fullest].name
        reasons.append(f"all demand is served; the highest utilization is {utilization[fullest]:.0%}, at {name}")
    return reasons


def _shortages(fleet: Fleet, placement: Placement) -> Iterator[str]:
    for k, method in enumerate(fleet.methods):
        fractions = [placement.served[z][k] for z, zone in enumerate(fleet.zones) if zone.demand_rps[k] > 0]
        if fractions and min(fractions) < ALL_SERVED:
            span = f"{min(fractions):.0%}"
            if max(fractions) - min(fractions) >= MIN_SPAN:
                span += f" to {max(fractions):.0%} by zone"
            yield f"too little capacity for all demand: {span} of {method.name} can be admitted"


def _full_zones(fleet: Fleet, placement: Placement) -> Iterator[str]:
    for z, zone in enumerate(fleet.zones):
        full = [task for group in placement.saturated for task in group.tasks if fleet.tasks[task].zone == z]
        cold = sum(fleet.tasks[task].slow_start_factor < 1 for task in full)
        if full:
            yield f"{len(full)} tasks in {zone.name} are at capacity" + (f", {cold} of them cold" if cold else "")


def _remedies(fleet: Fleet, served: float, deadline_s: float) -> Iterator[str]:
    for z, zone in enumerate(fleet.zones):
        capacities = [task.capacity_rps for task in fleet.tasks if task.zone == z]
        capacities = capacities or [task.capacity_rps for task in fleet.tasks]
        if capacities:
            tasks = (*fleet.tasks, Task("one more", z, median(capacities)))
            gain = _gain(fleet._replace(tasks=tasks), served, deadline_s)
            yield f"one more task in {zone.name}, warm, would serve {gain:.1%} more"
    warm = fleet._replace(tasks=tuple(task._replace(slow_start_factor=1.0) for task in fleet.tasks))
    gain = _gain(warm, served, deadline_s)
    if gain > MIN_GAIN:
        yield f"{gain:.1%} more would be served once all tasks are warm"
    gain = _gain(fleet._replace(handshake_cost=0.0), served, deadline_s)
    if gain > MIN_GAIN:
        yield f"{gain:.1%} more would be served once the new connections are open"


def _gain(changed: Fleet, served: float, deadline_s: float) -> float:
    return served_value(changed, served_fractions(changed, deadline_s)) - served
