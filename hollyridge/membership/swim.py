"""Failure detection by SWIM (Das, Gupta, Motivala, 2002), with suspicion and incarnations as published.

In each period a member probes one other member, in shuffled rounds. If no ack arrives in time, it sends indirect probes
through some of the others. If no ack arrives at all, the probed member is suspected. It can refute the suspicion by
raising its incarnation, otherwise it is declared gone when the suspicion times out. Updates about members are
piggybacked on these messages.

This implementation adds three rules to the paper:

- After a pause of its own process a member suspects nobody: it discards its open probe and extends all suspicions by
  the length of the pause.
- A message to a member that is suspected or gone carries that update, so that the member can refute it.
- Members that are gone are contacted again at intervals, so that the halves of a partitioned fleet find each other.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import Any, ClassVar, NamedTuple

from hollyridge.membership.member_table import Member, MemberTable
from hollyridge.membership.messages import (
    Ack,
    FullState,
    GossipMessage,
    Join,
    MemberFacts,
    Ping,
    PingRequest,
    Status,
)
from hollyridge.membership.swim_events import (
    Action,
    Event,
    FactsChanged,
    LeaveRequested,
    MemberChanged,
    MessageReceived,
    SendMessage,
    SwimConfig,
    Tick,
)

__all__ = [
    "Action",
    "Event",
    "FactsChanged",
    "LeaveRequested",
    "MemberChanged",
    "MessageReceived",
    "SendMessage",
    "Swim",
    "SwimConfig",
    "Tick",
]

MAX_UPDATES_IN_FULL_STATE = 64  # the largest number of members; also the limit on updates read from one message
INDIRECT_PROBES = 3  # number of indirect probes after a missing ack; k in the paper
INDIRECT_PROBE_PERIODS = 2  # probe periods after which an ack for another member's probe is useless
REJOIN_INTERVAL_PERIODS = 10  # probe periods between two attempts to reach seeds and members that are gone
MAX_REJOINS = 8  # messages of one such attempt
GONE_RETENTION_PERIODS = 600  # probe periods for which a member that is gone stays in the table


class Probe(NamedTuple):
    """A probe that waits for its ack; `indirect` is set after indirect probes have been requested."""

    sequence: int
    target: str
    sent_at_us: int
    indirect: bool = False


class RelayedProbe(NamedTuple):
    """A probe on behalf of another member.

    Attributes:
        address: Address of the requesting member.
        sequence: Sequence number of the requesting member's probe.
        received_at_us: Time at which the request arrived, in microseconds.
    """

    address: str
    sequence: int
    received_at_us: int


class Swim:
    """Failure detection of one member. The caller passes in all times, in microseconds of a monotonic clock.

    >>> a, b = (Swim(name, MemberFacts(f"127.0.0.1:{port}", "r1"), SwimConfig(1000, 200), Random(1))
    ...         for name, port in (("a", 1), ("b", 2)))
    >>> a.seeds = ["127.0.0.1:2"]
    >>> (join,) = a.handle(0, Tick()); join.message.updates[0].name
    'a'
    >>> *changes, answer = b.handle(10, MessageReceived("127.0.0.1:1", join.message))
    >>> [(change.name, change.status.name) for change in changes]
    [('a', 'ALIVE')]
    >>> actions = a.handle(20, MessageReceived("127.0.0.1:2", answer.message))
    >>> [action.name for action in actions if isinstance(action, MemberChanged)]
    ['b']

    Attributes:
        table: Known state of all members.
        members: The other members by name.
        seeds: Addresses through which this member joins the fleet.
        counts: Totals for the status page.
    """

    def __init__(
        self, name: str, facts: MemberFacts, config: SwimConfig, rng: Random, seeds: tuple[str, ...] = ()
    ) -> None:
        self.name = name
        self.config = config
        self.seeds = list(seeds)
        self.counts = dict.fromkeys(("pings", "relays", "suspected", "gone", "refuted", "stalls", "disbelieved"), 0)
        self.table = MemberTable(name, facts, config, self.counts)
        self.members = self.table.members
        self._rng = rng
        self._round: list[str] = []
        self._sequence = 0
        self._probe: Probe | None = None
        self._relayed: dict[int, RelayedProbe] = {}
        self._next_probe_us = -1
        self._ticked_at_us = -1
        self._next_rejoin_us = 0

    @property
    def facts(self) -> MemberFacts:
        """The facts that this member publishes about itself."""
        return self.table.facts

    def alive_members(self) -> dict[str, Member]:
        """Return the other members that count as alive, which includes suspected ones until they are declared gone."""
        return self.table.alive_members()

    def next_deadline_us(self) -> int:
        """Return the time at which the next `Tick` is due."""
        deadlines = [max(self._next_probe_us, 0)]
        if self._probe is not None and not self._probe.indirect:
            deadlines.append(self._probe.sent_at_us + self.config.ack_timeout_us)
        deadlines += [m.suspect_until_us for m in self.members.values() if m.status == Status.SUSPECT]
        return min(deadlines)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Process one event and return the actions to carry out, in order."""
        actions: list[Action] = []
        event_type = type(event)
        if event_type is MessageReceived:
            self._on_message(now_us, event, actions)
        elif event_type is FactsChanged:
            self.table.change_facts(event.facts)
        elif event_type is LeaveRequested:
            self._announce_leave(actions)
        elif not self.table.has_left:
            self._tick(now_us, actions)
        return actions

    def _announce_leave(self, actions: list[Action]) -> None:
        self.table.leave()
        alive = self.alive_members()
        actions += [SendMessage(alive[name].facts.address, self._join()) for name in sorted(alive)]

    def _join(self) -> Join:
        return Join((self.table.own_update(),))

    def _tick(self, now_us: int, actions: list[Action]) -> None:
        self._reset_after_pause(now_us)
        self._ticked_at_us = now_us
        self._expire_members(now_us, actions)
        max_age_us = INDIRECT_PROBE_PERIODS * self.config.probe_period_us
        self._relayed = {
            sequence: probe for sequence, probe in self._relayed.items() if now_us - probe.received_at_us < max_age_us
        }
        self._probe_indirectly(now_us, actions)
        if now_us >= self._next_probe_us:
            self._end_probe(now_us, actions)
            self._schedule_probe(now_us)
            self._begin_probe(now_us, actions)
            self._rejoin(now_us, actions)

    def _reset_after_pause(self, now_us: int) -> None:
        """Discard the open probe and extend suspicions if this process was paused.

        The ack of the probe may still wait in the receive queue of this process.
        """
        if self._ticked_at_us < 0:
            return
        pause_us = now_us - max(self._ticked_at_us, self._next_probe_us)
        if pause_us > self.config.probe_period_us:
            self.counts["stalls"] += 1
            self._probe = None
            self._next_probe_us = now_us
            for member in self.members.values():
                member.suspect_until_us += pause_us

    def _expire_members(self, now_us: int, actions: list[Action]) -> None:
        retention_us = GONE_RETENTION_PERIODS * self.config.probe_period_us
        for name, member in list(self.members.items()):
            if member.status == Status.SUSPECT and now_us >= member.suspect_until_us:
                self.counts["gone"] += 1
                self.table.set(now_us, GossipMessage(name, Status.GONE, member.incarnation, member.facts), actions)
            elif member.status >= Status.GONE and now_us - member.since_us > retention_us:
                del self.members[name]

    def _probe_indirectly(self, now_us: int, actions: list[Action]) -> None:
        probe = self._probe
        if probe is None or probe.indirect:
            return
        if not probe.sent_at_us + self.config.ack_timeout_us <= now_us < self._next_probe_us:
            return
        self._probe = probe._replace(indirect=True)
        others = sorted(name for name in self.alive_members() if name != probe.target)
        for helper in self._rng.sample(others, min(INDIRECT_PROBES, len(others))):
            self.counts["relays"] += 1
            request = PingRequest(probe.sequence, probe.target, self.table.updates_for(helper))
            actions.append(SendMessage(self.members[helper].facts.address, request))

    def _schedule_probe(self, now_us: int) -> None:
        """Set the time of the next probe: on schedule after a small delay, a period from now after a missed period."""
        period_us = self.config.probe_period_us
        self._next_probe_us = max(self._next_probe_us, now_us - period_us) + period_us
        if self._next_probe_us <= now_us:
            self._next_probe_us = now_us + period_us

    def _begin_probe(self, now_us: int, actions: list[Action]) -> None:
        alive = self.alive_members()
        self._round = [name for name in self._round if name in alive]
        if not self._round:
            self._round = sorted(alive)
            self._rng.shuffle(self._round)
        if not self._round:
            return
        target = self._round.pop()
        self._sequence += 1
        self.counts["pings"] += 1
        self._probe = Probe(self._sequence, target, now_us)
        ping = Ping(self._sequence, target, self.table.updates_for(target))
        actions.append(SendMessage(alive[target].facts.address, ping))

    def _end_probe(self, now_us: int, actions: list[Action]) -> None:
        """Suspect the target of the open probe, which got no ack."""
        if self._probe is None:
            return
        name = self._probe.target
        self._probe = None
        member = self.members.get(name)
        if member is not None and member.status == Status.ALIVE:
            self.counts["suspected"] += 1
            self.table.set(now_us, GossipMessage(name, Status.SUSPECT, member.incarnation, member.facts), actions)

    def _rejoin(self, now_us: int, actions: list[Action]) -> None:
        """Contact seeds and members that are gone at addresses where no live member is known."""
        if now_us < self._next_rejoin_us:
            return
        self._next_rejoin_us = now_us + REJOIN_INTERVAL_PERIODS * self.config.probe_period_us
        known = {member.facts.address for member in self.alive_members().values()} | {self.facts.address}
        gone = [member.facts.address for member in self.members.values() if member.status == Status.GONE]
        addresses = [address for address in dict.fromkeys([*self.seeds, *gone]) if address not in known]
        actions += [SendMessage(address, self._join()) for address in addresses[:MAX_REJOINS]]

    def _on_message(self, now_us: int, event: MessageReceived, actions: list[Action]) -> None:
        for update in event.message.updates[:MAX_UPDATES_IN_FULL_STATE]:
            self.table.merge(now_us, update, actions)
        handler = self._MESSAGE_HANDLERS.get(type(event.message))
        if handler is not None:
            handler(self, now_us, event.address, event.message, actions)

    def _on_ping(self, _now_us: int, address: str, message: Ping, actions: list[Action]) -> None:
        if message.target != self.name:
            return
        sender = next((name for name, member in self.members.items() if member.facts.address == address), "")
        actions.append(SendMessage(address, Ack(message.sequence, self.table.updates_for(sender))))
        if not sender:  # the sender knows an earlier run of this member, but this run does not know the sender yet
            actions.append(SendMessage(address, self._join()))

    def _on_ping_request(self, now_us: int, address: str, message: PingRequest, actions: list[Action]) -> None:
        target = self.members.get(message.target)
        if target is None:
            return
        self._sequence += 1
        self._relayed[self._sequence] = RelayedProbe(address, message.sequence, now_us)
        ping = Ping(self._sequence, message.target, self.table.updates_for(message.target))
        actions.append(SendMessage(target.facts.address, ping))

    def _on_ack(self, _now_us: int, _address: str, message: Ack, actions: list[Action]) -> None:
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            actions.append(SendMessage(relayed.address, Ack(relayed.sequence, message.updates)))
        elif self._probe is not None and self._probe.sequence == message.sequence:
            self._probe = None

    def _on_join(self, _now_us: int, address: str, message: Join, actions: list[Action]) -> None:
        if not message.updates:
            return
        updates = [self.table.own_update(), *(self.table.update_about(name) for name in sorted(self.members))]
        actions.append(SendMessage(address, FullState(tuple(updates[:MAX_UPDATES_IN_FULL_STATE]))))

    _MESSAGE_HANDLERS: ClassVar[Mapping[type, Callable[[Swim, int, str, Any, list[Action]], None]]] = {
        Ping: _on_ping,
        PingRequest: _on_ping_request,
        Ack: _on_ack,
        Join: _on_join,
    }
