"""Time limits of the linear program."""

from random import Random

import pytest
from solver_cases import fleet_of_tasks

from hollyridge.solver import linear_program
from hollyridge.solver.planner import Planner, solve


def test_the_last_plan_is_kept_after_a_missed_deadline():
    rng = Random(2)
    tasks = [(k % 6, rng.uniform(1, 100), rng.uniform(0.2, 1)) for k in range(400)]
    fleet = fleet_of_tasks(tasks, [rng.uniform(500, 2000) for _ in range(6)])
    with pytest.raises(linear_program.SolverTimeoutError):
        solve(fleet, 1e-4)
    planner = Planner(20.0)
    first = planner.plan_for(fleet)
    planner.deadline_s = 1e-4
    late = planner.plan_for(fleet)
    assert late.tables == first.tables
    assert late.stale_reason.startswith("late")


def test_the_deadline_applies_to_each_solution_and_not_to_all_together():
    """The solver library does not reset its clock between solutions.

    When the time limit did not allow for this, every plan was late once half a second had been used in total.
    """
    rng = Random(2)
    fleet = fleet_of_tasks([(k % 3, rng.uniform(8, 12), 1.0) for k in range(60)], [100, 90, 80])
    planner, started = Planner(0.1), linear_program.shared_solver().getRunTime()
    while linear_program.shared_solver().getRunTime() - started < 0.2:
        planner.plan_for(fleet)
    assert planner.counts["late"] == 0
    assert planner.counts["solved"] > 10
