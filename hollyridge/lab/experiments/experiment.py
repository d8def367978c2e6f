"""Paired experiments: two variants on the same days and seeds, with intervals.

Days are spread over processes and kept in a file, so that an interrupted experiment goes on where it was.
"""

from __future__ import annotations

import math
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec

from hollyridge.lab.reports.record import read_lines

REPOSITORY = Path(__file__).resolve().parents[3]
BOOTSTRAP_DRAWS = 2000
TAIL_DRAWS = BOOTSTRAP_DRAWS // 40  # 2.5% on each side of the interval
MIN_PAIRS = 8  # before it may stop early
MAX_CHANCE = 0.01  # of the split by signs, for a clear answer
BATCH_PER_WORKER = 4  # days between two looks whether the answer is clear
PLAYED = (0, 1)  # exit codes of `lab run` where the day was played
PLAY_TIMEOUT_S = 3600
ERROR_LENGTH, SHORT_ERROR_LENGTH = 400, 120
MEANS = ("served", "worst_10s", "decisions_sent", "messages", "lines", "tries")


class Variant(NamedTuple):
    """What is tried.

    Attributes:
        name: A decision module of the laboratory (`module` is the service's own), a settings file that takes the place
            of the scenario's, or `commit:REV` of this repository.
    """

    name: str

    def options(self) -> list[str]:
        """The options of `lab run` for it."""
        if self.name.endswith(".ini"):
            return ["--settings", str(Path(self.name).resolve())]
        if self.name.startswith("commit:") or self.name == "module":
            return []
        return ["--policy", self.name]


class Checkouts:
    """Commits, each in a folder of its own, as `git archive` gives them."""

    def __init__(self, root: Path) -> None:
        self.root = root
        self.folder = tempfile.TemporaryDirectory(prefix="hollyridge-commits-")

    def of(self, variant: Variant) -> str | None:
        """The folder to run in; None for this tree. ValueError for a commit that is not there."""
        if not variant.name.startswith("commit:"):
            return None
        revision = variant.name.removeprefix("commit:")
        target = Path(self.folder.name) / revision.replace("/", "_")
        if not target.exists():
            packed = subprocess.run(["git", "-C", str(self.root), "archive", revision], capture_output=True)
            if packed.returncode:
                raise ValueError(f"no commit {revision}")
            target.mkdir()
            subprocess.run(["tar", "-x", "-C", str(target)], input=packed.stdout, check=True)
        return str(target)


class Job(NamedTuple):
    """A day to play."""

    variant: Variant
    script: str
    seed: int

    @property
    def key(self) -> tuple[str, str, int]:
        """What kept rows know it by."""
        return self.variant.name, self.script, self.seed


def play(job: Job, folder: str | None) -> dict:
    """Play one simulated day in a process of its own, run in the folder; returns its row."""
    command = [sys.executable, "-m", "hollyridge.cli.main", "lab", "run", str(Path(job.script).resolve())]
    options = ["--seed", str(job.seed), "--json", *job.variant.options()]
    ran = subprocess.run([*command, *options], capture_output=True, cwd=folder, timeout=PLAY_TIMEOUT_S)
    key = {"variant": job.variant.name, "script": job.script, "seed": job.seed}
    if ran.returncode not in PLAYED:
        return {**key, "failed": ran.stderr.decode(errors="replace")[-ERROR_LENGTH:]}
    figures = msgspec.json.decode(ran.stdout)
    figures.pop("timeline", None)
    return {**key, **figures}


class Gap(NamedTuple):
    """How B differs from A. The fields' names are keys of `--json`.

    Attributes:
        mean: B less A.
        low: To `high`: a 95% interval by bootstrap over pairs.
        chance: Of such a split into better and worse by signs alone.
    """

    pairs: int
    mean: float
    low: float
    high: float
    better: int
    worse: int
    chance: float

    @property
    def clear(self) -> bool:
        """Whether more pairs would hardly change the answer."""
        return self.pairs >= MIN_PAIRS and (self.low > 0 or self.high < 0) and self.chance < MAX_CHANCE


def gap_of(gaps: list[float]) -> Gap:
    """What the differences of single pairs come to.

    >>> gap = gap_of([0.1, 0.2, 0.3, 0.1, 0.2, 0.1, 0.2, 0.1])
    >>> gap.better, gap.worse, gap.low > 0, round(gap.chance, 4), gap.clear
    (8, 0, True, 0.0078, True)
    """
    if not gaps:
        return Gap(0, 0.0, 0.0, 0.0, 0, 0, 1.0)
    rng = Random(1)
    means = sorted(sum(rng.choices(gaps, k=len(gaps))) / len(gaps) for _ in range(BOOTSTRAP_DRAWS))
    better, worse = sum(gap > 0 for gap in gaps), sum(gap < 0 for gap in gaps)
    return Gap(
        len(gaps),
        round(sum(gaps) / len(gaps), 5),
        round(means[TAIL_DRAWS], 5),
        round(means[-TAIL_DRAWS - 1], 5),
        better,
        worse,
        _chance(better, worse),
    )


