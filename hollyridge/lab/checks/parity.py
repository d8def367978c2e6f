"""Comparison of the tables that proxies received by SASP and by CHP, line by line, from recordings."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from hollyridge.lab.checks.evidence import Evidence, HeldTable
from hollyridge.sasp.weight_advice import MIN_LARGEST_SASP_WEIGHT

# Largest difference of a line, as a share of the largest line, at which two tables count as equal. It covers 16-bit
# weights and the rounding down of a cold task.
MAX_DISTANCE = 2 / MIN_LARGEST_SASP_WEIGHT

Run = tuple[int, int]  # number of an assigner, and start of its run in microseconds


class _Nearest(NamedTuple):
    """The CHP table that is nearest to a given SASP table.

    Attributes:
        distance: Distance of the two tables, as returned by `distance`.
        task: Task with the largest difference.
        table: The CHP table.
    """

    distance: float
    task: str
    table: HeldTable


def compare(rows: Iterable[dict]) -> tuple[int, int, str]:
    """Return the number of tables compared, the number that differ, and a description of the first difference.

    A table received by SASP is compared with the tables that CHP proxies of its zone used for the same method, each in
    the newest version that is not newer than the decision that the SASP table came with. Tasks that were closed by then
    are left out on both sides, because each protocol drops them at the moment it writes. Where assigners share a fleet,
    a table may have no CHP proxy for a while, and its versions are not recorded during that time. For this reason only
    tables of proxies that are joined to the same assigner at that moment are compared.
    """
    comparison = _Comparison(Evidence(rows, tables=True))
    compared = differ = 0
    where = ""
    for table in comparison.evidence.tables:
        if table.table:
            continue
        nearest = comparison.nearest(table)
        if nearest is None:
            continue
        compared += 1
        if nearest.distance > MAX_DISTANCE:
            differ += 1
            where = where or (
                f"{table.group} at version {table.version}: {table.proxy} and {nearest.table.proxy} differ by "
                f"{nearest.distance:.4f} at {nearest.task}"
            )
    return compared, differ, where


class _Comparison:
    """Index of the tables received by CHP.

    Attributes:
        evidence: What was recorded.
        versions: Tables by run and subtree, sorted by version.
        subtrees: Subtrees by run, zone and method.
    """

    def __init__(self, evidence: Evidence) -> None:
        self.evidence = evidence
        self.versions: dict[tuple[Run, str], list[HeldTable]] = defaultdict(list)
        self.subtrees: dict[tuple[Run, str, str], set[str]] = defaultdict(set)
        for table in evidence.tables:
            if table.table:
                run = evidence.run_of(table.proxy, table.at)
                self.versions[run, table.table].append(table)
                self.subtrees[run, evidence.zone[table.proxy], table.group].add(table.table)
        for tables in self.versions.values():
            tables.sort(key=lambda table: (table.version, table.at))

    def nearest(self, table: HeldTable) -> _Nearest | None:
        """Return the nearest of the tables that this one can be compared with; None if there is none."""
        run = self.evidence.run_of(table.proxy, table.at)
        nearest = None
        for subtree in sorted(self.subtrees[run, self.evidence.zone[table.proxy], table.group]):
            other = self._version_of(run, subtree, table)
            if other is None:
                continue
            later = other._replace(at=max(table.at, other.at))
            gap, task = distance(self._open_lines(table), self._open_lines(later))
            if nearest is None or gap < nearest.distance:
                nearest = _Nearest(gap, task, other)
        return nearest

    def _version_of(self, run: Run, subtree: str, table: HeldTable) -> HeldTable | None:
        """Return the newest version not newer than this table whose proxy is joined to the run at that time."""
        versions = self.versions[run, subtree]
        index = bisect.bisect_right([version.version for version in versions], table.version) - 1
        while index >= 0 and not self._is_joined(versions[index].proxy, run, table.at):
            index -= 1
        return versions[index] if index >= 0 else None

    def _is_joined(self, proxy: str, run: Run, at: int) -> bool:
        return self.evidence.joined_at(proxy, at) is not None and self.evidence.run_of(proxy, at) == run

    def _open_lines(self, table: HeldTable) -> dict[str, float]:
        """Return the lines of the tasks that were ready at the time of the table."""
        assigner, _ = self.evidence.run_of(table.proxy, table.at)
        lines = {}
        for task, weight in table.lines.items():
            past = [news for news in self.evidence.task_news[assigner].get(task, ()) if news.at <= table.at]
            if past and past[-1].state == "ready":
                lines[task] = weight
        return lines


def distance(first: dict[str, float], second: dict[str, float]) -> tuple[float, str]:
    """Return the largest difference of two tables and its task; weights are relative to each table's largest.

    >>> distance({"a": 100.0, "b": 50.0}, {"a": 1.0, "b": 0.5})
    (0.0, 'a')
    """
    largest_first = max(first.values(), default=1.0)
    largest_second = max(second.values(), default=1.0)
    tasks = sorted({**first, **second})
    gaps = [
        (abs(first.get(task, 0.0) / largest_first - second.get(task, 0.0) / largest_second), task) for task in tasks
    ]
    return max(gaps, key=lambda gap: gap[0], default=(0.0, "nothing"))
