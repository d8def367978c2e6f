"""From a fleet to a plan: tables with weights, what they open and close, what binds, what one more task would do."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from hollyridge.solver import linear_program
from hollyridge.solver.fleet import Fleet, InvalidFleetError, Task, check
from hollyridge.solver.two_choices import arrivals, weights_for

WORTH = 1 / 3  # of an even share of its table: a line with less is not worth its place


class Moves(NamedTuple):
    """What tables change, over all proxies: connections that are opened and closed, lines that are new, gone or moved
    by more than a tenth; the worst part of a task's room that new handshakes take."""

    opened: int
    closed: int
    lines: int
    handshakes: float


class Plan(NamedTuple):
    """`tables`: weights by zone and task. `shares`: what arrives by zone and task. `served`: by zone and method.
    `fill`: what arrives at each task against what it can do (1: all of it). `gain`: part of the cost of the tables held
    now that these save, for the gate. `why`: what binds, in words. `stands`: why this older plan still stands."""

    tables: tuple[dict[int, float], ...]
    shares: tuple[dict[int, float], ...]
    served: tuple[tuple[float, ...], ...]
    utilization: dict[int, float]
    moves: Moves
    gain: float
    reasons: tuple[str, ...]
    stale_reason: str = ""


def pruned(fleet: Fleet, answer: linear_program.Answer) -> frozenset[tuple[int, int]]:
    """New lines that are not worth their place, and what a table can't hold, the least first; never below a table of
    the least size. A line that is held costs nothing to keep."""
    dropped = set()
    for z, work in enumerate(answer.work):
        whole = sum(work.values())
        held = fleet.current_tables[z] if fleet.current_tables else {}
        ranked = sorted(work.items(), key=lambda row: (-row[1], row[0] not in held, row[0]))
        for place, (i, amount) in enumerate(ranked):
            small = amount < WORTH * whole / len(work) and i not in held
            if place >= fleet.min_table_size and (small or fleet.max_table_size and place >= fleet.max_table_size):
                dropped.add((z, i))
        if dropped:
            dropped |= {(z, i) for i in range(len(fleet.tasks)) if i not in work} if whole else set()
    return frozenset(dropped)


def widened(fleet: Fleet, answer: linear_program.Answer) -> tuple[dict[int, float], ...]:
    """Work by zone and task with no table under the least size: a few tasks can't even out bursts, whatever they can do
    on average. Lines that are held come first, then the zone's own, then the emptiest; all are filled evenly."""
    work = [dict(row) for row in answer.work]
    rooms = {i: room for i in range(len(fleet.tasks)) if (room := linear_program.room_of(fleet, i)) > 0}
    for z, mine in enumerate(work):
        lacking = min(fleet.min_table_size, len(rooms)) - len(mine)
        if lacking <= 0 or not mine:
            continue
        load = dict.fromkeys(rooms, 0.0)
        for at, row in enumerate(work):
            for i, amount in row.items() if at != z else ():
                load[i] += amount
        held = fleet.current_tables[z] if fleet.current_tables else {}
        start = z * len(rooms) // len(work)  # zones begin at different ones of those that are alike
        others = sorted(
            (i for i in rooms if i not in mine and (z, fleet.tasks[i].zone) not in fleet.partitions),
            key=lambda i: (i not in held, fleet.tasks[i].zone != z, load[i] / rooms[i], (i - start) % len(rooms)),
        )
        some = [*mine, *others[:lacking]]
        work[z] = linear_program.poured({i: load[i] for i in some}, {i: rooms[i] for i in some}, sum(mine.values()))
    return tuple(work)


def demand(fleet: Fleet, parts: tuple[tuple[float, ...], ...]) -> list[float]:
    """Work a second that is let in, by zone."""
    return [
        sum(d * m.work * part for d, m, part in zip(zone.demand_rps, fleet.methods, row))
        for zone, row in zip(fleet.zones, parts)
    ]


