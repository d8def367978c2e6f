"""`hollyridge lab`: simulated days, comparisons, hunts, sweeps, takeovers, floods, pages."""

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
    """The laboratory: days under a simulated clock, paired comparisons, hunts for bad days."""


def _load(path: str, settings: str = "", fronts: str = "", times: float = 1.0, assigners: int = 0) -> Scenario:
    """A scenario; prints what is wrong with it and exits otherwise."""
    from hollyridge.lab import scenario
    from hollyridge.settings.ini import FaultsError

    try:
        return scenario.load(path, settings, comma_separated(fronts), times, assigners)
    except FaultsError as error:
        print_problems(path, error)
        sys.exit(ExitCode.BAD_INPUT)


@lab.command()
@click.argument("scenario", type=click.Path())
@click.option("--seed", type=int, help="Instead of the script's own.")
@click.option("--record", type=click.Path(dir_okay=False), help="Keep the recording in this file.")
@click.option("--live", is_flag=True, help="On real sockets, in real time.")
@click.option("--policy", default="", help="Another decision module of the laboratory.")
@click.option("--settings", default="", type=click.Path(), help="A settings file in place of the script's.")
@click.option("--fronts", default="", help="In place of the script's: sasp, clone, or both with a comma.")
@click.option("--times", default=1.0, help="Fleet, load and channel so many times as large.")
@click.option("--assigners", default=0, help="In place of the script's.")
@click.option("--cost", is_flag=True, help="Tell what the day cost, and where.")
@click.option("--ties", type=int, help="Shuffle what is due at the same moment, by this seed.")
@click.option("--report", type=click.Path(file_okay=False), help="Write a page with the result here.")
@click.option("--json", "as_json", is_flag=True)
def run(  # noqa: PLR0913, PLR0917 - click passes each option
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
    """Play SCENARIO (a day's script) in the simulated world, or with --live on sockets."""
    if live:
        from gevent import monkey

        monkey.patch_all()
    from hollyridge.cli.day import LiveOptions, play
    from hollyridge.cli.simulated_day import SimulatedOptions, play_simulated
    from hollyridge.lab.experiments.policies import POLICIES

    loaded = _load(scenario, settings, fronts, times, assigners)
    if policy and policy not in POLICIES:
        fail(f"--policy: one of {', '.join(POLICIES)}")
    if live:
        sys.exit(play(LiveOptions(scenario, report, seed, policy, fronts, as_json)))
    sys.exit(play_simulated(loaded, SimulatedOptions(seed, record, policy, ties, cost, report, as_json)))


@lab.command()
@click.argument("a")
@click.argument("b")
@click.option("--days", multiple=True, required=True, type=click.Path(exists=True), help="A script; may be repeated.")
@click.option("--seeds", default=20, show_default=True)
@click.option("--figure", default="served", show_default=True, help="What is compared.")
@click.option("--keep", type=click.Path(dir_okay=False), help="Results by day; an interrupted experiment goes on.")
@click.option("--at-once", default=max(1, (os.cpu_count() or 2) - 1), show_default=True)
@click.option("--json", "as_json", is_flag=True)
def compare(  # noqa: PLR0913, PLR0917 - click passes each option
    a: str, b: str, days: tuple[str, ...], seeds: int, figure: str, keep: str | None, at_once: int, as_json: bool
) -> None:
    """Play variants A and B on the same simulated days and seeds.

    A variant is `module`, another decision module of the laboratory, a settings file (.ini), or commit:REV.
    """
    from hollyridge.lab.experiments import experiment
    from hollyridge.lab.experiments.policies import POLICIES

    for name in (a, b):
        if not (name.startswith("commit:") or name.endswith(".ini") or name in ("module", *POLICIES)):
            fail(f"{name}: no such variant")
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
        f"{result['b']} less {result['a']}, {result['figure']}: {gap['mean']:+.4f} ({gap['low']:+.4f} to "
        f"{gap['high']:+.4f}, 95% by bootstrap over {gap['pairs']} pairs); better on {gap['better']}, worse on "
        f"{gap['worse']}; chance by signs {gap['chance']:.3f}" + ("; stopped early" if result["stopped_early"] else "")
    )


