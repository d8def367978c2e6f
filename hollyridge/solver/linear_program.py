"""Linear programs for HiGHS, built from columns and rows, and solved again after changes of costs and bounds.

A single thread, the simplex algorithm and a fixed order of inputs give the same solution in every process.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import cache
from typing import NamedTuple

import highspy
import numpy as np

from hollyridge.errors import HollyridgeError

INFINITY = highspy.kHighsInf


class SolverTimeoutError(HollyridgeError):
    """The solver found no optimal solution by the deadline."""


@cache
def shared_solver() -> highspy.Highs:
    """Return the solver instance that the whole process shares; it holds one program at a time.

    It is shared because each new instance prints a banner on standard output.
    """
    return highspy.Highs()


class Row(NamedTuple):
    """Constraint that the sum of factors times columns lies between the bounds."""

    lower: float
    upper: float
    columns: list[int]
    factors: list[float]


class LinearProgram:
    """Minimization over columns (variables) under rows (constraints).

    After the first `solve`, costs and bounds may still change, but no columns or rows may be added. The next solve
    starts from the last solution.
    """

    def __init__(self, deadline_s: float) -> None:
        """Create an empty program.

        Args:
            deadline_s: Time limit of all solves together, in seconds.
        """
        self._deadline_s = deadline_s
        self._costs: list[float] = []
        self._lower: list[float] = []
        self._upper: list[float] = []
        self._rows: list[Row] = []
        self._highs: highspy.Highs | None = None

    def add_column(self, upper: float = INFINITY) -> int:
        """Add a variable between zero and an upper bound, and return its index."""
        self._costs.append(0.0)
        self._lower.append(0.0)
        self._upper.append(upper)
        return len(self._costs) - 1

    def add_row(self, lower: float, upper: float, terms: Sequence[tuple[int, float]]) -> None:
        """Add a constraint on the sum of (column, factor) terms."""
        self._rows.append(Row(lower, upper, [column for column, _ in terms], [factor for _, factor in terms]))

    def set_costs(self, costs: dict[int, float]) -> None:
        """Set the costs of these columns, and those of all others to zero."""
        self._costs = [costs.get(column, 0.0) for column in range(len(self._costs))]
        if self._highs is not None:
            columns = np.arange(len(self._costs), dtype=np.int32)
            self._highs.changeColsCost(len(self._costs), columns, np.array(self._costs))

    def set_bounds(self, column: int, lower: float, upper: float) -> None:
        """Set the bounds of a column."""
        if self._highs is None:
            self._lower[column] = lower
            self._upper[column] = upper
        else:
            self._highs.changeColBounds(column, lower, upper)

    def solve(self) -> np.ndarray:
        """Solve the program and return the values by column.

        Raises:
            SolverTimeoutError: The deadline passed, or the solver failed.
        """
        if self._highs is None:
            self._highs = self._build()
        self._highs.run()
        if self._highs.getModelStatus() == highspy.HighsModelStatus.kUnknown:
            self._highs.clearSolver()  # the last solution was not a usable start
            self._highs.run()
        status = self._highs.getModelStatus()
        if status != highspy.HighsModelStatus.kOptimal:
            raise SolverTimeoutError(f"no optimal solution, solver status: {self._highs.modelStatusToString(status)}")
        return np.array(self._highs.getSolution().col_value)

    def _build(self) -> highspy.Highs:
        highs = shared_solver()
        highs.clear()
        options = {
            "output_flag": False,
            "threads": 1,
            "parallel": "off",
            "random_seed": 0,
            "solver": "simplex",
            "time_limit": highs.getRunTime() + self._deadline_s,  # the solver's clock is not reset between programs
        }
        for name, value in options.items():
            highs.setOptionValue(name, value)
        highs.passModel(self._model())
        return highs

    def _model(self) -> highspy.HighsLp:
        model = highspy.HighsLp()
        model.num_col_ = len(self._costs)
        model.num_row_ = len(self._rows)
        model.col_cost_ = np.array(self._costs)
        model.col_lower_ = np.array(self._lower)
        model.col_upper_ = np.array(self._upper)
        model.row_lower_ = np.array([row.lower for row in self._rows])
        model.row_upper_ = np.array([row.upper for row in self._rows])
        matrix = model.a_matrix_
        matrix.format_ = highspy.MatrixFormat.kRowwise
        matrix.start_ = np.cumsum([0, *(len(row.columns) for row in self._rows)])
        matrix.index_ = np.array([column for row in self._rows for column in row.columns])
        matrix.value_ = np.array([factor for row in self._rows for factor in row.factors])
        return model
