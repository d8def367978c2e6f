"""Ownership of proxies by assigners, and conflicting updates of two owners, from the messages on the sockets."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from itertools import pairwise
from statistics import median
from typing import NamedTuple

from hollyridge.lab.checks.evidence import Evidence, JoinSpan

US_PER_S = 1e6


class Gap(NamedTuple):
    """A time in which a proxy had no owner. The names of the fields are keys of `--json`.

    Attributes:
        proxy: The proxy.
        seconds: Length of the gap.
    """

    proxy: str
    seconds: float


def gaps(evidence: Evidence) -> list[Gap]:
    """Return the times between the loss of a proxy's owner and its next join.

    A proxy loses its owner when the owner is killed or stalls, or when the stream to it ends, whichever is first.
    """
    down, killed = _outages(evidence)
    found = []
    for proxy, spans in evidence.joined.items():
        for span, following in zip(spans, [*spans[1:], None]):
            if following is None and (span.until >= evidence.end or proxy in killed):
                continue  # the proxy had its owner until the end
            lost_at = _lost_at(span, down[span.assigner])
            until = following.since if following is not None else evidence.end
            if until > lost_at:
                found.append(Gap(proxy, round((until - lost_at) / US_PER_S, 4)))
    return found


def _outages(evidence: Evidence) -> tuple[dict[int, list[int]], set[str]]:
    """Return the times of each assigner's kills and stalls, in microseconds, and the proxies that were killed."""
    down: dict[int, list[int]] = defaultdict(list)
    killed: set[str] = set()
    for row in evidence.rows:
        if (row["k"] == "assigner" and not row["up"]) or row["k"] == "stalled":
            down[row.get("number", row.get("assigner", 0))].append(row["t"])
        elif row["k"] == "proxy_down":
            killed.add(row["proxy"])
    return down, killed


def _lost_at(span: JoinSpan, down: list[int]) -> int:
    """Return the first outage of the assigner within the span; the end of the span if there is none."""
    first = bisect_right(down, span.since)
    return min([span.until, *(at for at in down[first:] if at < span.until)])


def count_conflicting_updates(rows: Iterable[dict]) -> int:
    """Return the number of updates that a proxy applied although it should have rejected them.

    These are updates that answer an older request than one whose updates were applied already, and updates of another
    assigner than the one that answered the same request.
    """
    newest: dict[str, tuple[int, int]] = {}
    count = 0
    for row in rows:
        if row["k"] == "applied" and row["asked"]:
            newest_request, assigner = newest.get(row["proxy"], (0, -1))
            count += row["asked"] < newest_request or (row["asked"] == newest_request and row["assigner"] != assigner)
            if row["asked"] >= newest_request:
                newest[row["proxy"]] = row["asked"], row["assigner"]
    return count


def longest_double_claim_s(rows: Iterable[dict]) -> float:
    """Return the longest time, in seconds, that two assigners claimed one proxy, as they report twice a second."""
    claims: dict[int, frozenset[str]] = {}
    since: dict[str, int] = {}
    longest_us = 0
    for row in rows:
        if row["k"] == "assigner":
            claims.pop(row["number"], None)
        elif row["k"] == "claims":
            claims[row["assigner"]] = frozenset(row["uids"])
            since = {uid: since.get(uid, row["t"]) for uid in _claimed_twice(claims)}
            longest_us = max([longest_us, *(row["t"] - begun for begun in since.values())])
    return longest_us / US_PER_S


def _claimed_twice(claims: dict[int, frozenset[str]]) -> list[str]:
    counts: dict[str, int] = defaultdict(int)
    for uids in claims.values():
        for uid in uids:
            counts[uid] += 1
    return [uid for uid, count in counts.items() if count > 1]


def moves(evidence: Evidence) -> int:
    """Return the number of changes of owner."""
    return sum(
        before.assigner != after.assigner for spans in evidence.joined.values() for before, after in pairwise(spans)
    )


def ownership_figures(evidence: Evidence) -> dict:
    """Return the ownership figures of a day in a shared fleet in the form of `--json`."""
    seconds = sorted(gap.seconds for gap in gaps(evidence))
    return {
        "orphaned": len(seconds),
        "orphaned_median_s": round(median(seconds), 3) if seconds else 0.0,
        "orphaned_max_s": seconds[-1] if seconds else 0.0,
        "doubly_ordered": count_conflicting_updates(evidence.rows),
        "believed_by_two_s": longest_double_claim_s(evidence.rows),
        "moves": moves(evidence),
    }
