"""Who owned which proxy when, and who was ordered by two: from recordings of what passed on the sockets."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from hollyridge.lab.checks.checker import Evidence


class Gap(NamedTuple):
    """A proxy without an owner, in seconds."""

    proxy: str
    seconds: float


def gaps(seen: Evidence) -> list[Gap]:
    """From when a proxy's owner was gone (killed, or standing still, whichever the proxy left it for) or its stream
    ended, till it was joined to one again."""
    down: dict[int, list[int]] = defaultdict(list)
    dead: dict[str, int] = {}
    for row in seen.rows:
        if row["k"] == "assigner" and not row["up"] or row["k"] == "stalled":
            down[row.get("number", row.get("assigner", 0))].append(row["t"])
        elif row["k"] == "proxy_down":
            dead[row["proxy"]] = row["t"]
    found = []
    for proxy, spans in seen.joined.items():
        for span, after in zip(spans, [*spans[1:], None]):
            at = bisect_right(down[span.assigner], span.since)
            lost = min([span.till, *(t for t in down[span.assigner][at:] if t < span.till)][:2])
            until = after.since if after is not None else seen.end
            if after is None and (span.till >= seen.end or proxy in dead):
                continue  # it had its owner till the end
            if until > lost:
                found.append(Gap(proxy, round((until - lost) / 1e6, 4)))
    return found


def doubles(rows: Iterable[dict]) -> int:
    """Orders applied of an older question than one whose orders were applied, or of another assigner than the one that
    this question went to."""
    newest: dict[str, tuple[int, int]] = {}
    count = 0
    for row in rows:
        if row["k"] == "applied" and row["asked"]:
            asked, assigner = newest.get(row["proxy"], (0, -1))
            count += row["asked"] < asked or row["asked"] == asked and row["assigner"] != assigner
            if row["asked"] >= asked:
                newest[row["proxy"]] = row["asked"], row["assigner"]
    return count


def believed(rows: Iterable[dict]) -> float:
    """The longest that two assigners claimed one proxy at a time, from what they told twice a second."""
    claims: dict[int, frozenset[str]] = {}
    since: dict[str, int] = {}
    longest = 0
    for row in rows:
        if row["k"] == "assigner":
            claims.pop(row["number"], None)
        elif row["k"] == "claims":
            claims[row["assigner"]] = frozenset(row["uids"])
            counts: dict[str, int] = defaultdict(int)
            for uids in claims.values():
                for uid in uids:
                    counts[uid] += 1
            since = {uid: since.get(uid, row["t"]) for uid, many in counts.items() if many > 1}
            longest = max([longest, *(row["t"] - at for at in since.values())])
    return longest / 1e6


def moves(seen: Evidence) -> int:
    """Changes of owner."""
    return sum(a.assigner != b.assigner for spans in seen.joined.values() for a, b in zip(spans, spans[1:]))


def of_day(seen: Evidence) -> dict:
    """For the figures of a day."""
    seconds = sorted(gap.seconds for gap in gaps(seen))
    return {
        "orphaned": len(seconds),
        "orphaned_median_s": round(median(seconds), 3) if seconds else 0.0,
        "orphaned_max_s": seconds[-1] if seconds else 0.0,
        "doubly_ordered": doubles(seen.rows),
        "believed_by_two_s": believed(seen.rows),
        "moves": moves(seen),
    }
