"""Failure detection with packet loss, network partitions and paused processes."""

import pytest
from simulated_fleet import CONFIG, SimulatedFleet

from hollyridge.membership.swim import FactsChanged, LeaveRequested


def test_members_find_each_other_through_seeds():
    fleet = SimulatedFleet(5)
    fleet.run(5)
    assert fleet.all_members_see_all_alive()


def test_all_members_declare_a_failed_member_gone_in_time():
    fleet = SimulatedFleet(5)
    fleet.run(5)
    assert fleet.all_members_see_all_alive()
    failed_at_us = fleet.now_us
    del fleet.members["m3"]
    fleet.run(8)
    declarations = fleet.declared_gone(failed_at_us)
    assert sorted(observer for _, observer, _ in declarations) == ["m0", "m1", "m2", "m4"]
    assert {member for *_, member in declarations} == {"m3"}
    assert max(at_us for at_us, *_ in declarations) - failed_at_us < 5e6  # two rounds of probes and the suspicion


def test_each_member_sends_about_one_ping_and_one_ack_per_period():
    fleet = SimulatedFleet(5)
    fleet.run(5)
    del fleet.members["m3"]
    fleet.run(8)
    messages_per_s = fleet.sent / (fleet.now_us / 1e6) / 5
    assert messages_per_s < 2.5 * 1e6 / CONFIG.probe_period_us


@pytest.mark.parametrize("loss", [0.1, 0.3])
def test_no_member_is_declared_gone_because_of_packet_loss(loss):
    fleet = SimulatedFleet(4, seed=3, loss=loss)
    fleet.run(60)
    assert not fleet.declared_gone()
    assert all(set(fleet.view_of(name).values()) <= {"ALIVE", "SUSPECT"} for name in fleet.members)
    assert all(len(fleet.view_of(name)) == 3 for name in fleet.members)


def test_a_paused_member_declares_nobody_gone_and_rejoins():
    """After a long pause, a member's open probe and its suspicions have timed out although its peers are alive."""
    fleet = SimulatedFleet(4)
    fleet.run(5)
    paused_at_us = fleet.now_us
    fleet.paused_until["m2"] = fleet.now_us + 10_000_000
    fleet.run(9.9)
    assert {member for _, _, member in fleet.declared_gone(paused_at_us)} == {"m2"}
    fleet.run(8)
    assert not [declaration for declaration in fleet.declared_gone(paused_at_us) if declaration[1] == "m2"]
    assert all(set(fleet.view_of(name).values()) == {"ALIVE"} for name in fleet.members)
    assert fleet.members["m2"].counts["stalls"] >= 1


def test_a_one_way_partition_is_bypassed_by_indirect_probes():
    fleet = SimulatedFleet(4)
    fleet.run(5)
    cut_at_us = fleet.now_us
    fleet.partitions = {("m0", "m1")}
    fleet.run(30)
    assert not fleet.declared_gone(cut_at_us)
    assert fleet.members["m0"].counts["relays"] > 0


def test_halves_of_a_partitioned_fleet_find_each_other_again():
    fleet = SimulatedFleet(4)
    fleet.run(5)
    left, right = ("m0", "m1"), ("m2", "m3")
    fleet.partitions = {(a, b) for a in left for b in right} | {(b, a) for a in left for b in right}
    fleet.run(15)
    assert fleet.view_of("m0")["m2"] == fleet.view_of("m2")["m0"] == "GONE"
    assert fleet.view_of("m0")["m1"] == "ALIVE"
    fleet.partitions = set()
    fleet.run(15)
    assert all(set(fleet.view_of(name).values()) == {"ALIVE"} for name in fleet.members)


def test_two_of_three_restart_together_under_the_same_names():
    fleet = SimulatedFleet(3)
    fleet.run(5)
    fleet.start("m0", "r1")
    fleet.start("m1", "r1")
    fleet.run(6)
    assert fleet.all_members_see_all_alive()
    assert fleet.members["m2"].members["m0"].facts.run_id == "r1"
    assert any(change.restarted for _, observer, change in fleet.changes if observer == "m2" and change.name == "m0")


def test_changed_facts_reach_the_other_members():
    fleet = SimulatedFleet(3)
    fleet.run(5)
    fleet.handle("m1", FactsChanged(fleet.members["m1"].facts._replace(draining=True)))
    fleet.run(3)
    assert fleet.members["m0"].members["m1"].facts.draining


def test_other_members_learn_at_once_that_a_member_leaves():
    fleet = SimulatedFleet(3)
    fleet.run(5)
    fleet.handle("m1", FactsChanged(fleet.members["m1"].facts._replace(draining=True)))
    fleet.run(3)
    fleet.handle("m1", LeaveRequested())
    fleet.run(0.05)
    assert fleet.view_of("m0")["m1"] == fleet.view_of("m2")["m1"] == "LEFT"
    fleet.run(20)
    assert fleet.view_of("m0")["m1"] == "LEFT"
    assert not fleet.declared_gone()
