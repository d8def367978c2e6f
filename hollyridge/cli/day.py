"""`hollyridge day`: plays a day on real sockets, prints its results and writes the report page."""

from __future__ import annotations

import signal
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import click
import gevent
import msgspec

from hollyridge.cli.common import PROTOCOLS, ExitCode, comma_separated, print_problems
from hollyridge.lab import scenario
from hollyridge.lab.day import Day, DayError, Outcome
from hollyridge.lab.experiments.policies import POLICIES
from hollyridge.lab.stand_ins.live import LiveEnvironment
from hollyridge.settings.ini import FaultsError

RULES = {
    1: "no proxy left without a line",
    2: "no RPC takes effect twice",
    3: "no RPCs to draining tasks after the grace",
    4: "no cold task overloaded",
    5: "short queue, few messages",
}
BAR_LENGTH = 1000  # steps of the progress bar
LOG_LINES = 3  # last lines of each process, printed when a day could not be played
LOG_LINE_LENGTH = 300  # characters


class LiveOptions(NamedTuple):
    """Options of a day on real sockets.

    Attributes:
        scenario_path: File of the scenario.
        report: Folder for the recordings and the report page; None to keep nothing.
        seed: Seed that replaces the scenario's own.
        policy: Name of a decision module of the laboratory that replaces the service's own.
        fronts: Comma-separated protocols that replace the scenario's own.
        as_json: Whether to print the result as JSON.
    """

    scenario_path: str
    report: str | None
    seed: int | None
    policy: str
    fronts: str
    as_json: bool


def play(options: LiveOptions) -> ExitCode:
    """Play a day, print its results and return the exit code."""
    fronts = comma_separated(options.fronts)
    if not set(fronts) <= PROTOCOLS:
        click.echo(f"--fronts: found {options.fronts!r}, expected sasp, clone or sasp,clone", err=True)
        return ExitCode.BAD_INPUT
    try:
        loaded = scenario.load(options.scenario_path, fronts=fronts)
    except FaultsError as error:
        print_problems(options.scenario_path, error)
        return ExitCode.BAD_INPUT
    if options.policy and options.policy not in POLICIES:
        click.echo(f"--policy: found {options.policy!r}, expected one of {', '.join(POLICIES)}", err=True)
        return ExitCode.BAD_INPUT
    if options.report is None:
        with tempfile.TemporaryDirectory(prefix="hollyridge-day-") as folder:
            return _run(loaded, Path(folder), options)
    folder = Path(options.report)
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.glob("*.jsonl")):
        click.echo(f"--report: {folder} already contains recordings, expected a folder without *.jsonl files", err=True)
        return ExitCode.BAD_INPUT
    return _run(loaded, folder, options)


def _run(loaded: scenario.Scenario, folder: Path, options: LiveOptions) -> ExitCode:
    try:
        outcome = _play_with_bar(loaded, folder, options)
    except DayError as error:
        click.echo(f"the day could not be played: {error}", err=True)
        _print_logs(folder)
        return ExitCode.BAD_INPUT
    show(outcome, options.as_json, len(loaded.fleet.fronts) > 1)
    if options.report is not None:
        _write_report(folder, loaded, outcome)
    # The second element of `parity` is the number of tables that differ between the protocols.
    kept = all(verdict.kept for verdict in outcome.verdicts) and not outcome.parity[1]
    return ExitCode.SUCCESS if kept else ExitCode.FAILED


def _play_with_bar(loaded: scenario.Scenario, folder: Path, options: LiveOptions) -> Outcome:
    with click.progressbar(length=BAR_LENGTH, label=f"{loaded.day.length_s:.0f} s", file=sys.stderr) as bar:
        shown = 0

        def on_progress(fraction: float) -> None:
            nonlocal shown
            bar.update(round(fraction * BAR_LENGTH) - shown)
            shown = round(fraction * BAR_LENGTH)

        main = gevent.getcurrent()
        gevent.signal_handler(signal.SIGTERM, lambda: main.throw(DayError("ended by a signal")))
        environment = LiveEnvironment(loaded, folder, options.policy)
        return Day(loaded, environment, options.seed, on_progress).play()


def _print_logs(folder: Path) -> None:
    """Print the last lines of each process log."""
    for log in sorted(folder.glob("*.log")):
        for line in log.read_text(errors="replace").splitlines()[-LOG_LINES:]:
            click.echo(f"{log.name}: {line[:LOG_LINE_LENGTH]}", err=True)


def _write_report(folder: Path, loaded: scenario.Scenario, outcome: Outcome) -> None:
    from hollyridge.lab.reports.page import write

    (folder / "outcome.json").write_bytes(msgspec.json.encode(outcome))
    click.echo(f"report: {write(folder, loaded, outcome)}", err=True)


def show(outcome: Outcome, as_json: bool, both_protocols: bool) -> None:
    """Print the results of a day; `both_protocols` adds the comparison of the protocols' tables."""
    kept = sum(verdict.kept for verdict in outcome.verdicts)
    broken = len(outcome.verdicts) - kept
    if as_json:
        rules = [verdict._asdict() for verdict in outcome.verdicts]
        result = {"rules": rules, **outcome.figures, "broken": broken, "parity": outcome.parity}
        click.echo(msgspec.json.encode(result))
        return
    _show_figures(outcome.figures)
    for verdict in outcome.verdicts:
        click.echo(
            f"rule {verdict.rule} {'kept  ' if verdict.kept else 'BROKEN'} {verdict.nearest:6.1%} of the limit  "
            f"{RULES[verdict.rule]}: {verdict.where}"
        )
    if both_protocols:
        compared, differ, where = outcome.parity
        click.echo(f"parity: {compared} tables compared, {differ} differ{': ' + where if where else ''}")
    click.echo(f"rules: {kept} kept, {broken} broken")


def _show_figures(figures: dict) -> None:
    by_method = ", ".join(f"{name} {fraction:.3f}" for name, fraction in figures["by_method"].items())
    click.echo(
        f"RPCs {figures['rpcs']}, ok {figures['ok']}, attempts {figures['tries']}; criticality served in time "
        f"{figures['served']:.3f}, worst 10 s {figures['worst_10s']:.3f}; {by_method}"
    )
    click.echo(f"sent: {figures['decisions_sent']} decisions, {figures['messages']} messages, {figures['lines']} lines")
