"""What assigners of one fleet say to each other."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union


class Status(IntEnum):
    """Of two words about one member with the same incarnation the larger one counts."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class MemberFacts(NamedTuple):
    """What a member says of itself. `run` names this start of it, `serves` the addresses (host:port) of its fronts by
    name, `weight` how many proxies it takes against others, `drains` that it takes none."""

    address: str
    run: str
    zone: str = ""
    weight: float = 1.0
    drains: bool = False
    serves: tuple[tuple[str, str], ...] = ()


class GossipMessage(NamedTuple):
    """News of a member. Only it itself raises its incarnation."""

    name: str
    status: int
    incarnation: int
    facts: MemberFacts


class Ping(NamedTuple):
    """Are you there? `target` names whom it is for: an address may bear another member by now."""

    number: int
    target: str
    words: tuple[GossipMessage, ...]


class Ack(NamedTuple):
    number: int
    words: tuple[GossipMessage, ...]


class Relay(NamedTuple):
    """Ping the target for me, and pass its ack on."""

    number: int
    target: str
    words: tuple[GossipMessage, ...]


class Join(NamedTuple):
    """The first word to a seed, or to one that was gone; answered with all that is known."""

    words: tuple[GossipMessage, ...]


class FullState(NamedTuple):
    words: tuple[GossipMessage, ...]


class ClaimedProxies(NamedTuple):
    """Proxies that the sender orders, with their fencing numbers; for watchers, never believed against a proxy's
    own word."""

    rows: tuple[tuple[str, int], ...]
    first: bool


class SharedEstimates(NamedTuple):
    """What the sender has learnt of tasks, by name: see `interface.Learnt`. `age`: ms since the newest was heard."""

    rows: tuple[tuple[str, float, float, float, float], ...]
    price: float
    age: int


Message = Union[Ping, Ack, Relay, Join, FullState, ClaimedProxies, SharedEstimates]
