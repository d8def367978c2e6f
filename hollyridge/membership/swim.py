"""Who is alive, suspected, gone: SWIM (Das, Gupta, Motivala, 2002) with incarnations and suspicion as published.

Each period one other member is pinged, in a shuffled round; without an answer in time some others are asked to ping it;
without any it is suspected, which it can refute by raising its incarnation, and after a while it is gone. News rides on
these messages, so many words a message and so many times a word. Three things are ours: who had no turn itself accuses
nobody (its open probe is void, suspicions wait as long as it stood still); whoever is spoken to while suspected or gone
is told so in the answer; and members that are gone are asked again now and then, so that halves of a cut fleet meet.

Times in microseconds, handed in. `take(now, what)` returns what is to be done.
"""

from __future__ import annotations

from math import ceil, isfinite, log2
from random import Random
from typing import NamedTuple, Union

from hollyridge.membership.messages import (
    Ack,
    FullState,
    GossipMessage,
    Join,
    MemberFacts,
    Message,
    Ping,
    Relay,
    Status,
)

WORDS = 8  # of one message, at the most
WHOLE = 64  # of an answer to a join
HELPERS = 3  # asked to ping for us
TIMES = 3  # a word is passed on so many times the logarithm of the fleet
DOUBT = 4  # periods of suspicion for each doubling of the fleet
AGAIN = 10  # periods between two words to one that is gone
KEEP = 600  # periods that one that is gone is remembered
RAISE = 1 << 20  # an incarnation further ahead than this is not believed: nobody could ever refute it


class SwimConfig(NamedTuple):
    """`period` of probes, `answer` within which a direct ack comes (below half of it), `most` members."""

    period: int
    answer: int
    most: int = 64


class Heard(NamedTuple):
    """A message from an address; who holds the fleet's key sent it."""

    address: str
    message: Message


class Tick(NamedTuple):
    pass


class Told(NamedTuple):
    """Other facts of oneself from now on."""

    facts: MemberFacts


class Leaving(NamedTuple):
    pass


class Send(NamedTuple):
    address: str
    message: Message


class Changed(NamedTuple):
    """What is known of a member now; `restarted` if it is another run than before."""

    name: str
    status: Status
    facts: MemberFacts
    restarted: bool = False


Do = Union[Send, Changed]


class Member:
    __slots__ = ("status", "incarnation", "facts", "since", "until", "told", "disputed")

    def __init__(self, word: GossipMessage, now: int) -> None:
        self.status, self.incarnation, self.facts = Status(word.status), word.incarnation, word.facts
        self.since, self.until, self.told, self.disputed = now, 0, 0, False


