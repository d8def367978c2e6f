"""Who is listed: members as registered, quiesced and deregistered on SASP streams, and as they vanish.

A list only knows whether a process runs, and hears late. What is decided here:

- *Run.* A member's label may tell `run=` (new at each start) and `up=` (seconds since). The same run coming back
  is a reconnection; another run, or a label that tells none, is a restart: a restart taken for a reconnection
  could push a cold task over, the reverse costs a slow rise only.
- *Owner.* The stream that registered a member last. A request from another stream may not end it while the owner's
  stream stands, so that a deregistration overtaken by a new registration ends nothing.
- *Broken stream.* A member that spoke for itself is held `hold_own`, one of an agent's `hold_agent`: an agent that
  restarts says its list again, and a fleet must not vanish with its list's bearer.
- *Settling.* After the start the first list waits until registrations have paused for `settle` (`settle_most` at
  most), so that first tables do not pile all proxies on the few tasks that came first.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import AnyStr, NamedTuple, Union

from hollyridge.interface import Endpoint, EndpointListUpdate, TaskState, UpdateKind


class Refusal(IntEnum):
    """Why a request about members is turned down."""

    ALREADY_REGISTERED = 1
    NOT_REGISTERED = 2
    FULL = 3
    NO_ZONE = 4
    TWICE = 5


class MemberRequest(NamedTuple):
    """A member as a request names it: its key, its index and zone as allocated (-1: not found)."""

    key: tuple
    task: int
    zone: int
    label: str
    own: bool  # registers itself


class Registered(NamedTuple):
    stream: int
    members: tuple[MemberRequest, ...]


class Deregistered(NamedTuple):
    """`keys` None: all that this stream may take out."""

    stream: int
    keys: tuple[tuple, ...] | None


class Quiesced(NamedTuple):
    stream: int
    key: tuple
    on: bool


class StreamLost(NamedTuple):
    stream: int


class Tick(NamedTuple):
    pass


class RefreshRequested(NamedTuple):
    """The module wants the whole list."""


RegistrationEvent = Union[Registered, Deregistered, Quiesced, StreamLost, Tick, RefreshRequested]


class RegistrationOutcome(NamedTuple):
    """What to hand on: a list change or None, why a request was turned down or None, members that left."""

    change: EndpointListUpdate | None = None
    refusal: Refusal | None = None
    left: tuple[tuple, ...] = ()


class RegistrationConfig(NamedTuple):
    """Times in microseconds. `warm_up` is when a task counts as warm, `most` how many may be listed."""

    warm_up: int
    hold_own: int
    hold_agent: int
    settle: int
    settle_most: int
    most: int


class RegisteredMember:
    __slots__ = ("task", "zone", "run", "started", "stream", "own", "state", "weight", "until")

    def __init__(self, who: MemberRequest) -> None:
        self.task, self.zone, self.own = who.task, who.zone, who.own
        self.run, self.started, self.stream = "", 0, -1
        self.state, self.weight, self.until = TaskState.READY, 1.0, -1


def read_label(label: str) -> dict[str, str]:
    """`word=value` pairs of a label; anything else in it is passed over.

    >>> read_label("shelf-3 run=9f up=12.5 size=2")
    {'run': '9f', 'up': '12.5', 'size': '2'}
    """
    return dict(word.split("=", 1) for word in label.split() if "=" in word)


def figure(words: Mapping[AnyStr, AnyStr], name: AnyStr, least: float, most: float) -> float | None:
    """A number from words by name within bounds; None for anything else.

    >>> figure({"up": "nan"}, "up", 0, 10), figure({"up": "3"}, "up", 0, 10)
    (None, 3.0)
    """
    try:
        value = float(words.get(name, ""))
    except ValueError:
        return None
    return value if least <= value <= most else None


class MemberRegistry:
    def __init__(self, terms: RegistrationConfig, now: int) -> None:
        self.terms = terms
        self.entries: dict[tuple, RegisteredMember] = {}
        self.version = 0
        self.opened = now
        self.settled = False
        self.newest = now
        self.restarts = self.returns = self.lapsed = 0

    def handle(self, now: int, what: RegistrationEvent) -> RegistrationOutcome:
        """One thing that happened; what follows from it."""
        if type(what) is Registered:
            outcome = self.register(now, what)
        elif type(what) is Deregistered:
            outcome = self.deregister(now, what)
        elif type(what) is Quiesced:
            outcome = self.quiesce(now, what)
        elif type(what) is StreamLost:
            outcome = self.lose(now, what.stream)
        elif type(what) is Tick:
            outcome = self.tick(now)
        else:
            return RegistrationOutcome(self.full_list(UpdateKind.FULL)) if self.settled else RegistrationOutcome()
        if not self.settled:  # nothing is handed on before the first list
            return outcome._replace(change=self.first(now))
        return outcome

    def first(self, now: int) -> EndpointListUpdate | None:
        quiet = self.entries and now - self.newest >= self.terms.settle
        if not quiet and now - self.opened < self.terms.settle_most:
            return None
        self.settled = True
        return self.full_list(UpdateKind.CACHED)

    def full_list(self, kind: UpdateKind) -> EndpointListUpdate:
        self.version += 1
        return EndpointListUpdate(self.version, kind, tuple(map(self.listed, self.entries.values())))

    def delta(self, entries: Iterable[Endpoint]) -> EndpointListUpdate | None:
        rows = tuple(entries)
        if not rows:
            return None
        self.version += 1
        return EndpointListUpdate(self.version, UpdateKind.DELTA, rows)

    @staticmethod
    def listed(row: RegisteredMember) -> Endpoint:
        return Endpoint(row.task, row.zone, 0, 0, row.state, row.weight, row.started)

    def started(self, now: int, words: dict[str, str]) -> int:
        """When this run began; 0 for long past. One that does not say so began now: careful, never bold."""
        up = figure(words, "up", 0.0, 1e9)
        if up is None:
            return now
        return 0 if up * 1e6 >= self.terms.warm_up else max(1, now - round(up * 1e6))

    def register(self, now: int, what: Registered) -> RegistrationOutcome:
        if len({who.key for who in what.members}) < len(what.members):
            return RegistrationOutcome(refusal=Refusal.TWICE)
        new = [who for who in what.members if who.key not in self.entries]
        if len(self.entries) + len(new) > self.terms.most or any(who.task < 0 for who in what.members):
            return RegistrationOutcome(refusal=Refusal.FULL)
        if any(who.zone < 0 for who in what.members):
            return RegistrationOutcome(refusal=Refusal.NO_ZONE)
        changed, same = [], 0
        for who in what.members:
            words = read_label(who.label)
            run = words.get("run", "")
            row = self.entries.get(who.key)
            if row is not None and run and run == row.run:
                same += row.stream == what.stream
                self.returns += row.stream != what.stream
                row.stream, row.until, row.own = what.stream, -1, who.own
                if row.state != TaskState.DRAINING:
                    continue
                row.state = TaskState.READY  # registering anew ends a drain
            elif row is not None and not run and row.stream == what.stream:
                same += 1
                continue
            else:
                self.restarts += row is not None
                row = self.entries[who.key] = RegisteredMember(who)
                row.run, row.stream, row.started = run, what.stream, self.started(now, words)
                row.weight = figure(words, "size", 1e-6, 1e6) or 1.0
            changed.append(row)
        self.newest = now
        refusal = Refusal.ALREADY_REGISTERED if what.members and same == len(what.members) else None
        return RegistrationOutcome(self.delta(map(self.listed, changed)) if self.settled else None, refusal)

    def mine(self, stream: int, row: RegisteredMember) -> bool:
        return row.stream in (stream, -1)

    def remove(self, keys: Iterable[tuple]) -> tuple[EndpointListUpdate | None, tuple[tuple, ...]]:
        gone = tuple(keys)
        entries = [self.listed(self.entries.pop(key))._replace(state=TaskState.GONE) for key in gone]
        return (self.delta(entries) if self.settled else None), gone

    def deregister(self, now: int, what: Deregistered) -> RegistrationOutcome:
        if what.keys is None:
            keys = [key for key, row in self.entries.items() if row.stream == what.stream]
        else:
            keys = [key for key in what.keys if key in self.entries and self.mine(what.stream, self.entries[key])]
            if len(keys) < len(set(what.keys)):
                return RegistrationOutcome(refusal=Refusal.NOT_REGISTERED)
        change, left = self.remove(dict.fromkeys(keys))
        return RegistrationOutcome(change, None, left)

    def quiesce(self, now: int, what: Quiesced) -> RegistrationOutcome:
        row = self.entries.get(what.key)
        if row is None or not self.mine(what.stream, row):
            return RegistrationOutcome(refusal=Refusal.NOT_REGISTERED)
        state = TaskState.DRAINING if what.on else TaskState.READY
        if row.state == state:
            return RegistrationOutcome()
        row.state = state
        return RegistrationOutcome(self.delta([self.listed(row)]) if self.settled else None)

    def lose(self, now: int, stream: int) -> RegistrationOutcome:
        for row in self.entries.values():
            if row.stream == stream:
                row.stream = -1
                row.until = now + (self.terms.hold_own if row.own else self.terms.hold_agent)
        return self.tick(now)

    def tick(self, now: int) -> RegistrationOutcome:
        over = [key for key, row in self.entries.items() if 0 <= row.until <= now]
        self.lapsed += len(over)
        change, left = self.remove(over)
        return RegistrationOutcome(change, None, left)

    def next_deadline(self, now: int) -> int | None:
        """When a `Tick` is due next."""
        if not self.settled:
            return now + max(1000, self.terms.settle // 4)
        return min((row.until for row in self.entries.values() if row.until >= 0), default=None)

    def counters(self) -> dict[str, int]:
        return {"restarts": self.restarts, "returns": self.returns, "lapsed": self.lapsed}
