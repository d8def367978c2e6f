"""What failure detection is configured with, what it is notified of, and the actions that it returns."""

from __future__ import annotations

from typing import NamedTuple, Union

from hollyridge.membership.messages import MemberFacts, Message, Status


class SwimConfig(NamedTuple):
    """Pace and size of failure detection.

    Attributes:
        probe_period_us: Between two probes.
        ack_timeout_us: After which a probe is repeated by way of others; below half of the period.
        max_members: Others that are kept; further ones are ignored.
    """

    probe_period_us: int
    ack_timeout_us: int
    max_members: int = 64


class MessageReceived(NamedTuple):
    """A message from a holder of the fleet's key."""

    address: str
    message: Message


class FactsChanged(NamedTuple):
    """This member states other facts about itself from now on."""

    facts: MemberFacts


class LeaveRequested(NamedTuple):
    """This member is about to shut down."""


class Tick(NamedTuple):
    """Time has passed."""


class SendMessage(NamedTuple):
    """A message is to be sent."""

    address: str
    message: Message


class MemberChanged(NamedTuple):
    """What is known about a member has changed; `restarted` if it is another run of it."""

    name: str
    status: Status
    facts: MemberFacts
    restarted: bool = False


Event = Union[MessageReceived, FactsChanged, LeaveRequested, Tick]
Action = Union[SendMessage, MemberChanged]
