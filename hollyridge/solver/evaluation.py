"""Evaluation of weight tables: arriving shares, load, cost, and changes to connections."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hollyridge.solver.fleet import Fleet
from hollyridge.solver.queueing_cost import cost_segments
from hollyridge.solver.task_classes import usable_capacity
from hollyridge.solver.two_choices import arrivals

MIN_CAPACITY = 1e-9  # replaces a capacity of zero in divisions
OVERLOAD_COST = 100.0  # per unit of work beyond a task's capacity; above any slope within it
MOVED_FRACTION = 0.1  # relative change of weight from which a line counts as moved


class Moves(NamedTuple):
    """Changes that tables make, summed over all proxies. Field names are keys of `hollyridge solve --json`.

    Attributes:
        opened: Number of connections that are opened.
        closed: Number of connections that are closed.
        lines: Number of lines that are new, removed or moved.
        handshakes: Largest fraction of a task's capacity that the handshakes of new connections use.
    """

    opened: int
    closed: int
    lines: int
    handshakes: float


def admitted_work(fleet: Fleet, served: Sequence[Sequence[float]]) -> list[float]:
    """Return the admitted work per second by zone of proxies, from the served fraction by zone and method."""
    return [
        sum(rps * method.work * fraction for rps, method, fraction in zip(zone.demand_rps, fleet.methods, fractions))
        for zone, fractions in zip(fleet.zones, served)
    ]


def relative_service_times(fleet: Fleet, tasks: Iterable[int]) -> list[float]:
    """Return the relative service time of an RPC at each task: the inverse of the task's usable capacity."""
    return [1 / max(usable_capacity(fleet, task), MIN_CAPACITY) for task in tasks]


def load_by_task(shares: Sequence[dict[int, float]], work: Sequence[float]) -> dict[int, float]:
    """Return the work per second at each task, from the work of each zone and its arriving shares."""
    load: dict[int, float] = {}
    for table, amount in zip(shares, work):
        for task, share in table.items():
            load[task] = load.get(task, 0.0) + share * amount
    return load


def arriving_shares(fleet: Fleet, tables: Sequence[dict[int, float]]) -> tuple[dict[int, float], ...]:
    """Return by zone of proxies the share of its RPCs that arrives at each task under the balancing policy."""
    shares = []
    for zone, table in zip(fleet.zones, tables):
        lines = {task: weight for task, weight in table.items() if weight > 0}
        times = relative_service_times(fleet, lines)
        found = arrivals(list(lines.values()), zone.in_flight, times, fleet.balancing_policy) if lines else ()
        shares.append(dict(zip(lines, found)))
    return tuple(shares)


def cost_of(fleet: Fleet, shares: Sequence[dict[int, float]], work: Sequence[float]) -> float:
    """Return the cost that the flow model minimizes, for any tables; without the cost of changes.

    Args:
        fleet: A valid fleet.
        shares: By zone of proxies, the share of its work that arrives at each task.
        work: Work per second, by zone of proxies.
    """
    total_work = sum(work) or 1.0
    cost = sum(
        fleet.cross_zone_cost * share * work[zone] / total_work
        for zone, table in enumerate(shares)
        for task, share in table.items()
        if fleet.tasks[task].zone != zone
    )
    for task, amount in load_by_task(shares, work).items():
        remaining = amount
        capacity = usable_capacity(fleet, task)
        for segment in cost_segments(fleet.target_utilization):
            part = min(remaining, segment.fraction * capacity)
            cost += segment.slope * part / total_work
            remaining -= part
        cost += OVERLOAD_COST * remaining / total_work
    return cost


def count_moves(fleet: Fleet, tables: Sequence[dict[int, float]]) -> Moves:
    """Count the changes between the current tables and these tables."""
    opened = closed = lines = 0
    handshakes: dict[int, float] = {}
    for z, table in enumerate(tables):
        current = fleet.table_of(z)
        proxies = fleet.zones[z].proxy_count
        added = [task for task in table if task not in current]
        removed = sum(task not in table for task in current)
        opened += proxies * len(added)
        closed += proxies * removed
        lines += proxies * (len(added) + removed + _moved_lines(table, current))
        for task in added:
            handshakes[task] = handshakes.get(task, 0.0) + proxies * fleet.handshake_cost / fleet.settle_s
    worst = max(
        (load / max(usable_capacity(fleet, task), MIN_CAPACITY) for task, load in handshakes.items()), default=0.0
    )
    return Moves(opened, closed, lines, round(worst, 4))


def served_value(fleet: Fleet, served: Sequence[Sequence[float]]) -> float:
    """Return the fraction of the demand that is served, weighted by criticality.

    Args:
        fleet: A valid fleet.
        served: By zone of proxies and method, the served fraction of the RPCs.
    """
    demand = sum(
        rps * method.criticality for zone in fleet.zones for rps, method in zip(zone.demand_rps, fleet.methods)
    )
    value = sum(
        rps * method.criticality * fraction
        for zone, fractions in zip(fleet.zones, served)
        for rps, method, fraction in zip(zone.demand_rps, fleet.methods, fractions)
    )
    return value / demand if demand else 1.0


def _moved_lines(table: dict[int, float], current: dict[int, float]) -> int:
    """Return the number of lines whose weight, relative to the largest weight of the table, has changed."""
    largest = max(table.values(), default=1.0)
    current_largest = max(current.values(), default=1.0)
    moved = 0
    for task in table:
        if task in current:
            before = current[task] / current_largest
            moved += abs(table[task] / largest - before) > MOVED_FRACTION * current[task] / current_largest
    return moved
