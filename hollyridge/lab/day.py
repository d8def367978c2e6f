"""Player of a day: a fleet in an environment, faults at their times, then the checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hollyridge.lab.checks.evidence import Evidence
from hollyridge.lab.checks.metrics import figures_of
from hollyridge.lab.checks.ownership import ownership_figures
from hollyridge.lab.checks.parity import compare
from hollyridge.lab.checks.rules import check
from hollyridge.lab.checks.verdicts import RuleLimits, Verdict
from hollyridge.lab.environment import DayError, Environment
from hollyridge.lab.faults.assigner_faults import AssignerFaults
from hollyridge.lab.faults.proxy_faults import ProxyFaults
from hollyridge.lab.faults.task_faults import TaskFaults
from hollyridge.lab.faults.traffic_faults import TrafficFaults
from hollyridge.lab.faults.zone_faults import ZoneFaults
from hollyridge.lab.scenario import FaultSection, Scenario

__all__ = ["Day", "DayError", "Outcome"]


class Outcome(NamedTuple):
    """Result of a day. It is stored as an array, so the order of the fields is a format.

    Attributes:
        verdicts: Verdicts of the rules.
        figures: Metrics of the day, with the keys of `--json`.
        faults: `name`, `kind`, start (`begun`) and end (`ended`) of each fault, in seconds of the day.
        parity: (tables compared between the protocols, tables that differ, description of the first that differs).
    """

    verdicts: list[Verdict]
    figures: dict
    faults: list[dict]
    parity: tuple[int, int, str] = (0, 0, "")


class Day(TaskFaults, TrafficFaults, ZoneFaults, ProxyFaults, AssignerFaults):
    """A day in an environment.

    Its methods that are named like kinds of faults cause these faults; scenarios and recordings use the same names.

    Attributes:
        faults: Faults that have ended, as in `Outcome`, but in microseconds of the clock until the day is over.
        started_faults: Names of the faults that have begun.
        failures: Failures of faults. They fail the day, because a day without one of its faults proves nothing.
    """

    def __init__(
        self,
        scenario: Scenario,
        environment: Environment,
        seed: int | None = None,
        on_progress: Callable[[float], None] = lambda part: None,
    ) -> None:
        """Prepare a day.

        Args:
            scenario: Scenario to play.
            environment: Environment to play it in.
            seed: Seed that replaces the scenario's; None for the scenario's.
            on_progress: Function that is called with the fraction of the day that has passed.
        """
        super().__init__(scenario, environment, seed)
        self.on_progress = on_progress
        self.faults: list[dict] = []
        self.started_faults: set[str] = set()
        self.failures: list[str] = []

    def run_fault(self, name: str, fault: FaultSection) -> None:
        """Wait until the start of a fault and cause it."""
        self.world.sleep(fault.at_s)
        started_us = self.world.now()
        try:
            self.record("trouble", name=name, trouble=fault.kind, begins=True)
            self.started_faults.add(name)
            getattr(self, fault.kind)(fault)
        except Exception as failure:  # any error in a fault fails the day, which reports it
            self.failures.append(f"[trouble {name}] failed: {type(failure).__name__}: {failure}")
        self.record("trouble", name=name, trouble=fault.kind, begins=False)
        self.faults.append({"name": name, "kind": fault.kind, "begun": started_us, "ended": self.world.now()})

    def play(self) -> Outcome:
        """Play the day and check its recording.

        Raises:
            DayError: The day could not be played as the scenario describes it.
        """
        started_us = self.world.now()
        try:
            started_us = self.environment.play(self)
        finally:
            self.environment.end()
        missing = set(self.scenario.faults) - self.started_faults
        self.failures += self.environment.failures
        if missing or self.failures:
            raise DayError("; ".join(self.failures) or f"faults of the scenario that never began: {sorted(missing)}")
        rows = self.environment.recorded()
        for fault in self.faults:
            fault["begun"] = (fault["begun"] - started_us) / 1e6
            fault["ended"] = (fault["ended"] - started_us) / 1e6
        return self._outcome(rows)

    def _outcome(self, rows: list[dict]) -> Outcome:
        parity = compare(rows) if len(self.fronts) > 1 else (0, 0, "")
        evidence = Evidence(rows)
        figures = figures_of(evidence, self.methods())
        if self.scenario.fleet.shared:
            figures["ownership"] = ownership_figures(evidence)
        return Outcome(check(evidence, self.limits()), figures, self.faults, parity)

    def methods(self) -> list[dict]:
        """Return the properties of each method that the metrics need, in the order of the settings."""
        return [
            {
                "name": name,
                "criticality": method.criticality,
                "soft_us": method.soft_deadline_ms * 1e3,
                "deadline_us": method.deadline_ms * 1e3,
            }
            for name, method in self.config.methods.items()
        ]

    def limits(self) -> RuleLimits:
        """Return the limits of the rules, from the settings."""
        promises, channel = self.config.promises, self.config.channel
        return RuleLimits(
            max_empty_us=round(promises.bare_s * 1e6),
            drain_grace_us=round(promises.drain_grace_s * 1e6),
            warm_up_us=round(promises.warm_up_s * 1e6),
            fall_us=round(promises.fall_s * 1e6),
            fall_multiple=promises.fall_multiple,
            max_waiting_lines=channel.most_waiting,
            max_messages=channel.messages_most,
            messages_window_us=round(channel.messages_over_s * 1e6),
            lines_per_s=channel.lines_per_s,
            lines_per_message=channel.head_lines,
        )
