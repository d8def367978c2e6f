"""What happens to the member registry, and what follows from it."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union

from hollyridge.interface import EndpointListUpdate


class Refusal(IntEnum):
    """Why a request about members is refused."""

    ALREADY_REGISTERED = 1
    NOT_REGISTERED = 2
    FULL = 3
    NO_ZONE = 4
    TWICE = 5  # the request names a member twice


class MemberRequest(NamedTuple):
    """A member as a request names it.

    Attributes:
        key: Its address and port, as the registry keeps it.
        task: Its index as allocated; -1 where no more are given out.
        zone: Its zone; -1 where it is in none that is known.
        label: What it says of itself (`member_label`).
        own: It registers itself, and no agent does it for it.
    """

    key: tuple
    task: int
    zone: int
    label: str
    own: bool


class Registered(NamedTuple):
    """Members were registered on a stream."""

    stream: int
    members: tuple[MemberRequest, ...]


class Deregistered(NamedTuple):
    """Members were deregistered on a stream; `keys` None stands for all that this stream has registered."""

    stream: int
    keys: tuple[tuple, ...] | None


class Quiesced(NamedTuple):
    """A member was set draining (`on`), or back to ready."""

    stream: int
    key: tuple
    on: bool


class StreamLost(NamedTuple):
    """A stream has ended."""

    stream: int


class Tick(NamedTuple):
    """The time of `next_deadline` has come."""


class RefreshRequested(NamedTuple):
    """The decisions want the whole list."""


RegistrationEvent = Union[Registered, Deregistered, Quiesced, StreamLost, Tick, RefreshRequested]


class RegistrationOutcome(NamedTuple):
    """What follows from an event.

    Attributes:
        change: The endpoint list update to hand on, or None.
        refusal: Why a request was refused, or None.
        left: The keys of members that are listed no more.
    """

    change: EndpointListUpdate | None = None
    refusal: Refusal | None = None
    left: tuple[tuple, ...] = ()
