"""A gateway whose tables come by pub-sub."""

from __future__ import annotations

from collections.abc import Callable

from hollyridge.client.surface import Gateway, several
from hollyridge.clone.client import Subscriber
from hollyridge.clone.replica import Client


class SilenceError(Exception):
    """No heartbeat of one's own subtree for too long: the session is over."""


class CloneGateway(Gateway):
    """`address` may be a list: when one assigner doesn't answer, the next is dialled. `how` goes to `Subscriber` (zmq,
    context, source, heard, keys). A session ends after `silent_beats` heartbeats that did not come; the next one keeps
    what is held and asks for what has changed."""

    def __init__(self, address: tuple[str, int] | list[tuple[str, int]], uid: str, methods: list[str],
                 how: dict | None = None, silent_beats: float = 3.0, before: Callable[[int], None] = lambda lines: None,
                 **terms) -> None:
        super().__init__(uid, methods, **terms)
        self.addresses, self.how, self.silent_beats, self.before = several(address), how or {}, silent_beats, before
        self.ways = len(self.addresses)
        self.client, self.subscriber = Client(uid, methods), None
        self.versions: dict[str, int] = {}

    def session(self) -> None:
        subscriber = Subscriber(self.addresses[self.way], self.uid, self.methods, client=self.client, clock=self.clock,
                                **self.how)
        self.subscriber = subscriber
        try:
            while not self.stopped and self.subscriber is subscriber:
                tables = subscriber.step(subscriber.beat_s / 2)
                if tables is not None:
                    self.before(sum(map(len, tables.lines.values())))
                    self.versions = tables.versions
                    self.lay(tables.lines, tables.levels)
                if subscriber.joined and subscriber.silent_for < 2 * subscriber.beat_s:
                    self.alive()
                    continue
                self.standing_stream = False
                if subscriber.silent_for > self.silent_beats * subscriber.beat_s + 0.5:
                    raise SilenceError(f"no heartbeat for {subscriber.silent_for:.1f} s")
        finally:
            subscriber.close()  # here and not in `hang_up`: its sockets belong to this thread

    def hang_up(self) -> None:
        self.subscriber = None
