"""Influence of weights and zones on the preferred owner of a proxy."""

import pytest

from hollyridge.membership.rendezvous import MemberState, preferred_owner

THREE = {name: MemberState("", 1.0, 0) for name in "abc"}
UIDS = [f"gw-{number}" for number in range(2000)]


def fraction_of(member, zone, members):
    return sum(preferred_owner(uid, zone, members) == member for uid in UIDS) / len(UIDS)


def test_a_member_with_three_times_the_weight_owns_three_fifths():
    assert 0.56 < fraction_of("a", "", {**THREE, "a": MemberState("", 3.0, 0)}) < 0.64


def test_a_member_in_the_proxys_zone_owns_four_sixths():
    assert 0.61 < fraction_of("b", "khalda", {**THREE, "b": MemberState("khalda", 1.0, 0)}) < 0.72


@pytest.mark.parametrize("members", [{}, {"a": MemberState("", 1.0, 0, accepts_proxies=False)}])
def test_no_member_is_preferred_if_none_accepts_proxies(members):
    assert preferred_owner("gw", "", members) == ""
