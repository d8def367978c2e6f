"""Reader and writer of fleet descriptions, for `hollyridge solve` and the page `/fleet`.

Field names of the sections are the keys of the file format and must not change.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from configparser import ConfigParser
from pathlib import Path
from typing import Annotated, Literal, NamedTuple, TypeVar

from pydantic import Field, NonNegativeFloat, PositiveFloat, PositiveInt

from hollyridge.settings.ini import WORD_LIST, FaultsError, Section, check_section, read_bytes, read_file
from hollyridge.solver.fleet import Fleet, Method, Task, Zone

MAX_WEIGHT = 1e9


class SolveSection(Section):
    """[solve]: costs, limits on tables, and the time limit of a plan."""

    crossing: NonNegativeFloat = 0.1
    handshake: NonNegativeFloat = 0.05
    settle_s: PositiveFloat = 2.0
    busy: Annotated[float, Field(gt=0, le=1)] = 0.85
    least_lines: PositiveInt = 5
    most_lines: Annotated[int, Field(ge=0)] = 0
    pick: Literal["p2c", "rotate", "random"] = "p2c"
    deadline_s: Annotated[float, Field(gt=0, le=600)] = 5.0


class MethodSection(Section):
    """[method NAME]: the criticality of a method, and the work of an RPC in average RPCs."""

    criticality: NonNegativeFloat = 1
    work: PositiveFloat = 1


class ZoneSection(Section):
    """[zone NAME]: the proxies of a zone and their demand, in RPCs per second for each method in order."""

    proxies: Annotated[int, Field(ge=0)] = 1
    demand: Annotated[list[NonNegativeFloat], WORD_LIST]
    out: NonNegativeFloat = 1.0


class TasksSection(Section):
    """[tasks NAME]: a group of identical tasks."""

    zone: str
    count: Annotated[int, Field(ge=1, le=20000)] = 1
    rate: NonNegativeFloat
    doubt: Annotated[float, Field(ge=0, le=1)] = 0.1
    part: Annotated[float, Field(ge=0, le=1)] = 1.0
    connections: Annotated[int, Field(ge=0)] = 0
    open: bool = True


class FleetDescription(NamedTuple):
    """Content of a fleet description.

    Attributes:
        fleet: Fleet, with its tasks numbered across all groups.
        deadline_s: Time limit of a plan, in seconds.
        groups: Indices of the tasks of each [tasks NAME], by name.
    """

    fleet: Fleet
    deadline_s: float
    groups: dict[str, range]


SectionModel = TypeVar("SectionModel", bound=Section)


def write(fleet: Fleet) -> str:
    """Return a fleet in the format that `load` reads, with one section per task.

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
    """Return the text of a section."""
    return f"[{name}]\n" + "".join(f"{key} = {value}\n" for key, value in values.items())


def solve_values(fleet: Fleet) -> dict[str, object]:
    """Return the values of [solve], without the deadline."""
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
    """Return the values of a [zone NAME]."""
    return {"proxies": zone.proxy_count, "demand": ", ".join(map(str, zone.demand_rps)), "out": zone.in_flight}


def task_values(fleet: Fleet, task: Task) -> dict[str, object]:
    """Return the values of a [tasks NAME] with one task."""
    return {
        "zone": fleet.zones[task.zone].name,
        "rate": task.capacity_rps,
        "doubt": task.uncertainty,
        "part": task.slow_start_factor,
        "connections": 0 if math.isinf(task.max_connections) else int(task.max_connections),
        "open": "yes" if task.accepts_requests else "no",
    }


def load(path: Path | str) -> FleetDescription:
    """Read a file; raise FaultsError with all faults."""
    return describe(read_file(path))


def read_text(raw: bytes, source: str) -> FleetDescription:
    """Read a text, which faults refer to as `source`; raise FaultsError with all faults."""
    return describe(read_bytes(raw, source))


def describe(parser: ConfigParser) -> FleetDescription:
    """Validate all sections and build the fleet; raise FaultsError with all faults."""
    faults: list[str] = []
    solve = check_section("solve", SolveSection, dict(parser["solve"]) if parser.has_section("solve") else {}, faults)
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
    """Named sections of a file by kind. Invalid sections are added to `faults` and left out.

    Attributes:
        methods: Sections [method NAME] by name, in the order of the file.
        zones: Sections [zone NAME] by name, in the order of the file.
        tasks: Sections [tasks NAME] by name, in the order of the file.
        held: Sections [held ZONE] by zone: texts of weights by group of tasks.
        faults: Faults found so far.
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
        models: dict[str, SectionModel],
        values: dict[str, str],
    ) -> None:
        checked = check_section(section, model, values, self.faults)
        if checked is not None:
            models[name] = checked

    def check_counts(self) -> None:
        """Check that there are methods and zones, and that each zone has a demand for each method."""
        if not self.methods or not self.zones:
            self.faults.append("[method NAME] and [zone NAME]: at least one of each is needed")
        for name, zone in self.zones.items():
            if len(zone.demand) != len(self.methods):
                self.faults.append(
                    f"[zone {name}] demand: {len(zone.demand)} values, expected {len(self.methods)}, one per method"
                )


def build_tasks(sections: NamedSections) -> tuple[list[Task], dict[str, range]]:
    """Return the tasks of all groups, and the indices of the tasks by group."""
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
    """Yield the tasks of one group, numbered from 1."""
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
    """Return the current table of each zone: weight by task."""
    zone_names = list(sections.zones)
    tables: list[dict[int, float]] = [{} for _ in zone_names]
    for name, weights in sections.held.items():
        if name not in sections.zones:
            sections.faults.append(f"[held {name}]: no such zone")
            continue
        for group, text in weights.items():
            weight = parse_weight(text)
            if group not in groups or not 0 <= weight < MAX_WEIGHT:
                sections.faults.append(
                    f"[held {name}] {group}: expected an existing group and a weight >= 0 and < {MAX_WEIGHT:g}"
                )
            elif weight > 0:
                tables[zone_names.index(name)].update(dict.fromkeys(groups[group], weight))
    return tables


def parse_weight(text: str) -> float:
    """Return a number; -1 for anything else."""
    try:
        return float(text)
    except ValueError:
        return -1.0
