"""Reads and writes the description of a fleet, for `hollyridge solve` and the page `/fleet`.

Field names of the sections are the keys of the file: they are a format and stay.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from configparser import ConfigParser
from pathlib import Path
from typing import Annotated, Literal, NamedTuple, TypeVar

from pydantic import Field, NonNegativeFloat, PositiveFloat, PositiveInt

from hollyridge.settings.ini import WORD_LIST, FaultsError, Section, check, read_bytes, read_file
from hollyridge.solver.fleet import Fleet, Method, Task, Zone

MAX_WEIGHT = 1e9


class SolveSection(Section):
    """[solve]: costs, limits on tables, and how long a plan may take."""

    crossing: NonNegativeFloat = 0.1
    handshake: NonNegativeFloat = 0.05
    settle_s: PositiveFloat = 2.0
    busy: Annotated[float, Field(gt=0, le=1)] = 0.85
    least_lines: PositiveInt = 5
    most_lines: Annotated[int, Field(ge=0)] = 0
    pick: Literal["p2c", "rotate", "random"] = "p2c"
    deadline_s: Annotated[float, Field(gt=0, le=600)] = 5.0


class MethodSection(Section):
    """[method NAME]: its priority weight, and the work of an RPC in average RPCs."""

    criticality: NonNegativeFloat = 1
    work: PositiveFloat = 1


class ZoneSection(Section):
    """[zone NAME]: proxies and their demand, in RPCs a second by method in the order of the methods."""

    proxies: Annotated[int, Field(ge=0)] = 1
    demand: Annotated[list[NonNegativeFloat], WORD_LIST]
    out: NonNegativeFloat = 1.0


class TasksSection(Section):
    """[tasks NAME]: a number of tasks that are alike."""

    zone: str
    count: Annotated[int, Field(ge=1, le=20000)] = 1
    rate: NonNegativeFloat
    doubt: Annotated[float, Field(ge=0, le=1)] = 0.1
    part: Annotated[float, Field(ge=0, le=1)] = 1.0
    connections: Annotated[int, Field(ge=0)] = 0
    open: bool = True


class FleetDescription(NamedTuple):
    """What a file describes.

    Attributes:
        fleet: The fleet, its tasks numbered through all groups.
        deadline_s: How long a plan may take.
        groups: The tasks of each [tasks NAME], by name.
    """

    fleet: Fleet
    deadline_s: float
    groups: dict[str, range]


SectionModel = TypeVar("SectionModel", bound=Section)


def write(fleet: Fleet) -> str:
    """A fleet as `load` reads it, a section for each task.

    >>> one = Fleet((Method("read", 3.0),), (Zone("khalda", 2, (9.0,)),), (Task("127.1.0.1:80", 0, 30.0),), ({0: 1.0},))
    >>> read_text(write(one).encode(), "here")[0] == one._replace(tasks=(Task("127.1.0.1-80-1", 0, 30.0),))
    True
    """
    names = [task.name.replace(":", "-").lower() for task in fleet.tasks]
    sections: list[tuple[str, dict[str, object]]] = [("solve", solve_values(fleet))]
    sections += [(f"method {m.name}", {"criticality": m.criticality, "work": m.work}) for m in fleet.methods]
    sections += [(f"zone {zone.name}", zone_values(zone)) for zone in fleet.zones]
    sections += [(f"tasks {name}", task_values(fleet, task)) for name, task in zip(names, fleet.tasks)]
    sections += [
        (f"held {zone.name}", {names[task]: weight for task, weight in table.items()})
        for zone, table in zip(fleet.zones, fleet.current_tables)
        if table
    ]
    return "\n".join(section_text(name, values) for name, values in sections)


def section_text(name: str, values: dict[str, object]) -> str:
    """One section with its keys."""
    return f"[{name}]\n" + "".join(f"{key} = {value}\n" for key, value in values.items())


def solve_values(fleet: Fleet) -> dict[str, object]:
    """The keys of [solve], without the deadline."""
    return {
        "crossing": fleet.cross_zone_cost,
        "handshake": fleet.handshake_cost,
        "settle_s": fleet.settle_s,
        "busy": fleet.target_utilization,
        "least_lines": fleet.min_table_size,
        "most_lines": fleet.max_table_size,
        "pick": fleet.balancing_policy,
    }


def zone_values(zone: Zone) -> dict[str, object]:
    """The keys of a [zone NAME]."""
    return {"proxies": zone.proxy_count, "demand": ", ".join(map(str, zone.demand_rps)), "out": zone.in_flight}


def task_values(fleet: Fleet, task: Task) -> dict[str, object]:
    """The keys of a [tasks NAME] that stands for one task."""
    return {
        "zone": fleet.zones[task.zone].name,
        "rate": task.capacity_rps,
        "doubt": task.uncertainty,
        "part": task.slow_start_factor,
        "connections": 0 if math.isinf(task.max_connections) else int(task.max_connections),
        "open": "yes" if task.accepts_requests else "no",
    }


def load(path: Path | str) -> FleetDescription:
    """Read a file; FaultsError with all that is wrong."""
    return describe(read_file(path))


def read_text(raw: bytes, source: str) -> FleetDescription:
    """Read text that came from elsewhere, named by its source in faults; FaultsError with all that is wrong."""
    return describe(read_bytes(raw, source))


def describe(parser: ConfigParser) -> FleetDescription:
    """Check all sections and build the fleet; FaultsError with all that is wrong."""
    faults: list[str] = []
    solve = check("solve", SolveSection, dict(parser["solve"]) if parser.has_section("solve") else {}, faults)
    sections = NamedSections(parser, faults)
    sections.check_counts()
    tasks, groups = build_tasks(sections)
    tables = build_tables(sections, groups)
    if faults:
        raise FaultsError(faults)
    fleet = Fleet(
        tuple(Method(name, method.criticality, method.work) for name, method in sections.methods.items()),
        tuple(Zone(name, zone.proxies, tuple(zone.demand), zone.out) for name, zone in sections.zones.items()),
        tuple(tasks),
        tuple(tables) if sections.held else (),
        solve.crossing,
        solve.handshake,
        solve.settle_s,
        solve.busy,
        solve.least_lines,
        solve.most_lines,
        solve.pick,
    )
    return FleetDescription(fleet, solve.deadline_s, groups)


class NamedSections:
    """The sections of a file that have a name, by kind; what does not fit is added to `faults` and left out.

    Attributes:
        methods: [method NAME], in the order of the file.
        zones: [zone NAME], in the order of the file.
        tasks: [tasks NAME], in the order of the file.
        held: [held ZONE]: weight by group of tasks, as written.
        faults: What is wrong so far.
    """

    def __init__(self, parser: ConfigParser, faults: list[str]) -> None:
        self.methods: dict[str, MethodSection] = {}
        self.zones: dict[str, ZoneSection] = {}
        self.tasks: dict[str, TasksSection] = {}
        self.held: dict[str, dict[str, str]] = {}
        self.faults = faults
        for section in parser.sections():
            kind, _, label = section.partition(" ")
            self._add(section, kind, label, dict(parser[section]))

    def _add(self, section: str, kind: str, label: str, values: dict[str, str]) -> None:
        name = label.strip()
        if kind == "method" and label:
            self._add_checked(section, name, MethodSection, self.methods, values)
        elif kind == "zone" and label:
            self._add_checked(section, name, ZoneSection, self.zones, values)
        elif kind == "tasks" and label:
            self._add_checked(section, name, TasksSection, self.tasks, values)
        elif kind == "held" and label:
            self.held[name] = values
        elif section != "solve":
            self.faults.append(f"[{section}]: no such section")

    def _add_checked(
        self,
        section: str,
        name: str,
        model: type[SectionModel],
        found: dict[str, SectionModel],
        values: dict[str, str],
    ) -> None:
        checked = check(section, model, values, self.faults)
        if checked is not None:
            found[name] = checked

    def check_counts(self) -> None:
        """There are methods and zones, and each zone has a demand for each method."""
        if not self.methods or not self.zones:
            self.faults.append("[method NAME] and [zone NAME]: one of each at least")
        for name, zone in self.zones.items():
            if len(zone.demand) != len(self.methods):
                self.faults.append(f"[zone {name}] demand: {len(self.methods)} figures wanted, one a method")


def build_tasks(sections: NamedSections) -> tuple[list[Task], dict[str, range]]:
    """The tasks of all groups, and which of them each group has."""
    zone_names = list(sections.zones)
    tasks: list[Task] = []
    groups: dict[str, range] = {}
    for name, group in sections.tasks.items():
        if group.zone not in sections.zones:
            sections.faults.append(f"[tasks {name}] zone: no such zone")
            continue
        groups[name] = range(len(tasks), len(tasks) + group.count)
        tasks += group_tasks(name, group, zone_names.index(group.zone))
    return tasks, groups


def group_tasks(name: str, group: TasksSection, zone: int) -> Iterable[Task]:
    """The tasks of one group, numbered from 1."""
    for number in range(1, group.count + 1):
        yield Task(
            f"{name}-{number}",
            zone,
            group.rate,
            group.doubt,
            group.part,
            group.connections or math.inf,
            group.open,
        )


def build_tables(sections: NamedSections, groups: dict[str, range]) -> list[dict[int, float]]:
    """The table of each zone that is in force, weight by task."""
    zone_names = list(sections.zones)
    tables: list[dict[int, float]] = [{} for _ in zone_names]
    for name, weights in sections.held.items():
        if name not in sections.zones:
            sections.faults.append(f"[held {name}]: no such zone")
            continue
        for group, text in weights.items():
            weight = weight_of(text)
            if group not in groups or not 0 <= weight < MAX_WEIGHT:
                sections.faults.append(f"[held {name}] {group}: a weight for each task of a group that there is")
            elif weight > 0:
                tables[zone_names.index(name)].update(dict.fromkeys(groups[group], weight))
    return tables


def weight_of(text: str) -> float:
    """A number; -1 for anything else."""
    try:
        return float(text)
    except ValueError:
        return -1.0
