"""Which assigner orders which proxy.

The proxy is the judge. It numbers its questions, the number is the fence that whoever takes it puts on its orders, and
orders under older numbers are refused: two assigners may both believe that they own it, for as long as a cut lasts, and
only one is obeyed, with no agreement between them. (A first form let assigners choose the numbers, above the highest
that the proxy had obeyed; exploring it found a late grant of the former owner that stood above the new one's.) All else
here only decides who should take it, and when to stop sending to one that is no longer heard of:

- *should*: weighted rendezvous hashing (Thaler and Ravishankar, 1998) over the members that are there, the proxy's own
  zone counted `NEAR` times, so that a change of members moves only what it must;
- *lease*: who has not heard of a proxy for a lease stops ordering it, also when it wakes after standing still;
- *moves*: back to the rightful one only after that has stood for `settle`, so many a period, never in a wave;
- *plea*: a proxy that could not reach the rightful one is taken all the same.

`handle(now, what)` returns what is to be done. Times in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil, log
from typing import NamedTuple, Union

from xxhash import xxh64_intdigest

NEAR = 4.0  # times its weight that a member of the proxy's own zone counts
PART = 0.1  # of its proxies that an assigner hands back in a period, one at the least
PLEA = 10  # leases that one who came by a plea is left in peace
KNOWN = 100_000  # proxies remembered that are not ours


class MemberState(NamedTuple):
    """A member that is there: since when, whether it takes proxies, and whether it is suspected to be gone."""

    zone: str
    weight: float
    since: int
    takes: bool = True
    doubted: bool = False


class LeaseConfig(NamedTuple):
    """`duration_us` of a lease, `settle_us` before anything moves to a member that came, `move_period_us` of moves."""

    duration_us: int
    settle_us: int
    move_period_us: int


class ProxyAsked(NamedTuple):
    """A proxy asks to be ordered, under this number; `plea`: it could not reach whom it was sent to."""

    uid: str
    zone: str
    asked: int
    plea: bool


class TokenAcknowledged(NamedTuple):
    """A proxy has told that it still hears us, and its newest number."""

    uid: str
    asked: int


class ProxyEnded(NamedTuple):
    uid: str


class MembersChanged(NamedTuple):
    """Who is there now, oneself included."""

    members: dict[str, MemberState]


class Claims(NamedTuple):
    """What another member says that it orders; `first` begins a new list."""

    name: str
    rows: tuple[tuple[str, int], ...]
    first: bool


class Tick(NamedTuple):
    pass


class LeaseGranted(NamedTuple):
    """It is ours, under this fencing number."""

    uid: str
    fencing_token: int


class StaleToken(NamedTuple):
    """An older question than one that was answered: nothing is to be done."""

    uid: str


class ForwardProxy(NamedTuple):
    """It should be ordered by that member."""

    uid: str
    owner: str


class ReleaseProxy(NamedTuple):
    """It is not ours any more; end its stream. `to`: who should have it, empty if whoever it finds."""

    uid: str
    why: str
    to: str = ""


Do = Union[LeaseGranted, StaleToken, ForwardProxy, ReleaseProxy]


class Claim:
    __slots__ = ("fence", "zone", "since", "renewed_at_us", "fallback_at_us")

    def __init__(self, fence: int, zone: str, now: int, pleaded: bool) -> None:
        self.fence, self.zone, self.since, self.renewed_at_us = fence, zone, now, now
        self.fallback_at_us = now if pleaded else -1


def score(uid: str, name: str, weight: float) -> float:
    """Of a member for a proxy: the highest one should have it. Whole numbers of a published hash: the same anywhere.

    >>> score("gw-1", "a", 1.0) > 0, score("gw-1", "a", 0.0)
    (True, 0.0)
    """
    if weight <= 0:
        return 0.0
    return -weight / log(((xxh64_intdigest(f"{name}\0{uid}".encode()) >> 12) + 0.5) / 2.0**52)


def rightful(uid: str, zone: str, standing: Mapping[str, MemberState]) -> str:
    """Who should order a proxy; empty if nobody takes any.

    >>> three = {name: MemberState("", 1.0, 0) for name in "abc"}
    >>> before = {f"gw-{k}": rightful(f"gw-{k}", "", three) for k in range(300)}
    >>> del three["b"]
    >>> sum(rightful(uid, "", three) != name for uid, name in before.items()) == list(before.values()).count("b")
    True
    """
    best = max(
        (
            (score(uid, name, one.weight * (NEAR if zone and one.zone == zone else 1.0)), name)
            for name, one in standing.items()
            if one.takes
        ),
        default=(0.0, ""),
    )
    return best[1] if best[0] > 0 else ""


class LeaseManager:
    """One assigner's side; `name` is its own."""

    def __init__(self, name: str, lease: LeaseConfig) -> None:
        self.name, self.lease = name, lease
        self.members: dict[str, MemberState] = {}
        self.held: dict[str, Claim] = {}
        self.others: dict[str, dict[str, int]] = {}  # by member: proxies that it says it orders
        self.next_moves = 0
        self.draining = False
        self.counts = dict.fromkeys(("taken", "pleas", "stale", "sent_on", "lapsed", "fenced_out", "handed_over"), 0)

    def handle(self, now: int, what) -> list[Do]:
        if isinstance(what, ProxyAsked):
            return self.came(now, what)
        if isinstance(what, TokenAcknowledged):
            claim = self.held.get(what.uid)
            if claim is not None and what.asked > claim.fence:  # it obeys another by now
                self.counts["fenced_out"] += 1
                del self.held[what.uid]
                return [ReleaseProxy(what.uid, "another orders it")]
            if claim is not None:
                claim.renewed_at_us = now
        elif isinstance(what, ProxyEnded):
            self.held.pop(what.uid, None)
        elif isinstance(what, MembersChanged):
            self.members = dict(what.members)
            self.others = {name: rows for name, rows in self.others.items() if name in self.members}
        elif isinstance(what, Claims):
            rows = self.others.setdefault(what.name, {})
            if what.first:
                rows.clear()
            rows.update(what.rows[: max(0, KNOWN - len(rows))])
        elif isinstance(what, Tick):
            return self.tick(now)
        return []

    def may_order(self, now: int, uid: str) -> bool:
        """Whether an order to this proxy may leave now: a lease that ran out while we stood still ends that at once,
        before any look at it."""
        claim = self.held.get(uid)
        return claim is not None and now - claim.renewed_at_us <= self.lease.duration_us

    def fencing_token(self, uid: str) -> int:
        claim = self.held.get(uid)
        return claim.fence if claim is not None else 0

    def came(self, now: int, what: ProxyAsked) -> list[Do]:
        before = self.held.get(what.uid)
        if before is not None and what.asked < before.fence:
            self.counts["stale"] += 1
            return [StaleToken(what.uid)]
        to = rightful(what.uid, what.zone, self.members)
        # Who looks elsewhere while its owner is suspected says the same as the suspicion: waiting for it to be gone
        # would cost the time of a takeover. It may hurt where loss makes a suspicion; it is moved back later.
        plea = what.plea or to in self.members and self.members[to].doubted
        if to and to != self.name and not plea:
            self.counts["sent_on"] += 1
            self.held.pop(what.uid, None)
            return [ForwardProxy(what.uid, to)]
        self.counts["taken"] += 1
        self.counts["pleas"] += plea
        self.held[what.uid] = Claim(what.asked, what.zone, now, plea and to != self.name)
        return [LeaseGranted(what.uid, what.asked)]

    def tick(self, now: int) -> list[Do]:
        out: list[Do] = []
        for uid, claim in list(self.held.items()):
            if now - claim.renewed_at_us > self.lease.duration_us:
                self.counts["lapsed"] += 1
                del self.held[uid]
                out.append(ReleaseProxy(uid, "its lease ran out"))
        if now >= self.next_moves:
            self.next_moves = now + self.lease.move_period_us
            out += self.moves(now)
        return out

    def moves(self, now: int) -> list[Do]:
        """Some of those that others should have, the longest held first; a new claim rests for the time that a member
        has to stand, so that a member that flaps moves nobody to and fro."""
        settled = {
            name: one
            for name, one in self.members.items()
            if name == self.name or now - one.since >= self.lease.settle_us
        }
        there = settled if any(one.takes for one in settled.values()) else self.members
        due = []
        for uid, claim in self.held.items():
            to = rightful(uid, claim.zone, there)
            rests = now - claim.since < self.lease.settle_us and not self.draining
            same = (
                to in there and there[to].since <= claim.fallback_at_us
            )  # not one that was gone then and has come back
            pleads = same and now - claim.fallback_at_us < PLEA * self.lease.duration_us and not self.draining
            if to and to != self.name and not rests and not pleads:
                due.append((claim.since, uid, to))
        due.sort()
        out = []
        for _, uid, to in due[: ceil(PART * len(self.held))]:
            self.counts["handed_over"] += 1
            del self.held[uid]
            out.append(ReleaseProxy(uid, "handed over", to))
        return out

    def disagreements(self) -> list[tuple[str, str, str]]:
        """Proxies that two members say they order: uid, who, who. For watchers."""
        seen: dict[str, str] = dict.fromkeys(self.held, self.name)
        found = []
        for name in sorted(self.others):
            for uid in self.others[name]:
                if uid in seen:
                    found.append((uid, seen[uid], name))
                seen[uid] = name
        return found
