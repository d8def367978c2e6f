"""The messages between assigners of one fleet.

On the wire each is a msgpack array of its fields by position: fields may be renamed, but neither reordered nor removed.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union


class Status(IntEnum):
    """The state of a member. Of two updates with the same incarnation the one with the larger status wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class MemberFacts(NamedTuple):
    """What a member states about itself.

    Attributes:
        address: Where it receives datagrams, host:port.
        run_id: Random name of this run of it; a restart has another one.
        zone: Its zone; empty if it has none.
        weight: Its share of the proxies, relative to the other members.
        draining: Whether it takes no more proxies.
        services: Address (host:port) by service name: `sasp`, `otlp`, `clone`.
    """

    address: str
    run_id: str
    zone: str = ""
    weight: float = 1.0
    draining: bool = False
    services: tuple[tuple[str, str], ...] = ()


class GossipMessage(NamedTuple):
    """An update about one member. Only the member itself raises its incarnation.

    Attributes:
        name: Its name.
        status: A `Status`.
        incarnation: Orders updates about one member.
        facts: What it stated under this incarnation.
    """

    name: str
    status: int
    incarnation: int
    facts: MemberFacts


class Ping(NamedTuple):
    """A probe. `target` names its recipient, as an address may belong to another member by now."""

    sequence: int
    target: str
    updates: tuple[GossipMessage, ...]


class Ack(NamedTuple):
    """The answer to the probe of this sequence number."""

    sequence: int
    updates: tuple[GossipMessage, ...]


class PingRequest(NamedTuple):
    """An indirect probe: the recipient is asked to ping the target and to pass its ack on."""

    sequence: int
    target: str
    updates: tuple[GossipMessage, ...]


class Join(NamedTuple):
    """The first message to a seed or to a member that was unreachable; answered by `FullState`."""

    updates: tuple[GossipMessage, ...]


class FullState(NamedTuple):
    """All members that the sender knows, itself first."""

    updates: tuple[GossipMessage, ...]


class ClaimedProxies(NamedTuple):
    """Part of the list of proxies that the sender owns. For operators only: a proxy's own requests always win.

    Attributes:
        claims: Proxies with their fencing tokens.
        starts_list: Whether this part is the first of a new list.
    """

    claims: tuple[tuple[str, int], ...]
    starts_list: bool


class SharedEstimates(NamedTuple):
    """What the sender has learned about tasks.

    Attributes:
        estimates: The fields of `interface.LearnedEstimate`, with the task's name in place of its index.
        push_price: The sender's price of pushing updates.
        age_ms: Time since the newest estimate was confirmed.
    """

    estimates: tuple[tuple[str, float, float, float, float], ...]
    push_price: float
    age_ms: int


Message = Union[Ping, Ack, PingRequest, Join, FullState, ClaimedProxies, SharedEstimates]
