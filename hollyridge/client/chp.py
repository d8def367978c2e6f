"""Gateway that receives its tables by CHP."""

from __future__ import annotations

from collections.abc import Callable

from hollyridge.chp.client import Subscriber
from hollyridge.chp.proxy_replicas import ProxyReplicas, ReplicaTables
from hollyridge.client.gateway import Gateway, RedirectedError, address_list
from hollyridge.errors import HollyridgeError

# A session is active while the last heartbeat of the own subtree is less than this many heartbeat intervals old.
STALE_HEARTBEATS = 2
HEARTBEAT_TIMEOUT_MARGIN_S = 0.5  # added to the duration of `max_missing_heartbeats` heartbeats
# Heartbeat intervals to wait for a first reply if other assigners know this proxy: those may answer at once.
FIRST_REPLY_HEARTBEATS = 2


class HeartbeatTimeoutError(HollyridgeError):
    """No heartbeat of the proxy's own subtree has arrived in time, which ends the session."""


class ChpGateway(Gateway):
    """Gateway that is a client of a CHP server.

    A session ends when more than `max_missing_heartbeats` heartbeats are missing. The next session keeps the tables and
    requests only changes.
    """

    timeout_errors = (HeartbeatTimeoutError,)

    def __init__(  # noqa: PLR0913, PLR0917 - a library's public constructor, used with keywords
        self,
        address: tuple[str, int] | list[tuple[str, int]],
        uid: str,
        methods: list[str],
        client_options: dict | None = None,
        max_missing_heartbeats: float = 3.0,
        before_update: Callable[[int], None] = lambda lines: None,
        **options: object,
    ) -> None:
        """Create a gateway without a session.

        Args:
            address: Host and port of an assigner, or a list of several such pairs. If an assigner does not answer, the
                gateway connects to the next one.
            uid: Name of the proxy.
            methods: Names of the methods.
            client_options: Options of `Subscriber` (zmq, context, source, on_receive, keys).
            max_missing_heartbeats: Number of heartbeats that may be missing before a session ends.
            before_update: Function that is called with the number of lines before tables are replaced.
            options: Options of `Gateway`.
        """
        super().__init__(uid, methods, **options)
        self.addresses = address_list(address)
        self.assigner_count = len(self.addresses)
        self.client_options = client_options or {}
        self.max_missing_heartbeats = max_missing_heartbeats
        self.before_update = before_update
        self.client = ProxyReplicas(uid, methods, self.fencing)
        self.subscriber: Subscriber | None = None
        self.heartbeat_s = 1.0
        self.versions: dict[str, int] = {}

    def session(self) -> None:
        """Run one session until it ends."""
        subscriber = Subscriber(
            self.addresses[self.assigner_index],
            self.uid,
            self.methods,
            client=self.client,
            clock=self.clock,
            insist=self.insists,
            **self.client_options,
        )
        self.subscriber = subscriber
        try:
            while not self.stopped and self.subscriber is subscriber:
                self._apply_tables(subscriber.step(min(subscriber.heartbeat_s, self.heartbeat_s) / 2))
                if subscriber.joined and subscriber.silence_s < STALE_HEARTBEATS * subscriber.heartbeat_s:
                    self.record_activity()
                    self.heartbeat_s = subscriber.heartbeat_s
                else:
                    self.session_active = False
                    self._check_heartbeats(subscriber)
        finally:
            subscriber.close()  # not closed in `disconnect`, because the sockets belong to this thread

    def _apply_tables(self, tables: ReplicaTables | None) -> None:
        redirect = self.client.redirect()
        if redirect is not None:
            raise RedirectedError(redirect.address)
        if tables is not None:
            self.before_update(sum(map(len, tables.lines.values())))
            self.versions = tables.versions
            self.replace_tables(tables.lines, tables.levels)

    def _check_heartbeats(self, subscriber: Subscriber) -> None:
        timeout_s = self.max_missing_heartbeats * subscriber.heartbeat_s + HEARTBEAT_TIMEOUT_MARGIN_S
        if self.fencing.accepted_token and not subscriber.joined:
            timeout_s = FIRST_REPLY_HEARTBEATS * self.heartbeat_s
        if subscriber.silence_s > timeout_s:
            raise HeartbeatTimeoutError(f"no heartbeat for {subscriber.silence_s:.1f} s")

    def disconnect(self) -> None:
        """End the session after its current step."""
        self.subscriber = None
