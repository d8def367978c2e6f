"""What the server of a protocol asks of the assigners that share the fleet: whether a proxy is ours."""

from __future__ import annotations

from collections.abc import Callable

from hollyridge.membership.fencing import OwnershipRequest
from hollyridge.membership.leases import ForwardProxy, LeaseGranted, StaleToken
from hollyridge.peers.peer_service import PeerService


class ProxyOwnership:
    """Ownership of one server's proxies, by `peers` (None: no fleet is shared and each proxy is served).

    `zone_name` gives the name of a zone's index.
    """

    def __init__(self, peers: PeerService | None, zone_name: Callable[[int], str]) -> None:
        self.peers = peers
        self.zone_name = zone_name

    @property
    def shared(self) -> bool:
        """Whether other assigners share the fleet."""
        return self.peers is not None

    def request_lease(self, uid: str, zone: int, request: OwnershipRequest) -> LeaseGranted | StaleToken | ForwardProxy:
        """Claim a proxy: whether it is ours, and under which fencing token."""
        return self.peers.request_lease(uid, self.zone_name(zone), request.number, request.insist)

    def release(self, uid: str) -> None:
        """The proxy has left."""
        if self.peers is not None:
            self.peers.end_proxy(uid)
