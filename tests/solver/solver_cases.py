"""Fleets that several tests of the solver use."""

from pathlib import Path

from hollyridge.solver.fleet import Fleet, Method, Task, Zone

EXAMPLES = Path(__file__).parents[2] / "examples"
SOLVE = EXAMPLES / "solve"
ONE_METHOD = (Method("read", 3.0),)


def fleet_of_tasks(tasks, demand, current_tables=(), **fields):
    """Return a fleet with one method and 10 proxies per zone.

    Tasks are (zone, capacity, slow start factor) and demand is by zone; capacity and demand are in RPCs per second.
    """
    zones = tuple(Zone(f"z{number}", 10, (rps,)) for number, rps in enumerate(demand))
    return Fleet(
        ONE_METHOD,
        zones,
        tuple(Task(f"t{number}", zone, rate, 0.0, factor) for number, (zone, rate, factor) in enumerate(tasks)),
        tuple(current_tables),
        **fields,
    )
