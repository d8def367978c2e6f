"""The weight solver beside the engine: it is asked for a plan once a report period, off the hub's thread.

What it proposes is submitted as events. Proposals expire, so where no new plan comes the decisions go on alone.
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

STDOUT = 1  # file descriptors
STDERR = 2


class SolverConfig(NamedTuple):
    """What the solver is told beside the fleet.

    Attributes:
        handshake: Work of opening a connection, in average RPCs.
        connections: New connections that a task can take.
        deadline_s: Seconds that a plan may take.
    """

    handshake: float
    connections: float
    deadline_s: float


def load_solver_library() -> None:
    """Load the solver's library, with what it prints on standard output sent to standard error.

    The library prints a banner past Python's own streams, which would spoil the output of commands.
    """
    sys.stdout.flush()
    saved_stdout = os.dup(STDOUT)
    os.dup2(STDERR, STDOUT)
    try:
        linear_program.library()
    finally:
        os.dup2(saved_stdout, STDOUT)
        os.close(saved_stdout)


class SolverService:
    """Asks for plans and submits their proposals.

    Args:
        loop: The loop of the engine.
        terms: The solver's settings.
        log: The logger.
        apply: `apply(call, arguments)` runs a call on another thread and waits for what it returns.
    """

    def __init__(self, loop: EventLoop, terms: SolverConfig, log: FilteringBoundLogger, apply: Callable) -> None:
        self.loop = loop
        self.engine = loop.engine
        self.terms = terms
        self.log = log
        self.apply = apply
        self.planner = Planner(terms.deadline_s)
        load_solver_library()
        self.counts = {"asked": 0, "proposed": 0, "unknown": 0, "too_little": 0}  # keys of the status page
        self.sheds_load = self.engine.config.admission not in (Admission.OFF, Admission.NOT_SUPPORTED)

    def run(self) -> None:
        """Ask once a report period, until the program ends."""
        while True:
            self.loop.sleep(self.engine.config.report_period_us / US_PER_S)
            self.ask(self.loop.clock())

    def ask(self, now_us: int) -> None:
        """Ask for a plan of the fleet as it is known, and submit what it proposes."""
        self.counts["asked"] += 1
        fleet = fleet_of(self.engine.assigner, now_us, self.terms.handshake, self.terms.connections)
        if fleet is None:
            self.counts["unknown"] += 1
            return
        plan = self.apply(self.planner.take, (fleet,))
        if plan is None or plan.stale_reason:
            reason = plan.stale_reason if plan is not None else "none ever was"
            self.log.warning("solver_plan_failed", reason=reason)
            return
        answered_us = self.loop.clock()
        weight_proposals = proposals(plan, self.sheds_load)
        for proposal in weight_proposals:
            self.engine.submit(answered_us, proposal)
        self.counts["proposed" if weight_proposals else "too_little"] += 1
        self.loop.wake()

    def status(self) -> dict:
        """Counts for the status page."""
        return {**self.counts, **self.planner.counts}
