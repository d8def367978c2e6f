"""Grants and expiry of leases, and moves of proxies."""

from hollyridge.membership.leases import (
    FALLBACK_HOLD_LEASES,
    ClaimsReceived,
    ForwardProxy,
    LeaseConfig,
    LeaseGranted,
    LeaseManager,
    LeaseRequested,
    MembersChanged,
    MemberState,
    ProxyDisconnected,
    ReleaseProxy,
    StaleToken,
    Tick,
    TokenAcknowledged,
)
from hollyridge.membership.rendezvous import preferred_owner

LEASE = LeaseConfig(duration_us=3_000_000, settle_us=5_000_000, move_period_us=1_000_000)
THREE = {name: MemberState("", 1.0, 0) for name in "abc"}
TWO = {name: THREE[name] for name in "ab"}
ALONE = {"a": THREE["a"]}


def manager_of(name="a", members=THREE):
    manager = LeaseManager(name, LEASE)
    manager.handle(0, MembersChanged(dict(members)))
    return manager


def uid_preferring(owner, members):
    return next(f"gw-{k}" for k in range(99) if preferred_owner(f"gw-{k}", "", members) == owner)


def test_one_member_grants_each_proxy_and_all_others_forward_to_it():
    granted = dict.fromkeys("abc", 0)
    managers = [manager_of(name) for name in "abc"]
    for number in range(300):
        event = LeaseRequested(f"gw-{number}", "", 1, False)
        answers = {manager.name: manager.handle(0, event)[0] for manager in managers}
        owners = [name for name, answer in answers.items() if isinstance(answer, LeaseGranted)]
        assert len(owners) == 1
        assert {answer.owner for answer in answers.values() if isinstance(answer, ForwardProxy)} == set(owners)
        granted[owners[0]] += 1
    assert min(granted.values()) > 70


def test_a_fallback_request_is_granted_and_its_proxy_stays_for_a_while():
    uid = uid_preferring("b", THREE)
    manager = manager_of("a")
    assert manager.handle(0, LeaseRequested(uid, "", 1, False)) == [ForwardProxy(uid, "b")]
    assert manager.handle(0, LeaseRequested(uid, "", 2, True)) == [LeaseGranted(uid, 2)]
    now_us = 0
    while not (actions := manager.handle(now_us, Tick())):
        now_us += 1_000_000
        manager.handle(now_us, TokenAcknowledged(uid, 2))
    assert actions == [ReleaseProxy(uid, "handed over", "b")]
    assert now_us >= FALLBACK_HOLD_LEASES * LEASE.duration_us


def test_an_expired_lease_stops_commands_before_any_tick():
    manager = manager_of("a", ALONE)
    manager.handle(0, LeaseRequested("gw", "", 7, False))
    assert manager.may_send_commands(LEASE.duration_us, "gw")
    assert not manager.may_send_commands(LEASE.duration_us + 1, "gw")
    assert manager.handle(LEASE.duration_us + 1, Tick()) == [ReleaseProxy("gw", "its lease ran out")]


def test_commands_need_a_lease():
    manager = manager_of("a", ALONE)
    manager.handle(0, LeaseRequested("gw", "", 7, False))
    assert not manager.may_send_commands(0, "other")


def test_a_newer_token_ends_the_lease():
    manager = manager_of("a", ALONE)
    manager.handle(0, LeaseRequested("gw", "", 7, False))
    assert manager.handle(1, TokenAcknowledged("gw", 7)) == []
    assert manager.handle(2, TokenAcknowledged("gw", 8))[0].reason == "another orders it"
    assert not manager.may_send_commands(2, "gw")


def test_a_stale_token_changes_nothing():
    manager = manager_of("a", ALONE)
    manager.handle(3, LeaseRequested("gw", "", 9, False))
    assert manager.handle(4, LeaseRequested("gw", "", 8, True)) == [StaleToken("gw")]
    assert manager.fencing_token("gw") == 9


def test_the_end_of_a_connection_ends_the_lease():
    manager = manager_of("a", ALONE)
    manager.handle(3, LeaseRequested("gw", "", 9, False))
    manager.handle(5, ProxyDisconnected("gw"))
    assert manager.fencing_token("gw") == 0


class BusyManager:
    """Member `a` of two, which holds leases on all its proxies; they keep acknowledging."""

    def __init__(self):
        self.manager = manager_of("a", TWO)
        self.uids = [f"gw-{k}" for k in range(400) if preferred_owner(f"gw-{k}", "", TWO) == "a"]
        self.now_us = 0
        self.releases = []  # list of releases for each tick
        for uid in self.uids:
            self.manager.handle(0, LeaseRequested(uid, "", 1, False))

    def add_third(self):
        self.manager.handle(self.now_us, MembersChanged({**TWO, "c": MemberState("", 1.0, self.now_us)}))

    def remove_third(self):
        self.manager.handle(self.now_us, MembersChanged(TWO))

    def pass_time(self, seconds):
        for _ in range(round(seconds * 2)):
            self.now_us += 500_000
            for uid in list(self.manager.held):
                self.manager.handle(self.now_us, TokenAcknowledged(uid, 1))
            actions = self.manager.handle(self.now_us, Tick())
            self.releases.append([action for action in actions if isinstance(action, ReleaseProxy)])

    def flap(self):
        for _ in range(5):
            self.add_third()
            self.pass_time(4)
            self.remove_third()
            self.pass_time(1)


def test_a_flapping_member_moves_no_proxy():
    busy = BusyManager()
    busy.flap()
    assert not any(busy.releases)


def test_proxies_move_to_a_returning_member_in_steps():
    busy = BusyManager()
    busy.flap()
    assert not any(busy.releases)
    busy.add_third()
    busy.pass_time(40)
    released = [action for actions in busy.releases for action in actions]
    due = [uid for uid in busy.uids if preferred_owner(uid, "", THREE) == "c"]
    assert sorted(action.uid for action in released) == sorted(due)
    assert {action.new_owner for action in released} == {"c"}
    assert max(map(len, busy.releases)) <= 0.1 * len(busy.uids) + 1


def test_claims_of_other_members_change_no_lease():
    manager = manager_of("a", TWO)
    uid = uid_preferring("a", TWO)
    manager.handle(0, LeaseRequested(uid, "", 5, False))
    manager.handle(1, ClaimsReceived("b", ((uid, 1 << 60),), True))
    assert manager.disagreements() == [(uid, "a", "b")]
    assert manager.fencing_token(uid) == 5
    assert manager.may_send_commands(1, uid)


def test_a_new_list_of_claims_replaces_the_old_one():
    manager = manager_of("a", TWO)
    uid = uid_preferring("a", TWO)
    manager.handle(0, LeaseRequested(uid, "", 5, False))
    manager.handle(1, ClaimsReceived("b", ((uid, 1 << 60),), True))
    assert manager.disagreements() == [(uid, "a", "b")]
    manager.handle(2, ClaimsReceived("b", (), True))
    assert manager.disagreements() == []
