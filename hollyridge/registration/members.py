"""The member registry: the endpoint list as members register, quiesce, deregister and lose their streams.

A list only knows whether a process runs, and learns it late. What is decided here:

- *Restart or reconnection.* A member's label may state `run=` (new at each start) and `up=` (seconds since then). The
  same run on a new stream is a reconnection; another run, or a label that states none, is a restart. A restart taken
  for a reconnection could overload a cold task; the reverse costs a slow start only.
- *Ownership.* A member belongs to the stream that registered it last. A request on another stream can't end it while
  the owner's stream is open, so that a deregistration overtaken by a new registration ends nothing.
- *Lost streams.* A member stays listed for a while after its stream was lost: `hold_own_us` if it registered itself,
  `hold_agent_us` if an agent did, for an agent that restarts registers its members again.
- *Settling.* After the start the first list is handed on once registrations have paused for `settle_us`, after
  `max_settle_us` at the latest, so that the first tables do not crowd all proxies on the few tasks that came first.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hollyridge.interface import Endpoint, EndpointListUpdate, TaskState, UpdateKind
from hollyridge.registration.events import (
    Deregistered,
    MemberRequest,
    Quiesced,
    RefreshRequested,
    Refusal,
    Registered,
    RegistrationEvent,
    RegistrationOutcome,
    StreamLost,
    Tick,
)
from hollyridge.registration.member_label import figure, read_label
from hollyridge.registration.registered_member import DEFAULT_SIZE, NO_HOLD, NO_STREAM, RegisteredMember

__all__ = [
    "Deregistered",
    "MemberRegistry",
    "MemberRequest",
    "Quiesced",
    "RefreshRequested",
    "Refusal",
    "Registered",
    "RegistrationConfig",
    "RegistrationEvent",
    "RegistrationOutcome",
    "StreamLost",
    "Tick",
    "figure",
    "read_label",
]

NOT_ALLOCATED = -1  # as task index or zone of a request
MAX_UP_S = 1e9  # bounds of what a label may state
MIN_SIZE = 1e-6
MAX_SIZE = 1e6
US_PER_S = 1e6
MIN_SETTLE_CHECK_US = 1000  # between two looks whether registrations have paused


class RegistrationConfig(NamedTuple):
    """Times and bounds of the registry.

    Attributes:
        warm_up_us: After this long a task counts as started long ago.
        hold_own_us: How long a member that registered itself stays after its stream was lost.
        hold_agent_us: The same for a member that an agent registered.
        settle_us: Pause of registrations that ends the settling after the start.
        max_settle_us: The longest time that this takes.
        max_members: How many may be listed.
    """

    warm_up_us: int
    hold_own_us: int
    hold_agent_us: int
    settle_us: int
    max_settle_us: int
    max_members: int


class _RegisteredOne(NamedTuple):
    """What one member's registration came to: its entry if that has changed, and whether it only repeated itself."""

    changed: RegisteredMember | None
    repeated: bool


