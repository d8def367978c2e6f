"""Carries out what membership and leases decide, for one assigner that shares its fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from structlog.typing import FilteringBoundLogger

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
from hollyridge.membership.messages import ClaimedProxies, MemberFacts, Message, SharedEstimates, Status
from hollyridge.membership.swim import MemberChanged, MessageReceived, SendMessage, Swim, SwimConfig
from hollyridge.peers.codec import OpenedPacket, PacketGuard, PeerError
from hollyridge.peers.estimate_exchange import EstimateExchange, TaskLookup
from hollyridge.peers.status_page import peers_page

CLAIMS_PER_MESSAGE = 200  # with the longest uids they fit into a packet
MIN_SLEEP_S = 0.002  # between two ticks: what is due together is done together
LONG_AGO_US = -1 << 60  # since when this assigner counts as alive: it never waits for itself to settle
US_PER_S = 1e6


class PeerConfig(NamedTuple):
    """How one assigner takes part in a shared fleet.

    Attributes:
        name: Its name, unique in the fleet.
        listen: Host and port of its datagram socket.
        known_as: Address (host:port) by which peers reach it.
        seeds: Addresses of some peers.
        secret: The fleet's key.
        zone: Its zone.
        weight: Its share of the proxies, relative to the other members.
        pace: Pace of failure detection.
        lease: Durations of leases.
        services: Addresses of its protocol servers by service name.
    """

    name: str
    listen: tuple[str, int]
    known_as: str
    seeds: tuple[str, ...]
    secret: bytes
    zone: str
    weight: float
    pace: SwimConfig
    lease: LeaseConfig
    services: tuple[tuple[str, str], ...] = ()


class PeerService:
    """One assigner's part in a shared fleet.

    Protocol servers call `request_lease`, `acknowledge_token`, `end_proxy` and `address_of`; the engine asks `owned`
    before each command.

    Attributes:
        config: What it was started with.
        guard: Seals and opens its packets.
        swim: Failure detection.
        lease_manager: Leases on proxies.
        send: Puts a packet on the wire, given address and content; set by whoever owns the transport.
        stopped: Ends `run`.
        counts: Totals for the status page.
    """

    def __init__(
        self,
        loop: EventLoop,
        config: PeerConfig,
        log: FilteringBoundLogger,
        random_bytes: Callable[[int], bytes],
        tasks: TaskLookup,
    ) -> None:
        self.loop = loop
        self.engine = loop.engine
        self.config = config
        self.log = log
        self.guard = PacketGuard(config.secret, config.name, random_bytes)
        self.send: Callable[[str, bytes], None] = lambda address, raw: None
        run_id = self.guard.run_id.hex()
        facts = MemberFacts(config.known_as, run_id, config.zone, config.weight, False, config.services)
        rng = Random(f"{config.name} {run_id}")
        self.swim = Swim(config.name, facts, config.pace, rng, config.seeds)
        self.lease_manager = LeaseManager(config.name, config.lease)
        self.stopped = False
        self.counts = dict.fromkeys(("packets_in", "packets_out", "bad_packets", "withheld", "borrowed"), 0)
        self.engine.may_command = self.owned
        self._estimates = EstimateExchange(loop.engine, tasks)
        self._alive_since_us: dict[str, int] = {}
        self._next_claims_us = 0

    def begin(self) -> None:
        """Makes this assigner a member of its own fleet; to be called before proxies are served."""
        self._update_members(self.loop.clock())

    def run(self) -> None:
        """Blocks until `stopped` is set."""
        while not self.stopped:
            now_us = self.loop.clock()
            self.tick(now_us)
            due_us = min(self.swim.next_deadline_us(), now_us + self.config.pace.ack_timeout_us)
            self.loop.sleep(max(MIN_SLEEP_S, (due_us - now_us) / US_PER_S))

    def tick(self, now_us: int) -> None:
        """Does what is due: probes, expired leases, moves, and claims and estimates once in a lease's duration."""
        self._carry_out(now_us, self.swim.handle(now_us, swim.Tick()))
        self._release(self.lease_manager.handle(now_us, leases.Tick()))
        if now_us >= self._next_claims_us:
            self._next_claims_us = now_us + self.config.lease.duration_us
            self._broadcast(self._estimates.outgoing())
            self._broadcast(self._claims())

    def leave(self) -> None:
        """Announces a planned shutdown, so that peers need not detect it."""
        self.stopped = True
        self._carry_out(self.loop.clock(), self.swim.handle(self.loop.clock(), swim.LeaveRequested()))

    def drain(self, on: bool = True) -> None:
        """Takes no more proxies and hands over those held, some in each period; or, with `on` false, ends that."""
        now_us = self.loop.clock()
        self.lease_manager.draining = on
        facts = self.swim.facts._replace(draining=on)
        self._carry_out(now_us, self.swim.handle(now_us, swim.FactsChanged(facts)))
        self._update_members(now_us)

    def receive_datagram(self, address: str, raw: bytes) -> None:
        """Processes a datagram from this address (host:port)."""
        self.counts["packets_in"] += 1
        try:
            opened = self.guard.open(raw)
        except PeerError as error:
            self._reject(address, error)
            return
        if opened.answer is not None:
            self.counts["packets_out"] += 1
            self.send(address, opened.answer)
        self._dispatch(address, opened)

    def request_lease(
        self, uid: str, zone: str, fencing_token: int, fallback_request: bool
    ) -> LeaseGranted | StaleToken | ForwardProxy:
        """Decides who is to own a proxy that asks.

        Args:
            uid: The proxy.
            zone: Its zone.
            fencing_token: Number of its request. A client that can't number its requests has 0; it is served here,
                as it could not be forwarded either.
            fallback_request: Whether it could not reach the member that it was forwarded to.
        """
        event = ProxyAsked(uid, zone, fencing_token, fallback_request or not fencing_token)
        (action,) = self.lease_manager.handle(self.loop.clock(), event)
        return action

    def acknowledge_token(self, uid: str, fencing_token: int) -> None:
        """Renews the lease on a proxy that has acknowledged, or ends it if its newest request went elsewhere."""
        event = leases.TokenAcknowledged(uid, fencing_token)
        self._release(self.lease_manager.handle(self.loop.clock(), event))

    def end_proxy(self, uid: str) -> None:
        """Ends the lease on a proxy whose connection has ended."""
        self.lease_manager.handle(self.loop.clock(), leases.ProxyDisconnected(uid))

    def owned(self, now_us: int, uid: str) -> bool:
        """Tells whether a command to this proxy may be sent, and counts those withheld."""
        is_owned = self.lease_manager.may_order(now_us, uid)
        self.counts["withheld"] += not is_owned
        return is_owned

    def address_of(self, name: str, service: str) -> str:
        """Returns a member's address for a service, such as `sasp`; empty if unknown."""
        member = self.swim.members.get(name)
        return dict(member.facts.services).get(service, "") if member is not None else ""

    def status(self) -> dict[str, Any]:
        """Returns the content of the page `/peers`."""
        counts = {**self.counts, **self.swim.counts, **self.lease_manager.counts, **self.guard.counts}
        return peers_page(self.loop.clock(), self.swim, self.lease_manager, counts)

    def _claims(self) -> list[ClaimedProxies]:
        claims = [(uid, lease.fencing_token) for uid, lease in self.lease_manager.held.items()]
        return [
            ClaimedProxies(tuple(claims[start : start + CLAIMS_PER_MESSAGE]), start == 0)
            for start in range(0, max(1, len(claims)), CLAIMS_PER_MESSAGE)
        ]

    def _broadcast(self, messages: Iterable[Message]) -> None:
        alive = self.swim.alive()
        names = sorted(alive)
        for message in messages:
            for name in names:
                self._send_message(alive[name].facts.address, message)

    def _send_message(self, address: str, message: Message) -> None:
        self.counts["packets_out"] += 1
        self.send(address, self.guard.seal(message))

    def _reject(self, address: str, error: PeerError) -> None:
        self.counts["bad_packets"] += 1
        count = self.counts["bad_packets"]
        if should_log(count):
            self.log.warning("packet_rejected", peer=address, reason=str(error), count=count)

    def _dispatch(self, address: str, opened: OpenedPacket) -> None:
        now_us = self.loop.clock()
        message = opened.message
        if isinstance(message, SharedEstimates):
            self.counts["borrowed"] += self._estimates.take(now_us, message)
        elif isinstance(message, ClaimedProxies):
            event = leases.ClaimsReceived(opened.name, message.claims, message.starts_list)
            self.lease_manager.handle(now_us, event)
        elif message is not None:
            self._carry_out(now_us, self.swim.handle(now_us, MessageReceived(address, message)))

    def _carry_out(self, now_us: int, actions: list[swim.Action]) -> None:
        members_changed = False
        for action in actions:
            if isinstance(action, SendMessage):
                self._send_message(action.address, action.message)
            elif isinstance(action, MemberChanged):
                self.log.info(
                    "peer_status_changed",
                    name=action.name,
                    status=action.status.name.lower(),
                    restarted=action.restarted or None,
                )
                members_changed = True
        if members_changed:
            self._update_members(now_us)

    def _update_members(self, now_us: int) -> None:
        """Hands the members that are alive to the lease manager.

        A suspected member keeps its place until it is declared gone.
        """
        alive = self.swim.alive()
        self._alive_since_us = {name: self._alive_since_us.get(name, now_us) for name in alive}
        members = {
            name: MemberState(
                zone=member.facts.zone,
                weight=member.facts.weight,
                since_us=self._alive_since_us[name],
                accepts_proxies=not member.facts.draining,
                suspected=member.status == Status.SUSPECT,
            )
            for name, member in alive.items()
        }
        own = self.swim.facts
        members[self.config.name] = MemberState(own.zone, own.weight, LONG_AGO_US, not own.draining)
        self.lease_manager.handle(now_us, leases.MembersChanged(members))

    def _release(self, actions: list[leases.Action]) -> None:
        """Closes the streams of proxies whose lease has ended."""
        for action in actions:
            if not isinstance(action, ReleaseProxy):
                continue
            proxy = self.engine.proxy_indices.index.get(action.uid)
            server = self.engine.servers.get(proxy)
            self.log.info("lease_released", uid=action.uid, reason=action.reason, new_owner=action.new_owner or None)
            if server is not None:
                server.redirect(proxy, action.new_owner, action.reason)
