"""The proxy's side: whose orders it obeys. Used by both client libraries."""

from __future__ import annotations


class FencingChecker:
    """Numbers its own questions; an order is obeyed only under the number of the newest. So whoever was asked before
    is refused from the moment on that another is asked, however late or in whatever order its messages come. Orders
    without a number (0) come from assigners that share nothing: they are obeyed by who never obeyed a numbered one.

    `first`: where numbers begin. A proxy that starts again must not go below those of its last life, or it is turned
    away for a lease: seconds since a fixed day, say, with room for the questions of a second.

    >>> judge = FencingChecker()
    >>> judge.obeys(0), judge.ask(), judge.obeys(1), judge.ask()
    (True, 1, True, 2)
    >>> [judge.obeys(fence) for fence in (1, 0, 2, 7)]
    [False, False, True, False]
    """

    def __init__(self, first: int = 0) -> None:
        self.asked = first
        self.held = self.refused = 0

    def ask(self) -> int:
        """The number of a new question: to be ordered by whom it goes to, and by nobody else from now on."""
        self.asked += 1
        return self.asked

    def obeys(self, fence: int) -> bool:
        """Whether an order under this number is to be applied."""
        if fence != self.asked and (fence or self.held):
            self.refused += 1
            return False
        self.held = fence
        return True