class MemberRegistry:
    """Keeps the members; an `EndpointSource` of the engine.

    Attributes:
        entries: The listed members by key.
        settled: The first list was handed on.
        restarts: Members that registered again as another run.
        returns: Members that registered again as the same run, on another stream.
        lapsed: Members taken out after their stream was lost.
    """

    def __init__(self, terms: RegistrationConfig, now_us: int) -> None:
        self.terms = terms
        self.entries: dict[tuple, RegisteredMember] = {}
        self.version = 0
        self.opened_us = now_us
        self.last_registration_us = now_us
        self.settled = False
        self.restarts = 0
        self.returns = 0
        self.lapsed = 0

    def handle(self, now_us: int, event: RegistrationEvent) -> RegistrationOutcome:
        """Take in an event; what follows from it."""
        kind = type(event)
        if kind is Registered:
            outcome = self._register(now_us, event)
        elif kind is Deregistered:
            outcome = self._deregister(event)
        elif kind is Quiesced:
            outcome = self._quiesce(event)
        elif kind is StreamLost:
            outcome = self._lose_stream(now_us, event.stream)
        elif kind is Tick:
            outcome = self._take_out_lapsed(now_us)
        else:  # RefreshRequested
            return RegistrationOutcome(self.full_list(UpdateKind.FULL)) if self.settled else RegistrationOutcome()
        if not self.settled:  # nothing is handed on before the first list
            return outcome._replace(change=self._first_list(now_us))
        return outcome

    def full_list(self, kind: UpdateKind) -> EndpointListUpdate:
        """The whole list as it stands, as a new version."""
        self.version += 1
        endpoints = tuple(member.as_endpoint() for member in self.entries.values())
        return EndpointListUpdate(self.version, kind, endpoints)

    def next_deadline(self, now_us: int) -> int | None:
        """When a `Tick` is due next; None for not at all."""
        if not self.settled:
            return now_us + max(MIN_SETTLE_CHECK_US, self.terms.settle_us // 4)
        return min(
            (member.held_until_us for member in self.entries.values() if member.held_until_us >= 0), default=None
        )

    def counters(self) -> dict[str, int]:
        """Counts for the status page."""
        return {"restarts": self.restarts, "returns": self.returns, "lapsed": self.lapsed}

    def _first_list(self, now_us: int) -> EndpointListUpdate | None:
        paused = self.entries and now_us - self.last_registration_us >= self.terms.settle_us
        if not paused and now_us - self.opened_us < self.terms.max_settle_us:
            return None
        self.settled = True
        return self.full_list(UpdateKind.CACHED)

    def _delta(self, endpoints: Iterable[Endpoint]) -> EndpointListUpdate | None:
        """An update with these entries; None for no entries, or before the first list."""
        changed = tuple(endpoints)
        if not changed or not self.settled:
            return None
        self.version += 1
        return EndpointListUpdate(self.version, UpdateKind.DELTA, changed)

    def _register(self, now_us: int, event: Registered) -> RegistrationOutcome:
        refusal = self._refusal_of(event.members)
        if refusal is not None:
            return RegistrationOutcome(refusal=refusal)
        results = [self._register_one(now_us, event.stream, request) for request in event.members]
        self.last_registration_us = now_us
        change = self._delta(result.changed.as_endpoint() for result in results if result.changed is not None)
        if results and all(result.repeated for result in results):
            refusal = Refusal.ALREADY_REGISTERED
        return RegistrationOutcome(change, refusal)

    def _refusal_of(self, requests: tuple[MemberRequest, ...]) -> Refusal | None:
        """Why a registration is refused as a whole; None if it is not."""
        if len({request.key for request in requests}) < len(requests):
            return Refusal.TWICE
        new = sum(request.key not in self.entries for request in requests)
        if len(self.entries) + new > self.terms.max_members:
            return Refusal.FULL
        if any(request.task <= NOT_ALLOCATED for request in requests):
            return Refusal.FULL
        if any(request.zone <= NOT_ALLOCATED for request in requests):
            return Refusal.NO_ZONE
        return None

    def _register_one(self, now_us: int, stream: int, request: MemberRequest) -> _RegisteredOne:
        words = read_label(request.label)
        run = words.get("run", "")
        member = self.entries.get(request.key)
        if member is None:
            return _RegisteredOne(self._enter(now_us, stream, request, words), False)
        if run and run == member.run:
            return self._reconnect(stream, request, member)
        if not run and member.stream == stream:
            return _RegisteredOne(None, True)
        self.restarts += 1
        return _RegisteredOne(self._enter(now_us, stream, request, words), False)

    def _enter(self, now_us: int, stream: int, request: MemberRequest, words: dict[str, str]) -> RegisteredMember:
        """List a member that is new, or has started anew."""
        member = self.entries[request.key] = RegisteredMember(request)
        member.run = words.get("run", "")
        member.stream = stream
        member.started_at_us = self._start_of_run(now_us, words)
        member.listed_weight = figure(words, "size", MIN_SIZE, MAX_SIZE) or DEFAULT_SIZE
        return member

    def _reconnect(self, stream: int, request: MemberRequest, member: RegisteredMember) -> _RegisteredOne:
        """Take a member over to this stream; to register anew also ends a drain."""
        repeated = member.stream == stream
        self.returns += not repeated
        member.stream = stream
        member.held_until_us = NO_HOLD
        member.own = request.own
        if member.state != TaskState.DRAINING:
            return _RegisteredOne(None, repeated)
        member.state = TaskState.READY
        return _RegisteredOne(member, repeated)

    def _start_of_run(self, now_us: int, words: dict[str, str]) -> int:
        """When a run began; 0 for long ago. One that does not say so began now: a slow start is the safe side."""
        up_s = figure(words, "up", 0.0, MAX_UP_S)
        if up_s is None:
            return now_us
        up_us = up_s * US_PER_S
        return 0 if up_us >= self.terms.warm_up_us else max(1, now_us - round(up_us))

    def _deregister(self, event: Deregistered) -> RegistrationOutcome:
        if event.keys is None:
            keys = [key for key, member in self.entries.items() if member.stream == event.stream]
        else:
            keys = [key for key in event.keys if self._owned_member(event.stream, key) is not None]
            if len(keys) < len(set(event.keys)):
                return RegistrationOutcome(refusal=Refusal.NOT_REGISTERED)
        return self._take_out(dict.fromkeys(keys))

    def _quiesce(self, event: Quiesced) -> RegistrationOutcome:
        member = self._owned_member(event.stream, event.key)
        if member is None:
            return RegistrationOutcome(refusal=Refusal.NOT_REGISTERED)
        state = TaskState.DRAINING if event.on else TaskState.READY
        if member.state == state:
            return RegistrationOutcome()
        member.state = state
        return RegistrationOutcome(self._delta([member.as_endpoint()]))

    def _owned_member(self, stream: int, key: tuple) -> RegisteredMember | None:
        """A member that a request on this stream may change."""
        member = self.entries.get(key)
        return member if member is not None and member.may_be_changed_by(stream) else None

    def _lose_stream(self, now_us: int, stream: int) -> RegistrationOutcome:
        for member in self.entries.values():
            if member.stream == stream:
                member.stream = NO_STREAM
                hold_us = self.terms.hold_own_us if member.own else self.terms.hold_agent_us
                member.held_until_us = now_us + hold_us
        return self._take_out_lapsed(now_us)

    def _take_out_lapsed(self, now_us: int) -> RegistrationOutcome:
        lapsed = [key for key, member in self.entries.items() if 0 <= member.held_until_us <= now_us]
        self.lapsed += len(lapsed)
        return self._take_out(lapsed)

    def _take_out(self, keys: Iterable[tuple]) -> RegistrationOutcome:
        left = tuple(keys)
        endpoints = [self.entries.pop(key).as_endpoint()._replace(state=TaskState.GONE) for key in left]
        return RegistrationOutcome(self._delta(endpoints), None, left)
