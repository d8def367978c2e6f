"""Service that carries out the decisions of membership and leases for one assigner of a shared fleet."""

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
    LeaseRequested,
    MemberState,
    ReleaseProxy,
    StaleToken,
)
from hollyridge.membership.messages import ClaimedProxies, MemberFacts, Message, SharedEstimates, Status
from hollyridge.membership.swim import MemberChanged, MessageReceived, SendMessage, Swim, SwimConfig
from hollyridge.peers.codec import OpenedPacket, PacketGuard, PeerError
from hollyridge.peers.estimate_exchange import EstimateExchange, TaskLookup
from hollyridge.peers.status_page import peers_page

CLAIMS_PER_MESSAGE = 200  # so many claims fit into a packet even with the longest uids
MIN_SLEEP_S = 0.002  # minimum interval between ticks, so that one tick handles all work due at about the same time
LONG_AGO_US = -1 << 60  # time since which this assigner counts as alive: it never waits for itself to settle
US_PER_S = 1e6


class PeerConfig(NamedTuple):
    """Configuration of one assigner as a member of a shared fleet.

    Attributes:
        name: Name of the assigner, unique in the fleet.
        listen: Host and port of its datagram socket.
        known_as: Address (host:port) at which peers reach the assigner.
        seeds: Addresses (host:port) of some peers.
        secret: Key of the fleet.
        zone: Zone of the assigner.
        weight: Share of the proxies, relative to the other members.
        pace: Configuration of failure detection.
        lease: Configuration of leases.
        services: Pairs of service name and address (host:port), one for each protocol server of the assigner.
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
    """Membership and proxy leases of one assigner in a shared fleet.

    Protocol servers call `request_lease`, `acknowledge_token`, `end_proxy` and `address_of`. The engine calls
    `permits_command` before each command.

    Attributes:
        config: Configuration of this assigner.
        guard: Encryption and verification of packets.
        swim: Failure detection.
        lease_manager: Leases on proxies.
        send: Function that sends a packet, given address (host:port) and content; set by the owner of the transport.
        stopped: Whether `run` has to return.
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
        self.engine.may_command = self.permits_command
        self._estimates = EstimateExchange(loop.engine, tasks)
        self._alive_since_us: dict[str, int] = {}
        self._next_claims_us = 0

    def register_self(self) -> None:
        """Make this assigner a member of its own fleet; has to be called before proxies are served."""
        self._update_members(self.loop.clock())

    def run(self) -> None:
        """Run the periodic work until `stopped` is set."""
        while not self.stopped:
            now_us = self.loop.clock()
            self.tick(now_us)
            due_us = min(self.swim.next_deadline_us(), now_us + self.config.pace.ack_timeout_us)
            self.loop.sleep(max(MIN_SLEEP_S, (due_us - now_us) / US_PER_S))

    def tick(self, now_us: int) -> None:
        """Do all work that is due.

        That is probes, expiry of leases, moves of proxies and, once per lease duration, the broadcast of estimates and
        claims.
        """
        self._carry_out(now_us, self.swim.handle(now_us, swim.Tick()))
        self._release(self.lease_manager.handle(now_us, leases.Tick()))
        if now_us >= self._next_claims_us:
            self._next_claims_us = now_us + self.config.lease.duration_us
            self._broadcast(self._estimates.outgoing())
            self._broadcast(self._claims())

    def leave(self) -> None:
        """Announce a planned shutdown, so that peers need not detect it."""
        self.stopped = True
        self._carry_out(self.loop.clock(), self.swim.handle(self.loop.clock(), swim.LeaveRequested()))

    def drain(self, on: bool = True) -> None:
        """Start draining, or end it if `on` is False.

        A draining assigner accepts no more proxies and hands over those that it holds, some in each period.
        """
        now_us = self.loop.clock()
        self.lease_manager.draining = on
        facts = self.swim.facts._replace(draining=on)
        self._carry_out(now_us, self.swim.handle(now_us, swim.FactsChanged(facts)))
        self._update_members(now_us)

    def receive_datagram(self, address: str, raw: bytes) -> None:
        """Process a datagram from the given address (host:port)."""
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
        """Decide which member should own a proxy that requests a lease.

        Args:
            uid: Name of the proxy.
            zone: Zone of the proxy.
            fencing_token: Number of the proxy's request, 0 for a client that does not number its requests. Such a
                client is served by this assigner, because it could not be forwarded either.
            fallback_request: Whether the proxy could not reach the member that it was forwarded to.
        """
        event = LeaseRequested(uid, zone, fencing_token, fallback_request or not fencing_token)
        (action,) = self.lease_manager.handle(self.loop.clock(), event)
        return action

    def acknowledge_token(self, uid: str, fencing_token: int) -> None:
        """Renew the lease on a proxy that has acknowledged, or end it if its newest request went to another member."""
        event = leases.TokenAcknowledged(uid, fencing_token)
        self._release(self.lease_manager.handle(self.loop.clock(), event))

    def end_proxy(self, uid: str) -> None:
        """End the lease on a proxy whose connection has ended."""
        self.lease_manager.handle(self.loop.clock(), leases.ProxyDisconnected(uid))

    def permits_command(self, now_us: int, uid: str) -> bool:
        """Return whether a command to this proxy may be sent, and count the commands withheld."""
        is_owned = self.lease_manager.may_send_commands(now_us, uid)
        self.counts["withheld"] += not is_owned
        return is_owned

    def address_of(self, name: str, service: str) -> str:
        """Return a member's address (host:port) for a service such as `sasp`; empty if unknown."""
        member = self.swim.members.get(name)
        return dict(member.facts.services).get(service, "") if member is not None else ""

    def status(self) -> dict[str, Any]:
        """Return the content of the page `/peers`."""
        counts = {**self.counts, **self.swim.counts, **self.lease_manager.counts, **self.guard.counts}
        return peers_page(self.loop.clock(), self.swim, self.lease_manager, counts)

    def _claims(self) -> list[ClaimedProxies]:
        claims = [(uid, lease.fencing_token) for uid, lease in self.lease_manager.held.items()]
        return [
            ClaimedProxies(tuple(claims[start : start + CLAIMS_PER_MESSAGE]), start == 0)
            for start in range(0, max(1, len(claims)), CLAIMS_PER_MESSAGE)
        ]

    def _broadcast(self, messages: Iterable[Message]) -> None:
        alive = self.swim.alive_members()
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
            self.counts["borrowed"] += self._estimates.import_estimates(now_us, message)
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
        """Pass the live members to the lease manager.

        A suspected member counts as alive until it is declared gone.
        """
        alive = self.swim.alive_members()
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
        own_facts = self.swim.facts
        members[self.config.name] = MemberState(own_facts.zone, own_facts.weight, LONG_AGO_US, not own_facts.draining)
        self.lease_manager.handle(now_us, leases.MembersChanged(members))

    def _release(self, actions: list[leases.Action]) -> None:
        """Close the streams of proxies whose lease has ended."""
        for action in actions:
            if not isinstance(action, ReleaseProxy):
                continue
            proxy = self.engine.proxy_indices.index.get(action.uid)
            server = self.engine.servers.get(proxy)
            self.log.info("lease_released", uid=action.uid, reason=action.reason, new_owner=action.new_owner or None)
            if server is not None:
                server.redirect(proxy, action.new_owner, action.reason)
