"""Configuration, events and actions of failure detection."""

from __future__ import annotations

from typing import NamedTuple, Union

from hollyridge.membership.messages import MemberFacts, Message, Status


class SwimConfig(NamedTuple):
    """Timing and capacity of failure detection.

    Attributes:
        probe_period_us: Interval between probes, in microseconds.
        ack_timeout_us: Time without an ack after which indirect probes are sent, in microseconds; less than half of the
            probe period.
        max_members: Largest number of other members; further ones are ignored.
    """

    probe_period_us: int
    ack_timeout_us: int
    max_members: int = 64


class MessageReceived(NamedTuple):
    """A message from a holder of the fleet's key has arrived from `address` (host:port)."""

    address: str
    message: Message


class FactsChanged(NamedTuple):
    """This member publishes other facts about itself from now on."""

    facts: MemberFacts


class LeaveRequested(NamedTuple):
    """This member is about to shut down."""


class Tick(NamedTuple):
    """Time has passed."""


class SendMessage(NamedTuple):
    """A message has to be sent to `address` (host:port)."""

    address: str
    message: Message


class MemberChanged(NamedTuple):
    """The known state of a member has changed; `restarted` is set if the member is in another run."""

    name: str
    status: Status
    facts: MemberFacts
    restarted: bool = False


Event = Union[MessageReceived, FactsChanged, LeaveRequested, Tick]
Action = Union[SendMessage, MemberChanged]
