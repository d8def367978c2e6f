"""What the CHP server asks of the assigners that share the fleet, and tells proxies of the answer."""

from __future__ import annotations

from collections.abc import Callable

from hollyridge.chp import codec
from hollyridge.membership.leases import ForwardProxy, LeaseGranted, StaleToken
from hollyridge.peers.peer_service import PeerService

US_PER_MS = 1000


class OwnershipHooks:
    """Ownership of proxies, by `peers` (None: no fleet is shared); `zone_name` gives the name of a zone's index."""

    def __init__(self, peers: PeerService | None, zone_name: Callable[[int], str]) -> None:
        self.peers = peers
        self.zone_name = zone_name

    @property
    def shared(self) -> bool:
        """Whether other assigners share the fleet."""
        return self.peers is not None

    def claim(self, uid: str, zone: int, routing_id: bytes) -> LeaseGranted | StaleToken | ForwardProxy:
        """Claim the proxy; whether it is ours, and under which fencing token."""
        request = codec.request_of(routing_id)
        return self.peers.request_lease(uid, self.zone_name(zone), request.number, request.insist)

    def acknowledge(self, uid: str, request_number: int) -> None:
        """The proxy has sent a heartbeat."""
        self.peers.acknowledge_token(uid, request_number)

    def release(self, uid: str) -> None:
        """The proxy has left."""
        if self.peers is not None:
            self.peers.end_proxy(uid)

    def own_value(self, fence: int) -> bytes:
        """The value of a proxy's key `own`."""
        lease_ms = self.peers.config.lease.duration_us // US_PER_MS
        return codec.json(codec.Own(fence, self.peers.config.name, lease_ms))

    def go_value(self, assigner: str) -> bytes:
        """The value of a proxy's key `go`."""
        return codec.json(codec.Go(self.peers.address_of(assigner, "clone"), assigner))
