"""Which connections that have not joined are kept waiting, for how long, and who goes when room runs out.

Guards against strangers who connect and say nothing, half a message or only ask for a sign of life: they take a place
for `patience` at most, and never the places kept for those who join. It may hurt a proxy whose first message takes
longer than that; it dials again.
"""

from __future__ import annotations

from collections import OrderedDict


class Lobby:
    """`room`: connections that have not joined, at once; past it the one that waits longest goes. Times in
    microseconds.

    >>> lobby = Lobby(patience=2_000_000, room=2)
    >>> [lobby.came(at, at) for at in (1, 2, 3)], lobby.next_at
    ([[], [], [1]], 2000002)
    >>> lobby.left(2); lobby.overdue(2_000_003), lobby.next_at
    ([3], None)
    """

    def __init__(self, patience: int, room: int) -> None:
        self.patience, self.room = patience, max(1, room)
        self.waiting: OrderedDict[int, int] = OrderedDict()

    def came(self, now: int, number: int) -> list[int]:
        """A connection stands; which are to be closed for it."""
        self.waiting[number] = now + self.patience
        return [self.waiting.popitem(last=False)[0] for _ in range(len(self.waiting) - self.room)]

    def left(self, number: int) -> None:
        """It joined, or ended."""
        self.waiting.pop(number, None)

    def overdue(self, now: int) -> list[int]:
        """Those to be closed now; they are forgotten."""
        due = []
        while self.waiting and next(iter(self.waiting.values())) <= now:
            due.append(self.waiting.popitem(last=False)[0])
        return due

    @property
    def next_at(self) -> int | None:
        return next(iter(self.waiting.values()), None)
