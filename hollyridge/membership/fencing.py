"""Fencing tokens on the proxy's side, used by both client libraries."""

from __future__ import annotations

from typing import NamedTuple

UNFENCED = 0  # the token of a message by an assigner that shares its fleet with nobody


class OwnershipRequest(NamedTuple):
    """A proxy asks to be owned, whatever protocol it speaks.

    Attributes:
        number: Number of the request; 0 where none was made.
        insist: Whether to be taken in even if another assigner seems to be the owner: that one can't be reached.
    """

    number: int = 0
    insist: bool = False


class FencingChecker:
    """Issues fencing tokens and accepts only what carries the newest.

    The proxy numbers its own requests; the assigner that answers one puts its number on all that it sends. An assigner
    that was asked earlier is refused from the moment another one is asked, however late and in whatever order its
    messages arrive. Messages without a token (`UNFENCED`) are accepted as long as none with a token has been.

    >>> checker = FencingChecker()
    >>> checker.accepts(0), checker.next_token(), checker.accepts(1), checker.next_token()
    (True, 1, True, 2)
    >>> [checker.accepts(token) for token in (1, 0, 2, 7)]
    [False, False, True, False]

    Attributes:
        newest_token: Token of the newest request.
        accepted_token: Token of the message accepted last; `UNFENCED` before the first that has one.
        refused: Number of messages refused.
    """

    def __init__(self, first: int = 0) -> None:
        """Starts below the first token that is to be issued.

        Args:
            first: Must not be below the tokens of the proxy's previous run, else its requests are stale until the old
                lease ends. Seconds since a fixed day, shifted to leave room for the requests of a second, will do.
        """
        self.newest_token = first
        self.accepted_token = UNFENCED
        self.refused = 0

    def next_token(self) -> int:
        """Issues the token of a new request; all older ones are refused from now on."""
        self.newest_token += 1
        return self.newest_token

    def accepts(self, fencing_token: int) -> bool:
        """Tells whether a message under this token is to be applied."""
        is_newest = fencing_token == self.newest_token
        if not is_newest and (fencing_token != UNFENCED or self.accepted_token != UNFENCED):
            self.refused += 1
            return False
        self.accepted_token = fencing_token
        return True
