"""A fleet described in a file, for `hollyridge solve`."""

from __future__ import annotations

import math
from configparser import ConfigParser
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, NonNegativeFloat, PositiveFloat, PositiveInt

from hollyridge.settings.ini import WORD_LIST, FaultsError, Section, check, read_bytes, read_file
from hollyridge.solver.fleet import Fleet, Method, Task, Zone


class SolveSection(Section):
    crossing: NonNegativeFloat = 0.1
    handshake: NonNegativeFloat = 0.05
    settle_s: PositiveFloat = 2.0
    busy: Annotated[float, Field(gt=0, le=1)] = 0.85
    least_lines: PositiveInt = 5
    most_lines: Annotated[int, Field(ge=0)] = 0
    pick: Literal["p2c", "rotate", "random"] = "p2c"
    deadline_s: Annotated[float, Field(gt=0, le=600)] = 5.0


class MethodSection(Section):
    criticality: NonNegativeFloat = 1
    work: PositiveFloat = 1


class ZoneSection(Section):
    """`demand`: RPCs a second by method, in the order of the methods."""

    proxies: Annotated[int, Field(ge=0)] = 1
    demand: Annotated[list[NonNegativeFloat], WORD_LIST]
    out: NonNegativeFloat = 1.0


class TasksSection(Section):
    """So many tasks that are alike."""

    zone: str
    count: Annotated[int, Field(ge=1, le=20000)] = 1
    rate: NonNegativeFloat
    doubt: Annotated[float, Field(ge=0, le=1)] = 0.1
    part: Annotated[float, Field(ge=0, le=1)] = 1.0
    connections: Annotated[int, Field(ge=0)] = 0
    open: bool = True


MODELS = {"method": MethodSection, "zone": ZoneSection, "tasks": TasksSection}


def write(fleet: Fleet) -> str:
    """A fleet as `load` reads it, a section for each task.

    >>> one = Fleet((Method("read", 3.0),), (Zone("khalda", 2, (9.0,)),), (Task("127.1.0.1:80", 0, 30.0),), ({0: 1.0},))
    >>> read_text(write(one).encode(), "here")[0] == one._replace(tasks=(Task("127.1.0.1-80-1", 0, 30.0),))
    True
    """
    names = [task.name.replace(":", "-").lower() for task in fleet.tasks]
    sections = [
        (
            "solve",
            {
                "crossing": fleet.cross_zone_cost,
                "handshake": fleet.handshake_cost,
                "settle_s": fleet.settle_s,
                "busy": fleet.target_utilization,
                "least_lines": fleet.min_table_size,
                "most_lines": fleet.max_table_size,
                "pick": fleet.balancing_policy,
            },
        )
    ]
    sections += [(f"method {m.name}", {"criticality": m.criticality, "work": m.work}) for m in fleet.methods]
    sections += [
        (f"zone {z.name}", {"proxies": z.proxy_count, "demand": ", ".join(map(str, z.demand_rps)), "out": z.in_flight})
        for z in fleet.zones
    ]
    for name, task in zip(names, fleet.tasks):
        sections.append(
            (
                f"tasks {name}",
                {
                    "zone": fleet.zones[task.zone].name,
                    "rate": task.capacity_rps,
                    "doubt": task.uncertainty,
                    "part": task.slow_start_factor,
                    "connections": 0 if math.isinf(task.max_connections) else int(task.max_connections),
                    "open": "yes" if task.accepts_requests else "no",
                },
            )
        )
    for zone, table in zip(fleet.zones, fleet.current_tables):
        if table:
            sections.append((f"held {zone.name}", {names[i]: weight for i, weight in table.items()}))
    return "\n".join(
        f"[{name}]\n" + "".join(f"{key} = {value}\n" for key, value in rows.items()) for name, rows in sections
    )


def load(path: Path | str) -> tuple[Fleet, float, dict[str, range]]:
    """The fleet, the deadline (s), and the tasks of each group. Raises FaultsError with all that is wrong."""
    return fleet_in(read_file(path))


def read_text(raw: bytes, source: str) -> tuple[Fleet, float, dict[str, range]]:
    """The same of text that came from elsewhere."""
    return fleet_in(read_bytes(raw, source))


def fleet_in(parser: ConfigParser) -> tuple[Fleet, float, dict[str, range]]:
    faults: list[str] = []
    found: dict[str, dict] = {"method": {}, "zone": {}, "tasks": {}, "held": {}}
    solve = check("solve", SolveSection, dict(parser["solve"]) if parser.has_section("solve") else {}, faults)
    for name in parser.sections():
        first, _, rest = name.partition(" ")
        if first in MODELS and rest:
            section = check(name, MODELS[first], dict(parser[name]), faults)
            if section is not None:
                found[first][rest.strip()] = section
        elif first == "held" and rest:
            found["held"][rest.strip()] = dict(parser[name])
        elif name != "solve":
            faults.append(f"[{name}]: no such section")
    methods, zones = found["method"], found["zone"]
    if not methods or not zones:
        faults.append("[method NAME] and [zone NAME]: one of each at least")
    names = list(zones)
    for name, zone in zones.items():
        if len(zone.demand) != len(methods):
            faults.append(f"[zone {name}] demand: {len(methods)} figures wanted, one a method")
    tasks: list[Task] = []
    groups: dict[str, range] = {}
    for name, group in found["tasks"].items():
        if group.zone not in zones:
            faults.append(f"[tasks {name}] zone: no such zone")
            continue
        groups[name] = range(len(tasks), len(tasks) + group.count)
        tasks += [
            Task(
                f"{name}-{k + 1}",
                names.index(group.zone),
                group.rate,
                group.doubt,
                group.part,
                group.connections or math.inf,
                group.open,
            )
            for k in range(group.count)
        ]
    held: list[dict[int, float]] = [{} for _ in names]
    for name, lines in found["held"].items():
        if name not in zones:
            faults.append(f"[held {name}]: no such zone")
            continue
        for group, weight in lines.items():
            try:
                value = float(weight)
            except ValueError:
                value = -1.0
            if group not in groups or not 0 <= value < 1e9:
                faults.append(f"[held {name}] {group}: a weight for each task of a group that there is")
            elif value > 0:
                held[names.index(name)].update(dict.fromkeys(groups[group], value))
    if faults:
        raise FaultsError(faults)
    fleet = Fleet(
        tuple(Method(name, m.criticality, m.work) for name, m in methods.items()),
        tuple(Zone(name, z.proxies, tuple(z.demand), z.out) for name, z in zones.items()),
        tuple(tasks),
        tuple(held) if found["held"] else (),
        solve.crossing,
        solve.handshake,
        solve.settle_s,
        solve.busy,
        solve.least_lines,
        solve.most_lines,
        solve.pick,
    )
    return fleet, solve.deadline_s, groups
