"""Weighted rendezvous hashing (Thaler and Ravishankar, 1998), which maps each proxy to its preferred owner.

When members change, only the proxies of the affected members move. Scores are computed from the integers of a published
hash function, so all members determine the same owner.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import log
from typing import NamedTuple

from xxhash import xxh64_intdigest

SAME_ZONE_FACTOR = 4.0  # multiplies the weight of a member in the proxy's own zone: keeps most traffic in the zone
# Number of the 64 bits that are dropped. A float holds the remaining ones exactly, together with the added half that
# keeps the value above zero.
HASH_SHIFT = 12
HASH_RANGE = 2.0**52


class MemberState(NamedTuple):
    """A live member as a candidate for owning proxies.

    Attributes:
        zone: Zone of the member; empty if it has none.
        weight: Share of the proxies, relative to the other members; 0 for none.
        since_us: Time at which the member was first seen alive, in microseconds.
        accepts_proxies: Whether the member accepts proxies; False while it drains.
        suspected: Whether failure detection suspects the member.
    """

    zone: str
    weight: float
    since_us: int
    accepts_proxies: bool = True
    suspected: bool = False


def rendezvous_score(uid: str, member: str, weight: float) -> float:
    """Return the score of a member for a proxy; the highest score wins.

    >>> rendezvous_score("gw-1", "a", 1.0) > 0, rendezvous_score("gw-1", "a", 0.0)
    (True, 0.0)
    """
    if weight <= 0:
        return 0.0
    digest = xxh64_intdigest(f"{member}\0{uid}".encode())
    uniform = ((digest >> HASH_SHIFT) + 0.5) / HASH_RANGE
    return -weight / log(uniform)


def preferred_owner(uid: str, zone: str, members: Mapping[str, MemberState]) -> str:
    """Return the name of the member that should own a proxy; empty if no member accepts proxies.

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
