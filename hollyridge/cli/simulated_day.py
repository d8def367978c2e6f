"""`hollyridge lab run` under a simulated clock."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import click

from hollyridge.cli.common import ExitCode
from hollyridge.cli.day import show
from hollyridge.lab.day import Day, DayError, Outcome
from hollyridge.lab.reports.page import write
from hollyridge.lab.reports.profiler import SamplingProfiler
from hollyridge.lab.scenario import Scenario
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment


class SimulatedOptions(NamedTuple):
    """Options of a simulated day.

    Attributes:
        seed: Seed that replaces the scenario's own.
        record: File for the recording.
        policy: Name of a decision module of the laboratory that replaces the service's own.
        ties: Seed by which events that are due at the same time are shuffled.
        cost: Whether to measure the cost of the day.
        report: Folder for the report page.
        as_json: Whether to print the result as JSON.
    """

    seed: int | None
    record: str | None
    policy: str
    ties: int | None
    cost: bool
    report: str | None
    as_json: bool


def play_simulated(scenario: Scenario, options: SimulatedOptions) -> ExitCode:
    """Play a day, print its results and return the exit code."""
    try:
        outcome = _play(scenario, options)
    except DayError as error:
        click.echo(f"the day could not be played: {error}", err=True)
        return ExitCode.BAD_INPUT
    show(outcome, options.as_json, len(scenario.fleet.fronts) > 1)
    if options.cost and not options.as_json:
        click.echo(f"cost: {outcome.figures['cost']}")
    if options.report:
        folder = Path(options.report)
        folder.mkdir(parents=True, exist_ok=True)
        click.echo(f"report: {write(folder, scenario, outcome)}", err=True)
    return ExitCode.SUCCESS if all(verdict.kept for verdict in outcome.verdicts) else ExitCode.FAILED


def _play(scenario: Scenario, options: SimulatedOptions) -> Outcome:
    seed = scenario.day.seed if options.seed is None else options.seed
    meter = SamplingProfiler() if options.cost else None
    if meter is not None:
        meter.start()
    environment = SimulatedEnvironment(scenario, options.policy, seed, options.ties, options.record)
    outcome = Day(scenario, environment, seed).play()
    if meter is not None:
        cost = meter.stop(scenario.day.length_s)
        outcome.figures.update(cost=cost, tasks=scenario.fleet.tasks, proxies=scenario.fleet.proxies)
    return outcome
