"""Size of tables: exclusion of lines that are too small, and enlargement of tables too small to even out bursts."""

from __future__ import annotations

from hollyridge.solver.fleet import Fleet
from hollyridge.solver.placement import Placement, fill_evenly
from hollyridge.solver.task_classes import usable_capacity

MIN_LINE_FRACTION = 1 / 3  # of an even share of its table; a new line below it does not justify its connections


def lines_to_exclude(fleet: Fleet, placement: Placement) -> frozenset[tuple[int, int]]:
    """Return the pairs (zone of proxies, task) that must not be used.

    They are new lines that are too small, and the smallest lines beyond the maximum size of a table. A table never
    shrinks below the minimum size. Keeping a line of the current table costs nothing. Once a line is excluded, the
    tasks that its zone does not use are excluded too, as are those that each later zone does not use.
    """
    excluded: set[tuple[int, int]] = set()
    for zone, work in enumerate(placement.work):
        current = fleet.table_of(zone)
        total = sum(work.values())
        by_work = sorted(work.items(), key=lambda line: (-line[1], line[0] not in current, line[0]))
        for position, (task, amount) in enumerate(by_work):
            is_small = task not in current and amount < MIN_LINE_FRACTION * total / len(work)
            is_beyond_limit = fleet.max_table_size and position >= fleet.max_table_size
            if position >= fleet.min_table_size and (is_small or is_beyond_limit):
                excluded.add((zone, task))
        if excluded and total:
            excluded |= {(zone, task) for task in range(len(fleet.tasks)) if task not in work}
    return frozenset(excluded)


def enlarge_small_tables(fleet: Fleet, placement: Placement) -> tuple[dict[int, float], ...]:
    """Return the work by zone and task, with all tables that have work enlarged to the minimum size.

    A few tasks cannot even out bursts, whatever their average capacity. Lines of the current table are added first,
    then tasks of the same zone, then the emptiest tasks; all lines are filled evenly.
    """
    work = [dict(table) for table in placement.work]
    capacities = {task: capacity for task in range(len(fleet.tasks)) if (capacity := usable_capacity(fleet, task)) > 0}
    for zone, table in enumerate(work):
        missing = min(fleet.min_table_size, len(capacities)) - len(table)
        if missing <= 0 or not table:
            continue
        load = _load_by_others(work, zone, capacities)
        lines = [*table, *_candidates(fleet, zone, work, load, capacities)[:missing]]
        work[zone] = fill_evenly(
            {task: load[task] for task in lines}, {task: capacities[task] for task in lines}, sum(table.values())
        )
    return tuple(work)


def _load_by_others(work: list[dict[int, float]], zone: int, capacities: dict[int, float]) -> dict[int, float]:
    load = dict.fromkeys(capacities, 0.0)
    for other, table in enumerate(work):
        if other != zone:
            for task, amount in table.items():
                load[task] += amount
    return load


def _candidates(
    fleet: Fleet, zone: int, work: list[dict[int, float]], load: dict[int, float], capacities: dict[int, float]
) -> list[int]:
    """Return the tasks that a zone does not use, in the order in which they are added to its table."""
    current = fleet.table_of(zone)
    count = len(capacities)
    start = zone * count // len(work)  # zones start at different tasks among equally good ones

    def preference(task: int) -> tuple[bool, bool, float, int]:
        """Return a sort key: current lines first, then tasks of the zone, then the emptiest tasks."""
        is_remote = fleet.tasks[task].zone != zone
        return task not in current, is_remote, load[task] / capacities[task], (task - start) % count

    return sorted(
        (
            task
            for task in capacities
            if task not in work[zone] and (zone, fleet.tasks[task].zone) not in fleet.partitions
        ),
        key=preference,
    )
