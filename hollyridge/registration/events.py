"""Events of the member registry, and their outcomes."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union

from hollyridge.interface import EndpointListUpdate


class Refusal(IntEnum):
    """Reason why a request about members is refused."""

    ALREADY_REGISTERED = 1
    NOT_REGISTERED = 2
    FULL = 3
    NO_ZONE = 4
    DUPLICATE = 5  # the request names a member twice


class MemberRequest(NamedTuple):
    """A member in a registration request.

    Attributes:
        key: Address and port, the key of the registry.
        task: Allocated task index, or -1 if no index is left.
        zone: Index of the zone, or -1 if the address is in no known zone.
        label: Label that describes the member (`member_label`).
        self_registered: Whether the member registers itself, rather than an agent.
    """

    key: tuple
    task: int
    zone: int
    label: str
    self_registered: bool


class Registered(NamedTuple):
    """Members were registered on a stream."""

    stream: int
    members: tuple[MemberRequest, ...]


class Deregistered(NamedTuple):
    """Members were deregistered on a stream. If `keys` is None, all members that this stream has registered."""

    stream: int
    keys: tuple[tuple, ...] | None


class Quiesced(NamedTuple):
    """A member was set to draining, or back to ready if `draining` is False."""

    stream: int
    key: tuple
    draining: bool


class StreamLost(NamedTuple):
    """A stream has ended."""

    stream: int


class Tick(NamedTuple):
    """The time of `next_deadline` has passed."""


class RefreshRequested(NamedTuple):
    """The decision module requests the whole list."""


RegistrationEvent = Union[Registered, Deregistered, Quiesced, StreamLost, Tick, RefreshRequested]


class RegistrationOutcome(NamedTuple):
    """The outcome of an event.

    Attributes:
        change: The endpoint list update for the decision module, or None.
        refusal: The reason why the request was refused, or None.
        removed_keys: Keys of the members that were removed from the list.
    """

    change: EndpointListUpdate | None = None
    refusal: Refusal | None = None
    removed_keys: tuple[tuple, ...] = ()
