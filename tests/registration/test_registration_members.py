"""Registration, drains and deregistration of members, and lost streams."""

import pytest
from helpers import SECOND

from hollyridge import interface as api
from hollyridge.interface import TaskState
from hollyridge.registration import members
from hollyridge.registration.members import (
    Deregistered,
    MemberRegistry,
    Quiesced,
    RefreshRequested,
    Refusal,
    Registered,
    StreamLost,
    Tick,
)

CONFIG = members.RegistrationConfig(
    warm_up_us=16 * SECOND,
    hold_own_us=SECOND,
    hold_agent_us=30 * SECOND,
    settle_us=SECOND // 2,
    max_settle_us=3 * SECOND,
    max_members=100,
)


class Fleet:
    """A registry with a simulated clock. `states` holds the published state of each task."""

    def __init__(self):
        self.registry, self.now, self.states, self.started = MemberRegistry(CONFIG, 0), 0, {}, {}

    def handle_event(self, event, after=0.0):
        self.now += round(after * SECOND)
        outcome = self.registry.handle(self.now, event)
        for entry in outcome.change.endpoints if outcome.change else ():
            self.states[entry.task], self.started[entry.task] = TaskState(entry.state), entry.started_at_us
        return outcome.refusal

    def register(self, task, stream=1, label="run=a up=100", self_registered=False, after=0.0):
        return self.handle_event(
            Registered(stream, (members.MemberRequest((task,), task, 0, label, self_registered),)), after
        )

    def settle(self):
        self.register(99, stream=50)
        self.handle_event(Tick(), after=4)
        return self


def test_the_first_list_waits_until_registrations_pause():
    fleet = Fleet()
    for task in range(5):
        fleet.register(task, after=0.3)
        assert not fleet.states
    fleet.handle_event(Tick(), after=0.6)
    assert len(fleet.states) == 5


def test_an_empty_fleet_settles_after_the_maximum_time():
    fleet = Fleet()
    assert fleet.registry.handle(2 * SECOND, Tick()).change is None
    assert fleet.registry.handle(3 * SECOND, Tick()).change.endpoints == ()


RUNS = [
    # first label, second label 5 s later on a new stream, whether it counts as a start
    ("run=a up=100", "run=a up=105", False),
    ("run=a up=100", "run=b up=0.5", True),
    ("", "", True),
    ("run=a up=100", "", True),
]


@pytest.mark.parametrize(("first", "second", "starts"), RUNS)
def test_a_label_distinguishes_a_reconnection_from_a_restart(first, second, starts):
    fleet = Fleet().settle()
    fleet.register(1, stream=1, label=first)
    before = fleet.started[1]
    fleet.handle_event(StreamLost(1))
    fleet.register(1, stream=2, label=second, after=5)
    assert (fleet.started[1] > before) == starts
    assert fleet.states[1] == TaskState.READY


def test_the_start_time_is_read_from_the_label_and_now_without_a_valid_one():
    fleet = Fleet().settle()
    fleet.register(1, label="run=a up=100")
    fleet.register(2, label="run=b up=1.5")
    fleet.register(3, label="run=c")
    fleet.register(4, label="run=d up=-5e400")
    assert fleet.started[1] == 0
    assert fleet.started[2] == fleet.now - 1_500_000
    assert fleet.started[3] == fleet.started[4] == fleet.now


def test_a_deregistration_overtaken_by_a_registration_has_no_effect():
    fleet = Fleet().settle()
    fleet.register(1, stream=1, label="run=a up=100")
    fleet.register(1, stream=2, label="run=b up=0")
    assert fleet.handle_event(Deregistered(1, ((1,),))) == Refusal.NOT_REGISTERED
    assert fleet.states[1] == TaskState.READY
    assert fleet.handle_event(Quiesced(1, (1,), True)) == Refusal.NOT_REGISTERED
    assert fleet.handle_event(Deregistered(2, ((1,),))) is None
    assert fleet.states[1] == TaskState.GONE


def test_members_of_a_lost_stream_stay_listed_for_a_while_and_those_of_agents_longer():
    fleet = Fleet().settle()
    fleet.register(1, stream=1, self_registered=True)
    fleet.register(2, stream=2, self_registered=False)
    fleet.handle_event(StreamLost(1))
    fleet.handle_event(StreamLost(2))
    fleet.handle_event(Tick(), after=2)
    assert fleet.states[1] == TaskState.GONE
    assert fleet.states[2] == TaskState.READY
    fleet.register(2, stream=3, label="run=a up=105", after=20)
    fleet.handle_event(Tick(), after=60)
    assert fleet.states[2] == TaskState.READY  # its agent reconnected and registered it again


def test_refused_requests_change_nothing():
    fleet = Fleet().settle()
    request = members.MemberRequest((1,), 1, 0, "", False)
    cases = [
        (Registered(1, (request, request)), Refusal.DUPLICATE),
        (Registered(1, (request._replace(zone=-1),)), Refusal.NO_ZONE),
        (Registered(1, (request._replace(task=-1),)), Refusal.FULL),
        (Deregistered(1, ((7,),)), Refusal.NOT_REGISTERED),
        (Registered(1, tuple(request._replace(key=(k,), task=k) for k in range(200))), Refusal.FULL),
    ]
    for event, refusal in cases:
        assert fleet.handle_event(event) == refusal
        assert set(fleet.states) == {99}
    assert fleet.register(1) is None
    assert fleet.register(1) == Refusal.ALREADY_REGISTERED


def test_a_request_or_a_new_registration_ends_a_drain():
    fleet = Fleet().settle()
    fleet.register(1)
    fleet.handle_event(Quiesced(1, (1,), True))
    assert fleet.states[1] == TaskState.DRAINING
    fleet.handle_event(Quiesced(1, (1,), False))
    assert fleet.states[1] == TaskState.READY
    fleet.handle_event(Quiesced(1, (1,), True))
    fleet.register(1, stream=2)
    assert fleet.states[1] == TaskState.READY
    full = fleet.registry.handle(fleet.now, RefreshRequested()).change
    assert full.kind == api.UpdateKind.FULL
    assert len(full.endpoints) == 2
