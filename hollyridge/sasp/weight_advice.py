"""A table's weights as the 16-bit whole numbers of SASP.

A group's scale is chosen so that its largest line stands at a quarter of the range, and kept until that line
leaves the range or sinks to a sixteenth of it; only then is the whole group said again. So a line's figure
changes only when its weight does, and rounding moves a line by at most half a part in 4096 of the largest.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

MOST = 0xFFFF
AIM = (MOST + 1) // 4
LEAST = (MOST + 1) // 16


def shown_methods(methods: Iterable[tuple[str, float]]) -> dict[str, int]:
    """Group name to the method whose table it shows, of (group, criticality) by method: where methods share a
    group, the one of most criticality, since a table laid out for lesser ones may be narrow on purpose.

    >>> shown_methods([("read", 1.0), ("write", 2.0), ("read", 3.0)])
    {'read': 2, 'write': 1}
    """
    rows = list(methods)
    found: dict[str, int] = {}
    for k, (group, criticality) in enumerate(rows):
        if group not in found or criticality > rows[found[group]][1]:
            found[group] = k
    return found


class AdvisedWeights(NamedTuple):
    """Figures to send by task; `whole` if they replace all that was said of the group before."""

    figures: dict[int, int]
    whole: bool


class GroupWeights:
    """What one load balancer was told of one group.

    >>> group = GroupWeights()
    >>> group.advise({1: 1.0, 2: 0.25}, [1, 2], True, lambda task: task == 2, lambda task: False)
    AdvisedWeights(figures={1: 16384, 2: 4096}, whole=True)
    >>> group.advise({1: 1.0, 2: 0.5}, [2], False, lambda task: task == 2, lambda task: False)
    AdvisedWeights(figures={2: 8192}, whole=False)
    >>> group.advise({1: 1.0}, [2], False, lambda task: False, lambda task: True)
    AdvisedWeights(figures={2: 0}, whole=False)
    """

    def __init__(self) -> None:
        self.scale = 0.0
        self.said: dict[int, int] = {}
        self.withheld: set[int] = set()  # told 0 because they were closed, whatever the table says

    def advise(
        self,
        lines: Mapping[int, float],
        changed: Iterable[int],
        whole: bool,
        cold: Callable[[int], bool],
        closed: Callable[[int], bool],
    ) -> AdvisedWeights:
        """Figures for the tasks in `changed`, or for all if `whole`; `lines` is the table after the change.

        A closed task is told 0 whatever an older order says: an order overtaken by a drain on its way must not
        open the task again. It may hurt where a list wrongly says closed; the next list puts it right."""
        largest = max(lines.values(), default=0.0)
        if largest > 0 and not LEAST <= largest * self.scale <= MOST:
            whole, self.scale = True, AIM / largest
        tasks = {**dict.fromkeys(lines), **dict.fromkeys(self.said)} if whole else dict.fromkeys(changed)
        tasks.update((task, None) for task in sorted(self.withheld) if not closed(task))
        figures = {}
        for task in tasks:
            weight, shut = lines.get(task, 0.0), closed(task)
            (self.withheld.add if shut and weight > 0 else self.withheld.discard)(task)
            weight = 0.0 if shut else weight
            figures[task] = self.figure(weight, cold(task), len(lines) == 1)
        for task, figure in figures.items():
            if figure:
                self.said[task] = figure
            else:
                self.said.pop(task, None)
        return AdvisedWeights(figures, whole)

    def figure(self, weight: float, cold: bool, alone: bool) -> int:
        """A cold task's part is never rounded up, to nothing rather than above it, unless nothing else is
        listed; any other line that counts at all keeps at least 1."""
        if weight <= 0:
            return 0
        exact = weight * self.scale
        if cold and not alone:
            return int(exact)
        return max(1, min(MOST, round(exact)))
