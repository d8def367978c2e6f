"""Whether proxies held the same tables whichever protocol they came by, line by line, from recordings."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from hollyridge.lab.checks.evidence import Evidence, HeldTable
from hollyridge.sasp.weight_advice import MIN_LARGEST_SASP_WEIGHT

MAX_DISTANCE = (
    2 / MIN_LARGEST_SASP_WEIGHT
)  # of the largest line: what 16 bits and a cold task's rounding down may come to

Run = tuple[int, int]  # an assigner, and when this run of it began


class _Nearest(NamedTuple):
    """The CHP table that is nearest to one that came by SASP."""

    distance: float
    task: str
    table: HeldTable


def compare(rows: Iterable[dict]) -> tuple[int, int, str]:
    """Tables compared, how many differ, and the first that does.

    A table that came by SASP is held against the same version of a table that a proxy of its zone went by for that
    method by CHP: the newest that is not newer than the decision it came with. Tasks that were closed by then are left
    out on both sides, since each protocol drops them from the moment it writes. Where assigners share a fleet a table
    may have no user by CHP for a while, and its versions are not recorded then: only what a proxy holds that is joined
    there at that moment is compared.
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
    """The tables that came by CHP.

    Attributes:
        versions: By run and subtree, sorted by version.
        subtrees: By run, zone and method.
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
        """The nearest of what this one may be compared with; None if there is nothing."""
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
        """The newest version that is not newer than this table and whose proxy is joined there now."""
        versions = self.versions[run, subtree]
        index = bisect.bisect_right([version.version for version in versions], table.version) - 1
        while index >= 0 and not self._is_joined(versions[index].proxy, run, table.at):
            index -= 1
        return versions[index] if index >= 0 else None

    def _is_joined(self, proxy: str, run: Run, at: int) -> bool:
        return self.evidence.joined_at(proxy, at) is not None and self.evidence.run_of(proxy, at) == run

    def _open_lines(self, table: HeldTable) -> dict[str, float]:
        """The lines of tasks that were ready by then."""
        assigner, _ = self.evidence.run_of(table.proxy, table.at)
        lines = {}
        for task, weight in table.lines.items():
            past = [news for news in self.evidence.task_news[assigner].get(task, ()) if news.at <= table.at]
            if past and past[-1].state == "ready":
                lines[task] = weight
        return lines


def distance(one: dict[str, float], other: dict[str, float]) -> tuple[float, str]:
    """The largest gap between shares of the largest line, and where it is.

    >>> distance({"a": 100.0, "b": 50.0}, {"a": 1.0, "b": 0.5})
    (0.0, 'a')
    """
    largest = max(one.values(), default=1.0)
    largest_other = max(other.values(), default=1.0)
    tasks = sorted({**one, **other})
    gaps = [(abs(one.get(task, 0.0) / largest - other.get(task, 0.0) / largest_other), task) for task in tasks]
    return max(gaps, key=lambda gap: gap[0], default=(0.0, "nothing"))
