"""A gateway whose tables come by pub-sub."""

from __future__ import annotations

from collections.abc import Callable

from hollyridge.chp.client import Subscriber
from hollyridge.chp.replica import Client
from hollyridge.client.gateway import Gateway, RedirectedError, several


class HeartbeatTimeoutError(Exception):
    """No heartbeat of one's own subtree for too long: the session is over."""


class ChpGateway(Gateway):
    """`address` may be a list: when one assigner doesn't answer, the next is dialled. `how` goes to `Subscriber` (zmq,
    context, source, heard, keys). A session ends after `silent_beats` heartbeats that did not come; the next one keeps
    what is held and asks for what has changed."""

    silences = (HeartbeatTimeoutError,)

    def __init__(
        self,
        address: tuple[str, int] | list[tuple[str, int]],
        uid: str,
        methods: list[str],
        how: dict | None = None,
        silent_beats: float = 3.0,
        before: Callable[[int], None] = lambda lines: None,
        **terms,
    ) -> None:
        super().__init__(uid, methods, **terms)
        self.addresses, self.how, self.silent_beats, self.before = several(address), how or {}, silent_beats, before
        self.ways = len(self.addresses)
        self.client, self.subscriber, self.beat_s = Client(uid, methods, self.judge), None, 1.0
        self.versions: dict[str, int] = {}

    def session(self) -> None:
        subscriber = Subscriber(
            self.addresses[self.way],
            self.uid,
            self.methods,
            client=self.client,
            clock=self.clock,
            plea=self.pleads,
            **self.how,
        )
        self.subscriber = subscriber
        try:
            while not self.stopped and self.subscriber is subscriber:
                tables = subscriber.step(min(subscriber.beat_s, self.beat_s) / 2)
                go = self.client.go()
                if go is not None:
                    raise RedirectedError(go.to)
                if tables is not None:
                    self.before(sum(map(len, tables.lines.values())))
                    self.versions = tables.versions
                    self.lay(tables.lines, tables.levels)
                if subscriber.joined and subscriber.silent_for < 2 * subscriber.beat_s:
                    self.alive()
                    self.beat_s = subscriber.beat_s
                    continue
                self.standing_stream = False
                patience = self.silent_beats * subscriber.beat_s + 0.5
                if self.judge.accepted_token and not subscriber.joined:  # others may answer at once
                    patience = 2 * self.beat_s
                if subscriber.silent_for > patience:
                    raise HeartbeatTimeoutError(f"no heartbeat for {subscriber.silent_for:.1f} s")
        finally:
            subscriber.close()  # here and not in `hang_up`: its sockets belong to this thread

    def hang_up(self) -> None:
        self.subscriber = None
