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
    proxies: int
    demand: tuple[float, ...]
    out: float = 1.0


class Task(NamedTuple):
    """`rate`: average RPCs a second when warm; `doubt`: the part by which that may be wrong; `part`: what it can do of
    it now; `connections`: how many it takes; `state`: open to RPCs or not."""

    name: str
    zone: int
    rate: float
    doubt: float = 0.0
    part: float = 1.0
    connections: float = math.inf
    open: bool = True


class Fleet(NamedTuple):
    """`held`: by zone of proxies, the share of its RPCs that each task gets now (empty: no table). `crossing`: what
    crossing zones costs, in work for each RPC. `handshake`: work of a new connection, in average RPCs. `settle_s`:
    within which new connections are made. `busy`: of its rate, how far a task is filled. `most_lines`: of a table (0:
    any). `cut`: pairs of zones (proxies', tasks') between which nothing passes."""

    methods: tuple[Method, ...]
    zones: tuple[Zone, ...]
    tasks: tuple[Task, ...]
    held: tuple[dict[int, float], ...] = ()
    crossing: float = 0.1
    handshake: float = 0.05
    settle_s: float = 2.0
    busy: float = 0.85
    least_lines: int = 5
    most_lines: int = 0
    pick: str = "p2c"
    cut: frozenset[tuple[int, int]] = frozenset()


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
        if len(zone.demand) != len(fleet.methods) or any(map(wrong, zone.demand)):
            faults.append(f"zone {zone.name}: demand, one figure a method")
        if wrong(zone.proxies) or wrong(zone.out):
            faults.append(f"zone {zone.name}: proxies")
    for task in fleet.tasks:
        if not 0 <= task.zone < len(fleet.zones):
            faults.append(f"task {task.name}: zone")
        if (
            wrong(task.rate)
            or wrong(task.doubt, 0, 1)
            or wrong(task.part, 0, 1)
            or wrong(task.connections, 0, math.inf)
        ):
            faults.append(f"task {task.name}: rate, doubt, part or connections")
    if fleet.held and len(fleet.held) != len(fleet.zones):
        faults.append("tables held: one a zone")
    for zone, table in zip(fleet.zones, fleet.held):
        if any(not 0 <= task < len(fleet.tasks) or wrong(share, 0, 1e9) for task, share in table.items()):
            faults.append(f"zone {zone.name}: table held")
    for name in ("crossing", "handshake"):
        if wrong(getattr(fleet, name)):
            faults.append(name)
    if wrong(fleet.settle_s, 1e-6) or wrong(fleet.busy, 1e-6, 1.0):
        faults.append("settle_s or busy")
    if not fleet.methods or not fleet.zones:
        faults.append("no method or no zone")
    if faults:
        raise InvalidFleetError(faults)
