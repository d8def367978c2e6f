"""The weight solver beside the machine: asked once a period, off the hub's thread; what it proposes goes in as news."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from typing import NamedTuple

from hollyridge import interface as api
from hollyridge.core.event_loop import EventLoop
from hollyridge.solver import linear_program
from hollyridge.solver.engine_adapter import fleet_of, proposals
from hollyridge.solver.planner import Planner


class SolverConfig(NamedTuple):
    """Work of a new connection in average RPCs, connections that a task takes, seconds that an answer may take."""

    handshake: float
    connections: float
    deadline_s: float


def load_solver_library() -> None:
    """Have the solver's library ready. It greets on standard output, past Python: that goes to standard error."""
    sys.stdout.flush()
    kept = os.dup(1)
    os.dup2(2, 1)
    try:
        linear_program.library()
    finally:
        os.dup2(kept, 1)
        os.close(kept)


class SolverService:
    """`apply(call, words)` runs a call elsewhere and waits for what it returns."""

    def __init__(self, loop: EventLoop, terms: SolverConfig, log, apply: Callable) -> None:
        self.loop, self.engine, self.terms, self.log, self.apply = loop, loop.engine, terms, log, apply
        self.planner = Planner(terms.deadline_s)
        load_solver_library()
        self.counts = {"asked": 0, "proposed": 0, "unknown": 0, "too_little": 0}
        self.pushes_back = self.engine.config.admission not in (api.Admission.OFF, api.Admission.SILENT)

    def run(self) -> None:
        while True:
            self.loop.sleep(self.engine.config.report_period_us / 1e6)
            self.ask(self.loop.clock())

    def ask(self, now: int) -> None:
        self.counts["asked"] += 1
        fleet = fleet_of(self.engine.assigner, now, self.terms.handshake, self.terms.connections)
        if fleet is None:
            self.counts["unknown"] += 1
            return
        plan = self.apply(self.planner.take, (fleet,))
        if plan is None or plan.stale_reason:
            self.log.warning("no new plan", why=plan.stale_reason if plan is not None else "none ever was")
            return  # an old proposal runs out, then the loop goes on alone
        now, told = self.loop.clock(), proposals(plan, self.pushes_back)
        for proposal in told:
            self.engine.submit(now, proposal)
        self.counts["proposed" if told else "too_little"] += 1
        self.loop.wake()

    def status(self) -> dict:
        return {**self.counts, **self.planner.counts}
