"""A gateway whose tables come by CHP."""

from __future__ import annotations

from collections.abc import Callable

from hollyridge.chp.client import Subscriber
from hollyridge.chp.proxy_replicas import ProxyReplicas, ReplicaTables
from hollyridge.client.gateway import Gateway, RedirectedError, several
from hollyridge.errors import HollyridgeError

STALE_HEARTBEATS = 2  # a session stands while a heartbeat of its own subtree is not older than so many
SILENCE_MARGIN_S = 0.5  # beside `max_missing_heartbeats` heartbeats
FIRST_REPLY_HEARTBEATS = 2  # where other assigners know of this proxy, they may answer at once


class HeartbeatTimeoutError(HollyridgeError):
    """No heartbeat of the proxy's own subtree for too long: the session is over."""


class ChpGateway(Gateway):
    """A gateway of a CHP server.

    A session ends when more than `max_missing_heartbeats` heartbeats are missing; the next one keeps what is held and
    asks for what has changed.
    """

    silences = (HeartbeatTimeoutError,)

    def __init__(  # noqa: PLR0913, PLR0917 - a library's public constructor, used with keywords
        self,
        address: tuple[str, int] | list[tuple[str, int]],
        uid: str,
        methods: list[str],
        how: dict | None = None,
        max_missing_heartbeats: float = 3.0,
        before: Callable[[int], None] = lambda lines: None,
        **options: object,
    ) -> None:
        """Make a gateway without a session.

        Args:
            address: Of an assigner, or a list of several: when one doesn't answer, the next is asked.
            uid: Name of the proxy.
            methods: Names of the methods.
            how: Options of `Subscriber` (zmq, context, source, on_receive, keys).
            max_missing_heartbeats: Heartbeats that may be missing.
            before: Called with the number of lines before tables are replaced.
            options: Those of `Gateway`.
        """
        super().__init__(uid, methods, **options)
        self.addresses = several(address)
        self.assigner_count = len(self.addresses)
        self.how = how or {}
        self.max_missing_heartbeats = max_missing_heartbeats
        self.before = before
        self.client = ProxyReplicas(uid, methods, self.fencing)
        self.subscriber: Subscriber | None = None
        self.heartbeat_s = 1.0
        self.versions: dict[str, int] = {}

    def session(self) -> None:
        """One session, until it ends."""
        subscriber = Subscriber(
            self.addresses[self.assigner_index],
            self.uid,
            self.methods,
            client=self.client,
            clock=self.clock,
            insist=self.insists,
            **self.how,
        )
        self.subscriber = subscriber
        try:
            while not self.stopped and self.subscriber is subscriber:
                self._take(subscriber.step(min(subscriber.heartbeat_s, self.heartbeat_s) / 2))
                if subscriber.joined and subscriber.silence_s < STALE_HEARTBEATS * subscriber.heartbeat_s:
                    self.alive()
                    self.heartbeat_s = subscriber.heartbeat_s
                else:
                    self.session_stands = False
                    self._check_silence(subscriber)
        finally:
            subscriber.close()  # here and not in `hang_up`: its sockets belong to this thread

    def _take(self, tables: ReplicaTables | None) -> None:
        redirect = self.client.redirect()
        if redirect is not None:
            raise RedirectedError(redirect.address)
        if tables is not None:
            self.before(sum(map(len, tables.lines.values())))
            self.versions = tables.versions
            self.replace_tables(tables.lines, tables.levels)

    def _check_silence(self, subscriber: Subscriber) -> None:
        patience_s = self.max_missing_heartbeats * subscriber.heartbeat_s + SILENCE_MARGIN_S
        if self.fencing.accepted_token and not subscriber.joined:
            patience_s = FIRST_REPLY_HEARTBEATS * self.heartbeat_s
        if subscriber.silence_s > patience_s:
            raise HeartbeatTimeoutError(f"no heartbeat for {subscriber.silence_s:.1f} s")

    def hang_up(self) -> None:
        """Let the session end."""
        self.subscriber = None