def _chance(better: int, worse: int) -> float:
    """Of a split at least as uneven, if either were as likely."""
    total = better + worse
    tail = sum(math.comb(total, count) for count in range(min(better, worse) + 1)) / 2**total if total else 0.5
    return min(1.0, 2 * tail)


def compare(  # noqa: PLR0913, PLR0917 - the options of the command
    a: Variant,
    b: Variant,
    scripts: list[str],
    seeds: int,
    kept: Path | None,
    at_once: int,
    on_row: Callable[[int, int], None] = lambda done, total: None,
    figure: str = "served",
) -> dict:
    """Play both on the same days and seeds until the answer is clear or the seeds are used up.

    Args:
        a: One variant.
        b: The other.
        scripts: The days.
        seeds: How many seeds at most.
        kept: The file of rows, which are not played again.
        at_once: Processes.
        on_row: Takes how many days are done, and of how many.
        figure: What is compared.

    Raises:
        ValueError: A variant can't be played.
    """
    rows = read(kept) if kept else []
    if kept:
        _end_last_line(kept)
    checkouts = Checkouts(REPOSITORY)
    folders = {variant: checkouts.of(variant) for variant in (a, b)}
    jobs = [Job(variant, script, seed) for seed in range(1, seeds + 1) for script in scripts for variant in (a, b)]
    played = {(row["variant"], row["script"], row["seed"]) for row in rows if "failed" not in row}
    wanted = [job for job in jobs if job.key not in played]

    def on_done(row: dict) -> None:
        rows.append(row)
        on_row(len(rows), len(jobs))
        if kept:
            with open(kept, "ab") as file:
                file.write(msgspec.json.encode(row) + b"\n")

    stopped_early = _play_batches(wanted, folders, at_once, on_done, lambda: gap_of(gaps_of(rows, a, b, figure)).clear)
    rows.sort(key=lambda row: (row["seed"], row["script"], row["variant"]))
    return {
        "a": a.name,
        "b": b.name,
        "figure": figure,
        "stopped_early": stopped_early,
        "gap": gap_of(gaps_of(rows, a, b, figure))._asdict(),
        "variants": [summary(rows, variant) for variant in (a, b)],
    }


def _end_last_line(kept: Path) -> None:
    """End a line that was cut off, so that the next one is read."""
    if kept.exists() and not kept.read_bytes().endswith(b"\n"):
        with open(kept, "ab") as file:
            file.write(b"\n")


def _play_batches(
    jobs: list[Job],
    folders: dict[Variant, str | None],
    at_once: int,
    on_done: Callable[[dict], None],
    is_clear: Callable[[], bool],
) -> bool:
    """Play batch after batch until the answer is clear; returns whether days were left out."""
    size = BATCH_PER_WORKER * at_once
    with ThreadPoolExecutor(at_once) as pool:
        for first in range(0, len(jobs), size):
            batch = jobs[first : first + size]
            for done in as_completed([pool.submit(play, job, folders[job.variant]) for job in batch]):
                on_done(done.result())
            if is_clear():
                return first + size < len(jobs)
    return False


def gaps_of(rows: list[dict], a: Variant, b: Variant, figure: str) -> list[float]:
    """B less A for each pair of days that were both played."""
    found = {(row["variant"], row["script"], row["seed"]): row[figure] for row in rows if "failed" not in row}
    return [
        found[b.name, script, seed] - value
        for (name, script, seed), value in sorted(found.items())
        if name == a.name and (b.name, script, seed) in found
    ]


def summary(rows: Iterable[dict], variant: Variant) -> dict:
    """Means of a variant's days, as `--json` has them."""
    own = [row for row in rows if row["variant"] == variant.name]
    played = [row for row in own if "failed" not in row]
    means = {key: round(sum(row[key] for row in played) / len(played), 4) if played else None for key in MEANS}
    return {
        "variant": variant.name,
        "days": len(played),
        **means,
        "days_with_a_broken_rule": sum(row["broken"] > 0 for row in played),
        "not_played": [row["failed"][-SHORT_ERROR_LENGTH:] for row in own if "failed" in row],
    }


def read(path: Path) -> list[dict]:
    """Rows kept so far; a last line that was cut off is passed over."""
    return read_lines(path) if path.exists() else []
