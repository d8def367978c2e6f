"""Each kind of fault has its effect, as seen in the recording of a simulated day."""

import itertools

import pytest
from lab_helpers import ROOT, SECOND

from hollyridge.lab import scenario
from hollyridge.lab.day import Day
from hollyridge.lab.experiments import hunt, takeover
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment
from hollyridge.lab.stand_ins.world import VirtualWorld


def span(rows, name):
    """Return the start and the end of a fault, in microseconds."""
    return [row["t"] for row in rows if row["k"] == "trouble" and row["name"] == name]


def rpcs_begun(rows, within, **expected):
    """Return the RPCs that began within a time span and have these values."""
    return [
        r
        for r in rows
        if r["k"] == "done"
        and within[0] <= r["t"] - r["took"] < within[1]
        and all(r[key] == value for key, value in expected.items())
    ]


def success_rate(rows, within, **expected):
    rpcs = rpcs_begun(rows, within, **expected)
    return sum(r["ok"] for r in rpcs) / max(len(rpcs), 1)


def fewer_succeed(rows, span):
    """Return whether the fraction of RPCs that succeed is lower in the span than before it, by more than 0.03."""
    return success_rate(rows, span) < success_rate(rows, (0, span[0])) - 0.03


def slower(rows, span, by=1.25):
    """Return whether successful RPCs take more than `by` times as long in the span as before it."""
    before, during = (
        sum(r["took"] for r in rpcs) / len(rpcs)
        for rpcs in (rpcs_begun(rows, (0, span[0]), ok=True), rpcs_begun(rows, span, ok=True))
    )
    return during > by * before


def returns_cold(rows, span, gap=0):
    """Return whether each task that went down in the span was restarted cold, at least `gap` microseconds later."""
    downs = [r for r in rows if r["k"] == "task_down" and span[0] <= r["t"] <= span[1]]
    return downs and all(
        any(u["k"] == "task_up" and u["cold"] and u["task"] == d["task"] and u["t"] >= d["t"] + gap for u in rows)
        for d in downs
    )


def rpc_rate(rows, within, zone=""):
    """Return the RPCs of a zone's proxies, or of all, per microsecond."""
    zones = {r["proxy"]: r["zone"] for r in rows if r["k"] == "standing"}
    return len([r for r in rpcs_begun(rows, within) if zone in ("", zones[r["proxy"]])]) / (within[1] - within[0])


def rate_change(rows, span, zone=""):
    """Return the rate of RPCs after the span as a multiple of the rate before it."""
    return rpc_rate(rows, (span[1], span[1] + 5 * SECOND), zone) / rpc_rate(rows, (span[0] - 4 * SECOND, span[0]), zone)


def longest_gap(rows, span, kind):
    """Return the longest time without a record of this kind, in microseconds."""
    times = [span[0], *(r["t"] for r in rows if r["k"] == kind and span[0] <= r["t"] <= span[1]), span[1]]
    return max(b - a for a, b in itertools.pairwise(times))


