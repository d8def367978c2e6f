"""What one member knows about all others, and which of it goes into the next message.

Updates are ordered by incarnation, then by status, as SWIM has it. A member alone raises its own incarnation, which is
how it refutes a suspicion.
"""

from __future__ import annotations

from math import ceil, isfinite, log2

from hollyridge.membership.messages import GossipMessage, MemberFacts, Status
from hollyridge.membership.swim_events import Action, MemberChanged, SwimConfig

MAX_UPDATES_PER_MESSAGE = 8  # keeps probes within one network packet
RETRANSMIT_MULTIPLIER = 3  # an update is sent this many times the logarithm of the fleet's size
SUSPICION_MULTIPLIER = 4  # probe periods that a suspicion lasts for each doubling of the fleet
MAX_INCARNATION_JUMP = 1 << 20  # beyond this an update is rejected: its member could not refute it for ever
INCARNATION_LIMIT = 1 << 53  # whole numbers above are not exact everywhere
MAX_MEMBER_WEIGHT = 1e6  # beyond this the weight is a fault of its sender


class Member:
    """What is known about another member. Times in microseconds.

    Attributes:
        status: Its state.
        incarnation: Of the update that this rests on.
        facts: What it stated under this incarnation.
        since_us: When it entered this state.
        suspect_until_us: When a suspicion turns into the verdict that it is gone.
        sent_count: Messages that have carried this update.
        disputed: Whether it restarted without knowing its former incarnation, and needs to be sent this update.
    """

    __slots__ = ("disputed", "facts", "incarnation", "sent_count", "since_us", "status", "suspect_until_us")

    def __init__(self, update: GossipMessage, now_us: int) -> None:
        self.status = Status(update.status)
        self.incarnation = update.incarnation
        self.facts = update.facts
        self.since_us = now_us
        self.suspect_until_us = 0
        self.sent_count = 0
        self.disputed = False


class MemberTable:
    """One member's view of its fleet.

    Attributes:
        name: This member.
        facts: What it states about itself.
        incarnation: Its own.
        has_left: Whether it has announced that it leaves.
        members: All others, by name.
    """

    def __init__(self, name: str, facts: MemberFacts, config: SwimConfig, counts: dict[str, int]) -> None:
        self.name = name
        self.facts = facts
        self.incarnation = 0
        self.has_left = False
        self.members: dict[str, Member] = {}
        self._config = config
        self._counts = counts
        self._own_sent_count = 0

    def alive(self) -> dict[str, Member]:
        """Returns the others that count as alive; suspected ones do until they are declared gone."""
        return {name: member for name, member in self.members.items() if member.status <= Status.SUSPECT}

    def own_update(self) -> GossipMessage:
        """Returns this member's update about itself."""
        status = Status.LEFT if self.has_left else Status.ALIVE
        return GossipMessage(self.name, status, self.incarnation, self.facts)

    def update_about(self, name: str) -> GossipMessage:
        """Returns what is known about another member."""
        member = self.members[name]
        return GossipMessage(name, int(member.status), member.incarnation, member.facts)

    def change_facts(self, facts: MemberFacts) -> None:
        """States other facts about this member from now on."""
        self.facts = facts
        self.incarnation += 1
        self._own_sent_count = 0

    def leave(self) -> None:
        """States that this member leaves."""
        self.has_left = True
        self.incarnation += 1

    def updates_for(self, recipient: str) -> tuple[GossipMessage, ...]:
        """Chooses the updates of one message, those sent least often first.

        An update about the recipient itself goes in ahead of them if it is one that the recipient has to refute.
        """
        max_sent = self._max_sent()
        updates = []
        if self._own_sent_count < max_sent:
            updates.append(self.own_update())
            self._own_sent_count += 1
        member = self.members.get(recipient)
        if member is not None and (member.status != Status.ALIVE or member.disputed):
            updates.append(self.update_about(recipient))
        fresh = sorted(
            (other.sent_count, name)
            for name, other in self.members.items()
            if other.sent_count < max_sent and name != recipient
        )
        for _, name in fresh[: MAX_UPDATES_PER_MESSAGE - len(updates)]:
            self.members[name].sent_count += 1
            updates.append(self.update_about(name))
        return tuple(updates)

    def merge(self, now_us: int, update: GossipMessage, actions: list[Action]) -> None:
        """Takes in an update from a peer; what changes is appended to the actions."""
        if not _is_plausible(update):
            self._counts["disbelieved"] += 1
            return
        if update.name == self.name:
            self._refute(update)
            return
        member = self.members.get(update.name)
        if member is None:
            if update.status < Status.GONE and len(self.members) < self._config.max_members:
                self.set(now_us, update, actions)
            return
        if update.incarnation > member.incarnation + MAX_INCARNATION_JUMP:
            self._counts["disbelieved"] += 1
            return
        if (update.incarnation, update.status) > (member.incarnation, member.status):
            self.set(now_us, update, actions)
        elif update.incarnation <= member.incarnation and update.facts.run_id != member.facts.run_id:
            member.disputed = True

    def set(self, now_us: int, update: GossipMessage, actions: list[Action]) -> None:
        """Replaces what is known about another member."""
        previous = self.members.get(update.name)
        member = self.members[update.name] = Member(update, now_us)
        if member.status == Status.SUSPECT:
            periods = SUSPICION_MULTIPLIER * self._log_of_size()
            member.suspect_until_us = now_us + periods * self._config.probe_period_us
        if previous is None or previous.status != member.status or previous.facts != member.facts:
            restarted = previous is not None and previous.facts.run_id != update.facts.run_id
            if previous is not None and previous.status == member.status and not restarted:
                member.since_us = previous.since_us
            actions.append(MemberChanged(update.name, member.status, member.facts, restarted))
        else:
            member.since_us = previous.since_us
            member.suspect_until_us = previous.suspect_until_us or member.suspect_until_us

    def _refute(self, update: GossipMessage) -> None:
        """Raises the own incarnation above an update about this member that it did not make.

        An earlier run of it may have had a higher incarnation than this one.
        """
        own = self.own_update()
        differs = update.status != own.status or update.facts != self.facts
        if update.incarnation < self.incarnation or (update.incarnation == self.incarnation and not differs):
            return
        if update.incarnation > self.incarnation + MAX_INCARNATION_JUMP:
            self._counts["disbelieved"] += 1
            return
        self._counts["refuted"] += 1
        self.incarnation = update.incarnation + 1
        self._own_sent_count = 0

    def _max_sent(self) -> int:
        return RETRANSMIT_MULTIPLIER * self._log_of_size()

    def _log_of_size(self) -> int:
        return ceil(log2(len(self.alive()) + 2))


def _is_plausible(update: GossipMessage) -> bool:
    weight = update.facts.weight
    return 0 <= update.incarnation < INCARNATION_LIMIT and isfinite(weight) and 0 <= weight <= MAX_MEMBER_WEIGHT
