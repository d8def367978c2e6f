"""Weighted rendezvous hashing (Thaler and Ravishankar, 1998): which member should own which proxy.

A change of members moves only the proxies that it must. Scores rest on whole numbers of a published hash, so all
members arrive at the same owner.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import log
from typing import NamedTuple

from xxhash import xxh64_intdigest

SAME_ZONE_FACTOR = 4.0  # on the weight of a member in the proxy's own zone: keeps most traffic in the zone
HASH_SHIFT = 12  # bits of the 64 dropped: a float holds the rest exactly, with the half that keeps it above zero
HASH_RANGE = 2.0**52


class MemberState(NamedTuple):
    """A live member as a candidate for owning proxies.

    Attributes:
        zone: Its zone; empty if it has none.
        weight: Its share of the proxies, relative to the other members; 0 takes none.
        since_us: When it was first seen alive.
        accepts_proxies: False while it drains.
        suspected: Whether failure detection suspects it.
    """

    zone: str
    weight: float
    since_us: int
    accepts_proxies: bool = True
    suspected: bool = False


def rendezvous_score(uid: str, member: str, weight: float) -> float:
    """Scores a member for a proxy; the highest score wins.

    >>> rendezvous_score("gw-1", "a", 1.0) > 0, rendezvous_score("gw-1", "a", 0.0)
    (True, 0.0)
    """
    if weight <= 0:
        return 0.0
    digest = xxh64_intdigest(f"{member}\0{uid}".encode())
    uniform = ((digest >> HASH_SHIFT) + 0.5) / HASH_RANGE
    return -weight / log(uniform)


def preferred_owner(uid: str, zone: str, members: Mapping[str, MemberState]) -> str:
    """Names the member that should own a proxy; empty if none accepts any.

    >>> three = {name: MemberState("", 1.0, 0) for name in "abc"}
    >>> before = {f"gw-{k}": preferred_owner(f"gw-{k}", "", three) for k in range(300)}
    >>> del three["b"]
    >>> moved = sum(preferred_owner(uid, "", three) != owner for uid, owner in before.items())
    >>> moved == list(before.values()).count("b")
    True
    """
    scores = (
        (
            rendezvous_score(uid, name, member.weight * (SAME_ZONE_FACTOR if zone and member.zone == zone else 1.0)),
            name,
        )
        for name, member in members.items()
        if member.accepts_proxies
    )
    score, name = max(scores, default=(0.0, ""))
    return name if score > 0 else ""
