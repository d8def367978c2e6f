"""Each kind of fault does what it says."""

import itertools

import pytest
from lab_helpers import ROOT, SECOND

from hollyridge.lab import scenario
from hollyridge.lab.day import Day
from hollyridge.lab.experiments import hunt, takeover
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment
from hollyridge.lab.stand_ins.world import VirtualWorld


def span(rows, name):
    return [row["t"] for row in rows if row["k"] == "trouble" and row["name"] == name]


def done(rows, within, **like):
    return [
        r
        for r in rows
        if r["k"] == "done"
        and within[0] <= r["t"] - r["took"] < within[1]
        and all(r[key] == value for key, value in like.items())
    ]


def ok_part(rows, within, **like):
    some = done(rows, within, **like)
    return sum(r["ok"] for r in some) / max(len(some), 1)


def fewer_ok(rows, span):
    return ok_part(rows, span) < ok_part(rows, (0, span[0])) - 0.03


def slower(rows, span, by=1.25):
    before, during = (
        sum(r["took"] for r in some) / len(some)
        for some in (done(rows, (0, span[0]), ok=True), done(rows, span, ok=True))
    )
    return during > by * before


def returns_cold(rows, span, gap=0):
    downs = [r for r in rows if r["k"] == "task_down" and span[0] <= r["t"] <= span[1]]
    return downs and all(
        any(u["k"] == "task_up" and u["cold"] and u["task"] == d["task"] and u["t"] >= d["t"] + gap for u in rows)
        for d in downs
    )


def rate_of(rows, within, zone=""):
    zones = {r["proxy"]: r["zone"] for r in rows if r["k"] == "standing"}
    return len([r for r in done(rows, within) if zone in ("", zones[r["proxy"]])]) / (within[1] - within[0])


def rates(rows, span, zone=""):
    return rate_of(rows, (span[1], span[1] + 5 * SECOND), zone) / rate_of(rows, (span[0] - 4 * SECOND, span[0]), zone)


def most_between(rows, span, kind):
    """Longest time (us) that nothing of this kind was seen."""
    times = [span[0], *(r["t"] for r in rows if r["k"] == kind and span[0] <= r["t"] <= span[1]), span[1]]
    return max(b - a for a, b in itertools.pairwise(times))


TROUBLES = {  # what each is known by, in what was recorded
    "release": ("for_s=4 part=0.5", lambda rows, span: sum(r["k"] == "task_up" and r["cold"] for r in rows) == 3),
    "restart_in_place": ("part=0.5", returns_cold),
    "vanish": ("for_s=4 part=0.3", lambda rows, span: fewer_ok(rows, span) or slower(rows, span)),
    "hang": ("for_s=4 part=0.4", fewer_ok),
    "errors": ("for_s=4 part=0.4 size=0.9", fewer_ok),
    "pauses": ("for_s=4 part=0.8 size=0.4", slower),
    "ageing": (
        "for_s=4 part=0.4 size=12 extra=1",
        lambda rows, span: slower(rows, span, 1.1) and returns_cold(rows, span, SECOND),
    ),
    "method_fails": (
        "for_s=4 part=0.6 size=0.9 method=redeem-code",
        lambda rows, span: ok_part(rows, span, method=2) < 0.7 < ok_part(rows, span, method=0),
    ),
    "method_fails ": (
        "for_s=4 part=0.6 size=0.9 method=redeem-code how=silence",
        lambda rows, span: ok_part(rows, span, method=2) < 0.7 < ok_part(rows, span, method=0),
    ),
    "handshake_slow": (
        "at_s=0 for_s=2 part=1 size=0.3 extra=8",
        lambda rows, span: (  # all connections are new then
            min(r["took"] for r in done(rows, (0, span[1]), ok=True)[:5]) > 300_000
        ),
    ),
    "grow": (
        "for_s=4 size=1.5 extra=1",
        lambda rows, span: sum(r["k"] == "task_up" and r["cold"] for r in rows) == 3 and rates(rows, span) > 1.15,
    ),
    "surge": (
        "for_s=4 size=1.8",
        lambda rows, span: (
            rate_of(rows, span) > 1.3 * rate_of(rows, (0, span[0])) * span[0] / max(span[0] - VirtualWorld.START_US, 1)
        ),
    ),
    "shift": (
        "for_s=2 size=0.7 zone=khalda",
        lambda rows, span: rates(rows, span, "khalda") > 1.3 and rates(rows, span, "abdali") < 0.6,
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
        lambda rows, span: rows_of_streams(rows, span) and fewer_ok(rows, span),
    ),
    "slow_link": ("for_s=4 zone=khalda size=0.15 extra=0.2", lambda rows, span: slower(rows, span, 1.1)),
    "slow_orders": ("for_s=4 size=0.5", lambda rows, span: most_between(rows, span, "heard") >= SECOND // 2),
    "proxies_stalled": (
        "for_s=4 part=1 size=0.8 extra=2",
        lambda rows, span: most_between(rows, span, "try") > SECOND // 2,
    ),
    "assigner_stalled": (
        "for_s=3 size=2 extra=4",
        lambda rows, span: most_between(rows, (span[0], span[0] + 4 * SECOND), "state") > 3 * SECOND // 2,
    ),
}


def events_in(rows, within):
    seen = [r["events"] for r in rows if r["k"] == "state" and within[0] <= r["t"] <= within[1]]
    return seen[-1] - seen[0]


def rows_of_streams(rows, span):
    """A stream broke, and none came up before the end."""
    ends = [r for r in rows if r["k"] == "stream" and span[0] <= r["t"] < span[1] and r["who"] != "agent"]
    return ends and not any(r["up"] for r in ends)


@pytest.mark.parametrize("name", TROUBLES)
def test_each_trouble_does_what_it_says(name, tmp_path):
    words, known = TROUBLES[name]
    kind, terms = name.strip(), {"at_s": 6} | dict(word.split("=") for word in words.split())
    lines = [
        f"[day]\nsettings = {ROOT / 'examples' / 'loopback.ini'}\nlength_s = 18\nseed = 3\nnotice_ms = 200, 600",
        "[fleet]\ntasks = 6\nproxies = 4\ncold_s = 4",
        "[load]\nrpcs_per_s = 60\nwork_ms = 60, 60, 60\nshares = 0.5, 0.2, 0.3",
        f"[trouble x]\nkind = {kind}",
        *(f"{key} = {value}" for key, value in terms.items()),
    ]
    path = tmp_path / "one.ini"
    path.write_text("\n".join(lines) + "\n")
    loaded = scenario.load(path)
    stage = SimulatedEnvironment(loaded, "", 3)
    told = Day(loaded, stage, 3).play()
    assert all(v.kept for v in told.verdicts)
    assert set(span(stage.record.rows, "x"))
    assert known(stage.record.rows, span(stage.record.rows, "x"))


def test_every_kind_of_trouble_is_hunted_and_tested():
    tested = {name.strip() for name in TROUBLES}
    shared = {"peers_cut"}  # strikes shared fleets only, which have a command of their own
    assert set(hunt.RANGES) == set(scenario.FAULT_FORMS) - shared - {"unread"}
    assert shared <= set(takeover.RANGES)
    in_days = {"unread", "streams_broken", "assigner_killed", "proxies_killed", *shared}
    assert set(scenario.FAULT_FORMS) - tested == in_days
