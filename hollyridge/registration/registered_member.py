"""A member of the registry."""

from __future__ import annotations

from hollyridge.interface import Endpoint, TaskState
from hollyridge.registration.events import MemberRequest

NO_STREAM = -1  # the stream that registered a member is lost
NO_HOLD = -1  # the member has no deadline for its removal
DEFAULT_SIZE = 1.0  # size of a member whose label states none


class RegisteredMember:
    """A listed member.

    Attributes:
        task: Task index.
        zone: Index of the zone.
        self_registered: Whether it registered itself, rather than an agent.
        run: Value of `run=` in its label, or empty.
        started_at_us: Start time of that run, in microseconds, or 0 for long ago.
        stream: Number of the stream that registered it last, or -1 once that is lost.
        state: Ready or draining.
        listed_weight: Value of `size=` in its label, or the default.
        held_until_us: Time at which it is removed unless it registers again, or -1 while its stream is open.
    """

    __slots__ = (
        "held_until_us",
        "listed_weight",
        "run",
        "self_registered",
        "started_at_us",
        "state",
        "stream",
        "task",
        "zone",
    )

    def __init__(self, request: MemberRequest) -> None:
        self.task = request.task
        self.zone = request.zone
        self.self_registered = request.self_registered
        self.run = ""
        self.started_at_us = 0
        self.stream = NO_STREAM
        self.state = TaskState.READY
        self.listed_weight = DEFAULT_SIZE
        self.held_until_us = NO_HOLD

    def as_endpoint(self) -> Endpoint:
        """Return its endpoint list entry."""
        return Endpoint(self.task, self.zone, 0, 0, self.state, self.listed_weight, self.started_at_us)

    def may_be_changed_by(self, stream: int) -> bool:
        """Return whether this stream owns the member, or the owner's stream is lost."""
        return self.stream in (stream, NO_STREAM)
