"""Paired experiments: two variants on the same days and seeds, with intervals, spread over processes, kept in a file so
that an interrupted one goes on where it was."""

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

DRAWS = 2000  # of the bootstrap
LEAST_PAIRS = 8  # before it may stop early


class Variant(NamedTuple):
    """What is tried: a decision module of the laboratory (`module` is rules.py), a settings file that takes the place
    of the script's, or `commit:REV` of this repository."""

    name: str

    def words(self) -> list[str]:
        if self.name.endswith(".ini"):
            return ["--settings", str(Path(self.name).resolve())]
        if self.name.startswith("commit:") or self.name == "module":
            return []
        return ["--policy", self.name]


class Checkouts:
    """Commits laid out in folders of their own, as `git archive` gives them."""

    def __init__(self, root: Path) -> None:
        self.root, self.folder = root, tempfile.TemporaryDirectory(prefix="hollyridge-commits-")

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


def play(variant: Variant, script: str, seed: int, folder: str | None) -> dict:
    """One simulated day in a process of its own."""
    words = [
        sys.executable,
        "-m",
        "hollyridge.cli.main",
        "lab",
        "run",
        str(Path(script).resolve()),
        "--seed",
        str(seed),
        "--json",
        *variant.words(),
    ]
    ran = subprocess.run(words, capture_output=True, cwd=folder, timeout=3600)
    key = {"variant": variant.name, "script": script, "seed": seed}
    if ran.returncode not in (0, 1):
        return {**key, "failed": ran.stderr.decode(errors="replace")[-400:]}
    told = msgspec.json.decode(ran.stdout)
    told.pop("timeline", None)
    return {**key, **told}


class Gap(NamedTuple):
    """B less A: mean, a 95% interval by bootstrap over pairs, pairs better and worse, and the chance of such a split by
    signs alone."""

    pairs: int
    mean: float
    low: float
    high: float
    better: int
    worse: int
    chance: float

    @property
    def clear(self) -> bool:
        return self.pairs >= LEAST_PAIRS and (self.low > 0 or self.high < 0) and self.chance < 0.01


def gap_of(gaps: list[float]) -> Gap:
    """
    >>> gap = gap_of([0.1, 0.2, 0.3, 0.1, 0.2, 0.1, 0.2, 0.1])
    >>> gap.better, gap.worse, gap.low > 0, round(gap.chance, 4), gap.clear
    (8, 0, True, 0.0078, True)
    """
    if not gaps:
        return Gap(0, 0.0, 0.0, 0.0, 0, 0, 1.0)
    rng = Random(1)
    means = sorted(sum(rng.choices(gaps, k=len(gaps))) / len(gaps) for _ in range(DRAWS))
    better, worse = sum(g > 0 for g in gaps), sum(g < 0 for g in gaps)
    told = better + worse
    tail = sum(math.comb(told, k) for k in range(min(better, worse) + 1)) / 2**told if told else 0.5
    return Gap(
        len(gaps),
        round(sum(gaps) / len(gaps), 5),
        round(means[DRAWS // 40], 5),
        round(means[-DRAWS // 40 - 1], 5),
        better,
        worse,
        min(1.0, 2 * tail),
    )


def compare(
    a: Variant,
    b: Variant,
    scripts: list[str],
    seeds: int,
    kept: Path | None,
    at_once: int,
    told: Callable[[int, int], None] = lambda done, whole: None,
    figure: str = "served",
) -> dict:
    """Play both on the same days and seeds until the answer is clear or the seeds are used up. ValueError for a
    variant that can't be played."""
    rows = read(kept) if kept else []
    if kept and kept.exists() and not kept.read_bytes().endswith(b"\n"):
        with open(kept, "ab") as file:
            file.write(b"\n")  # ends a line that was cut off, so that the next one is whole
    have = {(row["variant"], row["script"], row["seed"]) for row in rows if "failed" not in row}
    checkouts = Checkouts(Path(__file__).resolve().parents[3])
    folders = {variant: checkouts.of(variant) for variant in (a, b)}
    jobs = [(variant, script, seed) for seed in range(1, seeds + 1) for script in scripts for variant in (a, b)]
    wanted = [job for job in jobs if (job[0].name, job[1], job[2]) not in have]
    stopped = False
    with ThreadPoolExecutor(at_once) as pool:
        for first in range(0, len(wanted), 4 * at_once):  # in batches, so that a clear answer ends it
            batch = wanted[first : first + 4 * at_once]
            for done in as_completed([pool.submit(play, *job, folders[job[0]]) for job in batch]):
                row = done.result()
                rows.append(row)
                told(len(rows), len(jobs))
                if kept:
                    with open(kept, "ab") as file:
                        file.write(msgspec.json.encode(row) + b"\n")
            if gap_of(gaps_of(rows, a, b, figure)).clear:
                stopped = first + 4 * at_once < len(wanted)
                break
    rows.sort(key=lambda row: (row["seed"], row["script"], row["variant"]))
    return {
        "a": a.name,
        "b": b.name,
        "figure": figure,
        "stopped_early": stopped,
        "gap": gap_of(gaps_of(rows, a, b, figure))._asdict(),
        "variants": [summary(rows, v) for v in (a, b)],
    }


def gaps_of(rows: list[dict], a: Variant, b: Variant, figure: str) -> list[float]:
    found = {(row["variant"], row["script"], row["seed"]): row[figure] for row in rows if "failed" not in row}
    return [
        found[b.name, script, seed] - value
        for (name, script, seed), value in sorted(found.items())
        if name == a.name and (b.name, script, seed) in found
    ]


def summary(rows: Iterable[dict], variant: Variant) -> dict:
    mine = [row for row in rows if row["variant"] == variant.name]
    good = [row for row in mine if "failed" not in row]
    means = {
        key: round(sum(row[key] for row in good) / len(good), 4) if good else None
        for key in ("served", "worst_10s", "decisions_sent", "messages", "lines", "tries")
    }
    return {
        "variant": variant.name,
        "days": len(good),
        **means,
        "days_with_a_broken_rule": sum(row["broken"] > 0 for row in good),
        "not_played": [row["failed"][-120:] for row in mine if "failed" in row],
    }


def read(path: Path) -> list[dict]:
    """Rows kept so far; a last line that was cut off is passed over."""
    rows = []
    for line in path.read_bytes().splitlines() if path.exists() else ():
        try:
            rows.append(msgspec.json.decode(line))
        except msgspec.DecodeError:
            continue
    return rows