# Kind: (keys of the fault, predicate that its recording fulfills). A space after a kind marks its second entry.
FAULTS = {
    "release": ("for_s=4 part=0.5", lambda rows, span: sum(r["k"] == "task_up" and r["cold"] for r in rows) == 3),
    "restart_in_place": ("part=0.5", returns_cold),
    "vanish": ("for_s=4 part=0.3", lambda rows, span: fewer_succeed(rows, span) or slower(rows, span)),
    "hang": ("for_s=4 part=0.4", fewer_succeed),
    "errors": ("for_s=4 part=0.4 size=0.9", fewer_succeed),
    "pauses": ("for_s=4 part=0.8 size=0.4", slower),
    "ageing": (
        "for_s=4 part=0.4 size=12 extra=1",
        lambda rows, span: slower(rows, span, 1.1) and returns_cold(rows, span, SECOND),
    ),
    "method_fails": (
        "for_s=4 part=0.6 size=0.9 method=redeem-code",
        lambda rows, span: success_rate(rows, span, method=2) < 0.7 < success_rate(rows, span, method=0),
    ),
    "method_fails ": (
        "for_s=4 part=0.6 size=0.9 method=redeem-code how=silence",
        lambda rows, span: success_rate(rows, span, method=2) < 0.7 < success_rate(rows, span, method=0),
    ),
    "handshake_slow": (
        "at_s=0 for_s=2 part=1 size=0.3 extra=8",
        lambda rows, span: (  # at the start of the day all connections are new
            min(r["took"] for r in rpcs_begun(rows, (0, span[1]), ok=True)[:5]) > 300_000
        ),
    ),
    "grow": (
        "for_s=4 size=1.5 extra=1",
        lambda rows, span: sum(r["k"] == "task_up" and r["cold"] for r in rows) == 3 and rate_change(rows, span) > 1.15,
    ),
    "surge": (
        "for_s=4 size=1.8",
        lambda rows, span: (
            rpc_rate(rows, span)
            > 1.3 * rpc_rate(rows, (0, span[0])) * span[0] / max(span[0] - VirtualWorld.START_US, 1)
        ),
    ),
    "shift": (
        "for_s=2 size=0.7 zone=khalda",
        lambda rows, span: rate_change(rows, span, "khalda") > 1.3 and rate_change(rows, span, "abdali") < 0.6,
    ),
    "false_loads": ("for_s=4 part=0.5 size=0.1 extra=2.5", slower),
    "late_sums": (
        "for_s=5 size=3",
        lambda rows, span: (
            events_in(rows, (span[0] + SECOND, span[0] + 5 * SECOND))
            < events_in(rows, (span[0] - 3 * SECOND, span[0] + SECOND))
        ),
    ),
    "zone_lost": (
        "for_s=4 zone=khalda how=all",
        lambda rows, span: (
            sum(r["k"] == "proxy_down" for r in rows) == 1 and returns_cold(rows, (span[0], span[1] + 1))
        ),
    ),
    "zone_cut": (
        "for_s=4 zone=khalda how=all",
        lambda rows, span: streams_stay_broken(rows, span) and fewer_succeed(rows, span),
    ),
    "slow_link": ("for_s=4 zone=khalda size=0.15 extra=0.2", lambda rows, span: slower(rows, span, 1.1)),
    "slow_orders": ("for_s=4 size=0.5", lambda rows, span: longest_gap(rows, span, "heard") >= SECOND // 2),
    "proxies_stalled": (
        "for_s=4 part=1 size=0.8 extra=2",
        lambda rows, span: longest_gap(rows, span, "try") > SECOND // 2,
    ),
    "assigner_stalled": (
        "for_s=3 size=2 extra=4",
        lambda rows, span: longest_gap(rows, (span[0], span[0] + 4 * SECOND), "state") > 3 * SECOND // 2,
    ),
}


def events_in(rows, within):
    """Return the number of events that the assigner handled within a time span."""
    counts = [r["events"] for r in rows if r["k"] == "state" and within[0] <= r["t"] <= within[1]]
    return counts[-1] - counts[0]


def streams_stay_broken(rows, span):
    """Return whether a stream broke and none was opened before the end of the span."""
    changes = [r for r in rows if r["k"] == "stream" and span[0] <= r["t"] < span[1] and r["who"] != "agent"]
    return changes and not any(r["up"] for r in changes)


@pytest.mark.parametrize("name", FAULTS)
def test_each_kind_of_fault_has_its_effect(name, tmp_path):
    keys, has_effect = FAULTS[name]
    kind, values = name.strip(), {"at_s": 6} | dict(word.split("=") for word in keys.split())
    lines = [
        f"[day]\nsettings = {ROOT / 'examples' / 'loopback.ini'}\nlength_s = 18\nseed = 3\nnotice_ms = 200, 600",
        "[fleet]\ntasks = 6\nproxies = 4\ncold_s = 4",
        "[load]\nrpcs_per_s = 60\nwork_ms = 60, 60, 60\nshares = 0.5, 0.2, 0.3",
        f"[trouble x]\nkind = {kind}",
        *(f"{key} = {value}" for key, value in values.items()),
    ]
    path = tmp_path / "one.ini"
    path.write_text("\n".join(lines) + "\n")
    loaded = scenario.load(path)
    environment = SimulatedEnvironment(loaded, "", 3)
    result = Day(loaded, environment, 3).play()
    assert all(v.kept for v in result.verdicts)
    assert set(span(environment.record.rows, "x"))
    assert has_effect(environment.record.rows, span(environment.record.rows, "x"))


def test_every_kind_of_fault_is_drawn_by_the_hunt_and_tested():
    tested = {name.strip() for name in FAULTS}
    shared = {"peers_cut"}  # affects shared fleets only, which are tested by a command of their own
    assert set(hunt.RANGES) == set(scenario.FAULT_FORMS) - shared - {"unread"}
    assert shared <= set(takeover.RANGES)
    tested_in_days = {"unread", "streams_broken", "assigner_killed", "proxies_killed", *shared}
    assert set(scenario.FAULT_FORMS) - tested == tested_in_days
