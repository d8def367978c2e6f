"""The service that runs the weight solver beside the engine.

The solver runs once per report period, on another thread so that it does not block the event loop. Its proposals are
submitted as events. Proposals expire, so if no new plan follows, the decision module continues without them.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from hollyridge.core.event_loop import US_PER_S, EventLoop
from hollyridge.interface import Admission
from hollyridge.solver import linear_program
from hollyridge.solver.engine_adapter import fleet_of, proposals
from hollyridge.solver.planner import Planner

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

STDOUT = 1  # file descriptor
STDERR = 2  # file descriptor


class SolverConfig(NamedTuple):
    """Configuration of the solver.

    Attributes:
        handshake: Cost of opening a connection, in average RPCs.
        connections: Maximum of new connections per task.
        deadline_s: Maximum time for a plan, in seconds.
    """

    handshake: float
    connections: float
    deadline_s: float


def load_solver_library() -> None:
    """Load the solver's library with standard output redirected to standard error.

    The library prints a banner directly to the file descriptor, which would corrupt the output of commands.
    """
    sys.stdout.flush()
    saved_stdout = os.dup(STDOUT)
    os.dup2(STDERR, STDOUT)
    try:
        linear_program.shared_solver()
    finally:
        os.dup2(saved_stdout, STDOUT)
        os.close(saved_stdout)


class SolverService:
    """Service that requests plans from the solver and submits their proposals.

    Args:
        loop: The loop of the engine.
        config: The solver's configuration.
        log: The logger.
        apply: `apply(call, arguments)` runs a call on another thread and waits for its result.
    """

    def __init__(self, loop: EventLoop, config: SolverConfig, log: FilteringBoundLogger, apply: Callable) -> None:
        self.loop = loop
        self.engine = loop.engine
        self.config = config
        self.log = log
        self.apply = apply
        self.planner = Planner(config.deadline_s)
        load_solver_library()
        self.counts = {"asked": 0, "proposed": 0, "unknown": 0, "too_little": 0}  # keys of the status page
        self.sheds_load = self.engine.config.admission not in (Admission.OFF, Admission.NOT_SUPPORTED)

    def run(self) -> None:
        """Request a plan once per report period, until the program ends."""
        while True:
            self.loop.sleep(self.engine.config.report_period_us / US_PER_S)
            self.request_plan(self.loop.clock())

    def request_plan(self, now_us: int) -> None:
        """Request a plan for the fleet as it is known, and submit its proposals."""
        self.counts["asked"] += 1
        fleet = fleet_of(self.engine.assigner, now_us, self.config.handshake, self.config.connections)
        if fleet is None:
            self.counts["unknown"] += 1
            return
        plan = self.apply(self.planner.plan_for, (fleet,))
        if plan is None or plan.stale_reason:
            reason = plan.stale_reason if plan is not None else "there is no earlier plan"
            self.log.warning("solver_plan_failed", reason=reason)
            return
        planned_at_us = self.loop.clock()
        weight_proposals = proposals(plan, self.sheds_load)
        for proposal in weight_proposals:
            self.engine.submit(planned_at_us, proposal)
        self.counts["proposed" if weight_proposals else "too_little"] += 1
        self.loop.wake()

    def status(self) -> dict:
        """Return counts for the status page."""
        return {**self.counts, **self.planner.counts}
