"""Detection of replayed packets by their numbers."""

from __future__ import annotations

WINDOW_PACKETS = 1024  # window of numbers that may still arrive out of order: far more than a network reorders
WINDOW_MASK = (1 << WINDOW_PACKETS) - 1


class ReplayWindow:
    """Sliding window over the received packet numbers of one run, as in IPsec (RFC 4303, section 3.4.3).

    Attributes:
        highest: Highest number received.
        bits: Bitmap whose bit `k` is set if number `highest - k` has been received.
    """

    __slots__ = ("bits", "highest")

    def __init__(self) -> None:
        self.highest = 0
        self.bits = 0

    def mark_received(self, number: int) -> bool:
        """Mark a number as received; return False if it was received before or is below the window.

        >>> window = ReplayWindow()
        >>> [window.mark_received(number) for number in (1, 3, 2, 3, 5000, 3, 4999)]
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
