"""Flow model: minimum-cost flow of work to tasks within their capacity, including the load of new connections.

It is solved in two stages. The first maximizes the served demand by criticality: for each rank of methods the largest
fraction that every zone can have, and then the rest. The second places the served demand at minimum cost: a cost that
rises with utilization, plus the cost of crossing zones and of new connections, whose handshakes also count as load.
Work is measured in fractions of the total demand, so that no solution depends on units.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from hollyridge.solver.fleet import Fleet
from hollyridge.solver.linear_program import INFINITY, LinearProgram
from hollyridge.solver.queueing_cost import cost_segments
from hollyridge.solver.task_classes import group_tasks

TOLERANCE = 1e-6  # by which the second stage relaxes the result of the first; above the solver's own tolerance
UNLIMITED_CONNECTIONS = 1e9  # a limit of this size or more is never binding


class OpenedConnections(NamedTuple):
    """Column for the opened fraction of all connections from a zone of proxies to a class of tasks.

    It also serves as a (column, factor) term of the costs and of the constraint on a class's capacity.

    Attributes:
        column: Index of the column.
        handshake_load: Load of opening all these connections, in fractions of the total demand.
    """

    column: int
    handshake_load: float


class FlowModel:
    """Linear program of one fleet.

    Attributes:
        classes: Classes of tasks.
        total_work: Total demand, in work per second; the unit of all flows.
        flows: Column of the flow, by (zone of proxies, class).
        opened: Opened connections, by (zone of proxies, class); only where opening has a cost.
        fills: Columns of the work in each cost segment, by class.
    """

    def __init__(self, fleet: Fleet, deadline_s: float, excluded: frozenset[tuple[int, int]] = frozenset()) -> None:
        """Build the program.

        Args:
            fleet: A valid fleet.
            deadline_s: Time limit of all solves together, in seconds.
            excluded: Pairs (zone of proxies, task) that must not be used.
        """
        self.classes = group_tasks(fleet, excluded)
        self.total_work = _total_work(fleet)
        self.flows: dict[tuple[int, int], int] = {}
        self.opened: dict[tuple[int, int], OpenedConnections] = {}
        self._fleet = fleet
        self._segments = cost_segments(fleet.target_utilization)
        self._program = LinearProgram(deadline_s)
        self._ranks = _ranks(fleet)
        # The order of columns and rows decides between solutions of equal cost.
        self._add_flows(excluded)
        self._served = [[self._program.add_column(1.0) for _ in fleet.methods] for _ in fleet.zones]
        self.fills = [
            [self._program.add_column(s.fraction * group.capacity / self.total_work) for s in self._segments]
            for group in self.classes
        ]
        self._add_demand_rows()
        for index in range(len(self.classes)):
            self._add_class_rows(index)
        self._levels = [self._program.add_column(1.0) for _ in self._ranks]
        self._add_level_rows()

    def maximize_served(self) -> list[list[float]]:
        """Maximize the served fraction, return it by zone and method, and fix it for later solves.

        For each rank, all zones first get the largest fraction that every zone can have. Zones that can have more then
        get as much as possible.

        Raises:
            SolverTimeoutError: The program was not solved by the deadline.
        """
        program = self._program
        for level, rank in zip(self._levels, self._ranks):
            program.set_costs({level: -1.0})
            program.set_bounds(level, max(0.0, float(program.solve()[level]) - TOLERANCE), 1.0)
            work_of = {
                self._served[z][method]: zone.demand_rps[method] * self._fleet.methods[method].work / self.total_work
                for z, zone in enumerate(self._fleet.zones)
                for method in rank
            }
            program.set_costs({column: -work for column, work in work_of.items()})
            values = program.solve()
            for column in work_of:
                program.set_bounds(column, max(0.0, float(values[column]) - TOLERANCE), 1.0)
        return [[min(1.0, max(0.0, float(values[column]))) for column in row] for row in self._served]

    def minimize_cost(self) -> np.ndarray:
        """Return the values of all columns for which the served demand has the lowest cost.

        Raises:
            SolverTimeoutError: The program was not solved by the deadline.
        """
        costs = {
            column: self._fleet.cross_zone_cost * (self.classes[index].zone != zone)
            for (zone, index), column in self.flows.items()
        }
        costs.update(self.opened.values())
        for fills in self.fills:
            costs.update((fill, segment.slope) for fill, segment in zip(fills, self._segments))
        self._program.set_costs(costs)
        return self._program.solve()

    def _add_flows(self, excluded: frozenset[tuple[int, int]]) -> None:
        fleet = self._fleet
        for z, zone in enumerate(fleet.zones):
            for index, group in enumerate(self.classes):
                if (z, group.zone) in fleet.partitions or (z, group.tasks[0]) in excluded:
                    continue
                self.flows[z, index] = self._program.add_column()
                opening_costs = fleet.current_tables and zone.proxy_count and fleet.handshake_cost > 0
                if opening_costs and not group.in_current_table[z]:
                    load = zone.proxy_count * len(group.tasks) * fleet.handshake_cost / fleet.settle_s
                    self.opened[z, index] = OpenedConnections(self._program.add_column(), load / self.total_work)

    def _add_demand_rows(self) -> None:
        """Add the constraints that the flow out of each zone equals its served demand."""
        for z, zone in enumerate(self._fleet.zones):
            demand = [
                (self._served[z][k], -zone.demand_rps[k] * method.work / self.total_work)
                for k, method in enumerate(self._fleet.methods)
            ]
            flows = [(self.flows[z, index], 1.0) for index in range(len(self.classes)) if (z, index) in self.flows]
            self._program.add_row(0.0, 0.0, [*flows, *demand])

    def _add_class_rows(self, index: int) -> None:
        """Add the constraints of a class: its capacity, its limit of connections, and flow only over connections."""
        group = self.classes[index]
        zones = range(len(self._fleet.zones))
        opening = [z for z in zones if (z, index) in self.opened]
        flows = [(self.flows[z, index], 1.0) for z in zones if (z, index) in self.flows]
        handshakes = [self.opened[z, index] for z in opening]
        fills = [(fill, -1.0) for fill in self.fills[index]]
        self._program.add_row(-INFINITY, 0.0, [*flows, *handshakes, *fills])
        if opening and group.free_connections < UNLIMITED_CONNECTIONS:
            connections = [
                (self.opened[z, index].column, float(self._fleet.zones[z].proxy_count * len(group.tasks)))
                for z in opening
            ]
            self._program.add_row(-INFINITY, group.free_connections, connections)
        for z in opening:  # the fewest connections that can carry a flow are those to tasks filled to capacity
            capacity = (self.opened[z, index].column, -group.capacity / self.total_work)
            self._program.add_row(-INFINITY, 0.0, [(self.flows[z, index], 1.0), capacity])

    def _add_level_rows(self) -> None:
        """Add the constraints that every zone gets at least the level of each rank."""
        for level, rank in zip(self._levels, self._ranks):
            for z, zone in enumerate(self._fleet.zones):
                for method in rank:
                    if zone.demand_rps[method] > 0:
                        self._program.add_row(0.0, INFINITY, [(self._served[z][method], 1.0), (level, -1.0)])


def _total_work(fleet: Fleet) -> float:
    return (
        sum(sum(rps * method.work for rps, method in zip(zone.demand_rps, fleet.methods)) for zone in fleet.zones)
        or 1.0
    )


def _ranks(fleet: Fleet) -> list[list[int]]:
    """Return the indices of the methods, grouped by criticality, the highest first."""
    levels = sorted({method.criticality for method in fleet.methods}, reverse=True)
    return [[k for k, method in enumerate(fleet.methods) if method.criticality == level] for level in levels]
