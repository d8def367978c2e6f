"""Input of the solver: demand, tasks with their capacity, and the current weight tables."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

from hollyridge.errors import HollyridgeError

MAX_VALUE = 1e12  # a larger value is an error of its source
MAX_WEIGHT = 1e9  # of one task in a table; tables are not normalized
MIN_POSITIVE = 1e-6  # smallest valid value of divisors
MIN_WORK = 1e-9  # smallest valid work of an RPC, in average RPCs
MAX_FAULTS_IN_MESSAGE = 5


class Method(NamedTuple):
    """A method of the service.

    Attributes:
        name: Name of the method.
        criticality: Rank for admission; methods of higher criticality are admitted first.
        work: Work of one RPC, in average RPCs.
    """

    name: str
    criticality: float
    work: float = 1.0


class Zone(NamedTuple):
    """The proxies of one zone.

    Attributes:
        name: Name of the zone.
        proxy_count: Number of proxies.
        demand_rps: RPCs per second, by method.
        in_flight: Average number of RPCs that one proxy has in flight.
    """

    name: str
    proxy_count: int
    demand_rps: tuple[float, ...]
    in_flight: float = 1.0


class Task(NamedTuple):
    """A task that serves RPCs.

    Attributes:
        name: Name of the task.
        zone: Index of its zone.
        capacity_rps: Capacity when warm, in average RPCs per second.
        uncertainty: Fraction by which the capacity may be wrong.
        slow_start_factor: Fraction of its warm capacity that the task has now.
        max_connections: Maximum number of connections.
        accepts_requests: Whether new RPCs may be sent to the task.
    """

    name: str
    zone: int
    capacity_rps: float
    uncertainty: float = 0.0
    slow_start_factor: float = 1.0
    max_connections: float = math.inf
    accepts_requests: bool = True


class Fleet(NamedTuple):
    """Complete input of a plan.

    Attributes:
        methods: The methods of the service.
        zones: The zones, with their proxies.
        tasks: The tasks of all zones.
        current_tables: By zone of proxies, the current weight of each task; empty where there is no table.
        cross_zone_cost: Additional cost of an RPC that crosses zones, in units of work.
        handshake_cost: Work of a new connection, in average RPCs.
        settle_s: Time within which new connections are opened, in seconds.
        target_utilization: Fraction of its capacity up to which a task is filled.
        min_table_size: Minimum number of tasks in a table; fewer cannot even out bursts.
        max_table_size: Maximum number of tasks in a table; 0 for no limit.
        balancing_policy: Policy by which proxies pick: `p2c` (power of two choices), `rotate` or `random`.
        partitions: Pairs (zone of proxies, zone of tasks) that cannot reach each other.
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
        """Return the current table of the proxies of a zone; empty if there is none."""
        return self.current_tables[zone] if self.current_tables else {}


class InvalidFleetError(HollyridgeError):
    """Values of a fleet are out of range, not finite, or contradict each other. The current tables must be kept.

    Attributes:
        faults: Description of each fault.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults[:MAX_FAULTS_IN_MESSAGE]))
        self.faults = faults


def validate(fleet: Fleet) -> None:
    """Check all values of a fleet.

    Raises:
        InvalidFleetError: A value is invalid.
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


def _is_within(value: float, minimum: float = 0.0, maximum: float = MAX_VALUE) -> bool:
    """Return whether a value is a number in the range; NaN is not."""
    return isinstance(value, (int, float)) and minimum <= value <= maximum


def _faults_of_methods(fleet: Fleet) -> Iterator[str]:
    for method in fleet.methods:
        if not (_is_within(method.criticality) and _is_within(method.work, MIN_WORK)):
            yield f"method {method.name}: criticality {method.criticality} or work {method.work} is out of range"


def _faults_of_zones(fleet: Fleet) -> Iterator[str]:
    for zone in fleet.zones:
        if len(zone.demand_rps) != len(fleet.methods) or not all(map(_is_within, zone.demand_rps)):
            yield (
                f"zone {zone.name}: demand {zone.demand_rps} found, expected one value in range for each of "
                f"{len(fleet.methods)} methods"
            )
        if not (_is_within(zone.proxy_count) and _is_within(zone.in_flight)):
            yield f"zone {zone.name}: {zone.proxy_count} proxies or {zone.in_flight} RPCs in flight is out of range"


def _faults_of_tasks(fleet: Fleet) -> Iterator[str]:
    for task in fleet.tasks:
        if not 0 <= task.zone < len(fleet.zones):
            yield f"task {task.name}: zone index {task.zone} is not one of {len(fleet.zones)} zones"
        values_are_valid = (
            _is_within(task.capacity_rps)
            and _is_within(task.uncertainty, 0, 1)
            and _is_within(task.slow_start_factor, 0, 1)
            and _is_within(task.max_connections, 0, math.inf)
        )
        if not values_are_valid:
            yield (
                f"task {task.name}: rate {task.capacity_rps}, doubt {task.uncertainty}, part {task.slow_start_factor} "
                f"or connections {task.max_connections} is out of range"
            )


def _faults_of_tables(fleet: Fleet) -> Iterator[str]:
    if fleet.current_tables and len(fleet.current_tables) != len(fleet.zones):
        yield f"{len(fleet.current_tables)} current tables found, expected one for each of {len(fleet.zones)} zones"
    for zone, table in zip(fleet.zones, fleet.current_tables):
        if any(
            not 0 <= task < len(fleet.tasks) or not _is_within(weight, 0, MAX_WEIGHT) for task, weight in table.items()
        ):
            yield f"zone {zone.name}: current table has an unknown task or a weight out of range"


def _faults_of_costs(fleet: Fleet) -> Iterator[str]:
    if not _is_within(fleet.cross_zone_cost):
        yield f"crossing: {fleet.cross_zone_cost} is out of range"
    if not _is_within(fleet.handshake_cost):
        yield f"handshake: {fleet.handshake_cost} is out of range"
    if not (_is_within(fleet.settle_s, MIN_POSITIVE) and _is_within(fleet.target_utilization, MIN_POSITIVE, 1.0)):
        yield f"settle_s {fleet.settle_s} or busy {fleet.target_utilization} is out of range"
    if not fleet.methods or not fleet.zones:
        yield "the fleet has no method or no zone, expected at least one of each"
