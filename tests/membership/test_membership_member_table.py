"""Validation and limits of the updates that a member receives and sends."""

from random import Random

import pytest
from simulated_fleet import MS, SimulatedFleet

from hollyridge.membership.member_table import MAX_UPDATES_PER_MESSAGE
from hollyridge.membership.messages import GossipMessage, Join, MemberFacts, Ping, Status
from hollyridge.membership.swim import MessageReceived, Swim, SwimConfig

IMPLAUSIBLE_UPDATES = [
    GossipMessage("m1", Status.GONE, 1 << 40, MemberFacts("m1", "r0")),
    GossipMessage("m0", Status.GONE, 1 << 40, MemberFacts("m0", "r0")),
    GossipMessage("x", 0, -1, MemberFacts("x", "r")),
    GossipMessage("m1", 0, 5, MemberFacts("m1", "r0", weight=float("nan"))),
]


@pytest.mark.parametrize("update", IMPLAUSIBLE_UPDATES)
def test_implausible_updates_are_rejected(update):
    fleet = SimulatedFleet(3)
    fleet.run(5)
    member = fleet.members["m0"]
    member.handle(fleet.now_us, MessageReceived("m2", Ping(9, "m0", (update,))))
    assert member.counts["disbelieved"] == 1
    assert fleet.view_of("m0")["m1"] == "ALIVE"
    assert "x" not in member.members
    fleet.run(10)
    assert not fleet.declared_gone()


def crowded_member():
    member = Swim("m", MemberFacts("m", "r"), SwimConfig(200 * MS, 60 * MS, max_members=10), Random(1))
    for number in range(50):
        name = f"x{number}"
        update = GossipMessage(name, 0, 0, MemberFacts(name, "r"))
        member.handle(number, MessageReceived(name, Join((update,))))
    return member


def test_members_beyond_the_limit_are_ignored():
    assert len(crowded_member().members) == 10


def test_a_message_carries_a_limited_number_of_updates():
    assert len(crowded_member().table.updates_for("x1")) <= MAX_UPDATES_PER_MESSAGE
