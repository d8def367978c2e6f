"""Turns of connections that have much input waiting, so that they leave time for all other work of the process.

`gevent.sleep(0)` alone does not: the event loop runs up to 50 such callbacks before it looks at sockets and timers
again, so that one busy connection delays all others and the decisions by 50 times the duration of its steps.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.lock import BoundedSemaphore

MAX_MESSAGES_PER_TURN = 256  # messages of one connection that are handled in a row
PAUSE_S = 0.001  # between two turns; a timer, so that sockets and timers are served meanwhile


class InputTurns:
    """Scheduler of the turns of all busy connections of a process: one turn at a time, with a pause before each.

    Connections whose messages fit into one turn never wait, however many others are busy.
    """

    def __init__(self) -> None:
        self._next_turn = BoundedSemaphore(1)

    def wait(self) -> None:
        """Wait for the next turn of a connection that has used its present one."""
        with self._next_turn:
            gevent.sleep(PAUSE_S)


class TurnCounter:
    """Counter of the messages that one connection or socket has had handled in its present turn.

    Args:
        wait: Function that waits for the next turn.
    """

    def __init__(self, wait: Callable[[], None]) -> None:
        self.wait = wait
        self.handled = 0

    def count(self) -> bool:
        """Count one message; return whether the turn ended with it, after waiting for the next turn."""
        self.handled += 1
        if self.handled < MAX_MESSAGES_PER_TURN:
            return False
        self.handled = 0
        self.wait()
        return True

    def restart(self) -> None:
        """Start a new turn, since the connection had nothing more to read."""
        self.handled = 0