def times_of(fleet: Fleet, lines: Iterable[int]) -> list[float]:
    """How long an RPC takes at each task, relative to each other: longer where less can be done."""
    return [1 / max(linear_program.room_of(fleet, i), 1e-9) for i in lines]


def loads(shares: tuple[dict[int, float], ...], work: list[float]) -> dict[int, float]:
    """Work a second at each task, from what zones send and the shares that arrive."""
    load: dict[int, float] = {}
    for table, amount in zip(shares, work):
        for i, share in table.items():
            load[i] = load.get(i, 0.0) + share * amount
    return load


def arriving(fleet: Fleet, tables: tuple[dict[int, float], ...]) -> tuple[dict[int, float], ...]:
    """The share of each zone's RPCs that arrives by line, as its proxies pick."""
    shares = []
    for z, table in enumerate(tables):
        lines = {i: w for i, w in table.items() if w > 0}
        found = (
            arrivals(list(lines.values()), fleet.zones[z].in_flight, times_of(fleet, lines), fleet.balancing_policy)
            if lines
            else ()
        )
        shares.append(dict(zip(lines, found)))
    return tuple(shares)


def cost_of(fleet: Fleet, shares: tuple[dict[int, float], ...], work: list[float]) -> float:
    """What the program minimises, for any tables: how full tasks are, and crossings; without what changes cost."""
    whole = sum(work) or 1.0
    cost = sum(
        fleet.cross_zone_cost * share * work[z] / whole
        for z, table in enumerate(shares)
        for i, share in table.items()
        if fleet.tasks[i].zone != z
    )
    for i, amount in loads(shares, work).items():
        left, room = amount, linear_program.room_of(fleet, i)
        for part, slope in linear_program.segments(fleet.target_utilization):
            here = min(left, part * room)
            cost += slope * here / whole
            left -= here
        cost += 100.0 * left / whole
    return cost


def moves(fleet: Fleet, tables: tuple[dict[int, float], ...]) -> Moves:
    opened = closed = lines = 0
    shaken: dict[int, float] = {}
    for z, table in enumerate(tables):
        held = fleet.current_tables[z] if fleet.current_tables else {}
        top, before = max(table.values(), default=1.0), max(held.values(), default=1.0)
        new, gone = [i for i in table if i not in held], [i for i in held if i not in table]
        moved = [i for i in table if i in held and abs(table[i] / top - held[i] / before) > 0.1 * held[i] / before]
        opened += fleet.zones[z].proxy_count * len(new)
        closed += fleet.zones[z].proxy_count * len(gone)
        lines += fleet.zones[z].proxy_count * (len(new) + len(gone) + len(moved))
        for i in new:
            shaken[i] = shaken.get(i, 0.0) + fleet.zones[z].proxy_count * fleet.handshake_cost / fleet.settle_s
    worst = max((amount / max(linear_program.room_of(fleet, i), 1e-9) for i, amount in shaken.items()), default=0.0)
    return Moves(opened, closed, lines, round(worst, 4))


def worth(fleet: Fleet, parts: list[list[float]] | tuple) -> float:
    """The part of the criticality asked for that is served."""
    asked = sum(d * m.criticality for zone in fleet.zones for d, m in zip(zone.demand_rps, fleet.methods))
    got = sum(
        d * m.criticality * part
        for zone, row in zip(fleet.zones, parts)
        for d, m, part in zip(zone.demand_rps, fleet.methods, row)
    )
    return got / asked if asked else 1.0


