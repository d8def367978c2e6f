"""Membership on a wire that loses, cuts one way and stands still; ownership, its numbers and its moves."""

import heapq
from random import Random

import pytest

from hollyridge.lab.lease_model_check import explore
from hollyridge.membership import leases, member_table, swim
from hollyridge.membership.leases import (
    ClaimsReceived,
    ForwardProxy,
    LeaseConfig,
    LeaseGranted,
    LeaseManager,
    MembersChanged,
    MemberState,
    ProxyAsked,
    ProxyEnded,
    ReleaseProxy,
    StaleToken,
    TokenAcknowledged,
)
from hollyridge.membership.messages import GossipMessage, Join, MemberFacts, Ping, Status
from hollyridge.membership.rendezvous import preferred_owner
from hollyridge.membership.swim import (
    FactsChanged,
    LeaveRequested,
    MemberChanged,
    MessageReceived,
    SendMessage,
    Swim,
    SwimConfig,
)

MS = 1000
PACE = SwimConfig(probe_period_us=200 * MS, ack_timeout_us=60 * MS)


class Wire:
    """Members on a simulated wire: 5 ms each way, `lost` of all messages, `cut` pairs (from, to), some stalled."""

    def __init__(self, count, seed=1, lost=0.0):
        self.rng, self.lost, self.cut, self.now, self.number = Random(seed), lost, set(), 0, 0
        self.heap, self.members, self.stalled, self.news, self.sent = [], {}, {}, [], 0
        for k in range(count):
            self.start(f"m{k}")

    def start(self, name, run="r0"):
        facts = MemberFacts(name, run, services=(("clone", f"127.0.0.1:{len(name)}"),))
        self.members[name] = Swim(name, facts, PACE, Random(f"{name}{run}"), ("m0", "m1"))
        self.at(self.now, "tick", name, self.members[name])

    def at(self, when, *what):
        self.number += 1
        heapq.heappush(self.heap, (when, self.number, *what))

    def carry(self, name, out):
        for do in out:
            if isinstance(do, MemberChanged):
                self.news.append((self.now, name, do))
            elif isinstance(do, SendMessage):
                self.sent += 1
                if (name, do.address) not in self.cut and self.rng.random() >= self.lost:
                    self.at(self.now + 5 * MS, "hear", do.address, (name, do.message))

    def run(self, seconds):
        until = self.now + round(seconds * 1e6)
        while self.heap and self.heap[0][0] <= until:
            self.now, _, kind, name, what = heapq.heappop(self.heap)
            member = self.members.get(name)
            if self.stalled.get(name, 0) > self.now:
                self.at(self.stalled[name], kind, name, what)
            elif member is None or kind == "tick" and what is not member:
                pass
            elif kind == "tick":
                self.carry(name, member.handle(self.now, swim.Tick()))
                self.at(
                    max(self.now + MS, min(member.next_deadline_us(), self.now + PACE.probe_period_us)),
                    "tick",
                    name,
                    member,
                )
            else:
                self.carry(name, member.handle(self.now, MessageReceived(*what)))
        self.now = until

    def sees(self, name):
        return {other: one.status.name for other, one in self.members[name].members.items()}

    def lost_ones(self, since=0):
        return [(at, who, do.name) for at, who, do in self.news if do.status == Status.GONE and at >= since]


def test_all_find_each_other_by_seeds_and_a_dead_one_is_gone_in_time():
    wire = Wire(5)
    wire.run(5)
    for name in wire.members:
        assert wire.sees(name) == {other: "ALIVE" for other in wire.members if other != name}
    begun = wire.now
    del wire.members["m3"]
    wire.run(8)
    gone = wire.lost_ones(begun)
    assert sorted(who for _, who, _ in gone) == ["m0", "m1", "m2", "m4"] and {dead for *_, dead in gone} == {"m3"}
    assert max(at for at, *_ in gone) - begun < 5e6  # two rounds and the suspicion
    per_s = wire.sent / (wire.now / 1e6) / 5
    assert per_s < 2.5 * 1e6 / PACE.probe_period_us  # a ping and an ack a period, news rides along


@pytest.mark.parametrize("lost", [0.1, 0.3])
def test_loss_is_no_death(lost):
    wire = Wire(4, seed=3, lost=lost)
    wire.run(60)
    assert not wire.lost_ones()
    assert all(set(wire.sees(name).values()) <= {"ALIVE", "SUSPECT"} for name in wire.members)
    assert all(len(wire.sees(name)) == 3 for name in wire.members)


def test_who_stood_still_accuses_nobody_and_comes_back():
    """Found by hand: after a long stall a member's own probe has run out of time, and its own suspicions too."""
    wire = Wire(4)
    wire.run(5)
    begun = wire.now
    wire.stalled["m2"] = wire.now + 10_000_000
    wire.run(9.9)
    assert {dead for _, _, dead in wire.lost_ones(begun)} == {"m2"}
    wire.run(8)
    assert not [row for row in wire.lost_ones(begun) if row[1] == "m2"]
    assert all(set(wire.sees(name).values()) == {"ALIVE"} for name in wire.members)
    assert wire.members["m2"].counts["stalls"] >= 1


