"""Leases of the members of a fleet on its proxies.

Safety rests on fencing: the proxy numbers its requests, the member that answers a request puts its number on every
message that it sends, and the proxy refuses older numbers. During a network partition two members may both hold a lease
on a proxy, but the proxy accepts messages from only one of them, and the members need no agreement. (If members chose
the numbers themselves, above the highest that the proxy had accepted, a delayed grant of the former owner could carry a
higher number than the grant of the new owner. Model checking found that.)

The rest of this module only decides which member should hold a lease and when to stop serving a silent proxy:

- Rendezvous hashing over the live members determines the preferred owner of each proxy.
- A lease expires when its proxy has been silent for the duration of the lease, even if this process was paused
  meanwhile.
- Proxies move to their preferred owner only after it has been alive for the settle time, a few in each period.
- A proxy that can't reach its preferred owner makes a fallback request, which is granted by any member.
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
    LeaseRequested,
    MembersChanged,
    ProxyDisconnected,
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
    "LeaseRequested",
    "MemberState",
    "MembersChanged",
    "ProxyDisconnected",
    "ReleaseProxy",
    "StaleToken",
    "Tick",
    "TokenAcknowledged",
]

# Largest fraction of its proxies that a member releases in one period, but at least one proxy. Bounds the number of
# proxies that join their new owners at the same time.
MAX_MOVED_FRACTION = 0.1
# Lease durations for which a proxy accepted by a fallback request stays: its network path needs time to recover.
FALLBACK_HOLD_LEASES = 10
MAX_CLAIMS_PER_MEMBER = 100_000  # bounds the memory that one peer can use
NO_FALLBACK = -1  # replaces a time in `HeldLease.fallback_at_us`


class HeldLease:
    """A lease on one proxy. Times are in microseconds.

    Attributes:
        fencing_token: Number of the request for which the lease was granted.
        zone: Zone of the proxy.
        since_us: Time of the grant.
        renewed_at_us: Time of the proxy's last acknowledgment.
        fallback_at_us: Time of the grant if it answered a fallback request, otherwise `NO_FALLBACK`.
    """

    __slots__ = ("fallback_at_us", "fencing_token", "renewed_at_us", "since_us", "zone")

    def __init__(self, fencing_token: int, zone: str, now_us: int, is_fallback: bool) -> None:
        self.fencing_token = fencing_token
        self.zone = zone
        self.since_us = now_us
        self.renewed_at_us = now_us
        self.fallback_at_us = now_us if is_fallback else NO_FALLBACK


class LeaseManager:
    """The leases of one member. The caller passes in all times, in microseconds of a monotonic clock.

    Attributes:
        name: Name of this member.
        config: Durations of leases.
        members: Live members by name.
        held: Leases held by this member, by proxy.
        claims: Claims of the other members: fencing token by proxy, by member.
        draining: Whether this member has to give up all its proxies.
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
        """Process one event and return the actions to carry out, in order."""
        return self._HANDLERS[type(event)](self, now_us, event)

    def may_send_commands(self, now_us: int, uid: str) -> bool:
        """Return whether a command to this proxy may be sent now.

        A lease that has expired while the process was paused counts as ended immediately, before any `Tick`.
        """
        lease = self.held.get(uid)
        return lease is not None and now_us - lease.renewed_at_us <= self.config.duration_us

    def fencing_token(self, uid: str) -> int:
        """Return the token of the lease on this proxy, 0 if no lease is held."""
        lease = self.held.get(uid)
        return lease.fencing_token if lease is not None else 0

    def disagreements(self) -> list[Disagreement]:
        """Return the proxies that two members claim, by member and in the order of its claims, for operators."""
        claimed_by: dict[str, str] = dict.fromkeys(self.held, self.name)
        found = []
        for member in sorted(self.claims):
            for uid in self.claims[member]:
                if uid in claimed_by:
                    found.append(Disagreement(uid, claimed_by[uid], member))
                claimed_by[uid] = member
        return found

    def _on_lease_requested(self, now_us: int, event: LeaseRequested) -> list[Action]:
        lease = self.held.get(event.uid)
        if lease is not None and event.fencing_token < lease.fencing_token:
            self.counts["stale"] += 1
            return [StaleToken(event.uid)]
        owner = preferred_owner(event.uid, event.zone, self.members)
        # A proxy that connects to this member while its owner is suspected confirms the suspicion. Waiting until the
        # owner is declared gone would lengthen the takeover. If the suspicion was only due to packet loss, the proxy is
        # moved back later.
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
        if event.fencing_token > lease.fencing_token:  # the proxy has sent a request to another member meanwhile
            self.counts["fenced_out"] += 1
            del self.held[event.uid]
            return [ReleaseProxy(event.uid, "another orders it")]
        lease.renewed_at_us = now_us
        return []

    def _on_proxy_disconnected(self, _now_us: int, event: ProxyDisconnected) -> list[Action]:
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
        actions = self._expire_leases(now_us)
        if now_us >= self._next_moves_at_us:
            self._next_moves_at_us = now_us + self.config.move_period_us
            actions += self._move_proxies(now_us)
        return actions

    def _expire_leases(self, now_us: int) -> list[Action]:
        actions: list[Action] = []
        for uid, lease in list(self.held.items()):
            if now_us - lease.renewed_at_us > self.config.duration_us:
                self.counts["lapsed"] += 1
                del self.held[uid]
                actions.append(ReleaseProxy(uid, "its lease ran out"))
        return actions

    def _move_proxies(self, now_us: int) -> list[Action]:
        """Release some of the proxies whose preferred owner is another member, the longest held first."""
        candidates = self._settled_members(now_us)
        due = []
        for uid, lease in self.held.items():
            owner = preferred_owner(uid, lease.zone, candidates)
            if owner and owner != self.name and not self._must_stay(now_us, lease, candidates[owner]):
                due.append((lease.since_us, uid, owner))
        due.sort()
        actions: list[Action] = []
        for _, uid, owner in due[: ceil(MAX_MOVED_FRACTION * len(self.held))]:
            self.counts["handed_over"] += 1
            del self.held[uid]
            actions.append(ReleaseProxy(uid, "handed over", owner))
        return actions

    def _settled_members(self, now_us: int) -> Mapping[str, MemberState]:
        """Return the members that have been alive for the settle time, or all if none of those accepts proxies."""
        settled = {
            name: member
            for name, member in self.members.items()
            if name == self.name or now_us - member.since_us >= self.config.settle_us
        }
        return settled if any(member.accepts_proxies for member in settled.values()) else self.members

    def _must_stay(self, now_us: int, lease: HeldLease, owner: MemberState) -> bool:
        """Return whether a proxy must not move to its preferred owner yet; never while this member drains.

        A proxy with a new lease stays for the settle time, so that a flapping member does not cause proxies to move
        back and forth. After a fallback request the proxy stays longer, unless its preferred owner has come back since.
        """
        if self.draining:
            return False
        if now_us - lease.since_us < self.config.settle_us:
            return True
        was_unreachable = owner.since_us <= lease.fallback_at_us
        hold_us = FALLBACK_HOLD_LEASES * self.config.duration_us
        return was_unreachable and now_us - lease.fallback_at_us < hold_us

    _HANDLERS: ClassVar[Mapping[type, Callable[[LeaseManager, int, Any], list[Action]]]] = {
        LeaseRequested: _on_lease_requested,
        TokenAcknowledged: _on_token_acknowledged,
        ProxyDisconnected: _on_proxy_disconnected,
        MembersChanged: _on_members_changed,
        ClaimsReceived: _on_claims_received,
        Tick: _on_tick,
    }