def reasons(fleet: Fleet, answer: linear_program.Answer, fill: dict[int, float], deadline_s: float) -> list[str]:
    told = []
    served = worth(fleet, answer.served)
    for k, method in enumerate(fleet.methods):
        row = [answer.served[z][k] for z, zone in enumerate(fleet.zones) if zone.demand_rps[k] > 0]
        if row and min(row) < 0.999:
            span = f"{min(row):.0%}" if max(row) - min(row) < 0.005 else f"{min(row):.0%} to {max(row):.0%} by zone"
            told.append(f"too little for everyone: {span} of {method.name} can be let in")
    for z, zone in enumerate(fleet.zones):
        full = [i for group in answer.full for i in group.tasks if fleet.tasks[i].zone == z]
        cold = sum(fleet.tasks[i].slow_start_factor < 1 for i in full)
        if full:
            told.append(f"{len(full)} tasks in {zone.name} at their limit" + (f", {cold} of them cold" if cold else ""))
    if served < 0.999:
        for z, zone in enumerate(fleet.zones):
            rates = [task.capacity_rps for task in fleet.tasks if task.zone == z] or [
                task.capacity_rps for task in fleet.tasks
            ]
            if rates:
                more = fleet._replace(tasks=(*fleet.tasks, Task("one more", z, median(rates))))
                gain = worth(more, linear_program.served(more, deadline_s)) - served
                told.append(f"one more task in {zone.name}, warm, would serve {gain:.1%} more")
        cold = fleet._replace(tasks=tuple(task._replace(slow_start_factor=1.0) for task in fleet.tasks))
        gain = worth(cold, linear_program.served(cold, deadline_s)) - served
        if gain > 0.001:
            told.append(f"once all are warm {gain:.1%} more is served")
        known = fleet._replace(handshake_cost=0.0)
        gain = worth(known, linear_program.served(known, deadline_s)) - served
        if gain > 0.001:
            told.append(f"once the new connections stand {gain:.1%} more is served")
    elif fill:
        worst = max(fill, key=lambda i: (fill[i], -i))
        told.append(f"all is served; {fleet.tasks[worst].name} is the fullest: {fill[worst]:.0%} of what it can do")
    return told


def solve(fleet: Fleet, deadline_s: float = 1.0, explain: bool = True) -> Plan:
    """Raises NonsenseError for figures that can't be, LateError where no answer came in time."""
    check(fleet)
    answer = linear_program.place(fleet, deadline_s)
    dropped = pruned(fleet, answer)
    if dropped:
        answer = linear_program.place(fleet, deadline_s, dropped)
    tables = []
    for z, work in enumerate(widened(fleet, answer)):
        whole = sum(work.values())
        if not whole:
            tables.append(
                dict(fleet.current_tables[z]) if fleet.current_tables else {}
            )  # nothing comes there: as it is
            continue
        tables.append(
            dict(
                zip(
                    work,
                    weights_for(
                        [amount / whole for amount in work.values()],
                        fleet.zones[z].in_flight,
                        times_of(fleet, work),
                        fleet.balancing_policy,
                    ),
                )
            )
        )
    plan = tuple(tables)
    shares, work = arriving(fleet, plan), demand(fleet, answer.served)
    fill = {
        i: amount / max(fleet.tasks[i].capacity_rps * fleet.tasks[i].slow_start_factor, 1e-9)
        for i, amount in loads(shares, work).items()
    }
    before = (
        cost_of(fleet, arriving(fleet, fleet.current_tables), work)
        if fleet.current_tables and any(fleet.current_tables)
        else 0.0
    )
    gain = (before - cost_of(fleet, shares, work)) / before if before > 0 else 1.0
    why = reasons(fleet, answer, fill, deadline_s) if explain else []
    return Plan(plan, shares, answer.served, fill, moves(fleet, plan), gain, tuple(why))


class Planner:
    """Keeps the last good plan: it stands where a new one comes late or is asked for with nonsense."""

    def __init__(self, deadline_s: float) -> None:
        self.deadline_s, self.last = deadline_s, None
        self.counts = dict.fromkeys(("solved", "late", "nonsense"), 0)

    def take(self, fleet: Fleet) -> Plan | None:
        """None where there never was a good one: tables are to stay as they are."""
        try:
            self.last = solve(fleet, self.deadline_s, explain=False)
            self.counts["solved"] += 1
            return self.last
        except InvalidFleetError as trouble:
            self.counts["nonsense"] += 1
            why = str(trouble)
        except linear_program.SolverTimeoutError as trouble:
            self.counts["late"] += 1
            why = f"late: {trouble}"
        return self.last._replace(stale_reason=why) if self.last is not None else None
