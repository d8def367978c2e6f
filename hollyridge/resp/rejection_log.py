"""Sampled log of rejected messages: each reason is logged at its 1st, 2nd, 4th, 8th ... occurrence.

The sampling keeps a flood of bad messages from filling the log.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hollyridge.limits.log_sampling import should_log
from hollyridge.resp.connection import Connection

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

MAX_REASONS = 256  # reasons contain text from peers, so further ones are counted together to bound the memory
OTHER_REASONS = "other"


class RejectionLog:
    """Counter of rejected messages and connections by reason, which logs a sample of them."""

    def __init__(self, log: FilteringBoundLogger) -> None:
        self.log = log
        self.times_by_reason: dict[str, int] = {}

    def add(self, reason: str, connection: Connection) -> None:
        """Count one rejection, and log it if it is part of the sample."""
        times_by_reason = self.times_by_reason
        if len(times_by_reason) >= MAX_REASONS and reason not in times_by_reason:
            reason = OTHER_REASONS
        times = times_by_reason[reason] = times_by_reason.get(reason, 0) + 1
        if should_log(times):
            self.log.warning(
                "malformed_message", reason=reason, peer=connection.address[0], node=connection.node, times=times
            )
