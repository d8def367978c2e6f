"""Conversion of a table's weights to the 16-bit integers of SASP.

A group's scale maps its largest weight to a quarter of the 16-bit range. It is kept until that weight leaves the range
or falls below a sixteenth of it; only then is the whole group sent again. Therefore a task's SASP weight changes only
when its weight changes, and rounding changes a weight by at most half of 1/4096 of the largest weight.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

MAX_SASP_WEIGHT = 0xFFFF
TARGET_LARGEST_SASP_WEIGHT = (MAX_SASP_WEIGHT + 1) // 4  # SASP weight of the largest weight under a new scale
MIN_LARGEST_SASP_WEIGHT = (MAX_SASP_WEIGHT + 1) // 16  # below it, a new scale is chosen


def shown_methods(methods: Iterable[tuple[str, float]]) -> dict[str, int]:
    """Return the index of the method whose table each group shows, by group name.

    If methods share a group, it shows the table of the method with the highest criticality, since a table for less
    critical methods may be narrow on purpose.

    Args:
        methods: Group and criticality of each method, in the order of the methods' indices.

    >>> shown_methods([("read", 1.0), ("write", 2.0), ("read", 3.0)])
    {'read': 2, 'write': 1}
    """
    criticality_by_method = []
    shown: dict[str, int] = {}
    for method, (group, criticality) in enumerate(methods):
        criticality_by_method.append(criticality)
        if group not in shown or criticality > criticality_by_method[shown[group]]:
            shown[group] = method
    return shown


class AdvisedWeights(NamedTuple):
    """SASP weights to send, by task; `whole` if they replace everything that was sent of the group before."""

    sasp_weights: dict[int, int]
    whole: bool


class GroupWeights:
    """SASP weights of one group that one load balancer was sent.

    >>> group = GroupWeights()
    >>> group.advise({1: 1.0, 2: 0.25}, [1, 2], True, lambda task: task == 2, lambda task: False)
    AdvisedWeights(sasp_weights={1: 16384, 2: 4096}, whole=True)
    >>> group.advise({1: 1.0, 2: 0.5}, [2], False, lambda task: task == 2, lambda task: False)
    AdvisedWeights(sasp_weights={2: 8192}, whole=False)
    >>> group.advise({1: 1.0}, [2], False, lambda task: False, lambda task: True)
    AdvisedWeights(sasp_weights={2: 0}, whole=False)
    """

    def __init__(self) -> None:
        self.scale = 0.0
        self.sent: dict[int, int] = {}
        self.withheld: set[int] = set()  # tasks sent as 0 because they were closed, despite their weight in the table

    def advise(
        self,
        weights: Mapping[int, float],
        changed: Iterable[int],
        whole: bool,
        is_warming_up: Callable[[int], bool],
        is_closed: Callable[[int], bool],
    ) -> AdvisedWeights:
        """Return SASP weights for the tasks in `changed`, or for all if `whole`; `weights` is the new table.

        A closed task is sent as 0 regardless of its weight in the table, since a table from before a drain must not
        open the task again. This is wrong if the endpoint list closes a task by mistake; the next change of the list
        corrects it.
        """
        largest = max(weights.values(), default=0.0)
        if largest > 0 and not MIN_LARGEST_SASP_WEIGHT <= largest * self.scale <= MAX_SASP_WEIGHT:
            whole = True
            self.scale = TARGET_LARGEST_SASP_WEIGHT / largest
        tasks = {**dict.fromkeys(weights), **dict.fromkeys(self.sent)} if whole else dict.fromkeys(changed)
        tasks.update((task, None) for task in sorted(self.withheld) if not is_closed(task))
        sasp_weights = {}
        for task in tasks:
            weight = self._weight_unless_closed(task, weights.get(task, 0.0), is_closed(task))
            sasp_weights[task] = self.scale_weight(weight, is_warming_up(task), len(weights) == 1)
        self._record_sent(sasp_weights)
        return AdvisedWeights(sasp_weights, whole)

    def _weight_unless_closed(self, task: int, weight: float, closed: bool) -> float:
        if closed and weight > 0:
            self.withheld.add(task)
        else:
            self.withheld.discard(task)
        return 0.0 if closed else weight

    def _record_sent(self, sasp_weights: Mapping[int, int]) -> None:
        for task, sasp_weight in sasp_weights.items():
            if sasp_weight:
                self.sent[task] = sasp_weight
            else:
                self.sent.pop(task, None)

    def scale_weight(self, weight: float, warming_up: bool, is_only_task: bool) -> int:
        """Return the SASP weight of one weight.

        The weight of a task in slow start is never rounded up, so that it may become 0, unless the task is the only one
        in the table. Any other positive weight becomes at least 1.
        """
        if weight <= 0:
            return 0
        exact = weight * self.scale
        if warming_up and not is_only_task:
            return int(exact)
        return max(1, min(MAX_SASP_WEIGHT, round(exact)))