class Swim:
    """
    >>> a, b = (Swim(name, MemberFacts(f"127.0.0.1:{port}", "r1"), SwimConfig(1000, 200), Random(1))
    ...         for name, port in (("a", 1), ("b", 2)))
    >>> a.seeds = ["127.0.0.1:2"]
    >>> (join,) = a.take(0, Tick()); join.message.words[0].name
    'a'
    >>> *news, answer = b.take(10, Heard("127.0.0.1:1", join.message))
    >>> [(one.name, one.status.name) for one in news]
    [('a', 'ALIVE')]
    >>> [one.name for one in a.take(20, Heard("127.0.0.1:2", answer.message)) if isinstance(one, Changed)]
    ['b']
    """

    def __init__(
        self, name: str, facts: MemberFacts, pace: SwimConfig, rng: Random, seeds: tuple[str, ...] = ()
    ) -> None:
        self.name, self.facts, self.pace, self.seeds = name, facts, pace, list(seeds)
        self.shuffle, self.sample = rng.shuffle, rng.sample
        self.incarnation, self.left = 0, False
        self.members: dict[str, Member] = {}
        self.my_word_told = 0
        self.round: list[str] = []
        self.number = 0
        self.probe: tuple[int, str, int, bool] | None = None  # number, whom, when sent, others were asked
        self.relayed: dict[int, tuple[str, int, int]] = {}  # our number: for which address, its number, when
        self.next_probe = self.ran_at = -1
        self.next_again = 0
        self.counts = dict.fromkeys(("pings", "relays", "suspected", "gone", "refuted", "stalls", "disbelieved"), 0)

    # What others see.

    def alive(self) -> dict[str, Member]:
        """Others that count as there; suspected ones do until they are gone."""
        return {name: one for name, one in self.members.items() if one.status <= Status.SUSPECT}

    def next_at(self) -> int:
        times = [max(self.next_probe, 0)]
        if self.probe is not None and not self.probe[3]:
            times.append(self.probe[2] + self.pace.answer)
        times += [one.until for one in self.members.values() if one.status == Status.SUSPECT]
        return min(times)

    # What happens.

    def take(self, now: int, what: Heard | Tick | Told | Leaving) -> list[Do]:
        out: list[Do] = []
        if isinstance(what, Told):
            self.facts = what.facts
            self.incarnation += 1
            self.my_word_told = 0
        elif isinstance(what, Leaving):
            self.left = True
            self.incarnation += 1
            some = self.alive()
            out += [Send(some[name].facts.address, Join((self.word(),))) for name in sorted(some)]
        elif isinstance(what, Heard):
            self.hear(now, what, out)
        elif not self.left:
            self.tick(now, out)
        return out

    def tick(self, now: int, out: list[Do]) -> None:
        late = now - max(self.ran_at, self.next_probe if self.ran_at >= 0 else now)
        if self.ran_at >= 0 and late > self.pace.period:  # no turn: what did not come may wait in our own queue
            self.counts["stalls"] += 1
            self.probe, self.next_probe = None, now
            for one in self.members.values():
                one.until += late
        self.ran_at = now
        for name, one in list(self.members.items()):
            if one.status == Status.SUSPECT and now >= one.until:
                self.counts["gone"] += 1
                self.set(now, GossipMessage(name, Status.GONE, one.incarnation, one.facts), out)
            elif one.status >= Status.GONE and now - one.since > KEEP * self.pace.period:
                del self.members[name]
        self.relayed = {k: row for k, row in self.relayed.items() if now - row[2] < 2 * self.pace.period}
        if self.probe is not None:
            number, name, at, asked = self.probe
            if not asked and now >= at + self.pace.answer and now < self.next_probe:
                self.probe = number, name, at, True
                others = sorted(n for n, one in self.alive().items() if n != name)
                for helper in self.sample(others, min(HELPERS, len(others))):
                    self.counts["relays"] += 1
                    out.append(Send(self.members[helper].facts.address, Relay(number, name, self.words(helper))))
        if now >= self.next_probe:
            self.end_probe(now, out)
            self.next_probe = max(self.next_probe, now - self.pace.period) + self.pace.period
            if self.next_probe <= now:
                self.next_probe = now + self.pace.period
            self.begin_probe(now, out)
            if now >= self.next_again:
                self.next_again = now + AGAIN * self.pace.period
                known = {one.facts.address for one in self.alive().values()} | {self.facts.address}
                lost = [one.facts.address for one in self.members.values() if one.status == Status.GONE]
                asked = [address for address in dict.fromkeys([*self.seeds, *lost]) if address not in known]
                out += [Send(address, Join((self.word(),))) for address in asked[:WORDS]]

    def begin_probe(self, now: int, out: list[Do]) -> None:
        there = self.alive()
        self.round = [name for name in self.round if name in there]
        if not self.round:
            self.round = sorted(there)
            self.shuffle(self.round)
        if not self.round:
            return
        name = self.round.pop()
        self.number += 1
        self.counts["pings"] += 1
        self.probe = self.number, name, now, False
        out.append(Send(there[name].facts.address, Ping(self.number, name, self.words(name))))

    def end_probe(self, now: int, out: list[Do]) -> None:
        if self.probe is None:
            return
        _, name, _, _ = self.probe
        self.probe = None
        one = self.members.get(name)
        if one is not None and one.status == Status.ALIVE:
            self.counts["suspected"] += 1
            self.set(now, GossipMessage(name, Status.SUSPECT, one.incarnation, one.facts), out)

    def hear(self, now: int, what: Heard, out: list[Do]) -> None:
        message, address = what.message, what.address
        for word in message.words[:WHOLE]:
            self.listen(now, word, out)
        kind = type(message)
        if kind is Ping and message.target == self.name:
            sender = next((name for name, one in self.members.items() if one.facts.address == address), "")
            out.append(Send(address, Ack(message.number, self.words(sender))))
            if not sender:  # it knows of us, from before we started again, and we do not know of it
                out.append(Send(address, Join((self.word(),))))
        elif kind is Relay and message.target in self.members:
            self.number += 1
            self.relayed[self.number] = address, message.number, now
            out.append(
                Send(
                    self.members[message.target].facts.address,
                    Ping(self.number, message.target, self.words(message.target)),
                )
            )
        elif kind is Ack:
            if message.number in self.relayed:
                back, number, _ = self.relayed.pop(message.number)
                out.append(Send(back, Ack(number, message.words)))
            elif self.probe is not None and self.probe[0] == message.number:
                self.probe = None
        elif kind is Join and message.words:
            every = [self.word(), *(self.word_of(name) for name in sorted(self.members))]
            out.append(Send(address, FullState(tuple(every[:WHOLE]))))

    # Words.

    def word(self) -> GossipMessage:
        return GossipMessage(self.name, Status.LEFT if self.left else Status.ALIVE, self.incarnation, self.facts)

    def word_of(self, name: str) -> GossipMessage:
        one = self.members[name]
        return GossipMessage(name, int(one.status), one.incarnation, one.facts)

    def times(self) -> int:
        return TIMES * ceil(log2(len(self.alive()) + 2))

    def words(self, to: str) -> tuple[GossipMessage, ...]:
        """The least told first; what is said of whom it goes to goes first, so that it can refute it."""
        found = [self.word()] if self.my_word_told < self.times() else []
        self.my_word_told += len(found)
        one = self.members.get(to)
        if one is not None and (one.status != Status.ALIVE or one.disputed):
            found.append(self.word_of(to))
        fresh = sorted(
            (other.told, name) for name, other in self.members.items() if other.told < self.times() and name != to
        )
        for _, name in fresh[: WORDS - len(found)]:
            self.members[name].told += 1
            found.append(self.word_of(name))
        return tuple(found)

    def listen(self, now: int, word: GossipMessage, out: list[Do]) -> None:
        facts = word.facts
        if not (0 <= word.incarnation < 1 << 53 and isfinite(facts.weight) and 0 <= facts.weight <= 1e6):
            self.counts["disbelieved"] += 1
            return
        if word.name == self.name:
            self.refute(word)
            return
        one = self.members.get(word.name)
        if one is None:
            if word.status < Status.GONE and len(self.members) < self.pace.most:
                self.set(now, word, out)
            return
        if word.incarnation > one.incarnation + RAISE:
            self.counts["disbelieved"] += 1
            return
        if (word.incarnation, word.status) > (one.incarnation, one.status):
            self.set(now, word, out)
        elif word.incarnation <= one.incarnation and word.facts.run != one.facts.run:
            one.disputed = True  # it started again and knows nothing of its former number: it must hear of that

    def refute(self, word: GossipMessage) -> None:
        """Of oneself only one's own word counts. A run before this one may have been further on."""
        mine = self.word()
        other = word.status != mine.status or word.facts != self.facts
        if word.incarnation > self.incarnation or word.incarnation == self.incarnation and other:
            if word.incarnation <= self.incarnation + RAISE:
                self.counts["refuted"] += 1
                self.incarnation = word.incarnation + 1
                self.my_word_told = 0
            else:
                self.counts["disbelieved"] += 1

    def set(self, now: int, word: GossipMessage, out: list[Do]) -> None:
        before = self.members.get(word.name)
        one = self.members[word.name] = Member(word, now)
        restarted = before is not None and before.facts.run != word.facts.run
        if one.status == Status.SUSPECT:
            one.until = now + DOUBT * ceil(log2(len(self.alive()) + 2)) * self.pace.period
        if before is None or before.status != one.status or before.facts != one.facts:
            if before is not None and before.status == one.status and not restarted:
                one.since = before.since
            out.append(Changed(word.name, one.status, one.facts, restarted))
        else:
            one.since, one.until = before.since, before.until or one.until