def test_a_one_way_cut_is_gone_around_by_others():
    wire = Wire(4)
    wire.run(5)
    begun = wire.now
    wire.cut = {("m0", "m1")}
    wire.run(30)
    assert not wire.lost_ones(begun)
    assert wire.members["m0"].counts["relays"] > 0


def test_halves_of_a_cut_fleet_meet_again():
    wire = Wire(4)
    wire.run(5)
    wire.cut = {(a, b) for a in ("m0", "m1") for b in ("m2", "m3")} | {
        (b, a) for a in ("m0", "m1") for b in ("m2", "m3")
    }
    wire.run(15)
    assert wire.sees("m0")["m2"] == wire.sees("m2")["m0"] == "GONE" and wire.sees("m0")["m1"] == "ALIVE"
    wire.cut = set()
    wire.run(15)
    assert all(set(wire.sees(name).values()) == {"ALIVE"} for name in wire.members)


def test_two_of_three_restart_together_under_the_same_names():
    wire = Wire(3)
    wire.run(5)
    wire.start("m0", "r1")
    wire.start("m1", "r1")
    wire.run(6)
    assert all(wire.sees(name) == {other: "ALIVE" for other in wire.members if other != name} for name in wire.members)
    assert wire.members["m2"].members["m0"].facts.run_id == "r1"
    assert any(do.restarted for _, who, do in wire.news if who == "m2" and do.name == "m0")


def test_leaving_is_known_at_once_and_new_facts_travel():
    wire = Wire(3)
    wire.run(5)
    wire.carry(
        "m1", wire.members["m1"].handle(wire.now, FactsChanged(wire.members["m1"].facts._replace(draining=True)))
    )
    wire.run(3)
    assert wire.members["m0"].members["m1"].facts.draining
    wire.carry("m1", wire.members["m1"].handle(wire.now, LeaveRequested()))
    wire.run(0.05)
    assert wire.sees("m0")["m1"] == wire.sees("m2")["m1"] == "LEFT"
    wire.run(20)
    assert wire.sees("m0")["m1"] == "LEFT" and not wire.lost_ones()


LIES = [
    GossipMessage("m1", Status.GONE, 1 << 40, MemberFacts("m1", "r0")),
    GossipMessage("m0", Status.GONE, 1 << 40, MemberFacts("m0", "r0")),
    GossipMessage("x", 0, -1, MemberFacts("x", "r")),
    GossipMessage("m1", 0, 5, MemberFacts("m1", "r0", weight=float("nan"))),
]


@pytest.mark.parametrize("lie", LIES)
def test_words_that_can_not_be_are_not_believed(lie):
    wire = Wire(3)
    wire.run(5)
    member = wire.members["m0"]
    member.handle(wire.now, MessageReceived("m2", Ping(9, "m0", (lie,))))
    assert member.counts["disbelieved"] == 1 and wire.sees("m0")["m1"] == "ALIVE" and "x" not in member.members
    wire.run(10)
    assert not wire.lost_ones()


def test_no_more_members_than_may_be():
    member = Swim("m", MemberFacts("m", "r"), SwimConfig(200 * MS, 60 * MS, max_members=10), Random(1))
    for k in range(50):
        member.handle(k, MessageReceived(f"x{k}", Join((GossipMessage(f"x{k}", 0, 0, MemberFacts(f"x{k}", "r")),))))
    assert len(member.members) == 10
    assert len(member.table.updates_for("x1")) <= member_table.MAX_UPDATES_PER_MESSAGE


# Ownership.

LEASE = LeaseConfig(duration_us=3_000_000, settle_us=5_000_000, move_period_us=1_000_000)
THREE = {name: MemberState("", 1.0, 0) for name in "abc"}


def owner(name="a", standing=THREE, now=0):
    one = LeaseManager(name, LEASE)
    one.handle(now, MembersChanged(dict(standing)))
    return one


def test_each_proxy_is_taken_by_one_and_sent_there_by_all_others():
    found = {}
    all_three = [owner(name) for name in "abc"]
    for k in range(300):
        answers = [one.handle(0, ProxyAsked(f"gw-{k}", "", 1, False))[0] for one in all_three]
        takers = [one.name for one, do in zip(all_three, answers) if isinstance(do, LeaseGranted)]
        assert len(takers) == 1 and {do.owner for do in answers if isinstance(do, ForwardProxy)} == set(takers)
        found[takers[0]] = found.get(takers[0], 0) + 1
    assert min(found.values()) > 70


