"""What the solver is told: demand, tasks with what they can do, and the tables that are held now."""

from __future__ import annotations

import math
from typing import NamedTuple


class Method(NamedTuple):
    """`work`: of one RPC, in units of an average one."""

    name: str
    criticality: float
    work: float = 1.0


class Zone(NamedTuple):
    """`demand`: RPCs a second by method. `out`: RPCs that one of its proxies has under way."""

    name: str
    proxy_count: int
    demand_rps: tuple[float, ...]
    in_flight: float = 1.0


class Task(NamedTuple):
    """`rate`: average RPCs a second when warm; `doubt`: the part by which that may be wrong; `part`: what it can do of
    it now; `connections`: how many it takes; `state`: open to RPCs or not."""

    name: str
    zone: int
    capacity_rps: float
    uncertainty: float = 0.0
    slow_start_factor: float = 1.0
    max_connections: float = math.inf
    accepts_requests: bool = True


class Fleet(NamedTuple):
    """`held`: by zone of proxies, the share of its RPCs that each task gets now (empty: no table). `crossing`: what
    crossing zones costs, in work for each RPC. `handshake`: work of a new connection, in average RPCs. `settle_s`:
    within which new connections are made. `busy`: of its rate, how far a task is filled. `most_lines`: of a table (0:
    any). `cut`: pairs of zones (proxies', tasks') between which nothing passes."""

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


class InvalidFleetError(Exception):
    """What was told can't be; `faults` says what. Tables are to stay as they are."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults[:5]))
        self.faults = faults


def check(fleet: Fleet) -> None:
    """Raises NonsenseError for figures that are not finite, below zero, or at odds with each other."""
    faults = []

    def wrong(value: float, least: float = 0.0, most: float = 1e12) -> bool:
        return not (isinstance(value, (int, float)) and least <= value <= most)  # a NaN is no less and no more

    for method in fleet.methods:
        if wrong(method.criticality) or wrong(method.work, 1e-9):
            faults.append(f"method {method.name}: criticality and work")
    for zone in fleet.zones:
        if len(zone.demand_rps) != len(fleet.methods) or any(map(wrong, zone.demand_rps)):
            faults.append(f"zone {zone.name}: demand, one figure a method")
        if wrong(zone.proxy_count) or wrong(zone.in_flight):
            faults.append(f"zone {zone.name}: proxies")
    for task in fleet.tasks:
        if not 0 <= task.zone < len(fleet.zones):
            faults.append(f"task {task.name}: zone")
        if (
            wrong(task.capacity_rps)
            or wrong(task.uncertainty, 0, 1)
            or wrong(task.slow_start_factor, 0, 1)
            or wrong(task.max_connections, 0, math.inf)
        ):
            faults.append(f"task {task.name}: rate, doubt, part or connections")
    if fleet.current_tables and len(fleet.current_tables) != len(fleet.zones):
        faults.append("tables held: one a zone")
    for zone, table in zip(fleet.zones, fleet.current_tables):
        if any(not 0 <= task < len(fleet.tasks) or wrong(share, 0, 1e9) for task, share in table.items()):
            faults.append(f"zone {zone.name}: table held")
    for name, value in (("crossing", fleet.cross_zone_cost), ("handshake", fleet.handshake_cost)):
        if wrong(value):
            faults.append(name)
    if wrong(fleet.settle_s, 1e-6) or wrong(fleet.target_utilization, 1e-6, 1.0):
        faults.append("settle_s or busy")
    if not fleet.methods or not fleet.zones:
        faults.append("no method or no zone")
    if faults:
        raise InvalidFleetError(faults)
