"""The status page `/peers`: members, leases and conflicting claims as one assigner sees them.

The keys of the page are a published format.
"""

from __future__ import annotations

from typing import Any

from hollyridge.membership.leases import HeldLease, LeaseManager
from hollyridge.membership.member_table import Member
from hollyridge.membership.swim import Swim

MAX_DISAGREEMENTS = 100  # shown on the page; further ones have the same cause
RUN_ID_DIGITS = 8  # shown on the page, enough to distinguish runs
US_PER_S = 1e6


def peers_page(now_us: int, swim: Swim, leases: LeaseManager, counts: dict[str, int]) -> dict[str, Any]:
    """Return the content of the page."""
    members = {
        name: _member_entry(now_us, member, len(leases.claims.get(name, ())))
        for name, member in sorted(swim.members.items())
    }
    return {
        "name": leases.name,
        "run": swim.facts.run_id[:RUN_ID_DIGITS],
        "drains": leases.draining,
        "members": members,
        "owns": {uid: _lease_entry(now_us, lease) for uid, lease in sorted(leases.held.items())},
        "disagreements": leases.disagreements()[:MAX_DISAGREEMENTS],
        "counts": counts,
    }


def _member_entry(now_us: int, member: Member, claims: int) -> dict[str, Any]:
    facts = member.facts
    return {
        "status": member.status.name.lower(),
        "incarnation": member.incarnation,
        "zone": facts.zone,
        "weight": facts.weight,
        "drains": facts.draining,
        "run": facts.run_id[:RUN_ID_DIGITS],
        "since_s": round((now_us - member.since_us) / US_PER_S, 1),
        "serves": dict(facts.services),
        "claims": claims,
    }


def _lease_entry(now_us: int, lease: HeldLease) -> dict[str, Any]:
    return {
        "fence": lease.fencing_token,
        "since_s": round((now_us - lease.since_us) / US_PER_S, 1),
        "heard_s": round((now_us - lease.renewed_at_us) / US_PER_S, 1),
        "plea": lease.fallback_at_us >= 0,
    }
