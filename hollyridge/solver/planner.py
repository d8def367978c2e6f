"""Plans: weight tables for a fleet, what they come to, and the last good one where a new one fails."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from hollyridge.solver.evaluation import (
    MIN_CAPACITY,
    Moves,
    admitted_work,
    arriving_shares,
    cost_of,
    count_moves,
    load_by_task,
    relative_service_times,
)
from hollyridge.solver.explanation import explain
from hollyridge.solver.fleet import Fleet, InvalidFleetError, validate
from hollyridge.solver.linear_program import SolverTimeoutError
from hollyridge.solver.placement import place
from hollyridge.solver.table_size import lines_to_exclude, widen
from hollyridge.solver.two_choices import weights_for


class Plan(NamedTuple):
    """The answer for a fleet.

    Attributes:
        tables: By zone of proxies, the weight of each task.
        shares: By zone of proxies, the share of its RPCs that arrives at each task.
        served: By zone of proxies and method, the fraction that is admitted.
        utilization: Load of each task against its present capacity.
        moves: What changes against the tables in force.
        gain: Fraction of the cost of the tables in force that these save; for the push gate.
        reasons: What limits the plan, in words.
        stale_reason: Why this older plan still stands; empty for a new one.
    """

    tables: tuple[dict[int, float], ...]
    shares: tuple[dict[int, float], ...]
    served: tuple[tuple[float, ...], ...]
    utilization: dict[int, float]
    moves: Moves
    gain: float
    reasons: tuple[str, ...]
    stale_reason: str = ""


def solve(fleet: Fleet, deadline_s: float = 1.0, with_reasons: bool = True) -> Plan:
    """Plans weight tables.

    Args:
        fleet: What the plan rests on.
        deadline_s: For each answer of the solver.
        with_reasons: Whether to explain what limits the plan, which takes several more answers.

    Raises:
        InvalidFleetError: Figures of the fleet can't be.
        SolverTimeoutError: There was no answer in time.
    """
    validate(fleet)
    placement = place(fleet, deadline_s)
    excluded = lines_to_exclude(fleet, placement)
    if excluded:
        placement = place(fleet, deadline_s, excluded)
    tables = tuple(_table(fleet, zone, work) for zone, work in enumerate(widen(fleet, placement)))
    shares = arriving_shares(fleet, tables)
    work = admitted_work(fleet, placement.served)
    utilization = _utilization(fleet, load_by_task(shares, work))
    gain = _gain(fleet, shares, work)
    reasons = explain(fleet, placement, utilization, deadline_s) if with_reasons else []
    return Plan(tables, shares, placement.served, utilization, count_moves(fleet, tables), gain, tuple(reasons))


class Planner:
    """Plans, and keeps the last good plan for when a new one is late or its fleet is invalid.

    Attributes:
        deadline_s: For each answer of the solver.
        last: The last good plan, None before the first.
        counts: Totals for the status page.
    """

    def __init__(self, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.last: Plan | None = None
        self.counts = dict.fromkeys(("solved", "late", "nonsense"), 0)

    def take(self, fleet: Fleet) -> Plan | None:
        """Returns a new plan, else the last good one with a reason, else None: tables are to stay as they are."""
        try:
            plan = solve(fleet, self.deadline_s, with_reasons=False)
        except InvalidFleetError as error:
            return self._fall_back("nonsense", str(error))
        except SolverTimeoutError as error:
            return self._fall_back("late", f"late: {error}")
        self.last = plan
        self.counts["solved"] += 1
        return plan

    def _fall_back(self, count: str, reason: str) -> Plan | None:
        self.counts[count] += 1
        return self.last._replace(stale_reason=reason) if self.last is not None else None


def _table(fleet: Fleet, zone: int, work: dict[int, float]) -> dict[int, float]:
    """Returns the weights under which this work arrives; the table in force where there is none."""
    total = sum(work.values())
    if not total:
        return dict(fleet.table_of(zone))
    shares = [amount / total for amount in work.values()]
    times = relative_service_times(fleet, work)
    return dict(zip(work, weights_for(shares, fleet.zones[zone].in_flight, times, fleet.balancing_policy)))


def _utilization(fleet: Fleet, load: dict[int, float]) -> dict[int, float]:
    tasks = fleet.tasks
    return {
        task: amount / max(tasks[task].capacity_rps * tasks[task].slow_start_factor, MIN_CAPACITY)
        for task, amount in load.items()
    }


def _gain(fleet: Fleet, shares: Sequence[dict[int, float]], work: Sequence[float]) -> float:
    """Returns the fraction of the present cost that is saved; all of it where there are no tables yet."""
    if not any(fleet.current_tables):
        return 1.0
    present = cost_of(fleet, arriving_shares(fleet, fleet.current_tables), work)
    return (present - cost_of(fleet, shares, work)) / present if present > 0 else 1.0
