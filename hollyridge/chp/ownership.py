"""What the CHP server asks of the assigners that share the fleet, and tells proxies of the answer."""

from __future__ import annotations

from hollyridge.chp import codec
from hollyridge.membership.leases import ForwardProxy, LeaseGranted, StaleToken
from hollyridge.peers.ownership import ProxyOwnership

US_PER_MS = 1000


class ChpOwnership(ProxyOwnership):
    """Ownership of the CHP server's proxies, told to them by keys of their own subtree."""

    def claim(self, uid: str, zone: int, routing_id: bytes) -> LeaseGranted | StaleToken | ForwardProxy:
        """Claim the proxy; whether it is ours, and under which fencing token."""
        return self.request_lease(uid, zone, codec.request_of(routing_id))

    def acknowledge(self, uid: str, request_number: int) -> None:
        """The proxy has sent a heartbeat."""
        self.peers.acknowledge_token(uid, request_number)

    def own_value(self, fence: int) -> bytes:
        """The value of a proxy's key `own`."""
        lease_ms = self.peers.config.lease.duration_us // US_PER_MS
        return codec.json(codec.Own(fence, self.peers.config.name, lease_ms))

    def go_value(self, assigner: str) -> bytes:
        """The value of a proxy's key `go`."""
        return codec.json(codec.Go(self.peers.address_of(assigner, "clone"), assigner))
