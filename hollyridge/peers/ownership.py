"""Ownership of proxies as seen by the protocol servers."""

from __future__ import annotations

from collections.abc import Callable

from hollyridge.membership.fencing import OwnershipRequest
from hollyridge.membership.leases import ForwardProxy, LeaseGranted, StaleToken
from hollyridge.peers.peer_service import PeerService


class ProxyOwnership:
    """Ownership of the proxies of one protocol server.

    Attributes:
        peers: Peer service of this assigner; None if the fleet is not shared and every proxy is served.
        zone_name: Function that returns the name of the zone with the given index.
    """

    def __init__(self, peers: PeerService | None, zone_name: Callable[[int], str]) -> None:
        self.peers = peers
        self.zone_name = zone_name

    @property
    def shared(self) -> bool:
        """Return whether other assigners share the fleet."""
        return self.peers is not None

    def request_lease(self, uid: str, zone: int, request: OwnershipRequest) -> LeaseGranted | StaleToken | ForwardProxy:
        """Request the lease on a proxy and return the decision of the lease manager."""
        return self.peers.request_lease(uid, self.zone_name(zone), request.number, request.insist)

    def release(self, uid: str) -> None:
        """End the lease on a proxy whose connection has ended."""
        if self.peers is not None:
            self.peers.end_proxy(uid)
