"""One member's view of all other members, and the choice of updates for each outgoing message.

Updates are ordered by incarnation, then by status, as in SWIM. Only a member itself raises its incarnation, which
refutes a suspicion.
"""

from __future__ import annotations

from math import ceil, isfinite, log2

from hollyridge.membership.messages import GossipMessage, MemberFacts, Status
from hollyridge.membership.swim_events import Action, MemberChanged, SwimConfig

MAX_UPDATES_PER_MESSAGE = 8  # keeps probes within one network packet
RETRANSMIT_MULTIPLIER = 3  # each update is sent this many times the binary logarithm of the fleet's size
SUSPICION_MULTIPLIER = 4  # a suspicion lasts this many probe periods times the binary logarithm of the fleet's size
MAX_INCARNATION_JUMP = 1 << 20  # larger jumps are rejected: the member could never refute such an update
INCARNATION_LIMIT = 1 << 53  # larger integers are not exact on all platforms
MAX_MEMBER_WEIGHT = 1e6  # a larger weight is considered an error of the sender


class Member:
    """The known state of another member. Times are in microseconds.

    Attributes:
        status: State of the member.
        incarnation: Incarnation of the newest update.
        facts: Facts that the member published with this incarnation.
        since_us: Time at which the member entered this state.
        suspect_until_us: Time at which a suspected member is declared gone.
        sent_count: Number of messages that have carried this update.
        disputed: Whether the member has restarted without knowing its former incarnation, so that it needs this update.
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
        name: Name of this member.
        facts: Facts that this member publishes about itself.
        incarnation: Incarnation of this member.
        has_left: Whether this member has announced that it leaves.
        members: All other members by name.
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

    def alive_members(self) -> dict[str, Member]:
        """Return the other members that count as alive, which includes suspected ones until they are declared gone."""
        return {name: member for name, member in self.members.items() if member.status <= Status.SUSPECT}

    def own_update(self) -> GossipMessage:
        """Return this member's update about itself."""
        status = Status.LEFT if self.has_left else Status.ALIVE
        return GossipMessage(self.name, status, self.incarnation, self.facts)

    def update_about(self, name: str) -> GossipMessage:
        """Return an update with the known state of another member."""
        member = self.members[name]
        return GossipMessage(name, int(member.status), member.incarnation, member.facts)

    def change_facts(self, facts: MemberFacts) -> None:
        """Publish other facts about this member from now on."""
        self.facts = facts
        self.incarnation += 1
        self._own_sent_count = 0

    def leave(self) -> None:
        """Publish that this member leaves."""
        self.has_left = True
        self.incarnation += 1

    def updates_for(self, recipient: str) -> tuple[GossipMessage, ...]:
        """Choose the updates of one message, those sent least often first.

        An update about the recipient itself precedes them if the recipient has to refute it.
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
        """Apply an update from a peer and append the resulting changes to `actions`."""
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
        """Replace the known state of another member and append a visible change to `actions`."""
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
        """Raise the own incarnation above that of an update about this member that this run did not make.

        An earlier run of this member may have had a higher incarnation.
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
        return ceil(log2(len(self.alive_members()) + 2))


def _is_plausible(update: GossipMessage) -> bool:
    weight = update.facts.weight
    return 0 <= update.incarnation < INCARNATION_LIMIT and isfinite(weight) and 0 <= weight <= MAX_MEMBER_WEIGHT
