"""Paired comparison of two variants on the same days and seeds, until the difference is clear.

Days run in several processes. Results are kept in a file, so that an interrupted comparison can be continued.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from typing import NamedTuple

import msgspec

from hollyridge.lab.experiments.day_command import EXIT_CODES_OF_A_DAY, error_text
from hollyridge.lab.experiments.paired_gap import PairedGap, gap_of
from hollyridge.lab.experiments.variants import Checkouts, Variant
from hollyridge.lab.reports.record import decode_lines

REPOSITORY = Path(__file__).resolve().parents[3]
DAY_TIMEOUT_S = 3600  # real time; a simulated day takes seconds to minutes
MAX_ERROR_CHARACTERS = 400  # the end of a traceback shows why a day failed
MAX_SHOWN_ERROR_CHARACTERS = 120
BATCH_DAYS_PER_WORKER = 4  # days that each worker runs before the difference is tested again
SUMMARY_FIGURES = ("served", "worst_10s", "decisions_sent", "messages", "lines", "tries")


class Job(NamedTuple):
    """One day to run.

    Attributes:
        variant: Variant to run.
        scenario: Path of the scenario.
        seed: Seed of the day.
    """

    variant: Variant
    scenario: str
    seed: int

    @property
    def key(self) -> tuple[str, str, int]:
        """Key of the day among the results: variant, scenario and seed."""
        return self.variant.name, self.scenario, self.seed


def key_of(row: dict) -> tuple[str, str, int]:
    """Return the key of the day that a result belongs to; equal to its `Job.key`."""
    return row["variant"], row["script"], row["seed"]


def play(variant: Variant, scenario: str, seed: int, folder: str | None) -> dict:
    """Run one simulated day in a process of its own.

    Args:
        variant: Variant to run.
        scenario: Path of the scenario.
        seed: Seed of the day.
        folder: Source tree to run from; None for the current one.

    Returns:
        The day's figures, or the end of the error output under `failed`.
    """
    command = [sys.executable, "-m", "hollyridge.cli.main", "lab", "run", str(Path(scenario).resolve())]
    command += ["--seed", str(seed), "--json", *variant.arguments()]
    process = subprocess.run(command, capture_output=True, cwd=folder, timeout=DAY_TIMEOUT_S)
    key = {"variant": variant.name, "script": scenario, "seed": seed}
    if process.returncode not in EXIT_CODES_OF_A_DAY:
        return {**key, "failed": error_text(process.stderr, MAX_ERROR_CHARACTERS)}
    result = msgspec.json.decode(process.stdout)
    result.pop("timeline", None)
    return {**key, **result}


def read(path: Path) -> list[dict]:
    """Read kept results; none if there is no file. Omit a truncated last line."""
    return decode_lines(path.read_bytes()) if path.exists() else []


def end_cut_line(path: Path) -> None:
    """Terminate a truncated last line, so that the next result starts on a line of its own."""
    if path.exists() and not path.read_bytes().endswith(b"\n"):
        with open(path, "ab") as file:
            file.write(b"\n")


def append(path: Path, row: dict) -> None:
    """Append one result to the file of kept results."""
    with open(path, "ab") as file:
        file.write(msgspec.json.encode(row) + b"\n")


class Comparison:
    """Comparison of two variants, with their earlier and new results.

    Attributes:
        a: Variant to compare with.
        b: Variant to evaluate.
        figure: Figure that is compared.
        results_path: File that results are kept in; None to keep none.
        rows: Results of all days so far, including those read from the file.
    """

    def __init__(self, a: Variant, b: Variant, figure: str, results_path: Path | None) -> None:
        self.a = a
        self.b = b
        self.figure = figure
        self.results_path = results_path
        self.rows = read(results_path) if results_path else []
        if results_path:
            end_cut_line(results_path)

    def gap(self) -> PairedGap:
        """Return the difference between the variants in the results so far."""
        return gap_of(gaps_of(self.rows, self.a, self.b, self.figure))

    def add(self, row: dict) -> None:
        """Add a new result and append it to the file, if there is one."""
        self.rows.append(row)
        if self.results_path:
            append(self.results_path, row)

    def run(self, jobs: list[Job], workers: int, on_result: Callable[[int], None]) -> bool:
        """Run the jobs that have no result yet, in batches, until the difference is clear.

        Args:
            jobs: All days of the comparison.
            workers: Number of days to run at a time.
            on_result: Called with the number of results after each new one.

        Returns:
            Whether jobs were left out because the difference was clear.

        Raises:
            VariantError: If a variant cannot be run.
        """
        done = {key_of(row) for row in self.rows if "failed" not in row}
        checkouts = Checkouts(REPOSITORY)
        folders = {variant: checkouts.of(variant) for variant in (self.a, self.b)}
        missing = [job for job in jobs if job.key not in done]
        batch_size = BATCH_DAYS_PER_WORKER * workers
        with ThreadPoolExecutor(workers) as pool:
            for first in range(0, len(missing), batch_size):
                batch = missing[first : first + batch_size]
                for future in as_completed([pool.submit(play, *job, folders[job.variant]) for job in batch]):
                    self.add(future.result())
                    on_result(len(self.rows))
                if self.gap().clear:
                    return first + batch_size < len(missing)
        return False


def compare(  # noqa: PLR0913, PLR0917 - one argument for each option of the command, which passes them in order
    a: Variant,
    b: Variant,
    scenarios: list[str],
    seeds: int,
    results_path: Path | None,
    at_once: int,
    on_progress: Callable[[int, int], None] = lambda done, total: None,
    figure: str = "served",
) -> dict:
    """Run both variants on the same days and seeds until the difference is clear or the seeds are used up.

    Args:
        a: Variant to compare with.
        b: Variant to evaluate.
        scenarios: Paths of the scenarios.
        seeds: Number of seeds for each scenario, counted from 1.
        results_path: File with the results; days that it holds are not run again.
        at_once: Number of days to run at a time.
        on_progress: Called with the number of days that are done and the number of all days.
        figure: Figure that is compared.

    Returns:
        The result as `lab compare --json` prints it.

    Raises:
        VariantError: If a variant cannot be run.
    """
    comparison = Comparison(a, b, figure, results_path)
    jobs = [
        Job(variant, scenario, seed) for seed in range(1, seeds + 1) for scenario in scenarios for variant in (a, b)
    ]
    stopped_early = comparison.run(jobs, at_once, lambda done: on_progress(done, len(jobs)))
    rows = sorted(comparison.rows, key=lambda row: (row["seed"], row["script"], row["variant"]))
    return {
        "a": a.name,
        "b": b.name,
        "figure": figure,
        "stopped_early": stopped_early,
        "gap": comparison.gap()._asdict(),
        "variants": [summary(rows, variant) for variant in (a, b)],
    }


def gaps_of(rows: list[dict], a: Variant, b: Variant, figure: str) -> list[float]:
    """Return the differences B minus A of a figure, for each day and seed that both have run."""
    values = {key_of(row): row[figure] for row in rows if "failed" not in row}
    return [
        values[b.name, scenario, seed] - value
        for (name, scenario, seed), value in sorted(values.items())
        if name == a.name and (b.name, scenario, seed) in values
    ]


def summary(rows: Iterable[dict], variant: Variant) -> dict:
    """Return the means of a variant's figures and its failed days, as `lab compare --json` prints them."""
    variant_rows = [row for row in rows if row["variant"] == variant.name]
    good = [row for row in variant_rows if "failed" not in row]
    means = {key: round(sum(row[key] for row in good) / len(good), 4) if good else None for key in SUMMARY_FIGURES}
    return {
        "variant": variant.name,
        "days": len(good),
        **means,
        "days_with_a_broken_rule": sum(row["broken"] > 0 for row in good),
        "not_played": [row["failed"][-MAX_SHOWN_ERROR_CHARACTERS:] for row in variant_rows if "failed" in row],
    }
