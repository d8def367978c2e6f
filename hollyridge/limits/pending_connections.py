"""Which connections that have not joined are kept pending, for how long, and who goes when room runs out.

Guards against strangers who connect and say nothing, half a message or only ask for a sign of life: they take a place
for `patience` at most, and never one that is in use. Who has sent nothing goes first, then who waits longest: in a wave
of joins among silent strangers, a proxy whose first message comes in pieces keeps its place. It may hurt a proxy whose
first message takes longer than `patience`; it dials again.
"""

from __future__ import annotations

from collections import OrderedDict


class PendingConnections:
    """Connections by number, times in microseconds.

    >>> pending = PendingConnections(patience=2_000_000)
    >>> [pending.add(at, at, 2) for at in (1, 2)]
    [[], []]
    >>> pending.heard_from(1); pending.add(3, 3, 2), pending.next_deadline
    ([2], 2000001)
    >>> pending.remove(1); pending.overdue(2_000_003), pending.next_deadline
    ([3], None)
    """

    def __init__(self, patience: int) -> None:
        self.patience = patience
        self.waiting: OrderedDict[int, int] = OrderedDict()  # all, and till when
        self.silent: OrderedDict[int, None] = OrderedDict()  # those of them that have sent nothing

    def add(self, now: int, number: int, room: int) -> list[int]:
        """A connection stands, with `room` for so many that wait, itself included; which are to be closed for it."""
        self.waiting[number] = now + self.patience
        self.silent[number] = None
        gone = []
        while len(self.waiting) > max(1, room):
            gone.append(next(iter(self.silent if len(self.silent) > 1 else self.waiting)))
            self.remove(gone[-1])
        return gone

    def heard_from(self, number: int) -> None:
        """Bytes came that can be read so far."""
        self.silent.pop(number, None)

    def remove(self, number: int) -> None:
        """It joined, or ended."""
        self.waiting.pop(number, None)
        self.silent.pop(number, None)

    def overdue(self, now: int) -> list[int]:
        """Those to be closed now; they are forgotten."""
        due = []
        while self.waiting and next(iter(self.waiting.values())) <= now:
            due.append(next(iter(self.waiting)))
            self.remove(due[-1])
        return due

    @property
    def next_deadline(self) -> int | None:
        return next(iter(self.waiting.values()), None)
