"""Gateway that receives its tables by SASP."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress

from hollyridge.client.gateway import Gateway, RedirectedError, address_list
from hollyridge.sasp import codec
from hollyridge.sasp.client import HeartbeatTimeoutError, HeldWeights, LoadBalancerClient, RefusedError
from hollyridge.sasp.ownership_extension import Owned, Redirected, read_reply

HEARTBEATS_PER_LEASE = 4  # heartbeats sent during one lease
FIRST_REPLY_DIVISOR = 3  # an assigner of a shared fleet has to send its first reply within the lease divided by this
DEFAULT_TIMEOUT_S = 5.0
NOT_OWNED = Owned(0, 0.0)


class SaspGatewayBase(Gateway):
    """Base class of SASP gateways, which applies SASP messages independently of the transport.

    Attributes:
        groups: SASP group by method.
        held: Weights received, by group.
        ownership: Owner of the proxy in this session, with a token of 0 if the owner is unknown.
        last_lease_s: Duration of the last known lease, in seconds; 0 if there was none.
    """

    groups: dict[str, str]
    held: HeldWeights
    ownership: Owned
    timeout_errors = (HeartbeatTimeoutError, TimeoutError)
    last_lease_s = 0.0

    def first_reply_timeout(self, default: float) -> float:
        """Return the timeout for the first reply, in seconds, which is short if other assigners know this proxy."""
        return min(default, self.last_lease_s / FIRST_REPLY_DIVISOR) if self.last_lease_s else default

    def begin_session(self) -> int:
        """Begin a session and return the number of its ownership request."""
        self.held.new_stream()
        self.ownership = NOT_OWNED
        return self.fencing.next_token()

    def handle_message(self, message: codec.SendWeights) -> None:
        """Apply a message, unless its fencing token is refused.

        Raises:
            RedirectedError: The assigner redirects to another one.
        """
        reply = read_reply(message.groups)
        if isinstance(reply, Redirected):
            raise RedirectedError(reply.address)
        self.ownership = reply or self.ownership
        self.last_lease_s = self.ownership.lease_s or self.last_lease_s
        if not self.fencing.accepts(self.ownership.fence):
            return
        self.held.handle_message(message.groups)
        tables = {
            method: self._weights_of(group)
            for method, group in self.groups.items()
            if group in self.held.received_groups
        }
        self.replace_tables(tables, {})

    def _weights_of(self, group: str) -> dict[str, float]:
        entries = self.held.lines(group)
        return {f"{member.host}:{member.port}": float(entry.weight) for member, entry in entries.items()}


class SaspGateway(SaspGatewayBase):
    """Gateway that is a client of a SASP server."""

    def __init__(  # noqa: PLR0913, PLR0917 - a library's public constructor, used with keywords
        self,
        address: tuple[str, int] | list[tuple[str, int]],
        uid: str,
        methods: list[str],
        groups: dict[str, str] | None = None,
        client_options: dict | None = None,
        receive_s: float = 1.0,
        before_update: Callable[[tuple], None] = lambda groups: None,
        **options: object,
    ) -> None:
        """Create a gateway without a session.

        Args:
            address: Host and port of an assigner, or a list of several such pairs. If an assigner does not answer, the
                gateway connects to the next one.
            uid: Name of the proxy.
            methods: Names of the methods.
            groups: SASP group by method; the default for a method is the group of the same name.
            client_options: Options of `LoadBalancerClient` (source, timeout, connect, on_receive, on_send).
            receive_s: Interval at which a session without changes is recorded as active, in seconds.
            before_update: Function that is called with the groups of a message before the message is applied.
            options: Options of `Gateway`.
        """
        super().__init__(uid, methods, **options)
        self.addresses = address_list(address)
        self.assigner_count = len(self.addresses)
        self.client_options = client_options or {}
        self.receive_s = receive_s
        self.before_update = before_update
        self.groups = {method: (groups or {}).get(method, method) for method in methods}
        self.held = HeldWeights()
        self.client: LoadBalancerClient | None = None
        self.version = 0

    def session(self) -> None:
        """Run one connection until it ends."""
        number = self.begin_session()
        client_options = {
            **self.client_options,
            "timeout": self.first_reply_timeout(self.client_options.get("timeout", DEFAULT_TIMEOUT_S)),
        }
        client = LoadBalancerClient(self.addresses[self.assigner_index], self.uid, **client_options)
        self.client = client
        try:
            client.start(dict.fromkeys(self.groups.values()), number=number, insist=self.insists)
        except RefusedError:
            while client.pushed:  # one of the messages may be a redirect
                _, message = client.pushed.popleft()
                self.handle_message(message)
            raise
        self.record_activity()
        heartbeat_at = self.clock()
        while not self.stopped:
            self._receive(client)
            lease_s = self.ownership.lease_s
            if lease_s and self.clock() - heartbeat_at >= lease_s / HEARTBEATS_PER_LEASE:
                heartbeat_at = self.clock()
                client.timeout = lease_s / 2
                client.send_heartbeat()
            self.record_activity()

    def _receive(self, client: LoadBalancerClient) -> None:
        lease_s = self.ownership.lease_s
        pushed = client.receive(min(self.receive_s, lease_s / HEARTBEATS_PER_LEASE) if lease_s else self.receive_s)
        if pushed is not None:
            number, message = pushed
            self.before_update(message.groups)
            self.version = number
            self.handle_message(message)

    def disconnect(self) -> None:
        """Close the current connection, if any."""
        client = self.client
        self.client = None
        if client is not None:
            with suppress(OSError):
                client.sock.shutdown(socket.SHUT_RDWR)
            client.close()
