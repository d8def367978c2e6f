"""Classes of similar tasks, the nodes of the flow model.

Grouping keeps the linear program small, and gives equal tasks equal weights regardless of their names.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from hollyridge.solver.fleet import Fleet

SIMILAR_CAPACITY_RATIO = 1.1  # largest ratio between usable capacities of similar tasks


class TaskClass(NamedTuple):
    """Tasks of one zone with similar capacity, the same limit of connections, and the same current tables.

    Attributes:
        tasks: Indices of the tasks.
        capacities: Usable capacity of each task, in work per second.
        zone: Index of the zone of the tasks.
        capacity: Sum of the capacities.
        free_connections: Number of new connections that all the tasks together can accept.
        in_current_table: By zone of proxies, whether its current table lists the tasks.
    """

    tasks: tuple[int, ...]
    capacities: tuple[float, ...]
    zone: int
    capacity: float
    free_connections: float
    in_current_table: tuple[bool, ...]


def usable_capacity(fleet: Fleet, index: int) -> float:
    """Return the maximum work per second for a task, with the uncertainty of its capacity deducted."""
    task = fleet.tasks[index]
    if not task.accepts_requests:
        return 0.0
    return task.capacity_rps * max(0.0, 1 - task.uncertainty) * task.slow_start_factor * fleet.target_utilization


def group_tasks(fleet: Fleet, excluded: frozenset[tuple[int, int]] = frozenset()) -> list[TaskClass]:
    """Group the tasks that have capacity, in a fixed order.

    Args:
        fleet: The fleet.
        excluded: Pairs (zone of proxies, task) that must not be used.
    """
    similar: dict[tuple, list[int]] = {}
    current_tables = fleet.current_tables or tuple({} for _ in fleet.zones)
    for index, task in enumerate(fleet.tasks):
        capacity = usable_capacity(fleet, index)
        if capacity <= 0:
            continue
        in_current_table = tuple(index in table for table in current_tables)
        excluded_by = tuple((zone, index) in excluded for zone in range(len(fleet.zones)))
        capacity_step = round(math.log(capacity) / math.log(SIMILAR_CAPACITY_RATIO))
        key = (task.zone, capacity_step, task.max_connections, in_current_table, excluded_by)
        similar.setdefault(key, []).append(index)
    return [_class_of(fleet, key, tasks) for key, tasks in sorted(similar.items())]


def _class_of(fleet: Fleet, key: tuple, tasks: list[int]) -> TaskClass:
    """Return the class of the tasks that `group_tasks` has grouped under the key."""
    zone, _, max_connections, in_current_table, _ = key
    current_connections = sum(z.proxy_count for z, is_listed in zip(fleet.zones, in_current_table) if is_listed)
    capacities = tuple(usable_capacity(fleet, index) for index in tasks)
    free_connections = max(0.0, max_connections - current_connections) * len(tasks)
    return TaskClass(tuple(tasks), capacities, zone, sum(capacities), free_connections, in_current_table)
