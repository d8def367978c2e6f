"""What any weight tables come to: arriving shares, load, cost, and the connections that they change."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hollyridge.solver.fleet import Fleet
from hollyridge.solver.queueing_cost import cost_segments
from hollyridge.solver.task_classes import usable_capacity
from hollyridge.solver.two_choices import arrivals

MIN_CAPACITY = 1e-9  # in place of none, where it is divided by
OVERLOAD_COST = 100.0  # of a unit of work beyond a task's capacity: above any slope within it
MOVED_FRACTION = 0.1  # by which a weight must change for its line to count as moved


class Moves(NamedTuple):
    """What tables change over all proxies. The names are keys of `hollyridge solve --json`.

    Attributes:
        opened: Connections that are opened.
        closed: Connections that are closed.
        lines: Lines that are new, removed or moved.
        handshakes: The largest fraction of a task's capacity that new handshakes take.
    """

    opened: int
    closed: int
    lines: int
    handshakes: float


def admitted_work(fleet: Fleet, served: Sequence[Sequence[float]]) -> list[float]:
    """Returns the work a second that is admitted, by zone of proxies."""
    return [
        sum(rps * method.work * fraction for rps, method, fraction in zip(zone.demand_rps, fleet.methods, fractions))
        for zone, fractions in zip(fleet.zones, served)
    ]


def relative_service_times(fleet: Fleet, tasks: Iterable[int]) -> list[float]:
    """Returns how long an RPC takes at each task, relative to each other: longer where capacity is smaller."""
    return [1 / max(usable_capacity(fleet, task), MIN_CAPACITY) for task in tasks]


def load_by_task(shares: Sequence[dict[int, float]], work: Sequence[float]) -> dict[int, float]:
    """Returns the work a second at each task, from the work of each zone and the shares that arrive."""
    load: dict[int, float] = {}
    for table, amount in zip(shares, work):
        for task, share in table.items():
            load[task] = load.get(task, 0.0) + share * amount
    return load


def arriving_shares(fleet: Fleet, tables: Sequence[dict[int, float]]) -> tuple[dict[int, float], ...]:
    """Returns by zone the share of its RPCs that arrives at each task, as its proxies pick."""
    shares = []
    for zone, table in zip(fleet.zones, tables):
        lines = {task: weight for task, weight in table.items() if weight > 0}
        times = relative_service_times(fleet, lines)
        found = arrivals(list(lines.values()), zone.in_flight, times, fleet.balancing_policy) if lines else ()
        shares.append(dict(zip(lines, found)))
    return tuple(shares)


def cost_of(fleet: Fleet, shares: Sequence[dict[int, float]], work: Sequence[float]) -> float:
    """Returns what the flow model minimises, for any tables; without the cost of changes.

    Args:
        fleet: A valid fleet.
        shares: By zone, the share of its work that arrives at each task.
        work: Work a second by zone.
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
    """Counts what these tables change against those in force."""
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
    """Returns the fraction of the demand that is served, weighted by criticality."""
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
    """Number of lines whose weight has changed, relative to the largest of their table."""
    largest = max(table.values(), default=1.0)
    current_largest = max(current.values(), default=1.0)
    moved = 0
    for task in table:
        if task in current:
            before = current[task] / current_largest
            moved += abs(table[task] / largest - before) > MOVED_FRACTION * current[task] / current_largest
    return moved
