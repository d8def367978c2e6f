"""`hollyridge day`: play, print, write the page."""

from __future__ import annotations

import signal
import sys
import tempfile
from pathlib import Path

import click
import gevent
import msgspec

from hollyridge.lab import scenario as scripts
from hollyridge.lab.day import Day, DayError, Outcome
from hollyridge.lab.experiments.policies import POLICIES
from hollyridge.lab.stand_ins.live import LiveEnvironment
from hollyridge.settings.ini import FaultsError

RULES = {
    1: "no proxy left without a line",
    2: "no effect twice",
    3: "drains kept",
    4: "no cold task pushed over",
    5: "short queue, few messages",
}


def play(path: str, report: str | None, seed: int | None, policy: str, as_json: bool, fronts: str) -> int:
    names = tuple(word for word in fronts.split(",") if word)
    if not set(names) <= {"sasp", "clone"}:
        click.echo("--fronts: sasp, clone, or both with a comma", err=True)
        return 2
    try:
        script = scripts.load(path, fronts=names)
    except FaultsError as trouble:
        for fault in trouble.faults:
            click.echo(f"{path}: {fault}", err=True)
        return 2
    if policy and policy not in POLICIES:
        click.echo(f"--policy: one of {', '.join(POLICIES)}", err=True)
        return 2
    if report is not None:
        Path(report).mkdir(parents=True, exist_ok=True)
        if any(Path(report).glob("*.jsonl")):
            click.echo(f"--report: {report} holds recordings already; name another folder", err=True)
            return 2
        return run(script, Path(report), seed, policy, as_json, keep=True)
    with tempfile.TemporaryDirectory(prefix="hollyridge-day-") as folder:
        return run(script, Path(folder), seed, policy, as_json, keep=False)


def run(script: scripts.Scenario, folder: Path, seed: int | None, policy: str, as_json: bool, keep: bool) -> int:
    with click.progressbar(length=1000, label=f"{script.day.length_s:.0f} s", file=sys.stderr) as bar:
        told = 0

        def tick(part: float) -> None:
            nonlocal told
            bar.update(round(part * 1000) - told)
            told = round(part * 1000)

        main = gevent.getcurrent()
        gevent.signal_handler(signal.SIGTERM, lambda: main.throw(DayError("ended by a signal")))
        try:
            outcome = Day(script, LiveEnvironment(script, folder, policy), seed, tick).play()
        except DayError as trouble:
            click.echo(f"the day could not be played: {trouble}", err=True)
            for log in sorted(folder.glob("*.log")):
                for line in log.read_text(errors="replace").splitlines()[-3:]:
                    click.echo(f"{log.name}: {line[:300]}", err=True)
            return 2
    show(outcome, as_json, len(script.fleet.fronts) > 1)
    if keep:
        from hollyridge.lab.reports.page import write

        (folder / "outcome.json").write_bytes(msgspec.json.encode(outcome))
        click.echo(f"report: {write(folder, script, outcome)}", err=True)
    return 0 if all(v.kept for v in outcome.verdicts) and not outcome.parity[1] else 1


def show(outcome: Outcome, as_json: bool, both: bool) -> None:
    kept = sum(v.kept for v in outcome.verdicts)
    if as_json:
        rows = [v._asdict() for v in outcome.verdicts]
        click.echo(
            msgspec.json.encode(
                {"rules": rows, **outcome.figures, "broken": len(rows) - kept, "parity": outcome.parity}
            )
        )
        return
    f = outcome.figures
    click.echo(
        f"RPCs {f['rpcs']}, ok {f['ok']}, tries {f['tries']}; criticality in time {f['served']:.3f}, "
        f"worst 10 s {f['worst_10s']:.3f}; " + ", ".join(f"{name} {part:.3f}" for name, part in f["by_method"].items())
    )
    click.echo(f"orders: {f['decisions_sent']} decisions, {f['messages']} messages, {f['lines']} lines")
    for v in outcome.verdicts:
        click.echo(
            f"rule {v.rule} {'kept  ' if v.kept else 'BROKEN'} {v.nearest:6.1%} of the limit  "
            f"{RULES[v.rule]}: {v.where}"
        )
    if both:
        compared, differ, where = outcome.parity
        click.echo(f"parity: {compared} tables compared, {differ} differ{': ' + where if where else ''}")
    click.echo(f"rules: {kept} kept, {len(outcome.verdicts) - kept} broken")
