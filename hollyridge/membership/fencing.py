"""Fencing tokens on the proxy side, used by the clients of both protocols."""

from __future__ import annotations

from typing import NamedTuple

UNFENCED = 0  # token of a message from an assigner that shares its fleet with no other assigner


class OwnershipRequest(NamedTuple):
    """A proxy's request to be owned, independent of the protocol.

    Attributes:
        number: Number of the request; 0 if the proxy has made none.
        insist: Whether the assigner has to accept the proxy even if another assigner seems to be its owner, because
            the proxy can't reach that one.
    """

    number: int = 0
    insist: bool = False


class FencingChecker:
    """Issuer of fencing tokens that accepts only messages with the newest token.

    The proxy numbers its own requests. The assigner that answers a request puts the number of that request on every
    message that it sends. As soon as the proxy sends a request to another assigner, messages of the previous assigner
    are refused, however late and in whatever order they arrive. Messages without a token (`UNFENCED`) are accepted
    until the first message with a token has been accepted.

    >>> checker = FencingChecker()
    >>> checker.accepts(0), checker.next_token(), checker.accepts(1), checker.next_token()
    (True, 1, True, 2)
    >>> [checker.accepts(token) for token in (1, 0, 2, 7)]
    [False, False, True, False]

    Attributes:
        newest_token: Token of the newest request.
        accepted_token: Token of the message accepted last; `UNFENCED` until a message with a token is accepted.
        refused: Number of messages refused.
    """

    def __init__(self, first: int = 0) -> None:
        """Start with the number before the first token to issue.

        Args:
            first: Number before the first token. It must not be below the tokens of the proxy's previous run, otherwise
                the proxy's requests are stale until the old lease ends. Seconds since a fixed date are suitable if they
                are shifted to the left, which leaves room for the requests of one second.
        """
        self.newest_token = first
        self.accepted_token = UNFENCED
        self.refused = 0

    def next_token(self) -> int:
        """Issue the token of a new request and refuse all older tokens from now on."""
        self.newest_token += 1
        return self.newest_token

    def accepts(self, fencing_token: int) -> bool:
        """Return whether a message with this token may be applied; count it as refused if not."""
        is_newest = fencing_token == self.newest_token
        if not is_newest and (fencing_token != UNFENCED or self.accepted_token != UNFENCED):
            self.refused += 1
            return False
        self.accepted_token = fencing_token
        return True