def test_weights_and_zones_count():
    uids = [f"gw-{k}" for k in range(2000)]
    heavy = {**THREE, "a": MemberState("", 3.0, 0)}
    part = sum(preferred_owner(uid, "", heavy) == "a" for uid in uids) / 2000
    assert 0.56 < part < 0.64
    near = {**THREE, "b": MemberState("khalda", 1.0, 0)}
    part = sum(preferred_owner(uid, "khalda", near) == "b" for uid in uids) / 2000
    assert 0.61 < part < 0.72  # four of six
    assert (
        preferred_owner("gw", "", {})
        == ""
        == preferred_owner("gw", "", {"a": MemberState("", 1.0, 0, accepts_proxies=False)})
    )


def test_a_plea_is_heard_and_left_in_peace_for_a_while():
    uid = next(f"gw-{k}" for k in range(99) if preferred_owner(f"gw-{k}", "", THREE) == "b")
    one = owner("a")
    assert one.handle(0, ProxyAsked(uid, "", 1, False)) == [ForwardProxy(uid, "b")]
    assert one.handle(0, ProxyAsked(uid, "", 2, True)) == [LeaseGranted(uid, 2)]
    now = 0
    while not (out := one.handle(now, leases.Tick())):
        now += 1_000_000
        one.handle(now, TokenAcknowledged(uid, 2))
    assert out == [ReleaseProxy(uid, "handed over", "b")] and now >= leases.FALLBACK_REST_LEASES * LEASE.duration_us


def test_a_lease_that_ran_out_ends_orders_before_anything_else_is_looked_at():
    one = owner("a", {"a": THREE["a"]})
    one.handle(0, ProxyAsked("gw", "", 7, False))
    assert one.may_order(LEASE.duration_us, "gw") and not one.may_order(LEASE.duration_us + 1, "gw")
    assert not one.may_order(0, "other")
    assert one.handle(LEASE.duration_us + 1, leases.Tick()) == [ReleaseProxy("gw", "its lease ran out")]


def test_who_is_obeyed_no_more_lets_go():
    one = owner("a", {"a": THREE["a"]})
    one.handle(0, ProxyAsked("gw", "", 7, False))
    assert (
        one.handle(1, TokenAcknowledged("gw", 7)) == []
        and one.handle(2, TokenAcknowledged("gw", 8))[0].reason == "another orders it"
    )
    assert not one.may_order(2, "gw")
    one.handle(3, ProxyAsked("gw", "", 9, False))
    assert one.handle(4, ProxyAsked("gw", "", 8, True)) == [StaleToken("gw")] and one.fencing_token("gw") == 9
    one.handle(5, ProxyEnded("gw"))
    assert one.fencing_token("gw") == 0


def test_what_comes_back_gets_its_own_in_steps_and_flapping_moves_nobody():
    two = {name: THREE[name] for name in "ab"}
    one = owner("a", two)
    mine = [f"gw-{k}" for k in range(400) if preferred_owner(f"gw-{k}", "", two) == "a"]
    for uid in mine:
        one.handle(0, ProxyAsked(uid, "", 1, False))
    due = [uid for uid in mine if preferred_owner(uid, "", THREE) == "c"]
    now, moved = 0, []

    def pass_time(seconds):
        nonlocal now
        for _ in range(round(seconds * 2)):
            now += 500_000
            for uid in list(one.held):
                one.handle(now, TokenAcknowledged(uid, 1))
            moved.append([do for do in one.handle(now, leases.Tick()) if isinstance(do, ReleaseProxy)])

    for _ in range(5):  # it comes and goes
        one.handle(now, MembersChanged({**two, "c": MemberState("", 1.0, now)}))
        pass_time(4)
        one.handle(now, MembersChanged(two))
        pass_time(1)
    assert not any(moved)
    one.handle(now, MembersChanged({**two, "c": MemberState("", 1.0, now)}))
    pass_time(40)
    gone = [do for some in moved for do in some]
    assert sorted(do.uid for do in gone) == sorted(due) and {do.new_owner for do in gone} == {"c"}
    assert max(map(len, moved)) <= 0.1 * len(mine) + 1


def test_claims_of_others_are_for_watchers_only():
    one = owner("a", {"a": THREE["a"], "b": THREE["b"]})
    uid = next(f"gw-{k}" for k in range(99) if preferred_owner(f"gw-{k}", "", one.members) == "a")
    one.handle(0, ProxyAsked(uid, "", 5, False))
    one.handle(1, ClaimsReceived("b", ((uid, 1 << 60),), True))
    assert one.disagreements() == [(uid, "a", "b")] and one.fencing_token(uid) == 5 and one.may_order(1, uid)
    one.handle(2, ClaimsReceived("b", (), True))
    assert one.disagreements() == []


def test_lease_fence_and_handover_explored():
    """All that may happen within five moves breaks nothing and leaves no proxy stuck; without fencing it is found at
    once that one is obeyed again after the other. A first form, where assigners chose the numbers, broke in six."""
    told = explore(4, asks=2, orders=2)
    assert not told.wrong, told
    assert told.worlds > 500
    careless = explore(9, fencing=False, asks=2, restarts=0)
    assert "again after" in careless.wrong
