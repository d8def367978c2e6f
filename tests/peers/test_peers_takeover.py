"""Simulated takeovers and the metrics that evaluate them."""

from assigner_fleet import EXAMPLES

from hollyridge.lab.checks import ownership
from hollyridge.lab.experiments import takeover


def test_failing_assigners_leave_no_proxy_without_owner_for_long_nor_commanded_by_two():
    results = [
        takeover.play(str(EXAMPLES / "fleet" / "takeover.ini"), seed, front)
        for seed, front in ((1, "clone"), (2, "sasp"), (5, "sasp"))
    ]
    summary = takeover.summary(results)
    assert summary["orphaned"] > 0
    assert summary["doubly_ordered"] == summary["rules_broken"] == 0
    assert summary["orphaned_max_s"] < 5
    repeated = takeover.play(str(EXAMPLES / "fleet" / "takeover.ini"), 1, "clone")
    assert repeated == results[0]


def test_commands_by_two_assigners_are_found():
    rows = [
        {"k": "applied", "proxy": "gw", "assigner": a, "asked": n}
        for a, n in ((0, 5), (0, 5), (1, 6), (0, 5), (1, 6), (2, 6), (0, 7))
    ]
    assert ownership.count_conflicting_updates(rows) == 2


def test_overlapping_claims_are_measured_in_seconds():
    rows = [
        {"k": "claims", "t": t * 500_000, "assigner": a, "uids": uids}
        for t, a, uids in ((0, 0, ["x", "y"]), (0, 1, ["z"]), (1, 1, ["x"]), (2, 0, ["x"]), (4, 0, []))
    ]
    assert ownership.longest_double_claim_s(rows) == 0.5
