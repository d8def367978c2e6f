"""Which member of a fleet owns which proxy, and until when.

Fencing makes it safe: the proxy numbers its requests, the member that answers puts the number on all that it sends, and
the proxy refuses older numbers. During a network partition two members may both hold a lease on a proxy, but it obeys
only one, with no agreement between them. (If members chose the numbers themselves, above the highest that the proxy had
accepted, a delayed grant of the former owner could stand above the new owner's; model checking found that.)

All else here decides only who should hold the lease and when to stop serving a silent proxy:

- Placement is by rendezvous hashing over the members that are alive.
- A lease lapses when its proxy has been silent for the lease's duration, also if this process was paused meanwhile.
- Proxies move to their preferred owner only once that has been alive for the settle time, a few in each period.
- A proxy that can't reach its preferred owner is served all the same: that is a fallback request.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import ceil
from typing import Any, ClassVar

from hollyridge.membership.lease_events import (
    Action,
    ClaimsReceived,
    Disagreement,
    Event,
    ForwardProxy,
    LeaseConfig,
    LeaseGranted,
    MembersChanged,
    ProxyAsked,
    ProxyEnded,
    ReleaseProxy,
    StaleToken,
    Tick,
    TokenAcknowledged,
)
from hollyridge.membership.rendezvous import MemberState, preferred_owner

__all__ = [
    "Action",
    "ClaimsReceived",
    "Disagreement",
    "Event",
    "ForwardProxy",
    "HeldLease",
    "LeaseConfig",
    "LeaseGranted",
    "LeaseManager",
    "MemberState",
    "MembersChanged",
    "ProxyAsked",
    "ProxyEnded",
    "ReleaseProxy",
    "StaleToken",
    "Tick",
    "TokenAcknowledged",
]

MAX_MOVED_FRACTION = 0.1  # of its proxies that a member releases in a period, one at the least: no wave of joins
FALLBACK_REST_LEASES = 10  # lease durations that a proxy taken as a fallback stays: its path needs time to heal
MAX_CLAIMS_PER_MEMBER = 100_000  # bounds the memory that one peer can use up
NO_FALLBACK = -1  # in place of a time


class HeldLease:
    """A lease on one proxy. Times in microseconds.

    Attributes:
        fencing_token: Number of the request that it was granted for.
        zone: The proxy's zone.
        since_us: When it was granted.
        renewed_at_us: When the proxy was last heard from.
        fallback_at_us: When a fallback request was granted, else `NO_FALLBACK`.
    """

    __slots__ = ("fallback_at_us", "fencing_token", "renewed_at_us", "since_us", "zone")

    def __init__(self, fencing_token: int, zone: str, now_us: int, is_fallback: bool) -> None:
        self.fencing_token = fencing_token
        self.zone = zone
        self.since_us = now_us
        self.renewed_at_us = now_us
        self.fallback_at_us = now_us if is_fallback else NO_FALLBACK


class LeaseManager:
    """The leases of one member. All times are handed in, in microseconds of a clock that never steps.

    Attributes:
        name: This member.
        config: Durations.
        members: Members that are alive, by name.
        held: The leases held, by proxy.
        claims: Fencing tokens by proxy that each other member claims, by member.
        draining: Whether this member is to give up all its proxies.
        counts: Totals for the status page.
    """

    def __init__(self, name: str, config: LeaseConfig) -> None:
        self.name = name
        self.config = config
        self.members: dict[str, MemberState] = {}
        self.held: dict[str, HeldLease] = {}
        self.claims: dict[str, dict[str, int]] = {}
        self.draining = False
        self.counts = dict.fromkeys(("taken", "pleas", "stale", "sent_on", "lapsed", "fenced_out", "handed_over"), 0)
        self._next_moves_at_us = 0

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Processes one event and returns the actions that are to be carried out, in order."""
        return self._HANDLERS[type(event)](self, now_us, event)

    def may_order(self, now_us: int, uid: str) -> bool:
        """Tells whether a command to this proxy may be sent now.

        A lease that ran out while the process was paused counts as ended at once, before any `Tick`.
        """
        lease = self.held.get(uid)
        return lease is not None and now_us - lease.renewed_at_us <= self.config.duration_us

    def fencing_token(self, uid: str) -> int:
        """Returns the token of the lease on this proxy, 0 if none is held."""
        lease = self.held.get(uid)
        return lease.fencing_token if lease is not None else 0

    def disagreements(self) -> list[Disagreement]:
        """Lists proxies that two members claim, by member and order of its claims. For operators."""
        claimed_by: dict[str, str] = dict.fromkeys(self.held, self.name)
        found = []
        for member in sorted(self.claims):
            for uid in self.claims[member]:
                if uid in claimed_by:
                    found.append(Disagreement(uid, claimed_by[uid], member))
                claimed_by[uid] = member
        return found

    def _on_proxy_asked(self, now_us: int, event: ProxyAsked) -> list[Action]:
        lease = self.held.get(event.uid)
        if lease is not None and event.fencing_token < lease.fencing_token:
            self.counts["stale"] += 1
            return [StaleToken(event.uid)]
        owner = preferred_owner(event.uid, event.zone, self.members)
        # A proxy that looks elsewhere while its owner is suspected confirms the suspicion: waiting until the owner is
        # declared gone would add to the takeover. Packet loss may make this wrong; the proxy is moved back later.
        is_fallback = event.fallback_request or (owner in self.members and self.members[owner].suspected)
        if owner and owner != self.name and not is_fallback:
            self.counts["sent_on"] += 1
            self.held.pop(event.uid, None)
            return [ForwardProxy(event.uid, owner)]
        self.counts["taken"] += 1
        self.counts["pleas"] += is_fallback
        self.held[event.uid] = HeldLease(
            event.fencing_token, event.zone, now_us, is_fallback=is_fallback and owner != self.name
        )
        return [LeaseGranted(event.uid, event.fencing_token)]

    def _on_token_acknowledged(self, now_us: int, event: TokenAcknowledged) -> list[Action]:
        lease = self.held.get(event.uid)
        if lease is None:
            return []
        if event.fencing_token > lease.fencing_token:  # it has asked another member meanwhile
            self.counts["fenced_out"] += 1
            del self.held[event.uid]
            return [ReleaseProxy(event.uid, "another orders it")]
        lease.renewed_at_us = now_us
        return []

    def _on_proxy_ended(self, _now_us: int, event: ProxyEnded) -> list[Action]:
        self.held.pop(event.uid, None)
        return []

    def _on_members_changed(self, _now_us: int, event: MembersChanged) -> list[Action]:
        self.members = dict(event.members)
        self.claims = {member: claims for member, claims in self.claims.items() if member in self.members}
        return []

    def _on_claims_received(self, _now_us: int, event: ClaimsReceived) -> list[Action]:
        claims = self.claims.setdefault(event.member, {})
        if event.starts_list:
            claims.clear()
        claims.update(event.claims[: max(0, MAX_CLAIMS_PER_MEMBER - len(claims))])
        return []

    def _on_tick(self, now_us: int, _event: Tick) -> list[Action]:
        actions = self._lapse(now_us)
        if now_us >= self._next_moves_at_us:
            self._next_moves_at_us = now_us + self.config.move_period_us
            actions += self._move(now_us)
        return actions

    def _lapse(self, now_us: int) -> list[Action]:
        actions: list[Action] = []
        for uid, lease in list(self.held.items()):
            if now_us - lease.renewed_at_us > self.config.duration_us:
                self.counts["lapsed"] += 1
                del self.held[uid]
                actions.append(ReleaseProxy(uid, "its lease ran out"))
        return actions

    def _move(self, now_us: int) -> list[Action]:
        """Releases some of the proxies that prefer other members, the longest held first."""
        candidates = self._settled_members(now_us)
        due = []
        for uid, lease in self.held.items():
            owner = preferred_owner(uid, lease.zone, candidates)
            if owner and owner != self.name and not self._rests(now_us, lease, candidates[owner]):
                due.append((lease.since_us, uid, owner))
        due.sort()
        actions: list[Action] = []
        for _, uid, owner in due[: ceil(MAX_MOVED_FRACTION * len(self.held))]:
            self.counts["handed_over"] += 1
            del self.held[uid]
            actions.append(ReleaseProxy(uid, "handed over", owner))
        return actions

    def _settled_members(self, now_us: int) -> Mapping[str, MemberState]:
        """Members alive for the settle time; all of them if no settled one accepts proxies."""
        settled = {
            name: member
            for name, member in self.members.items()
            if name == self.name or now_us - member.since_us >= self.config.settle_us
        }
        return settled if any(member.accepts_proxies for member in settled.values()) else self.members

    def _rests(self, now_us: int, lease: HeldLease, owner: MemberState) -> bool:
        """Tells whether a lease is not to move to its preferred owner yet; none rests while this member drains.

        A new lease rests for the settle time, so that a member that flaps moves no proxy back and forth. A fallback
        rests longer, unless its preferred owner has come back since.
        """
        if self.draining:
            return False
        if now_us - lease.since_us < self.config.settle_us:
            return True
        was_unreachable = owner.since_us <= lease.fallback_at_us
        rest_us = FALLBACK_REST_LEASES * self.config.duration_us
        return was_unreachable and now_us - lease.fallback_at_us < rest_us

    _HANDLERS: ClassVar[Mapping[type, Callable[[LeaseManager, int, Any], list[Action]]]] = {
        ProxyAsked: _on_proxy_asked,
        TokenAcknowledged: _on_token_acknowledged,
        ProxyEnded: _on_proxy_ended,
        MembersChanged: _on_members_changed,
        ClaimsReceived: _on_claims_received,
        Tick: _on_tick,
    }
