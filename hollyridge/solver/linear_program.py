"""The linear program: minimum cost over capacities, plus the surcharge for what changes.

Tasks that are alike (zone, what they may get within a tenth, connections, who holds them) are one class with the sum of
their capacities, shared out by what each may get: that keeps the program small, and gives equal tasks equal weights
whatever their names. Work is counted in parts of all that comes, so that no answer hangs on units. One thread, the
simplex, inputs in a fixed order: the same in any process.

In two stages. First how much can be served, by criticality: for each rank the largest part that every zone can have,
then what is left over. Then where it goes: a piecewise linear cost that rises with how full a class is (after Fortz and
Thorup, INFOCOM 2000), plus crossings, plus new connections, whose handshakes are themselves load.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import cache
from typing import NamedTuple

import highspy
import numpy

from hollyridge.solver.fleet import Fleet

PIECES = 14  # of the cost of filling a class: with few, whole classes stand at the ends of pieces, unevenly full
LEAST_PART = 0.03  # of what a zone sends to a class, spread over all lines that it holds
LIKE = 1.1  # tasks that may get so many times as much are no longer alike
TOUCH = 1e-6  # what was found is held to within so much, for the solver's own tolerance
OK = highspy.HighsModelStatus.kOptimal


@cache
def segments(busy: float) -> tuple[tuple[float, float], ...]:
    """Parts of the filling that is allowed, and what one more unit of work costs in each, itself and the others that
    wait for it: d/dp of p + p^2 / (1 - p) (Pollaczek and Khinchine), with p = `busy` x part, 0.95 at most.

    >>> first, *_, last = segments(0.85)
    >>> round(first[1], 2), round(last[1])
    (1.06, 31)
    """
    found = []
    for k in range(PIECES):
        p = min(0.95, busy * (k + 0.5) / PIECES)
        found.append((1 / PIECES, 1 + (2 * p - p * p) / (1 - p) ** 2))
    return tuple(found)


@cache
def library() -> highspy.Highs:
    """The one solver of this process: each new one greets on standard output. One plan at a time."""
    return highspy.Highs()


class SolverTimeoutError(Exception):
    """No answer within the deadline."""


class Class(NamedTuple):
    """Tasks that are alike. `rooms`: work that each may get, `room`: in all; `links`: connections they take yet."""

    tasks: tuple[int, ...]
    rooms: tuple[float, ...]
    zone: int
    room: float
    links: float
    held: tuple[bool, ...]


def room_of(fleet: Fleet, task: int) -> float:
    """Work a second that a task may get: less by what its rate may be wrong."""
    row = fleet.tasks[task]
    return (
        row.capacity_rps * max(0.0, 1 - row.uncertainty) * row.slow_start_factor * fleet.target_utilization
        if row.accepts_requests
        else 0.0
    )


def classes(fleet: Fleet, dropped: frozenset[tuple[int, int]] = frozenset()) -> list[Class]:
    """`dropped`: pairs of zone and task that are not to be used."""
    alike: dict[tuple, list[int]] = {}
    held = fleet.current_tables or tuple({} for _ in fleet.zones)
    for i, task in enumerate(fleet.tasks):
        room = room_of(fleet, i)
        if room > 0:
            links = tuple(i in table for table in held)
            barred = tuple((z, i) in dropped for z in range(len(fleet.zones)))
            size = round(math.log(room) / math.log(LIKE))
            alike.setdefault((task.zone, size, task.max_connections, links, barred), []).append(i)
    rows = []
    for (zone, _, connections, links, _), tasks in sorted(alike.items()):
        kept = sum(z.proxy_count for z, held_there in zip(fleet.zones, links) if held_there)
        rooms = tuple(room_of(fleet, i) for i in tasks)
        rows.append(Class(tuple(tasks), rooms, zone, sum(rooms), max(0.0, connections - kept) * len(tasks), links))
    return rows


class Lp:
    """A program that grows by columns and rows and is solved again after changes, from where it stands."""

    def __init__(self, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.cost: list[float] = []
        self.low: list[float] = []
        self.high: list[float] = []
        self.rows: list[tuple[float, float, list[int], list[float]]] = []
        self.highs: highspy.Highs | None = None

    def column(self, cost: float = 0.0, low: float = 0.0, high: float = highspy.kHighsInf) -> int:
        self.cost.append(cost)
        self.low.append(low)
        self.high.append(high)
        return len(self.cost) - 1

    def row(self, low: float, high: float, terms: Sequence[tuple[int, float]]) -> None:
        self.rows.append((low, high, [column for column, _ in terms], [factor for _, factor in terms]))

    def build(self) -> highspy.Highs:
        highs = library()
        highs.clear()
        until = highs.getRunTime() + self.deadline_s  # its clock goes on from answer to answer
        for name, value in (
            ("output_flag", False),
            ("threads", 1),
            ("parallel", "off"),
            ("random_seed", 0),
            ("solver", "simplex"),
            ("time_limit", until),
        ):
            highs.setOptionValue(name, value)
        lp = highspy.HighsLp()
        lp.num_col_, lp.num_row_ = len(self.cost), len(self.rows)
        lp.col_cost_, lp.col_lower_, lp.col_upper_ = map(numpy.array, (self.cost, self.low, self.high))
        lp.row_lower_ = numpy.array([row[0] for row in self.rows])
        lp.row_upper_ = numpy.array([row[1] for row in self.rows])
        lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
        lp.a_matrix_.start_ = numpy.cumsum([0, *(len(row[2]) for row in self.rows)])
        lp.a_matrix_.index_ = numpy.array([column for row in self.rows for column in row[2]])
        lp.a_matrix_.value_ = numpy.array([factor for row in self.rows for factor in row[3]])
        highs.passModel(lp)
        return highs

    def price(self, costs: dict[int, float]) -> None:
        """These costs and no others."""
        for column in range(len(self.cost)):
            self.cost[column] = costs.get(column, 0.0)
        if self.highs is not None:
            self.highs.changeColsCost(
                len(self.cost), numpy.arange(len(self.cost), dtype=numpy.int32), numpy.array(self.cost)
            )

    def floor(self, column: int, low: float, high: float) -> None:
        if self.highs is None:
            self.low[column], self.high[column] = low, high
        else:
            self.highs.changeColBounds(column, low, high)

    def solve(self) -> numpy.ndarray:
        """Values by column. LateError past the deadline or where the solver finds no way."""
        if self.highs is None:
            self.highs = self.build()
        self.highs.run()
        if self.highs.getModelStatus() == highspy.HighsModelStatus.kUnknown:  # from nowhere instead of where it stands
            self.highs.clearSolver()
            self.highs.run()
        if self.highs.getModelStatus() != OK:
            raise SolverTimeoutError(self.highs.modelStatusToString(self.highs.getModelStatus()))
        return numpy.array(self.highs.getSolution().col_value)


class Answer(NamedTuple):
    """`served`: by zone and method, the part let in. `work`: by zone and task, work a second. `full`: classes at their
    limit."""

    served: tuple[tuple[float, ...], ...]
    work: tuple[dict[int, float], ...]
    full: tuple[Class, ...]


def ranks(fleet: Fleet) -> list[list[int]]:
    """Methods by criticality, the highest first."""
    levels = sorted({method.criticality for method in fleet.methods}, reverse=True)
    return [[k for k, method in enumerate(fleet.methods) if method.criticality == level] for level in levels]


class Model:
    """The program of a fleet: flows by zone and class, parts let in, connections opened, how full classes are."""

    def __init__(self, fleet: Fleet, deadline_s: float, dropped: frozenset[tuple[int, int]] = frozenset()) -> None:
        self.fleet, self.groups, self.slopes = fleet, classes(fleet, dropped), segments(fleet.target_utilization)
        lp = self.lp = Lp(deadline_s)
        zones, groups = range(len(fleet.zones)), self.groups
        # All work is counted in parts of this.
        self.whole = sum(sum(d * m.work for d, m in zip(zone.demand_rps, fleet.methods)) for zone in fleet.zones) or 1.0
        self.flows, self.opens = {}, {}
        for z in zones:
            for g, group in enumerate(groups):
                if (z, group.zone) not in fleet.partitions and (z, group.tasks[0]) not in dropped:
                    self.flows[z, g] = lp.column()
                    if (
                        not group.held[z]
                        and fleet.current_tables
                        and fleet.zones[z].proxy_count
                        and fleet.handshake_cost > 0
                    ):
                        shakes = fleet.zones[z].proxy_count * len(group.tasks) * fleet.handshake_cost / fleet.settle_s
                        self.opens[z, g] = lp.column(), shakes / self.whole
        self.parts = [[lp.column(0.0, 0.0, 1.0) for _ in fleet.methods] for _ in zones]
        self.fills = [
            [lp.column(0.0, 0.0, part * group.room / self.whole) for part, _ in self.slopes] for group in groups
        ]
        for z, zone in enumerate(fleet.zones):
            work = [
                (self.parts[z][k], -zone.demand_rps[k] * method.work / self.whole)
                for k, method in enumerate(fleet.methods)
            ]
            lp.row(0.0, 0.0, [*((self.flows[z, g], 1.0) for g in range(len(groups)) if (z, g) in self.flows), *work])
        for g, group in enumerate(groups):
            here = [z for z in zones if (z, g) in self.opens]
            lp.row(
                -highspy.kHighsInf,
                0.0,
                [
                    *((self.flows[z, g], 1.0) for z in zones if (z, g) in self.flows),
                    *(self.opens[z, g] for z in here),
                    *((fill, -1.0) for fill in self.fills[g]),
                ],
            )
            if here and group.links < 1e9:
                links = [(self.opens[z, g][0], float(fleet.zones[z].proxy_count * len(group.tasks))) for z in here]
                lp.row(-highspy.kHighsInf, group.links, links)
            for z in here:  # lines that are filled open the fewest connections
                lp.row(
                    -highspy.kHighsInf, 0.0, [(self.flows[z, g], 1.0), (self.opens[z, g][0], -group.room / self.whole)]
                )
        self.levels = [lp.column(0.0, 0.0, 1.0) for _ in ranks(fleet)]
        for level, rank in zip(self.levels, ranks(fleet)):
            for z, zone in enumerate(fleet.zones):
                for k in rank:
                    if zone.demand_rps[k] > 0:
                        lp.row(0.0, highspy.kHighsInf, [(self.parts[z][k], 1.0), (level, -1.0)])

    def serve(self) -> list[list[float]]:
        """Which part of each zone's RPCs by method can be served: rank by rank the same part for all zones, as far as
        that goes, then as much more as some can have. What is found stays fixed."""
        lp, fleet = self.lp, self.fleet
        for level, rank in zip(self.levels, ranks(fleet)):
            lp.price({level: -1.0})
            lp.floor(level, max(0.0, float(lp.solve()[level]) - TOUCH), 1.0)
            mine = {
                self.parts[z][k]: zone.demand_rps[k] * fleet.methods[k].work / self.whole
                for z, zone in enumerate(fleet.zones)
                for k in rank
            }
            lp.price({column: -work for column, work in mine.items()})
            values = lp.solve()
            for column in mine:
                lp.floor(column, max(0.0, float(values[column]) - TOUCH), 1.0)
        return [[min(1.0, max(0.0, float(values[column]))) for column in row] for row in self.parts]

    def place(self) -> numpy.ndarray:
        """Where what is served goes at the least cost."""
        costs = {
            column: self.fleet.cross_zone_cost * (self.groups[g].zone != z) for (z, g), column in self.flows.items()
        }
        costs.update((column, shakes) for column, shakes in self.opens.values())
        costs.update((fill, slope) for fills in self.fills for fill, (_, slope) in zip(fills, self.slopes))
        self.lp.price(costs)
        return self.lp.solve()


def served(fleet: Fleet, deadline_s: float) -> list[list[float]]:
    """By zone and method, the part that can be let in. LateError past the deadline."""
    return Model(fleet, deadline_s).serve()


def deal(
    fleet: Fleet,
    group: Class,
    amounts: dict[int, float],
    shakes: dict[int, float],
    work: list[dict[int, float]],
    load: dict[int, float],
) -> None:
    """What zones that do not hold a class send there, onto its tasks. They open as many lines as their work would
    fill, and for bursts and rates that are wrong the more the less is left of the class (twice as many at half, all
    when it is full), as far as handshakes leave room for it, on the tasks that have least so far."""
    count = len(group.tasks)
    need = {z: min(1.0, amount / group.room) for z, amount in amounts.items() if z in shakes}
    full = min(0.99, sum(amounts.values()) / group.room)
    wish = {z: min(1.0, part / (1 - full)) for z, part in need.items()}
    spare = group.room - sum(amounts.values()) - sum(need[z] * shakes[z] for z in need)
    extra = sum((wish[z] - need[z]) * shakes[z] for z in need)
    part = max(0.0, min(1.0, spare / extra)) if extra > 0 else 1.0
    rooms = dict(zip(group.tasks, group.rooms))
    for z in need:
        many = math.ceil(count * (need[z] + part * (wish[z] - need[z])) - 1e-9)
        many = min(count, max(1, many, fleet.min_table_size - len(work[z])))
        start = z * count // len(fleet.zones)
        turned = {i: at for at, i in enumerate(group.tasks[start:] + group.tasks[:start])}
        lines = sorted(group.tasks, key=lambda i: (round(load[i] / rooms[i], 9), turned[i]))[:many]
        whole = sum(rooms[i] for i in lines)
        for i in lines:
            work[z][i] = amounts[z] * rooms[i] / whole
            load[i] += work[z][i]


def spread(
    groups: Sequence[Class], held: dict[int, dict[Class, float]], work: list[dict[int, float]], load: dict[int, float]
) -> None:
    """What zones send to lines that they hold, class by class, over all of these in one zone of tasks alike, by what
    each has left. The program's own split between classes of one zone is arbitrary where they are equally full; if
    each zone of proxies kept to its own few tasks there, what comes unevenly within a second would overfill these."""
    left = {i: max(room - load[i], 0.1 * room) for group in groups for i, room in zip(group.tasks, group.rooms)}
    for z, amounts in held.items():
        lines = [i for group in amounts for i in group.tasks]
        amount, whole = sum(amounts.values()), sum(left[i] for i in lines)
        for i in lines if amount > 0 else ():
            work[z][i] = amount * left[i] / whole
            load[i] += work[z][i]


def poured(load: dict[int, float], rooms: dict[int, float], amount: float) -> dict[int, float]:
    """Evens out how full tasks are, the emptiest first; no line is left without a little.

    >>> found = poured({1: 3.0, 2: 1.0, 3: 0.0}, {1: 2.0, 2: 2.0, 3: 4.0}, 3.0)
    >>> {task: round(more, 2) for task, more in found.items()}
    {1: 0.02, 2: 0.33, 3: 2.65}
    """
    little, whole = LEAST_PART * amount, sum(rooms.values())
    left, rows = amount - little, sorted(load, key=lambda i: (load[i] / rooms[i], i))
    level = lying = room = 0.0
    for at, i in enumerate(rows):
        lying, room = lying + load[i], room + rooms[i]
        level = (left + lying) / room
        if at + 1 == len(rows) or level <= load[rows[at + 1]] / rooms[rows[at + 1]]:
            break
    return {i: little * rooms[i] / whole + max(0.0, level * rooms[i] - load[i]) for i in load}


def place(fleet: Fleet, deadline_s: float, dropped: frozenset[tuple[int, int]] = frozenset()) -> Answer:
    """What is served and where it goes. LateError past the deadline."""
    model = Model(fleet, deadline_s, dropped)
    parts, values, zones = model.serve(), model.place(), range(len(fleet.zones))
    work: list[dict[int, float]] = [{} for _ in zones]
    load = {i: 0.0 for group in model.groups for i in group.tasks}
    amounts = {pair: float(values[column]) * model.whole for pair, column in model.flows.items()}
    for there in zones:
        groups = [g for g, group in enumerate(model.groups) if group.zone == there]
        for g in groups:
            shakes = {z: model.opens[z, g][1] * model.whole for z in zones if (z, g) in model.opens}
            deal(
                fleet,
                model.groups[g],
                {z: amounts[z, g] for z in zones if amounts.get((z, g), 0.0) > 1e-6 * model.whole},
                shakes,
                work,
                load,
            )
        held = {
            z: {model.groups[g]: amounts[z, g] for g in groups if (z, g) in amounts and (z, g) not in model.opens}
            for z in zones
        }
        spread([model.groups[g] for g in groups], held, work, load)
    full = tuple(
        group
        for g, group in enumerate(model.groups)
        if sum(values[fill] for fill in model.fills[g]) * model.whole > 0.999 * group.room
    )
    return Answer(tuple(map(tuple, parts)), tuple(work), full)