@lab.command()
@click.argument("script", type=click.Path())
@click.option("--seeds", default=50, show_default=True, help="Days to draw.")
@click.option("--first", default=1, show_default=True)
@click.option("--most", "max_faults", default=5, show_default=True, help="Troubles in one day at most.")
@click.option("--policy", default="", help="Another decision module of the laboratory.")
@click.option("--out", type=click.Path(dir_okay=False), help="Write what is found here, as a script.")
@click.option("--json", "as_json", is_flag=True)
def hunt(  # noqa: PLR0913, PLR0917 - click passes each option
    script: str, seeds: int, first: int, max_faults: int, policy: str, out: str | None, as_json: bool
) -> None:
    """Draw troubles by seed for the fleet and load of SCRIPT; keep the worst day, cut down to the fewest troubles."""
    from hollyridge.lab.experiments import hunt as hunting

    loaded = _load(script)
    with click.progressbar(length=seeds, label="days", file=sys.stderr) as bar:
        found = hunting.hunt(loaded, range(first, first + seeds), policy, max_faults, lambda seed, worst: bar.update(1))
    if found is None:
        fail("no day could be played")
    seed, worst, outcome = found
    reduced, reduced_outcome = hunting.cut_down(seed, worst, outcome, policy)
    if out:
        hunting.write(Path(out), seed, reduced, reduced_outcome)
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
    sys.exit(ExitCode.FAILED if broken else ExitCode.FINE)


@lab.command()
@click.argument("script", type=click.Path(exists=True))
@click.option("--sizes", default="0.1,1,10", show_default=True, help="Times the script's fleet.")
@click.option("--assigners", default="1", show_default=True, help="Numbers of assigners.")
@click.option("--seed", default=1, show_default=True)
@click.option("--timeout-s", default=900.0, show_default=True, help="For one size.")
@click.option("--out", type=click.Path(file_okay=False), help="Write a page with plots here.")
@click.option("--json", "as_json", is_flag=True)
def sweep(  # noqa: PLR0913, PLR0917 - click passes each option
    script: str, sizes: str, assigners: str, seed: int, timeout_s: float, out: str | None, as_json: bool
) -> None:
    """Play SCRIPT at growing sizes: how cost, lines and nearness to the rules grow, and where the time goes."""
    from hollyridge.lab.experiments import sweep as sweeping

    try:
        factors = [float(word) for word in sizes.split(",")]
        counts = [int(word) for word in assigners.split(",")]
    except ValueError:
        fail("--sizes and --assigners: numbers with commas between them")
    rows = sweeping.sweep(
        script, factors, counts, seed, timeout_s, lambda row: click.echo(msgspec.json.encode(row), err=True)
    )
    try:
        page = str(sweeping.page(rows, Path(out), Path(script).stem)) if out else ""
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
@click.option("--fronts", default="clone,sasp", show_default=True, help="Taken in turn.")
@click.option("--assigners", default=0, help="In place of the script's.")
@click.option("--alone", is_flag=True, help="Assigners that share nothing, to compare with.")
@click.option("--json", "as_json", is_flag=True)
def takeover(  # noqa: PLR0913, PLR0917 - click passes each option
    script: str, seeds: int, first: int, fronts: str, assigners: int, alone: bool, as_json: bool
) -> None:
    """Strike the assigners of a shared fleet, simulated, by seed.

    Counts proxies without an owner and such as were ordered by two. Exit code 0 only if none was, and all rules were
    kept.
    """
    from hollyridge.lab.experiments import takeover as taking

    _load(script)
    with click.progressbar(length=seeds, label="days", file=sys.stderr) as bar:
        found = taking.many(
            script,
            range(first, first + seeds),
            tuple(fronts.split(",")),
            0,
            not alone,
            assigners,
            lambda played: bar.update(1),
        )
    result = taking.summary(found)
    print_result(result, as_json)
    sys.exit(ExitCode.FAILED if result["doubly_ordered"] or result["rules_broken"] else ExitCode.FINE)


@lab.command()
@click.option("--reports-per-s", default=10_000.0, show_default=True, help="Data points, of all senders.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--budget", default=1000.0, show_default=True, help="Points a second that the assigner reads.")
@click.option("--tasks", default=30, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def flood(reports_per_s: float, seconds: float, budget: float, tasks: int, as_json: bool) -> None:
    """Flood a real assigner with load reports, beside another that reads them all.

    Half of them come from one sender that does not listen. Shows what is kept, what it costs, how far their weights are
    apart.
    """
    from hollyridge.lab.experiments import flood as flooding

    try:
        result = flooding.flood(reports_per_s, seconds, budget, tasks=tasks)
    except OSError as error:
        fail(str(error))
    print_result(result, as_json)


@lab.command()
@click.argument("source", type=click.Path(exists=True))
@click.option("--out", default="report", show_default=True, type=click.Path(file_okay=False))
@click.option("--json", "as_json", is_flag=True)
def report(source: str, out: str, as_json: bool) -> None:
    """A page with plots of SOURCE: a recording, the folder of a day's recordings, or the kept file of a comparison."""
    from hollyridge.lab.reports.plots import page_of

    try:
        page = page_of(Path(source), Path(out))
    except (ValueError, KeyError) as error:
        fail(f"{source}: {error}")
    click.echo(msgspec.json.encode({"page": str(page)}) if as_json else str(page))
