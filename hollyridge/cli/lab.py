"""`hollyridge lab`: simulated days, comparisons, hunts, sweeps, takeovers, floods and report pages."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from hollyridge.cli.common import ExitCode, comma_separated, fail, print_problems, print_result

if TYPE_CHECKING:
    from hollyridge.lab.scenario import Scenario


@click.group()
def lab() -> None:
    """Run days under a simulated clock, paired comparisons, and searches for bad days."""


def _load(path: str, settings: str = "", fronts: str = "", times: float = 1.0, assigners: int = 0) -> Scenario:
    """Load a scenario; if it is invalid, print its faults and exit."""
    from hollyridge.lab import scenario
    from hollyridge.settings.ini import FaultsError

    try:
        return scenario.load(path, settings, comma_separated(fronts), times, assigners)
    except FaultsError as error:
        print_problems(path, error)
        sys.exit(ExitCode.BAD_INPUT)


@lab.command()
@click.argument("scenario", type=click.Path())
@click.option("--seed", type=int, help="Seed that replaces the scenario's own.")
@click.option("--record", type=click.Path(dir_okay=False), help="Write the recording to this file.")
@click.option("--live", is_flag=True, help="Run on real sockets, in real time.")
@click.option("--policy", default="", help="Decision module of the laboratory that replaces the service's own.")
@click.option("--settings", default="", type=click.Path(), help="Settings file that replaces the scenario's own.")
@click.option("--fronts", default="", help="Protocols that replace the scenario's own: sasp, clone or sasp,clone.")
@click.option("--times", default=1.0, help="Factor for the size of fleet, load and channel.")
@click.option("--assigners", default=0, help="Number of assigners that replaces the scenario's own.")
@click.option("--cost", is_flag=True, help="Measure the cost of the day, by part of the program.")
@click.option("--ties", type=int, help="Shuffle events that are due at the same time, by this seed.")
@click.option("--report", type=click.Path(file_okay=False), help="Write a report page to this folder.")
@click.option("--json", "as_json", is_flag=True)
def run(  # noqa: PLR0913, PLR0917 - click passes each option as an argument
    scenario: str,
    seed: int | None,
    record: str | None,
    live: bool,
    policy: str,
    settings: str,
    fronts: str,
    times: float,
    assigners: int,
    cost: bool,
    ties: int | None,
    report: str | None,
    as_json: bool,
) -> None:
    """Play the day in SCENARIO under a simulated clock, or with --live on real sockets."""
    if live:
        from gevent import monkey

        monkey.patch_all()
    from hollyridge.cli.day import LiveOptions, play
    from hollyridge.cli.simulated_day import SimulatedOptions, play_simulated
    from hollyridge.lab.experiments.policies import POLICIES

    loaded = _load(scenario, settings, fronts, times, assigners)
    if policy and policy not in POLICIES:
        fail(f"--policy: found {policy!r}, expected one of {', '.join(POLICIES)}")
    if live:
        sys.exit(play(LiveOptions(scenario, report, seed, policy, fronts, as_json)))
    sys.exit(play_simulated(loaded, SimulatedOptions(seed, record, policy, ties, cost, report, as_json)))


@lab.command()
@click.argument("a")
@click.argument("b")
@click.option(
    "--days", multiple=True, required=True, type=click.Path(exists=True), help="File of a scenario; may be repeated."
)
@click.option("--seeds", default=20, show_default=True)
@click.option("--figure", default="served", show_default=True, help="Figure that is compared.")
@click.option(
    "--keep",
    type=click.Path(dir_okay=False),
    help="File for the results of each day, from which an interrupted experiment continues.",
)
@click.option("--at-once", default=max(1, (os.cpu_count() or 2) - 1), show_default=True)
@click.option("--json", "as_json", is_flag=True)
def compare(  # noqa: PLR0913, PLR0917 - click passes each option as an argument
    a: str, b: str, days: tuple[str, ...], seeds: int, figure: str, keep: str | None, at_once: int, as_json: bool
) -> None:
    """Play variants A and B on the same simulated days and seeds.

    A variant is `module`, a decision module of the laboratory, a settings file (.ini), or commit:REV.
    """
    from hollyridge.lab.experiments import experiment
    from hollyridge.lab.experiments.policies import POLICIES

    for name in (a, b):
        if not (name.startswith("commit:") or name.endswith(".ini") or name in ("module", *POLICIES)):
            fail(
                f"{name}: unknown variant, expected module, {', '.join(POLICIES)}, a settings file (.ini) or commit:REV"
            )
    with click.progressbar(length=2 * seeds * len(days), label="days", file=sys.stderr) as bar:
        try:
            result = experiment.compare(
                experiment.Variant(a),
                experiment.Variant(b),
                list(days),
                seeds,
                Path(keep) if keep else None,
                at_once,
                lambda done, total: bar.update(1),
                figure,
            )
        except (ValueError, KeyError) as error:
            fail(f"cannot compare: {error}")
    if as_json:
        click.echo(msgspec.json.encode(result))
    else:
        _show_comparison(result)


def _show_comparison(result: dict) -> None:
    for variant in result["variants"]:
        click.echo("  ".join(f"{key} {value}" for key, value in variant.items() if value not in (None, [])))
    gap = result["gap"]
    click.echo(
        f"{result['b']} minus {result['a']}, {result['figure']}: {gap['mean']:+.4f} ({gap['low']:+.4f} to "
        f"{gap['high']:+.4f}, 95% by bootstrap over {gap['pairs']} pairs); better on {gap['better']}, worse on "
        f"{gap['worse']}; sign test p {gap['chance']:.3f}" + ("; stopped early" if result["stopped_early"] else "")
    )


@lab.command()
@click.argument("script", type=click.Path())
@click.option("--seeds", default=50, show_default=True, help="Days to draw.")
@click.option("--first", default=1, show_default=True)
@click.option("--most", "max_faults", default=5, show_default=True, help="Maximum number of faults in one day.")
@click.option("--policy", default="", help="Decision module of the laboratory that replaces the service's own.")
@click.option("--out", type=click.Path(dir_okay=False), help="Write the worst day to this file, as a scenario.")
@click.option("--json", "as_json", is_flag=True)
def hunt(  # noqa: PLR0913, PLR0917 - click passes each option as an argument
    script: str, seeds: int, first: int, max_faults: int, policy: str, out: str | None, as_json: bool
) -> None:
    """Draw faults by seed for the fleet and load of SCRIPT, and reduce the worst day to the fewest faults."""
    from hollyridge.lab.experiments import hunt as hunt_experiment

    loaded = _load(script)
    with click.progressbar(length=seeds, label="days", file=sys.stderr) as bar:
        found = hunt_experiment.hunt(
            loaded, range(first, first + seeds), policy, max_faults, lambda seed, worst: bar.update(1)
        )
    if found is None:
        fail(f"{script}: none of {seeds} days could be played")
    seed, worst, outcome = found
    reduced, reduced_outcome = hunt_experiment.cut_down(seed, worst, outcome, policy)
    if out:
        hunt_experiment.write(Path(out), seed, reduced, reduced_outcome)
    broken = [verdict.rule for verdict in reduced_outcome.verdicts if not verdict.kept]
    result = {
        "seed": seed,
        "served": reduced_outcome.figures["served"],
        "broken": broken,
        "drawn": list(worst.faults),
        "needed": list(reduced.faults),
        "nearest": {verdict.rule: verdict.nearest for verdict in reduced_outcome.verdicts},
    }
    print_result(result, as_json)
    sys.exit(ExitCode.FAILED if broken else ExitCode.SUCCESS)


@lab.command()
@click.argument("script", type=click.Path(exists=True))
@click.option("--sizes", default="0.1,1,10", show_default=True, help="Factors for the size of the scenario's fleet.")
@click.option("--assigners", default="1", show_default=True, help="Numbers of assigners.")
@click.option("--seed", default=1, show_default=True)
@click.option("--timeout-s", default=900.0, show_default=True, help="Time limit for each size, in seconds.")
@click.option("--out", type=click.Path(file_okay=False), help="Write a page with plots to this folder.")
@click.option("--json", "as_json", is_flag=True)
def sweep(  # noqa: PLR0913, PLR0917 - click passes each option as an argument
    script: str, sizes: str, assigners: str, seed: int, timeout_s: float, out: str | None, as_json: bool
) -> None:
    """Play SCRIPT at several sizes.

    Shows the growth of cost, of lines and of the used part of the rules' limits, and the cost by part of the program.
    """
    from hollyridge.lab.experiments import sweep as sweep_experiment

    try:
        factors = [float(part) for part in sizes.split(",")]
        counts = [int(part) for part in assigners.split(",")]
    except ValueError:
        fail(f"--sizes {sizes!r} or --assigners {assigners!r} is invalid, expected comma-separated numbers")
    rows = sweep_experiment.sweep(
        script, factors, counts, seed, timeout_s, lambda row: click.echo(msgspec.json.encode(row), err=True)
    )
    try:
        page = str(sweep_experiment.page(rows, Path(out), Path(script).stem)) if out else ""
    except ValueError as error:
        fail(str(error))
    if as_json:
        click.echo(msgspec.json.encode({"rows": rows, "page": page}))
    elif page:
        click.echo(page)


@lab.command()
@click.argument("script", default="examples/fleet/takeover.ini", type=click.Path(exists=True))
@click.option("--seeds", default=20, show_default=True, help="Days to draw.")
@click.option("--first", default=1, show_default=True)
@click.option("--fronts", default="clone,sasp", show_default=True, help="Protocols of the days, in turn.")
@click.option("--assigners", default=0, help="Number of assigners that replaces the scenario's own.")
@click.option("--alone", is_flag=True, help="Run assigners that share nothing, for comparison.")
@click.option("--json", "as_json", is_flag=True)
def takeover(  # noqa: PLR0913, PLR0917 - click passes each option as an argument
    script: str, seeds: int, first: int, fronts: str, assigners: int, alone: bool, as_json: bool
) -> None:
    """Play simulated days in which faults that are drawn by seed hit the assigners of a shared fleet.

    Counts proxies without an owner and proxies that received updates from two assigners. The exit code is 0 only if
    there were none of the latter and all rules were kept.
    """
    from hollyridge.lab.experiments import takeover as takeover_experiment

    _load(script)
    with click.progressbar(length=seeds, label="days", file=sys.stderr) as bar:
        found = takeover_experiment.play_days(
            script,
            range(first, first + seeds),
            tuple(fronts.split(",")),
            0,
            not alone,
            assigners,
            lambda played: bar.update(1),
        )
    result = takeover_experiment.summary(found)
    print_result(result, as_json)
    sys.exit(ExitCode.FAILED if result["doubly_ordered"] or result["rules_broken"] else ExitCode.SUCCESS)


@lab.command()
@click.option("--reports-per-s", default=10_000.0, show_default=True, help="Data points per second, from all senders.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--budget", default=1000.0, show_default=True, help="Data points per second that the assigner reads.")
@click.option("--tasks", default=30, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def flood(reports_per_s: float, seconds: float, budget: float, tasks: int, as_json: bool) -> None:
    """Flood a real assigner with load reports, and compare it with one that reads all of them.

    Half of the reports come from one sender that ignores rejections. Shows which reports are read, their cost, and the
    distance between the weights of the two assigners.
    """
    from hollyridge.lab.experiments import flood as flood_experiment

    try:
        result = flood_experiment.flood(reports_per_s, seconds, budget, tasks=tasks)
    except OSError as error:
        fail(str(error))
    print_result(result, as_json)


@lab.command()
@click.argument("source", type=click.Path(exists=True))
@click.option("--out", default="report", show_default=True, type=click.Path(file_okay=False))
@click.option("--json", "as_json", is_flag=True)
def report(source: str, out: str, as_json: bool) -> None:
    """Write a page with plots of SOURCE: a recording, a folder of a day's recordings, or a comparison's --keep file."""
    from hollyridge.lab.reports.plots import write_plot_page

    try:
        page = write_plot_page(Path(source), Path(out))
    except (ValueError, KeyError) as error:
        fail(f"{source}: {error}")
    click.echo(msgspec.json.encode({"page": str(page)}) if as_json else str(page))
