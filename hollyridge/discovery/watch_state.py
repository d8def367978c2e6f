"""When discovery is dialled, and when a call counts as lost. No I/O, no clock.

One watch is to stand at any time. It speaks every `beat`, changes or not, so one that has been silent for longer is
dead, whatever its connection says; so is one whose line does not end, or whose first list has not come, within `TOLD`,
for by then all that discovery has to tell counts as told. A call that fails is made again after a growing, jittered
pause: discovery is shared and works through calls in turn, and many who all ask again at once would keep it down.
"""

from __future__ import annotations

from enum import Enum
from random import Random

SILENT = 1.5  # beats without a word after which a watch is dead
ANSWER = 1.5  # beats within which a call is answered: those before it in turn included
TOLD = 3.0  # beats after which whatever discovery has to tell counts as told (the protocol page: 6 s)
CONNECT = 0.5  # beats within which a connection stands
FIRST, LONGEST = 0.1, 1.0  # beats: the first pause and the longest


class WatchInput(Enum):
    TICK = 0
    DIALLED = 1
    HEARD = 2  # anything at all on the call
    LIST = 3  # a list or a change, or an empty line behind one: the watch stands
    ENDED = 4
    MOVED = 5  # discovery has another address


class WatchAction(Enum):
    NOTHING = 0
    DIAL = 1
    DROP = 2  # the call is dead: close it


class WatchState:
    """Times in microseconds.

    >>> caller = WatchState(2_000_000, Random(1))
    >>> caller.take(0, WatchInput.TICK), caller.take(0, WatchInput.DIALLED), caller.next_at
    (<WatchAction.DIAL: 1>, <WatchAction.NOTHING: 0>, 3000000)
    >>> caller.take(2_900_000, WatchInput.LIST), caller.next_at, caller.take(5_900_001, WatchInput.TICK)
    (<WatchAction.NOTHING: 0>, 5900000, <WatchAction.DROP: 2>)
    >>> caller.take(5_900_002, WatchInput.ENDED), 100_000 <= caller.next_at - 5_900_002 <= 300_000
    (<WatchAction.NOTHING: 0>, True)
    """

    def __init__(self, beat: int, rng: Random) -> None:
        self.beat, self.rng = beat, rng
        self.calling = self.stands = False
        self.moved = False  # while a call to the old address ends
        self.failures = 0
        self.next_at = 0  # when to dial, or when the call is lost
        self.line_by = 0  # when it is lost though bytes keep coming

    def take(self, now: int, what: WatchInput) -> WatchAction:
        """One thing that happened; what is to be done."""
        if what is WatchInput.DIALLED:
            self.calling, self.stands = True, False
            self.next_at, self.line_by = now + round(ANSWER * self.beat), now + round(TOLD * self.beat)
        elif what is WatchInput.LIST:
            self.stands, self.failures = True, 0
            self.next_at, self.line_by = now + round(SILENT * self.beat), now + round(TOLD * self.beat)
        elif what is WatchInput.HEARD and self.calling:
            self.next_at = min(max(self.next_at, now + round(SILENT * self.beat)), self.line_by)
        elif what is WatchInput.ENDED:
            self.calling = self.stands = False
            pause = min(LONGEST, FIRST * 2 ** min(self.failures, 16)) * self.beat
            self.failures += 1
            self.next_at = now + round(pause * (0.5 + self.rng.random()))
            if self.moved:  # it was ended by us: no failure, and nothing to wait for
                self.moved, self.failures, self.next_at = False, 0, now
        elif what is WatchInput.MOVED:
            self.failures, self.next_at, self.moved = 0, now, self.calling
            return WatchAction.DROP if self.calling else WatchAction.DIAL
        elif what is WatchInput.TICK and now >= self.next_at:
            return WatchAction.DROP if self.calling else WatchAction.DIAL
        return WatchAction.NOTHING
