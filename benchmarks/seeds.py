"""Comparison of decision modules on one scenario over many seeds: broken rules and served demand by module.

    .venv/bin/python benchmarks/seeds.py examples/bad-day.ini --seeds 20 --policies ,even,always --at-once 6

An empty name in `--policies` is the service's own decision module. The first module is the base of the comparisons.
"""

from __future__ import annotations

import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import click
import msgspec

from hollyridge.lab.experiments.day_command import EXIT_CODES_OF_A_DAY

DAY_TIMEOUT_S = 1200  # days are played in real time
MAX_ERROR_CHARACTERS = 300
RULES = range(1, 6)
DEFAULT_MODULE = "module"  # shown name of the service's own decision module


class Job(NamedTuple):
    """Day to run; `policy` is empty for the service's own decision module."""

    scenario_path: str
    policy: str
    seed: int


def play(job: Job) -> dict:
    """Run a live day in its own process; return its figures, or the reason of a failure under `failed`."""
    command = [sys.executable, "-m", "hollyridge.cli.main", "day", job.scenario_path, "--json", "--seed", str(job.seed)]
    if job.policy:
        command += ["--policy", job.policy]
    process = subprocess.run(command, capture_output=True, timeout=DAY_TIMEOUT_S)
    key = {"policy": job.policy, "seed": job.seed}
    if process.returncode not in EXIT_CODES_OF_A_DAY:
        return {**key, "failed": process.stderr.decode()[-MAX_ERROR_CHARACTERS:]}
    return {**key, **msgspec.json.decode(process.stdout)}


def play_all(jobs: list[Job], at_once: int, output_path: str | None) -> list[dict]:
    """Run all days, `at_once` of them in parallel.

    Returns:
        Results in the order of the jobs; they are also appended to the file at `output_path` if it is given.
    """
    rows = []
    with ThreadPoolExecutor(at_once) as pool:
        for row in pool.map(play, jobs):
            rows.append(row)
            if output_path:
                with open(output_path, "ab") as file:
                    file.write(msgspec.json.encode(row) + b"\n")
    return rows


def played_days(rows: list[dict], policy: str) -> list[dict]:
    """Return the days of a module that could be played."""
    return [row for row in rows if row["policy"] == policy and "failed" not in row]


def verdicts_by_rule(days: list[dict]) -> dict[int, list[dict]]:
    """Return the verdicts of all days, by rule."""
    verdicts = [verdict for day in days for verdict in day["rules"]]
    return {rule: [verdict for verdict in verdicts if verdict["rule"] == rule] for rule in RULES}


def summary_line(rows: list[dict], policy: str) -> str:
    """Return one line with the served demand, updates and rules of a module."""
    days = played_days(rows, policy)
    failed = sum(row["policy"] == policy for row in rows) - len(days)
    verdicts = verdicts_by_rule(days)
    broken = {rule: sum(not verdict["kept"] for verdict in verdicts[rule]) for rule in RULES}
    nearest = {rule: max(verdict["nearest"] for verdict in verdicts[rule]) for rule in RULES}
    served = [day["served"] for day in days]
    worst_10s = statistics.mean(day["worst_10s"] for day in days)
    decisions = statistics.mean(day["decisions_sent"] for day in days)
    lines = statistics.mean(day["lines"] for day in days)
    return (
        f"{policy or DEFAULT_MODULE}: {len(days)} days, {failed} not played; served "
        f"{statistics.mean(served):.4f} ({min(served):.4f} to {max(served):.4f}), worst 10 s {worst_10s:.4f}; "
        f"decisions {decisions:.0f}, lines {lines:.0f}; broken {broken}; nearest {nearest}"
    )


def comparison_line(rows: list[dict], base: str, policy: str) -> str:
    """Return one line that compares a module with the base on the seeds that both have played."""
    base_served = {day["seed"]: day["served"] for day in played_days(rows, base)}
    gaps = [base_served[day["seed"]] - day["served"] for day in played_days(rows, policy) if day["seed"] in base_served]
    return (
        f"{base or DEFAULT_MODULE} better than {policy} on {sum(gap > 0 for gap in gaps)} of {len(gaps)} "
        f"seeds, by {statistics.mean(gaps):.4f} on average"
    )


@click.command()
@click.argument("script")
@click.option("--seeds", default=20)
@click.option("--policies", default="")
@click.option("--at-once", default=6)
@click.option("--out", type=click.Path(dir_okay=False), help="Append all results to this file, one JSON line each.")
def main(script: str, seeds: int, policies: str, at_once: int, out: str | None) -> None:
    """Run SCRIPT live with each decision module and seed; print a line per module, then the comparisons."""
    names = policies.split(",")
    jobs = [Job(script, policy, seed) for seed in range(1, seeds + 1) for policy in names]
    rows = play_all(jobs, at_once, out)
    for policy in names:
        click.echo(summary_line(rows, policy))
    for policy in names[1:]:
        click.echo(comparison_line(rows, names[0], policy))


if __name__ == "__main__":
    main()
