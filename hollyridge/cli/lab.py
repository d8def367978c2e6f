"""`hollyridge lab`: simulated days, comparisons, hunts."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import msgspec


@click.group()
def lab() -> None:
    """The laboratory: days under a simulated clock, paired comparisons, hunts for bad days."""


def load(path: str, settings: str = "", fronts: str = "", times: float = 1.0, assigners: int = 0):
    from hollyridge.lab import scenario
    from hollyridge.settings.ini import FaultsError

    try:
        return scenario.load(path, settings, tuple(word for word in fronts.split(",") if word), times, assigners)
    except FaultsError as trouble:
        for fault in trouble.faults:
            click.echo(f"{path}: {fault}", err=True)
        sys.exit(2)


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
def run(
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
    from hollyridge.cli.day import show
    from hollyridge.lab.day import Day, DayError
    from hollyridge.lab.experiments.policies import POLICIES
    from hollyridge.lab.reports.page import write
    from hollyridge.lab.reports.profiler import Meter
    from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment

    script = load(scenario, settings, fronts, times, assigners)
    if policy and policy not in POLICIES:
        click.echo(f"--policy: one of {', '.join(POLICIES)}", err=True)
        sys.exit(2)
    if live:
        from hollyridge.cli.day import play

        sys.exit(play(scenario, report, seed, policy, as_json, fronts))
    seed = script.day.seed if seed is None else seed
    meter = Meter() if cost else None
    if meter is not None:
        meter.start()
    try:
        outcome = Day(script, SimulatedEnvironment(script, policy, seed, ties, record), seed).play()
    except DayError as trouble:
        click.echo(f"the day could not be played: {trouble}", err=True)
        sys.exit(2)
    if meter is not None:
        outcome.figures.update(
            cost=meter.stop(script.day.length_s), tasks=script.fleet.tasks, proxies=script.fleet.proxies
        )
    show(outcome, as_json, len(script.fleet.fronts) > 1)
    if meter is not None and not as_json:
        click.echo(f"cost: {outcome.figures['cost']}")
    if report:
        Path(report).mkdir(parents=True, exist_ok=True)
        click.echo(f"report: {write(Path(report), script, outcome)}", err=True)
    sys.exit(0 if all(v.kept for v in outcome.verdicts) else 1)


@lab.command()
@click.argument("a")
@click.argument("b")
@click.option("--days", multiple=True, required=True, type=click.Path(exists=True), help="A script; may be repeated.")
@click.option("--seeds", default=20, show_default=True)
@click.option("--figure", default="served", show_default=True, help="What is compared.")
@click.option("--keep", type=click.Path(dir_okay=False), help="Results by day; an interrupted experiment goes on.")
@click.option("--at-once", default=max(1, (os.cpu_count() or 2) - 1), show_default=True)
@click.option("--json", "as_json", is_flag=True)
def compare(
    a: str, b: str, days: tuple[str, ...], seeds: int, figure: str, keep: str | None, at_once: int, as_json: bool
) -> None:
    """Play variants A and B on the same simulated days and seeds. A variant is `module`, another decision module of
    the laboratory, a settings file (.ini), or commit:REV."""
    from hollyridge.lab.experiments import experiment
    from hollyridge.lab.experiments.policies import POLICIES

    for name in (a, b):
        if not (name.startswith("commit:") or name.endswith(".ini") or name in ("module", *POLICIES)):
            click.echo(f"{name}: no such variant", err=True)
            sys.exit(2)
    with click.progressbar(length=2 * seeds * len(days), label="days", file=sys.stderr) as bar:
        try:
            told = experiment.compare(
                experiment.Variant(a),
                experiment.Variant(b),
                list(days),
                seeds,
                Path(keep) if keep else None,
                at_once,
                lambda done, whole: bar.update(1),
                figure,
            )
        except (ValueError, KeyError) as trouble:
            click.echo(f"cannot compare: {trouble}", err=True)
            sys.exit(2)
    if as_json:
        click.echo(msgspec.json.encode(told))
        return
    for row in told["variants"]:
        click.echo("  ".join(f"{key} {value}" for key, value in row.items() if value not in (None, [])))
    gap = told["gap"]
    click.echo(
        f"{b} less {a}, {figure}: {gap['mean']:+.4f} ({gap['low']:+.4f} to {gap['high']:+.4f}, 95% by bootstrap "
        f"over {gap['pairs']} pairs); better on {gap['better']}, worse on {gap['worse']}; chance by signs "
        f"{gap['chance']:.3f}" + ("; stopped early" if told["stopped_early"] else "")
    )


@lab.command()
@click.argument("script", type=click.Path())
@click.option("--seeds", default=50, show_default=True, help="Days to draw.")
@click.option("--first", default=1, show_default=True)
@click.option("--most", default=5, show_default=True, help="Troubles in one day at most.")
@click.option("--policy", default="", help="Another decision module of the laboratory.")
@click.option("--out", type=click.Path(dir_okay=False), help="Write what is found here, as a script.")
@click.option("--json", "as_json", is_flag=True)
def hunt(script: str, seeds: int, first: int, most: int, policy: str, out: str | None, as_json: bool) -> None:
    """Draw troubles by seed for the fleet and load of SCRIPT; keep the worst day, cut down to the fewest troubles."""
    from hollyridge.lab.experiments import hunt as hunting

    loaded = load(script)
    with click.progressbar(length=seeds, label="days", file=sys.stderr) as bar:
        found = hunting.hunt(loaded, range(first, first + seeds), policy, most, lambda seed, worst: bar.update(1))
    if found is None:
        click.echo("no day could be played", err=True)
        sys.exit(2)
    seed, worst, outcome = found
    less, cut = hunting.cut_down(seed, worst, outcome, policy)
    if out:
        hunting.write(Path(out), seed, less, cut)
    broken = [v.rule for v in cut.verdicts if not v.kept]
    told = {
        "seed": seed,
        "served": cut.figures["served"],
        "broken": broken,
        "drawn": list(worst.faults),
        "needed": list(less.faults),
        "nearest": {v.rule: v.nearest for v in cut.verdicts},
    }
    click.echo(msgspec.json.encode(told) if as_json else "\n".join(f"{k}: {v}" for k, v in told.items()))
    sys.exit(1 if broken else 0)


@lab.command()
@click.argument("script", type=click.Path(exists=True))
@click.option("--sizes", default="0.1,1,10", show_default=True, help="Times the script's fleet.")
@click.option("--assigners", default="1", show_default=True, help="Numbers of assigners.")
@click.option("--seed", default=1, show_default=True)
@click.option("--timeout-s", default=900.0, show_default=True, help="For one size.")
@click.option("--out", type=click.Path(file_okay=False), help="Write a page with plots here.")
@click.option("--json", "as_json", is_flag=True)
def sweep(script: str, sizes: str, assigners: str, seed: int, timeout_s: float, out: str | None, as_json: bool) -> None:
    """Play SCRIPT at growing sizes: how cost, lines and nearness to the rules grow, and where the time goes."""
    from hollyridge.lab.experiments import sweep as sweeping

    try:
        many, counts = [float(word) for word in sizes.split(",")], [int(word) for word in assigners.split(",")]
    except ValueError:
        click.echo("--sizes and --assigners: numbers with commas between them", err=True)
        sys.exit(2)
    rows = sweeping.sweep(
        script, many, counts, seed, timeout_s, lambda row: click.echo(msgspec.json.encode(row), err=True)
    )
    try:
        page = str(sweeping.page(rows, Path(out), Path(script).stem)) if out else ""
    except ValueError as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
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
def takeover(script: str, seeds: int, first: int, fronts: str, assigners: int, alone: bool, as_json: bool) -> None:
    """Strike the assigners of a shared fleet, simulated, by seed; count proxies without an owner and such as were
    ordered by two. Exit code 0 only if none was, and all rules were kept."""
    from hollyridge.lab.experiments import takeover as taking

    load(script)
    with click.progressbar(length=seeds, label="days", file=sys.stderr) as bar:
        found = taking.many(
            script,
            range(first, first + seeds),
            tuple(fronts.split(",")),
            0,
            not alone,
            assigners,
            lambda told: bar.update(1),
        )
    told = taking.summary(found)
    click.echo(msgspec.json.encode(told) if as_json else "\n".join(f"{k}: {v}" for k, v in told.items()))
    sys.exit(1 if told["doubly_ordered"] or told["rules_broken"] else 0)


@lab.command()
@click.option("--reports-per-s", default=10_000.0, show_default=True, help="Data points, of all senders.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--budget", default=1000.0, show_default=True, help="Points a second that the assigner reads.")
@click.option("--tasks", default=30, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def flood(reports_per_s: float, seconds: float, budget: float, tasks: int, as_json: bool) -> None:
    """Flood a real assigner with load reports, half of them by one sender that does not listen, beside another that
    reads them all: what is kept, what it costs, how far their weights are apart."""
    from hollyridge.lab.experiments import flood as flooding

    try:
        told = flooding.flood(reports_per_s, seconds, budget, tasks=tasks)
    except OSError as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    click.echo(msgspec.json.encode(told) if as_json else "\n".join(f"{k}: {v}" for k, v in told.items()))


@lab.command()
@click.argument("source", type=click.Path(exists=True))
@click.option("--out", default="report", show_default=True, type=click.Path(file_okay=False))
@click.option("--json", "as_json", is_flag=True)
def report(source: str, out: str, as_json: bool) -> None:
    """A page with plots of SOURCE: a recording, the folder of a day's recordings, or the kept file of a comparison."""
    from hollyridge.lab.reports.plots import page_of

    try:
        page = page_of(Path(source), Path(out))
    except (ValueError, KeyError) as trouble:
        click.echo(f"{source}: {trouble}", err=True)
        sys.exit(2)
    click.echo(msgspec.json.encode({"page": str(page)}) if as_json else str(page))
