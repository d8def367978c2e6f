"""The solver's input: demand, tasks with their capacity, and the weight tables in force."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

from hollyridge.errors import HollyridgeError

MAX_FIGURE = 1e12  # beyond this a figure is a fault of whoever stated it
MAX_SHARE = 1e9  # of one task in a table; tables are not normalised
MIN_POSITIVE = 1e-6  # for figures that are divided by
MIN_WORK = 1e-9
MAX_FAULTS_IN_MESSAGE = 5


class Method(NamedTuple):
    """A method of the service.

    Attributes:
        name: Its name.
        criticality: Methods of higher criticality are admitted first.
        work: Work of one RPC, in units of an average one.
    """

    name: str
    criticality: float
    work: float = 1.0


class Zone(NamedTuple):
    """The proxies of one zone.

    Attributes:
        name: Its name.
        proxy_count: Number of proxies.
        demand_rps: RPCs a second by method.
        in_flight: RPCs that one proxy has in flight on average.
    """

    name: str
    proxy_count: int
    demand_rps: tuple[float, ...]
    in_flight: float = 1.0


class Task(NamedTuple):
    """A task that serves RPCs.

    Attributes:
        name: Its name.
        zone: Index of its zone.
        capacity_rps: Average RPCs a second that it serves when warm.
        uncertainty: Fraction by which its capacity may be wrong.
        slow_start_factor: Fraction of its capacity that it has now.
        max_connections: Connections that it takes.
        accepts_requests: Whether new RPCs may be sent to it.
    """

    name: str
    zone: int
    capacity_rps: float
    uncertainty: float = 0.0
    slow_start_factor: float = 1.0
    max_connections: float = math.inf
    accepts_requests: bool = True


class Fleet(NamedTuple):
    """All that a plan rests on.

    Attributes:
        methods: The methods of the service.
        zones: Zones with their proxies.
        tasks: The tasks of all zones.
        current_tables: By zone of proxies, the weight of each task in force; empty where there is no table.
        cross_zone_cost: Cost of an RPC that crosses zones, in units of work.
        handshake_cost: Work of a new connection, in average RPCs.
        settle_s: Time within which new connections are made.
        target_utilization: Fraction of its capacity up to which a task is filled.
        min_table_size: Tasks in a table, at the least; fewer can't even out bursts.
        max_table_size: Tasks in a table, at the most; 0 for any number.
        balancing_policy: How proxies pick: `p2c` (power of two choices), `rotate` or `random`.
        partitions: Pairs (zone of proxies, zone of tasks) between which nothing passes.
    """

    methods: tuple[Method, ...]
    zones: tuple[Zone, ...]
    tasks: tuple[Task, ...]
    current_tables: tuple[dict[int, float], ...] = ()
    cross_zone_cost: float = 0.1
    handshake_cost: float = 0.05
    settle_s: float = 2.0
    target_utilization: float = 0.85
    min_table_size: int = 5
    max_table_size: int = 0
    balancing_policy: str = "p2c"
    partitions: frozenset[tuple[int, int]] = frozenset()

    def table_of(self, zone: int) -> dict[int, float]:
        """Returns the table in force for the proxies of this zone, empty if there is none."""
        return self.current_tables[zone] if self.current_tables else {}


class InvalidFleetError(HollyridgeError):
    """The figures of a fleet are not finite, below zero, or contradict each other. Tables are to stay as they are.

    Attributes:
        faults: Everything that is wrong.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults[:MAX_FAULTS_IN_MESSAGE]))
        self.faults = faults


def validate(fleet: Fleet) -> None:
    """Checks all figures.

    Raises:
        InvalidFleetError: Some can't be.
    """
    faults = [
        *_faults_of_methods(fleet),
        *_faults_of_zones(fleet),
        *_faults_of_tasks(fleet),
        *_faults_of_tables(fleet),
        *_faults_of_costs(fleet),
    ]
    if faults:
        raise InvalidFleetError(faults)


def _is_within(value: float, minimum: float = 0.0, maximum: float = MAX_FIGURE) -> bool:
    """Tells whether a figure is in range; a NaN is not."""
    return isinstance(value, (int, float)) and minimum <= value <= maximum


def _faults_of_methods(fleet: Fleet) -> Iterator[str]:
    for method in fleet.methods:
        if not (_is_within(method.criticality) and _is_within(method.work, MIN_WORK)):
            yield f"method {method.name}: criticality and work"


def _faults_of_zones(fleet: Fleet) -> Iterator[str]:
    for zone in fleet.zones:
        if len(zone.demand_rps) != len(fleet.methods) or not all(map(_is_within, zone.demand_rps)):
            yield f"zone {zone.name}: demand, one figure a method"
        if not (_is_within(zone.proxy_count) and _is_within(zone.in_flight)):
            yield f"zone {zone.name}: proxies"


def _faults_of_tasks(fleet: Fleet) -> Iterator[str]:
    for task in fleet.tasks:
        if not 0 <= task.zone < len(fleet.zones):
            yield f"task {task.name}: zone"
        figures_are_valid = (
            _is_within(task.capacity_rps)
            and _is_within(task.uncertainty, 0, 1)
            and _is_within(task.slow_start_factor, 0, 1)
            and _is_within(task.max_connections, 0, math.inf)
        )
        if not figures_are_valid:
            yield f"task {task.name}: rate, doubt, part or connections"


def _faults_of_tables(fleet: Fleet) -> Iterator[str]:
    if fleet.current_tables and len(fleet.current_tables) != len(fleet.zones):
        yield "tables held: one a zone"
    for zone, table in zip(fleet.zones, fleet.current_tables):
        if any(
            not 0 <= task < len(fleet.tasks) or not _is_within(share, 0, MAX_SHARE) for task, share in table.items()
        ):
            yield f"zone {zone.name}: table held"


def _faults_of_costs(fleet: Fleet) -> Iterator[str]:
    if not _is_within(fleet.cross_zone_cost):
        yield "crossing"
    if not _is_within(fleet.handshake_cost):
        yield "handshake"
    if not (_is_within(fleet.settle_s, MIN_POSITIVE) and _is_within(fleet.target_utilization, MIN_POSITIVE, 1.0)):
        yield "settle_s or busy"
    if not fleet.methods or not fleet.zones:
        yield "no method or no zone"
