"""A member as the registry keeps it."""

from __future__ import annotations

from hollyridge.interface import Endpoint, TaskState
from hollyridge.registration.events import MemberRequest

NO_STREAM = -1  # the stream that a member was registered on is lost
NO_HOLD = -1  # the member is not about to be taken out
DEFAULT_SIZE = 1.0  # of a member whose label states none


class RegisteredMember:
    """A listed member.

    Attributes:
        task: Its index.
        zone: Its zone.
        own: It registered itself.
        run: What its label states as `run=`; empty for nothing.
        started_at_us: When that run began; 0 for long ago.
        stream: The stream that registered it last; -1 once that is lost.
        state: Ready or draining.
        listed_weight: What its label states as `size=`.
        held_until_us: When it is taken out unless it registers again; -1 while its stream is open.
    """

    __slots__ = ("held_until_us", "listed_weight", "own", "run", "started_at_us", "state", "stream", "task", "zone")

    def __init__(self, request: MemberRequest) -> None:
        self.task = request.task
        self.zone = request.zone
        self.own = request.own
        self.run = ""
        self.started_at_us = 0
        self.stream = NO_STREAM
        self.state = TaskState.READY
        self.listed_weight = DEFAULT_SIZE
        self.held_until_us = NO_HOLD

    def as_endpoint(self) -> Endpoint:
        """Its entry in the endpoint list."""
        return Endpoint(self.task, self.zone, 0, 0, self.state, self.listed_weight, self.started_at_us)

    def may_be_changed_by(self, stream: int) -> bool:
        """Whether a request on this stream is the owner's, or the owner's stream is lost."""
        return self.stream in (stream, NO_STREAM)
