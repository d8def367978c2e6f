"""Whether proxies held the same tables whichever protocol they came by, entry by entry, from recordings."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable

from hollyridge.lab.checks.checker import Evidence, Seen
from hollyridge.sasp.weight_advice import MIN_LARGEST_FIGURE

CLOSE = 2 / MIN_LARGEST_FIGURE  # of the largest line: what 16 bits and a cold task's rounding down may come to


def compare(rows: Iterable[dict]) -> tuple[int, int, str]:
    """Tables compared, how many differ, and the first that does.

    A table that came by SASP is held against the same version of a table that a proxy of its zone went by for that
    method by pub-sub: the newest that is not newer than the decision it came with. Tasks that were closed by then
    are left out on both sides, since each front drops them from the moment it writes. Where assigners share a fleet a
    table may have no user by pub-sub for a while, and nobody hears its versions then: only what a proxy holds that is
    joined there at that moment is compared."""
    seen = Evidence(rows, tables=True)
    known: dict[tuple, list[tuple[int, Seen]]] = defaultdict(list)
    sources: dict[tuple, set] = defaultdict(set)
    for row in seen.tables:
        if row.table:
            run = seen.run_of(row.proxy, row.at)
            known[run, row.table].append((row.version, row))
            sources[run, seen.zone[row.proxy], row.group].add(row.table)
    for some in known.values():
        some.sort(key=lambda pair: (pair[0], pair[1].at))
    compared = differ = 0
    where = ""
    for row in seen.tables:
        if row.table:
            continue
        run = seen.run_of(row.proxy, row.at)
        best, rival = None, None
        for table in sorted(sources[run, seen.zone[row.proxy], row.group]):
            some = known[run, table]
            index = bisect.bisect_right([version for version, _ in some], row.version) - 1
            while index >= 0 and not there(seen, some[index][1].proxy, run, row.at):
                index -= 1
            if index >= 0:
                other = some[index][1]
                gap = distance(open_lines(seen, row), open_lines(seen, other._replace(at=max(row.at, other.at))))
                if best is None or gap[0] < best[0]:
                    best, rival = gap, other
        if best is None:
            continue
        compared += 1
        if best[0] > CLOSE:
            differ += 1
            where = where or (
                f"{row.group} at version {row.version}: {row.proxy} and {rival.proxy} differ by "
                f"{best[0]:.4f} at {best[1]}"
            )
    return compared, differ, where


def there(seen: Evidence, proxy: str, run: tuple[int, int], at: int) -> bool:
    return seen.joined_at(proxy, at) is not None and seen.run_of(proxy, at) == run


def open_lines(seen: Evidence, row: Seen) -> dict[str, float]:
    lines = {}
    for task, weight in row.lines.items():
        past = [told for told in seen.told[seen.run_of(row.proxy, row.at)[0]].get(task, ()) if told.at <= row.at]
        if past and past[-1].state == "ready":
            lines[task] = weight
    return lines


def distance(one: dict[str, float], two: dict[str, float]) -> tuple[float, str]:
    """The largest gap between shares of the largest line, and where it is.

    >>> distance({"a": 100.0, "b": 50.0}, {"a": 1.0, "b": 0.5})
    (0.0, 'a')
    """
    tops = [max(lines.values(), default=1.0) for lines in (one, two)]
    tasks = sorted({**one, **two})
    gaps = [(abs(one.get(task, 0.0) / tops[0] - two.get(task, 0.0) / tops[1]), task) for task in tasks]
    return max(gaps, key=lambda gap: gap[0], default=(0.0, "nothing"))
