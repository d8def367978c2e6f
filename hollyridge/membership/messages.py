"""Messages between the assigners of one fleet.

Each message is encoded as a msgpack array of its fields by position, so fields may be renamed, but neither reordered
nor removed.
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
    """The properties that a member publishes about itself.

    Attributes:
        address: Address (host:port) at which the member receives datagrams.
        run_id: Random identifier of the member's current run, which changes with each restart.
        zone: Zone of the member; empty if it has none.
        weight: Share of the proxies, relative to the other members.
        draining: Whether the member accepts no more proxies.
        services: Pairs of service name (`sasp`, `otlp`, `clone`) and address (host:port).
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
        name: Name of the member.
        status: State of the member, a `Status`.
        incarnation: Number by which updates about one member are ordered.
        facts: Facts that the member published with this incarnation.
    """

    name: str
    status: int
    incarnation: int
    facts: MemberFacts


class Ping(NamedTuple):
    """A probe. `target` names the recipient, because its address may belong to another member meanwhile."""

    sequence: int
    target: str
    updates: tuple[GossipMessage, ...]


class Ack(NamedTuple):
    """The answer to the probe with this sequence number."""

    sequence: int
    updates: tuple[GossipMessage, ...]


class PingRequest(NamedTuple):
    """An indirect probe, whose recipient has to ping the target and to forward its ack."""

    sequence: int
    target: str
    updates: tuple[GossipMessage, ...]


class Join(NamedTuple):
    """The first message to a seed or to a member that was unreachable, answered by `FullState`."""

    updates: tuple[GossipMessage, ...]


class FullState(NamedTuple):
    """The state of all members that the sender knows, starting with the sender itself."""

    updates: tuple[GossipMessage, ...]


class ClaimedProxies(NamedTuple):
    """Part of the list of proxies that the sender owns.

    The list is for operators only, because a proxy's own requests always take precedence.

    Attributes:
        claims: Pairs of proxy and fencing token.
        starts_list: Whether this part is the first of a new list.
    """

    claims: tuple[tuple[str, int], ...]
    starts_list: bool


class SharedEstimates(NamedTuple):
    """Estimates that the sender has learned about tasks.

    Attributes:
        estimates: Rows with the fields of `interface.LearnedEstimate`, with the task's name in place of its index.
        push_price: The sender's price of pushing updates.
        age_ms: Time since the newest estimate was confirmed, in milliseconds.
    """

    estimates: tuple[tuple[str, float, float, float, float], ...]
    push_price: float
    age_ms: int


Message = Union[Ping, Ack, PingRequest, Join, FullState, ClaimedProxies, SharedEstimates]
