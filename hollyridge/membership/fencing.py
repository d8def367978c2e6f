"""The proxy's side: whose orders it obeys. Used by both client libraries."""

from __future__ import annotations


class FencingChecker:
    """Numbers its own questions; an order is obeyed only under the number of the newest. So whoever was asked before
    is refused from the moment on that another is asked, however late or in whatever order its messages come. Orders
    without a number (0) come from assigners that share nothing: they are obeyed by who never obeyed a numbered one.

    `first`: where numbers begin. A proxy that starts again must not go below those of its last life, or it is turned
    away for a lease: seconds since a fixed day, say, with room for the questions of a second.

    >>> judge = FencingChecker()
    >>> judge.accepts(0), judge.next_token(), judge.accepts(1), judge.next_token()
    (True, 1, True, 2)
    >>> [judge.accepts(fence) for fence in (1, 0, 2, 7)]
    [False, False, True, False]
    """

    def __init__(self, first: int = 0) -> None:
        self.newest_token = first
        self.accepted_token = self.refused = 0

    def next_token(self) -> int:
        """The number of a new question: to be ordered by whom it goes to, and by nobody else from now on."""
        self.newest_token += 1
        return self.newest_token

    def accepts(self, fence: int) -> bool:
        """Whether an order under this number is to be applied."""
        if fence != self.newest_token and (fence or self.accepted_token):
            self.refused += 1
            return False
        self.accepted_token = fence
        return True
