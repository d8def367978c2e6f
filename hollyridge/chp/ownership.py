"""Ownership of proxies among the assigners that share a fleet, on the side of the CHP server."""

from __future__ import annotations

from hollyridge.chp import codec
from hollyridge.membership.leases import ForwardProxy, LeaseGranted, StaleToken
from hollyridge.peers.ownership import ProxyOwnership

US_PER_MS = 1000


class ChpOwnership(ProxyOwnership):
    """Ownership of the CHP server's proxies, which they learn from keys of their own subtrees."""

    def claim(self, uid: str, zone: int, routing_id: bytes) -> LeaseGranted | StaleToken | ForwardProxy:
        """Claim the proxy; return the lease with its fencing token, or the reason why this assigner did not get it."""
        return self.request_lease(uid, zone, codec.request_of(routing_id))

    def acknowledge(self, uid: str, request_number: int) -> None:
        """Record a heartbeat of the proxy, which shows that it accepts this assigner as its owner."""
        self.peers.acknowledge_token(uid, request_number)

    def own_value(self, fence: int) -> bytes:
        """Return the value of a proxy's key `own`."""
        lease_ms = self.peers.config.lease.duration_us // US_PER_MS
        return codec.json(codec.Own(fence, self.peers.config.name, lease_ms))

    def go_value(self, assigner: str) -> bytes:
        """Return the value of a proxy's key `go`."""
        return codec.json(codec.Go(self.peers.address_of(assigner, "clone"), assigner))
