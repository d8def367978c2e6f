"""Ownership of load balancers among the assigners that share a fleet, on the side of the SASP server.

Where no fleet is shared, each load balancer is served and no ownership message is sent.
"""

from __future__ import annotations

from hollyridge.membership.leases import ForwardProxy, LeaseGranted, StaleToken
from hollyridge.peers.ownership import ProxyOwnership
from hollyridge.sasp import codec
from hollyridge.sasp.connection import Connection
from hollyridge.sasp.ownership_extension import Owned, OwnershipReply, Redirected, write_reply

MAX_MESSAGE_ID = 0xFFFFFFFF


def message_id(connection: Connection) -> int:
    """Return the message id of a pushed message: the number of the decision behind the last update, as 32 bits."""
    return connection.version & MAX_MESSAGE_ID


class SaspOwnership(ProxyOwnership):
    """Ownership of the SASP server's load balancers, which they learn from the ownership extension."""

    def claim(self, connection: Connection, zone: int) -> StaleToken | ForwardProxy | None:
        """Claim the load balancer; return None if this assigner owns it now, else the reason why not."""
        answer = self.request_lease(connection.uid, zone, connection.ownership_request)
        if type(answer) is not LeaseGranted:
            return answer
        connection.fence = answer.fencing_token
        connection.fence_unsent = answer.fencing_token > 0
        return None

    def acknowledge(self, connection: Connection) -> None:
        """Record a request of the load balancer, which shows that it accepts this assigner as its owner."""
        if self.peers is not None and connection.proxy >= 0:
            self.peers.acknowledge_token(connection.uid, connection.fence)

    def owned_entry(self, connection: Connection) -> codec.WeightsOf:
        """Return the group that carries the fencing token, the lease and the name of this assigner."""
        lease_s = self.peers.config.lease.duration_us / 1e6
        return write_reply(connection.uid, Owned(connection.fence, lease_s, self.peers.config.name))

    def send_redirect(self, connection: Connection, assigner: str) -> None:
        """Send a redirect to another assigner; send nothing if its address is unknown."""
        address = self.peers.address_of(assigner, "sasp")
        if address:
            reply: OwnershipReply = Redirected(address)
            message = codec.SendWeights((write_reply(connection.uid, reply),))
            connection.reply(codec.encode(message_id(connection), message))
