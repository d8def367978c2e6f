"""A table's weights as the 16-bit whole numbers of SASP.

A group's scale is chosen so that its largest weight becomes a quarter of the range, and kept until that weight leaves
the range or falls to a sixteenth of it; only then is the whole group sent again. So a task's figure changes only when
its weight does, and rounding moves a weight by at most half a part in 4096 of the largest.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

MAX_FIGURE = 0xFFFF
TARGET_LARGEST_FIGURE = (MAX_FIGURE + 1) // 4  # where a new scale puts the largest weight
MIN_LARGEST_FIGURE = (MAX_FIGURE + 1) // 16  # where the scale is chosen anew


def shown_methods(methods: Iterable[tuple[str, float]]) -> dict[str, int]:
    """Which method's table each group shows, of (group, criticality) by method.

    Where methods share a group it is the one of most criticality, since a table made for less critical ones may be
    narrow on purpose.

    >>> shown_methods([("read", 1.0), ("write", 2.0), ("read", 3.0)])
    {'read': 2, 'write': 1}
    """
    criticalities = []
    shown: dict[str, int] = {}
    for method, (group, criticality) in enumerate(methods):
        criticalities.append(criticality)
        if group not in shown or criticality > criticalities[shown[group]]:
            shown[group] = method
    return shown


class AdvisedWeights(NamedTuple):
    """Figures to send by task; `whole` if they replace all that was sent of the group before."""

    figures: dict[int, int]
    whole: bool


class GroupWeights:
    """What one load balancer was sent of one group.

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
        self.sent: dict[int, int] = {}
        self.withheld: set[int] = set()  # sent as 0 because they were closed, whatever the table holds

    def advise(
        self,
        weights: Mapping[int, float],
        changed: Iterable[int],
        whole: bool,
        is_warming_up: Callable[[int], bool],
        is_closed: Callable[[int], bool],
    ) -> AdvisedWeights:
        """Figures for the tasks in `changed`, or for all if `whole`; `weights` is the table after the change.

        A closed task is sent as 0 whatever the table holds: a table that a drain has overtaken must not open the task
        again. That is wrong where the endpoint list closes a task by mistake; its next change corrects it.
        """
        largest = max(weights.values(), default=0.0)
        if largest > 0 and not MIN_LARGEST_FIGURE <= largest * self.scale <= MAX_FIGURE:
            whole = True
            self.scale = TARGET_LARGEST_FIGURE / largest
        tasks = {**dict.fromkeys(weights), **dict.fromkeys(self.sent)} if whole else dict.fromkeys(changed)
        tasks.update((task, None) for task in sorted(self.withheld) if not is_closed(task))
        figures = {}
        for task in tasks:
            weight = self._open_weight(task, weights.get(task, 0.0), is_closed(task))
            figures[task] = self.figure_of(weight, is_warming_up(task), len(weights) == 1)
        self._remember(figures)
        return AdvisedWeights(figures, whole)

    def _open_weight(self, task: int, weight: float, closed: bool) -> float:
        if closed and weight > 0:
            self.withheld.add(task)
        else:
            self.withheld.discard(task)
        return 0.0 if closed else weight

    def _remember(self, figures: Mapping[int, int]) -> None:
        for task, figure in figures.items():
            if figure:
                self.sent[task] = figure
            else:
                self.sent.pop(task, None)

    def figure_of(self, weight: float, warming_up: bool, alone: bool) -> int:
        """The figure of one weight.

        That of a task in slow start is never rounded up, to 0 rather than above it, unless it is alone in the table;
        any other positive weight keeps at least 1.
        """
        if weight <= 0:
            return 0
        exact = weight * self.scale
        if warming_up and not alone:
            return int(exact)
        return max(1, min(MAX_FIGURE, round(exact)))
