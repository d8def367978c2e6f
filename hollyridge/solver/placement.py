"""Placement of the work of each zone: the flow model's solution for classes, divided among their tasks."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from hollyridge.solver.fleet import Fleet
from hollyridge.solver.flow_model import FlowModel
from hollyridge.solver.task_classes import TaskClass

MIN_SPREAD_FRACTION = 0.03  # part of a zone's work that is divided among all lines so that none is idle
MIN_REMAINING_FRACTION = 0.1  # part of a full task's capacity that still counts as free
MAX_FILL = 0.99  # largest fill in the formula of the reserve for bursts, which grows without bound towards 1
SATURATED_FILL = 0.999  # fill from which a class counts as full
NEGLIGIBLE_FRACTION = 1e-6  # of the total demand; a smaller value is within the solver's tolerance, not a flow
ROUNDING_GUARD = 1e-9  # keeps a whole number that is slightly too large from being rounded up
FILL_DIGITS = 9  # digits by which fills are compared; smaller differences are rounding errors


class Placement(NamedTuple):
    """Solution of the flow model, by task.

    Attributes:
        served: By zone of proxies and method, the admitted fraction.
        work: By zone of proxies, the work per second for each task.
        saturated: Classes of tasks that are full.
    """

    served: tuple[tuple[float, ...], ...]
    work: tuple[dict[int, float], ...]
    saturated: tuple[TaskClass, ...]


def served_fractions(fleet: Fleet, deadline_s: float) -> list[list[float]]:
    """Return by zone of proxies and method the fraction that can be admitted.

    Raises:
        SolverTimeoutError: The model was not solved by the deadline.
    """
    return FlowModel(fleet, deadline_s).maximize_served()


def place_work(fleet: Fleet, deadline_s: float, excluded: frozenset[tuple[int, int]] = frozenset()) -> Placement:
    """Return the admitted fractions of the demand and the tasks to which their work goes.

    Args:
        fleet: A valid fleet.
        deadline_s: Time limit of the whole solution, in seconds.
        excluded: Pairs (zone of proxies, task) that must not be used.

    Raises:
        SolverTimeoutError: The model was not solved by the deadline.
    """
    model = FlowModel(fleet, deadline_s, excluded)
    served = model.maximize_served()
    values = model.minimize_cost()
    distribution = _Distribution(fleet, model, values)
    for zone in range(len(fleet.zones)):
        distribution.fill_zone(zone)
    return Placement(tuple(map(tuple, served)), tuple(distribution.work), _saturated(model, values))


def fill_evenly(load: dict[int, float], capacities: dict[int, float], amount: float) -> dict[int, float]:
    """Return the work for each task, divided so that tasks become equally full, the emptiest first.

    Each task gets at least a small part.

    Args:
        load: Current load of each task.
        capacities: Capacity of each task.
        amount: Work to divide.

    >>> shares = fill_evenly({1: 3.0, 2: 1.0, 3: 0.0}, {1: 2.0, 2: 2.0, 3: 4.0}, 3.0)
    >>> {task: round(share, 2) for task, share in shares.items()}
    {1: 0.02, 2: 0.33, 3: 2.65}
    """
    spread = MIN_SPREAD_FRACTION * amount
    remaining = amount - spread
    total_capacity = sum(capacities.values())
    by_fill = sorted(load, key=lambda task: (load[task] / capacities[task], task))
    level = filled_load = filled_capacity = 0.0
    for position, task in enumerate(by_fill):
        filled_load += load[task]
        filled_capacity += capacities[task]
        level = (remaining + filled_load) / filled_capacity
        following = by_fill[position + 1 : position + 2]
        if not following or level <= load[following[0]] / capacities[following[0]]:
            break
    return {
        task: spread * capacities[task] / total_capacity + max(0.0, level * capacities[task] - load[task])
        for task in load
    }


def _saturated(model: FlowModel, values: np.ndarray) -> tuple[TaskClass, ...]:
    return tuple(
        group
        for group, fills in zip(model.classes, model.fills)
        if sum(values[fill] for fill in fills) * model.total_work > SATURATED_FILL * group.capacity
    )


class _Distribution:
    """Division of the flows of a solution among tasks, one zone of tasks after the other.

    Attributes:
        work: By zone of proxies, the work per second for each task.
    """

    def __init__(self, fleet: Fleet, model: FlowModel, values: np.ndarray) -> None:
        self.work: list[dict[int, float]] = [{} for _ in fleet.zones]
        self._fleet = fleet
        self._model = model
        self._load = {task: 0.0 for group in model.classes for task in group.tasks}
        self._flows = {key: float(values[column]) * model.total_work for key, column in model.flows.items()}

    def fill_zone(self, zone_of_tasks: int) -> None:
        """Divide all flows to one zone of tasks among its tasks."""
        model = self._model
        indices = [index for index, group in enumerate(model.classes) if group.zone == zone_of_tasks]
        for index in indices:
            self._fill_unlisted(index)
        remaining = self._remaining_capacity([model.classes[index] for index in indices])
        for zone in range(len(self._fleet.zones)):
            listed = [index for index in indices if (zone, index) in self._flows and (zone, index) not in model.opened]
            amount = sum(self._flows[zone, index] for index in listed)
            if amount > 0:
                lines = [task for index in listed for task in model.classes[index].tasks]
                self._fill_listed(zone, lines, amount, remaining)

    def _fill_unlisted(self, index: int) -> None:
        """Place the work of zones whose tables do not list the class yet, on the tasks with the least load so far."""
        group = self._model.classes[index]
        zones = range(len(self._fleet.zones))
        negligible = NEGLIGIBLE_FRACTION * self._model.total_work
        amounts = {z: self._flows[z, index] for z in zones if self._flows.get((z, index), 0.0) > negligible}
        handshakes = {
            z: self._model.opened[z, index].handshake_load * self._model.total_work
            for z in zones
            if (z, index) in self._model.opened
        }
        capacities = dict(zip(group.tasks, group.capacities))
        for zone, fraction in _opened_fractions(group, amounts, handshakes).items():
            lines = self._emptiest_tasks(zone, group, fraction, capacities)
            total = sum(capacities[task] for task in lines)
            for task in lines:
                self.work[zone][task] = amounts[zone] * capacities[task] / total
                self._load[task] += self.work[zone][task]

    def _emptiest_tasks(self, zone: int, group: TaskClass, fraction: float, capacities: dict[int, float]) -> list[int]:
        """Return the tasks of a class to which a zone opens connections."""
        count = len(group.tasks)
        wanted = math.ceil(count * fraction - ROUNDING_GUARD)
        wanted = min(count, max(1, wanted, self._fleet.min_table_size - len(self.work[zone])))
        start = zone * count // len(self._fleet.zones)  # zones start at different tasks among equally full ones
        position = {task: order for order, task in enumerate(group.tasks[start:] + group.tasks[:start])}
        by_fill = sorted(
            group.tasks, key=lambda task: (round(self._load[task] / capacities[task], FILL_DIGITS), position[task])
        )
        return by_fill[:wanted]

    def _remaining_capacity(self, groups: Sequence[TaskClass]) -> dict[int, float]:
        return {
            task: max(capacity - self._load[task], MIN_REMAINING_FRACTION * capacity)
            for group in groups
            for task, capacity in zip(group.tasks, group.capacities)
        }

    def _fill_listed(self, zone: int, lines: Sequence[int], amount: float, remaining: dict[int, float]) -> None:
        """Divide the work of a zone among all current tasks of its table in one zone of tasks, by free capacity.

        The linear program's split between equally full classes of one zone is arbitrary. If each zone of proxies used
        only its own few tasks there, uneven arrivals within a second would overload these tasks.
        """
        total = sum(remaining[task] for task in lines)
        for task in lines:
            self.work[zone][task] = amount * remaining[task] / total
            self._load[task] += self.work[zone][task]


def _opened_fractions(group: TaskClass, amounts: dict[int, float], handshakes: dict[int, float]) -> dict[int, float]:
    """Return the fraction of its connections to a class that each zone opens.

    Zones open at least as many as their work would fill. As a reserve for bursts and uncertain capacities they open
    more the less of the class is free (twice as many if half is free, all if it is full), as far as there is capacity
    left for the handshakes.

    Args:
        group: The class of tasks.
        amounts: Work per second, by zone.
        handshakes: Load of opening all connections, by zone that has to open them.
    """
    total = sum(amounts.values())
    needed = {zone: min(1.0, amount / group.capacity) for zone, amount in amounts.items() if zone in handshakes}
    fill = min(MAX_FILL, total / group.capacity)
    wanted = {zone: min(1.0, fraction / (1 - fill)) for zone, fraction in needed.items()}
    free = group.capacity - total - sum(needed[zone] * handshakes[zone] for zone in needed)
    extra = sum((wanted[zone] - needed[zone]) * handshakes[zone] for zone in needed)
    granted = max(0.0, min(1.0, free / extra)) if extra > 0 else 1.0
    return {zone: needed[zone] + granted * (wanted[zone] - needed[zone]) for zone in needed}
