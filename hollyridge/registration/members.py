"""The member registry: the endpoint list as members register, quiesce, deregister and lose their streams.

An endpoint list states only whether a process runs, and it changes late. The registry therefore decides:

- *Restart or reconnection.* A member's label may state `run=` (new at each start) and `up=` (seconds since then). The
  same run on a new stream is a reconnection. Another run, or a label without one, is a restart. A restart mistaken for
  a reconnection could overload a cold task, while the reverse only costs a slow start.
- *Ownership.* A member belongs to the stream that registered it last. A request on another stream can't remove it
  while the owner's stream is open, so that a deregistration overtaken by a new registration has no effect.
- *Lost streams.* A member stays listed for a while after its stream was lost: `hold_own_us` if it registered itself,
  `hold_agent_us` if an agent did, since an agent that restarts registers its members again.
- *Settling.* After the start the first list is published once registrations have paused for `settle_us`, after
  `max_settle_us` at the latest, so that the first tables do not send all proxies to the few tasks that registered
  first.
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
from hollyridge.registration.member_label import number_in_range, read_label
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
    "number_in_range",
    "read_label",
]

NOT_ALLOCATED = -1  # as task index or zone of a request
MAX_UP_S = 1e9  # largest `up=` in a label
MIN_SIZE = 1e-6  # smallest `size=` in a label
MAX_SIZE = 1e6  # largest `size=` in a label
US_PER_S = 1e6
MIN_SETTLE_CHECK_US = 1000  # between two checks whether registrations have paused


class RegistrationConfig(NamedTuple):
    """Configuration of the registry. Times in microseconds.

    Attributes:
        warm_up_us: Time since its start after which a task counts as started long ago.
        hold_own_us: Time for which a member that registered itself stays listed after its stream was lost.
        hold_agent_us: The same time for a member that an agent registered.
        settle_us: Pause of registrations that ends the settling after the start.
        max_settle_us: Maximum time of the settling.
        max_members: Maximum number of listed members.
    """

    warm_up_us: int
    hold_own_us: int
    hold_agent_us: int
    settle_us: int
    max_settle_us: int
    max_members: int


class _MemberResult(NamedTuple):
    """The result of the registration of one member.

    Attributes:
        changed: The member if its endpoint list entry has changed, else None.
        repeated: Whether the same stream had registered the member before, without a restart since.
    """

    changed: RegisteredMember | None
    repeated: bool


class MemberRegistry:
    """The registered members, an `EndpointSource` of the engine.

    Attributes:
        entries: The listed members by key.
        settled: Whether the first list was published.
        restarts: Number of members that registered again as another run.
        reconnections: Number of members that registered again as the same run, on another stream.
        lapsed: Number of members removed after their stream was lost.
    """

    def __init__(self, registration_config: RegistrationConfig, now_us: int) -> None:
        self.registration_config = registration_config
        self.entries: dict[tuple, RegisteredMember] = {}
        self.version = 0
        self.opened_us = now_us
        self.last_registration_us = now_us
        self.settled = False
        self.restarts = 0
        self.reconnections = 0
        self.lapsed = 0

    def handle(self, now_us: int, event: RegistrationEvent) -> RegistrationOutcome:
        """Process an event and return its outcome."""
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
            outcome = self._remove_lapsed(now_us)
        else:  # RefreshRequested
            return RegistrationOutcome(self.full_list(UpdateKind.FULL)) if self.settled else RegistrationOutcome()
        if not self.settled:  # no update is published before the first list
            return outcome._replace(change=self._first_list(now_us))
        return outcome

    def full_list(self, kind: UpdateKind) -> EndpointListUpdate:
        """Return the whole list, as a new version."""
        self.version += 1
        endpoints = tuple(member.as_endpoint() for member in self.entries.values())
        return EndpointListUpdate(self.version, kind, endpoints)

    def next_deadline(self, now_us: int) -> int | None:
        """Return the time at which the next `Tick` is due, or None if none is."""
        if not self.settled:
            return now_us + max(MIN_SETTLE_CHECK_US, self.registration_config.settle_us // 4)
        return min(
            (member.held_until_us for member in self.entries.values() if member.held_until_us >= 0), default=None
        )

    def counters(self) -> dict[str, int]:
        """Return counts for the status page."""
        return {"restarts": self.restarts, "returns": self.reconnections, "lapsed": self.lapsed}

    def _first_list(self, now_us: int) -> EndpointListUpdate | None:
        paused = self.entries and now_us - self.last_registration_us >= self.registration_config.settle_us
        if not paused and now_us - self.opened_us < self.registration_config.max_settle_us:
            return None
        self.settled = True
        return self.full_list(UpdateKind.CACHED)

    def _delta(self, endpoints: Iterable[Endpoint]) -> EndpointListUpdate | None:
        """Return an update with these entries, or None if there are none or before the first list."""
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
        """Return the reason why a registration is refused as a whole, or None if it is not."""
        if len({request.key for request in requests}) < len(requests):
            return Refusal.DUPLICATE
        new = sum(request.key not in self.entries for request in requests)
        if len(self.entries) + new > self.registration_config.max_members:
            return Refusal.FULL
        if any(request.task <= NOT_ALLOCATED for request in requests):
            return Refusal.FULL
        if any(request.zone <= NOT_ALLOCATED for request in requests):
            return Refusal.NO_ZONE
        return None

    def _register_one(self, now_us: int, stream: int, request: MemberRequest) -> _MemberResult:
        label_values = read_label(request.label)
        run = label_values.get("run", "")
        member = self.entries.get(request.key)
        if member is None:
            return _MemberResult(self._add(now_us, stream, request, label_values), False)
        if run and run == member.run:
            return self._reconnect(stream, request, member)
        if not run and member.stream == stream:
            return _MemberResult(None, True)
        self.restarts += 1
        return _MemberResult(self._add(now_us, stream, request, label_values), False)

    def _add(self, now_us: int, stream: int, request: MemberRequest, label_values: dict[str, str]) -> RegisteredMember:
        """Add a member that is new or has restarted."""
        member = self.entries[request.key] = RegisteredMember(request)
        member.run = label_values.get("run", "")
        member.stream = stream
        member.started_at_us = self._start_of_run(now_us, label_values)
        member.listed_weight = number_in_range(label_values, "size", MIN_SIZE, MAX_SIZE) or DEFAULT_SIZE
        return member

    def _reconnect(self, stream: int, request: MemberRequest, member: RegisteredMember) -> _MemberResult:
        """Assign a member to this stream and end its drain, if any."""
        repeated = member.stream == stream
        self.reconnections += not repeated
        member.stream = stream
        member.held_until_us = NO_HOLD
        member.self_registered = request.self_registered
        if member.state != TaskState.DRAINING:
            return _MemberResult(None, repeated)
        member.state = TaskState.READY
        return _MemberResult(member, repeated)

    def _start_of_run(self, now_us: int, label_values: dict[str, str]) -> int:
        """Return the start time of a run, or 0 for long ago. Without `up=` it is now, since a slow start is safer."""
        up_s = number_in_range(label_values, "up", 0.0, MAX_UP_S)
        if up_s is None:
            return now_us
        up_us = up_s * US_PER_S
        return 0 if up_us >= self.registration_config.warm_up_us else max(1, now_us - round(up_us))

    def _deregister(self, event: Deregistered) -> RegistrationOutcome:
        if event.keys is None:
            keys = [key for key, member in self.entries.items() if member.stream == event.stream]
        else:
            keys = [key for key in event.keys if self._owned_member(event.stream, key) is not None]
            if len(keys) < len(set(event.keys)):
                return RegistrationOutcome(refusal=Refusal.NOT_REGISTERED)
        return self._remove(dict.fromkeys(keys))

    def _quiesce(self, event: Quiesced) -> RegistrationOutcome:
        member = self._owned_member(event.stream, event.key)
        if member is None:
            return RegistrationOutcome(refusal=Refusal.NOT_REGISTERED)
        state = TaskState.DRAINING if event.draining else TaskState.READY
        if member.state == state:
            return RegistrationOutcome()
        member.state = state
        return RegistrationOutcome(self._delta([member.as_endpoint()]))

    def _owned_member(self, stream: int, key: tuple) -> RegisteredMember | None:
        """Return the member if a request on this stream may change it, else None."""
        member = self.entries.get(key)
        return member if member is not None and member.may_be_changed_by(stream) else None

    def _lose_stream(self, now_us: int, stream: int) -> RegistrationOutcome:
        for member in self.entries.values():
            if member.stream == stream:
                member.stream = NO_STREAM
                hold_us = (
                    self.registration_config.hold_own_us
                    if member.self_registered
                    else self.registration_config.hold_agent_us
                )
                member.held_until_us = now_us + hold_us
        return self._remove_lapsed(now_us)

    def _remove_lapsed(self, now_us: int) -> RegistrationOutcome:
        lapsed = [key for key, member in self.entries.items() if 0 <= member.held_until_us <= now_us]
        self.lapsed += len(lapsed)
        return self._remove(lapsed)

    def _remove(self, keys: Iterable[tuple]) -> RegistrationOutcome:
        removed_keys = tuple(keys)
        endpoints = [self.entries.pop(key).as_endpoint()._replace(state=TaskState.GONE) for key in removed_keys]
        return RegistrationOutcome(self._delta(endpoints), None, removed_keys)
