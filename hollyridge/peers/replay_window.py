"""Detection of replayed packets by their numbers."""

from __future__ import annotations

WINDOW_PACKETS = 1024  # numbers below the highest that may still arrive: far more than a network reorders
WINDOW_MASK = (1 << WINDOW_PACKETS) - 1


class ReplayWindow:
    """The packet numbers of one run that have arrived; a sliding window as in IPsec (RFC 4303, section 3.4.3).

    Attributes:
        highest: Highest number that has arrived.
        bits: Bit `k` is set if number `highest - k` has arrived.
    """

    __slots__ = ("bits", "highest")

    def __init__(self) -> None:
        self.highest = 0
        self.bits = 0

    def first_time(self, number: int) -> bool:
        """Marks a number as arrived; False if it had arrived before, or is too old to tell.

        >>> window = ReplayWindow()
        >>> [window.first_time(number) for number in (1, 3, 2, 3, 5000, 3, 4999)]
        [True, True, True, False, True, False, True]
        """
        if number > self.highest:
            shift = min(number - self.highest, WINDOW_PACKETS)
            self.bits = ((self.bits << shift) | 1) & WINDOW_MASK
            self.highest = number
            return True
        age = self.highest - number
        if age >= WINDOW_PACKETS or self.bits >> age & 1:
            return False
        self.bits |= 1 << age
        return True
