"""A gateway whose tables come by SASP."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress

from hollyridge.client.gateway import Gateway, RedirectedError, several
from hollyridge.sasp import codec
from hollyridge.sasp.client import HeartbeatTimeoutError, HeldWeights, LoadBalancerClient, RefusedError
from hollyridge.sasp.ownership_extension import Owned, Redirected, read_reply

HEARTBEATS_PER_LEASE = 4  # heartbeats in a lease
FIRST_REPLY_PART = 3  # an assigner of a shared fleet has to answer at first within a lease divided by this
DEFAULT_TIMEOUT_S = 5.0
NOT_OWNED = Owned(0, 0.0)


class SaspTables(Gateway):
    """What a gateway does with SASP's messages, wherever they come from.

    Attributes:
        groups: The group that each method goes by.
        held: The weights held, by group.
        own: Who owns the proxy in this session, with a token of 0 if that is not known.
        lease: Seconds, of the last owner that had one; 0 if none had.
    """

    groups: dict[str, str]
    held: HeldWeights
    own: Owned
    silences = (HeartbeatTimeoutError, TimeoutError)
    lease = 0.0

    def patience(self, usual: float) -> float:
        """Seconds that a first answer may take: not long where other assigners know of this proxy."""
        return min(usual, self.lease / FIRST_REPLY_PART) if self.lease else usual

    def begin(self) -> int:
        """Begin a session; the number of its request for an owner."""
        self.held.new_stream()
        self.own = NOT_OWNED
        return self.fencing.next_token()

    def take(self, message: codec.SendWeights) -> None:
        """Apply a message, unless its sender is not to be obeyed.

        Raises:
            RedirectedError: Another assigner should be asked.
        """
        ownership = read_reply(message.groups)
        if isinstance(ownership, Redirected):
            raise RedirectedError(ownership.address)
        self.own = ownership or self.own
        self.lease = self.own.lease_s or self.lease
        if not self.fencing.accepts(self.own.fence):
            return
        self.held.take(message.groups)
        tables = {
            method: self._weights_of(group)
            for method, group in self.groups.items()
            if group in self.held.received_groups
        }
        self.replace_tables(tables, {})

    def _weights_of(self, group: str) -> dict[str, float]:
        entries = self.held.lines(group)
        return {f"{member.host}:{member.port}": float(entry.weight) for member, entry in entries.items()}


class SaspGateway(SaspTables):
    """A gateway of a SASP server."""

    def __init__(  # noqa: PLR0913, PLR0917 - a library's public constructor, used with keywords
        self,
        address: tuple[str, int] | list[tuple[str, int]],
        uid: str,
        methods: list[str],
        groups: dict[str, str] | None = None,
        how: dict | None = None,
        receive_s: float = 1.0,
        before: Callable[[tuple], None] = lambda groups: None,
        **options: object,
    ) -> None:
        """Make a gateway without a session.

        Args:
            address: Of an assigner, or a list of several: when one doesn't answer, the next is asked.
            uid: Name of the proxy.
            methods: Names of the methods.
            groups: The group that a method goes by, itself if not named.
            how: Options of `LoadBalancerClient` (source, timeout, connect, on_receive, on_send).
            receive_s: How often a session without changes is noted to stand.
            before: Called with the groups of a message before it is applied.
            options: Those of `Gateway`.
        """
        super().__init__(uid, methods, **options)
        self.addresses = several(address)
        self.assigner_count = len(self.addresses)
        self.how = how or {}
        self.receive_s = receive_s
        self.before = before
        self.groups = {method: (groups or {}).get(method, method) for method in methods}
        self.held = HeldWeights()
        self.client: LoadBalancerClient | None = None
        self.version = 0

    def session(self) -> None:
        """One connection, until it ends."""
        number = self.begin()
        how = {**self.how, "timeout": self.patience(self.how.get("timeout", DEFAULT_TIMEOUT_S))}
        client = LoadBalancerClient(self.addresses[self.assigner_index], self.uid, **how)
        self.client = client
        try:
            client.start(dict.fromkeys(self.groups.values()), number=number, insist=self.insists)
        except RefusedError:
            while client.pushed:  # there may be a redirect among them
                _, message = client.pushed.popleft()
                self.take(message)
            raise
        self.alive()
        heartbeat_at = self.clock()
        while not self.stopped:
            self._receive(client)
            lease_s = self.own.lease_s
            if lease_s and self.clock() - heartbeat_at >= lease_s / HEARTBEATS_PER_LEASE:
                heartbeat_at = self.clock()
                client.timeout = lease_s / 2
                client.alive()
            self.alive()

    def _receive(self, client: LoadBalancerClient) -> None:
        lease_s = self.own.lease_s
        pushed = client.receive(min(self.receive_s, lease_s / HEARTBEATS_PER_LEASE) if lease_s else self.receive_s)
        if pushed is not None:
            number, message = pushed
            self.before(message.groups)
            self.version = number
            self.take(message)

    def hang_up(self) -> None:
        """Close the connection, if there is one."""
        client = self.client
        self.client = None
        if client is not None:
            with suppress(OSError):
                client.sock.shutdown(socket.SHUT_RDWR)
            client.close()
