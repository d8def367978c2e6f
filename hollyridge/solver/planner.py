"""Planner of weight tables, which falls back to the last good plan when a new one fails."""

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
from hollyridge.solver.placement import place_work
from hollyridge.solver.table_size import enlarge_small_tables, lines_to_exclude
from hollyridge.solver.two_choices import weights_for


class Plan(NamedTuple):
    """Weight tables for a fleet, with their effects.

    Attributes:
        tables: By zone of proxies, the weight of each task.
        shares: By zone of proxies, the share of its RPCs that arrives at each task.
        served: By zone of proxies and method, the fraction that is admitted.
        utilization: Load of each task, relative to its current capacity.
        moves: Changes to the current tables.
        gain: Saved fraction of the cost of the current tables; for the push gate.
        reasons: Limits of the plan and possible remedies, as text.
        stale_reason: Reason for which this older plan is kept; empty for a new plan.
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
    """Return a plan of weight tables.

    Args:
        fleet: Input of the plan.
        deadline_s: Time limit of each solution, in seconds.
        with_reasons: Whether to explain what limits the plan, which takes several more solutions.

    Raises:
        InvalidFleetError: A value of the fleet is invalid.
        SolverTimeoutError: A solution was not found by its deadline.
    """
    validate(fleet)
    placement = place_work(fleet, deadline_s)
    excluded = lines_to_exclude(fleet, placement)
    if excluded:
        placement = place_work(fleet, deadline_s, excluded)
    tables = tuple(_table(fleet, zone, work) for zone, work in enumerate(enlarge_small_tables(fleet, placement)))
    shares = arriving_shares(fleet, tables)
    work = admitted_work(fleet, placement.served)
    utilization = _utilization(fleet, load_by_task(shares, work))
    gain = _gain(fleet, shares, work)
    reasons = explain(fleet, placement, utilization, deadline_s) if with_reasons else []
    return Plan(tables, shares, placement.served, utilization, count_moves(fleet, tables), gain, tuple(reasons))


class Planner:
    """Planner that keeps the last good plan for the case that a new one is late or its fleet is invalid.

    Attributes:
        deadline_s: Time limit of each solution, in seconds.
        last_plan: Last good plan; None before the first.
        counts: Totals for the status page.
    """

    def __init__(self, deadline_s: float) -> None:
        self.deadline_s = deadline_s
        self.last_plan: Plan | None = None
        self.counts = dict.fromkeys(("solved", "late", "nonsense"), 0)

    def plan_for(self, fleet: Fleet) -> Plan | None:
        """Return a new plan, or else the last good one with a reason, or None if the current tables must be kept."""
        try:
            plan = solve(fleet, self.deadline_s, with_reasons=False)
        except InvalidFleetError as error:
            return self._fall_back("nonsense", str(error))
        except SolverTimeoutError as error:
            return self._fall_back("late", f"late: {error}")
        self.last_plan = plan
        self.counts["solved"] += 1
        return plan

    def _fall_back(self, counter: str, reason: str) -> Plan | None:
        self.counts[counter] += 1
        return self.last_plan._replace(stale_reason=reason) if self.last_plan is not None else None


def _table(fleet: Fleet, zone: int, work: dict[int, float]) -> dict[int, float]:
    """Return the weights under which this work arrives, or the current table if there is no work."""
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
    """Return the saved fraction of the current cost; 1 if there are no tables yet."""
    if not any(fleet.current_tables):
        return 1.0
    current_cost = cost_of(fleet, arriving_shares(fleet, fleet.current_tables), work)
    return (current_cost - cost_of(fleet, shares, work)) / current_cost if current_cost > 0 else 1.0
