"""What the SASP server asks of the assigners that share the fleet, and tells load balancers of the answer.

Where no fleet is shared, each load balancer is served and nothing is sent.
"""

from __future__ import annotations

from hollyridge.membership.leases import ForwardProxy, LeaseGranted, StaleToken
from hollyridge.peers.ownership import ProxyOwnership
from hollyridge.sasp import codec
from hollyridge.sasp.connection import Connection
from hollyridge.sasp.ownership_extension import Owned, OwnershipReply, Redirected, write_reply

MAX_MESSAGE_ID = 0xFFFFFFFF


def message_id(connection: Connection) -> int:
    """The number of a pushed message: the decision behind the last update, as 32 bits."""
    return connection.version & MAX_MESSAGE_ID


class SaspOwnership(ProxyOwnership):
    """Ownership of the SASP server's load balancers, told to them by the ownership extension."""

    def claim(self, connection: Connection, zone: int) -> StaleToken | ForwardProxy | None:
        """Claim the load balancer; None if it is ours, else why not."""
        answer = self.request_lease(connection.uid, zone, connection.ownership_request)
        if type(answer) is not LeaseGranted:
            return answer
        connection.fence = answer.fencing_token
        connection.fence_unsent = answer.fencing_token > 0
        return None

    def acknowledge(self, connection: Connection) -> None:
        """A request of the load balancer has come: it still takes us for its owner."""
        if self.peers is not None and connection.proxy >= 0:
            self.peers.acknowledge_token(connection.uid, connection.fence)

    def owned_entry(self, connection: Connection) -> codec.WeightsOf:
        """The group that tells the load balancer that it is ours, and for how long."""
        lease_s = self.peers.config.lease.duration_us / 1e6
        return write_reply(connection.uid, Owned(connection.fence, lease_s, self.peers.config.name))

    def send_redirect(self, connection: Connection, assigner: str) -> None:
        """Tell the load balancer which assigner it should ask; nothing if that one's address is not known."""
        address = self.peers.address_of(assigner, "sasp")
        if address:
            reply: OwnershipReply = Redirected(address)
            message = codec.SendWeights((write_reply(connection.uid, reply),))
            connection.reply(codec.encode(message_id(connection), message))
