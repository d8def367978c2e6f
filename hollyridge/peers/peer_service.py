"""Carries out what membership decides: one for each assigner that shares its fleet."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from hollyridge.core.event_loop import EventLoop
from hollyridge.limits.log_sampling import should_log
from hollyridge.membership import leases, swim
from hollyridge.membership.leases import (
    ForwardProxy,
    LeaseConfig,
    LeaseGranted,
    LeaseManager,
    MemberState,
    ProxyAsked,
    ReleaseProxy,
    StaleToken,
)
from hollyridge.membership.messages import ClaimedProxies, MemberFacts, SharedEstimates, Status
from hollyridge.membership.swim import MemberChanged, MessageReceived, SendMessage, Swim, SwimConfig
from hollyridge.peers.codec import PacketGuard, PeerError
from hollyridge.store import learned_estimates

ROWS = 200  # proxies in one word about claims


class PeerConfig(NamedTuple):
    """`listen` is where it listens, `known_as` where peers reach it, `seeds` some of them; `zone` and `weight` say what
    proxies it should have; times in microseconds."""

    name: str
    listen: tuple[str, int]
    known_as: str
    seeds: tuple[str, ...]
    secret: bytes
    zone: str
    weight: float
    pace: SwimConfig
    lease: LeaseConfig


class PeerService:
    """Fronts call `request_lease`, `acknowledge_token`, `end_proxy`. `send(address, raw)` puts a packet on the wire;
    `serves` has the addresses of this assigner's fronts by name; `task_name` and `task_of` go between tasks' indices
    and names."""

    def __init__(
        self,
        loop: EventLoop,
        config: PeerConfig,
        log,
        fresh: Callable[[int], bytes],
        serves: dict[str, str],
        task_name: Callable[[int], str],
        task_of: Callable[[str], int | None],
    ) -> None:
        self.task_name, self.task_of = task_name, task_of
        self.loop, self.engine, self.config, self.log = loop, loop.engine, config, log
        self.guard = PacketGuard(config.secret, config.name, fresh)
        self.send: Callable[[str, bytes], None] = lambda address, raw: None
        facts = MemberFacts(
            config.known_as, self.guard.run.hex(), config.zone, config.weight, False, tuple(sorted(serves.items()))
        )
        rng = Random(f"{config.name} {facts.run_id}")
        self.swim = Swim(config.name, facts, config.pace, rng, config.seeds)
        self.lease_manager = LeaseManager(config.name, config.lease)
        self.since: dict[str, int] = {}
        self.claims_at, self.stopped = 0, False
        self.counts = dict.fromkeys(("packets_in", "packets_out", "bad_packets", "withheld", "borrowed"), 0)
        self.engine.may_command = self.owned

    # Life.

    def begin(self) -> None:
        """Before anything is served."""
        self.stand(self.loop.clock())

    def run(self) -> None:
        while not self.stopped:
            now = self.loop.clock()
            self.tick(now)
            due = min(self.swim.next_deadline_us(), now + self.config.pace.ack_timeout_us)
            self.loop.sleep(max(0.002, (due - now) / 1e6))

    def tick(self, now: int) -> None:
        self.do(now, self.swim.handle(now, swim.Tick()))
        self.carry(now, self.lease_manager.handle(now, leases.Tick()))
        if now >= self.claims_at:
            self.claims_at = now + self.config.lease.duration_us
            self.lend(now)
            rows = [(uid, claim.fencing_token) for uid, claim in self.lease_manager.held.items()]
            some = self.swim.alive()
            for at in range(0, max(1, len(rows)), ROWS):
                for name in sorted(some):
                    self.put(some[name].facts.address, ClaimedProxies(tuple(rows[at : at + ROWS]), at == 0))

    def lend(self, now: int) -> None:
        """What was learnt of tasks goes to the others: an heir knows the sizes of what it begins to use."""
        learned = getattr(self.engine.assigner, "learned_estimates", None)
        rows, price = learned() if learned is not None else ([], 0.0)
        some = self.swim.alive()
        for at in range(0, len(rows), ROWS // 2):
            named = tuple(
                (self.task_name(row.task), *(round(x, 4) for x in row[1:])) for row in rows[at : at + ROWS // 2]
            )
            for name in sorted(some):
                self.put(some[name].facts.address, SharedEstimates(named, round(price, 4), 0))

    def borrow(self, now: int, message: SharedEstimates) -> None:
        learned = getattr(self.engine.assigner, "learned_estimates", None)
        if learned is not None:
            told = learned_estimates.lent(
                message.estimates, message.push_price, message.age_ms * 1000, self.task_of, learned()[0]
            )
            if told.event is not None:
                self.counts["borrowed"] += len(told.event.estimates)
                self.engine.submit(now, told.event)

    def leave(self) -> None:
        """Said at a planned end: others need not find out."""
        self.stopped = True
        self.do(self.loop.clock(), self.swim.handle(self.loop.clock(), swim.LeaveRequested()))

    def drain(self, on: bool = True) -> None:
        """Take no proxies from now on, and hand over those there are, so many a period."""
        now = self.loop.clock()
        self.lease_manager.draining = on
        self.do(now, self.swim.handle(now, swim.FactsChanged(self.swim.facts._replace(draining=on))))
        self.stand(now)

    # Peers.

    def receive_datagram(self, address: str, raw: bytes) -> None:
        """A datagram."""
        self.counts["packets_in"] += 1
        try:
            opened = self.guard.open(raw)
        except PeerError as trouble:
            self.counts["bad_packets"] += 1
            if should_log(self.counts["bad_packets"]):
                self.log.warning("bad packet", peer=address, why=str(trouble), times=self.counts["bad_packets"])
            return
        if opened.answer is not None:
            self.counts["packets_out"] += 1
            self.send(address, opened.answer)
        now, message = self.loop.clock(), opened.message
        if isinstance(message, SharedEstimates):
            self.borrow(now, message)
        elif isinstance(message, ClaimedProxies):
            self.lease_manager.handle(now, leases.ClaimsReceived(opened.name, message.claims, message.starts_list))
        elif message is not None:
            self.do(now, self.swim.handle(now, MessageReceived(address, message)))

    def put(self, address: str, message) -> None:
        self.counts["packets_out"] += 1
        self.send(address, self.guard.seal(message))

    def do(self, now: int, some: list) -> None:
        changed = False
        for one in some:
            if isinstance(one, SendMessage):
                self.put(one.address, one.message)
            elif isinstance(one, MemberChanged):
                self.log.info("peer", name=one.name, status=one.status.name.lower(), restarted=one.restarted or None)
                changed = True
        if changed:
            self.stand(now)

    def stand(self, now: int) -> None:
        """Who is there, for ownership. A member that is suspected keeps its place: it is there or gone, not both."""
        there = self.swim.alive()
        self.since = {name: self.since.get(name, now) for name in there}
        mine = self.swim.facts
        standing = {
            name: MemberState(
                one.facts.zone, one.facts.weight, self.since[name], not one.facts.draining, one.status == Status.SUSPECT
            )
            for name, one in there.items()
        }
        standing[self.config.name] = MemberState(mine.zone, mine.weight, -1 << 60, not mine.draining)
        self.lease_manager.handle(now, leases.MembersChanged(standing))

    # Proxies.

    def request_lease(self, uid: str, zone: str, asked: int, plea: bool) -> LeaseGranted | StaleToken | ForwardProxy:
        """Who is to order it. One that can't number its questions (`asked` 0) is taken: it could not be sent on."""
        (told,) = self.lease_manager.handle(self.loop.clock(), ProxyAsked(uid, zone, asked, plea or not asked))
        return told

    def acknowledge_token(self, uid: str, asked: int) -> None:
        self.carry(
            self.loop.clock(), self.lease_manager.handle(self.loop.clock(), leases.TokenAcknowledged(uid, asked))
        )

    def end_proxy(self, uid: str) -> None:
        self.lease_manager.handle(self.loop.clock(), leases.ProxyEnded(uid))

    def owned(self, now: int, uid: str) -> bool:
        """Whether an order to this proxy may leave."""
        may = self.lease_manager.may_order(now, uid)
        self.counts["withheld"] += not may
        return may

    def address_of(self, name: str, front: str) -> str:
        """Where a member's front is reached; empty if that is not known."""
        one = self.swim.members.get(name)
        return dict(one.facts.services).get(front, "") if one is not None else ""

    def carry(self, now: int, some: list) -> None:
        for one in some:
            if isinstance(one, ReleaseProxy):
                proxy = self.engine.proxy_indices.index.get(one.uid)
                front = self.engine.servers.get(proxy)
                self.log.info("proxy let go", uid=one.uid, why=one.reason, to=one.new_owner or None)
                if front is not None:
                    front.redirect(proxy, one.new_owner, one.reason)

    # Watchers.

    def status(self) -> dict:
        now = self.loop.clock()
        members = {
            name: {
                "status": one.status.name.lower(),
                "incarnation": one.incarnation,
                "zone": one.facts.zone,
                "weight": one.facts.weight,
                "drains": one.facts.draining,
                "run": one.facts.run_id[:8],
                "since_s": round((now - one.since_us) / 1e6, 1),
                "serves": dict(one.facts.services),
                "claims": len(self.lease_manager.claims.get(name, ())),
            }
            for name, one in sorted(self.swim.members.items())
        }
        mine = {
            uid: {
                "fence": claim.fencing_token,
                "since_s": round((now - claim.since_us) / 1e6, 1),
                "heard_s": round((now - claim.renewed_at_us) / 1e6, 1),
                "plea": claim.fallback_at_us >= 0,
            }
            for uid, claim in sorted(self.lease_manager.held.items())
        }
        return {
            "name": self.config.name,
            "run": self.swim.facts.run_id[:8],
            "drains": self.lease_manager.draining,
            "members": members,
            "owns": mine,
            "disagreements": self.lease_manager.disagreements()[:100],
            "counts": {**self.counts, **self.swim.counts, **self.lease_manager.counts, **self.guard.counts},
        }
