"""Publication of the engine's updates as changes of the key space, and snapshots of the key space on request.

A table's change is published once for all proxies that use it, when the first of their updates leaves the channel. The
updates of the other proxies use the channel too, but send nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from hollyridge.chp import codec
from hollyridge.chp.config import ChpConfig
from hollyridge.chp.key_space import KeySpace
from hollyridge.chp.ownership import ChpOwnership
from hollyridge.chp.session import SentMark, SubscriberSession
from hollyridge.chp.sockets import ServerSockets
from hollyridge.core.event_loop import EventLoop
from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.store.table_versions import EMPTY, Table

FULL_PIPE_SLEEP_S = 0.01  # interval between attempts to send to a session whose pipe is full
MAX_MARKS = 32  # marks of one session; a later mark covers the earlier ones
WEIGHT_DIGITS = 6
AMOUNT_DIGITS = 4


class Publication:
    """Publisher of changes and sender of snapshots; `is_current(session)` returns whether a session is still open."""

    def __init__(  # noqa: PLR0913, PLR0917 - it connects the engine, the key space and the sockets
        self,
        loop: EventLoop,
        config: ChpConfig,
        key_space: KeySpace,
        sockets: ServerSockets,
        name_of: Callable[[int], str],
        ownership: ChpOwnership,
        is_current: Callable[[SubscriberSession], bool],
    ) -> None:
        self.loop = loop
        self.engine = loop.engine
        self.config = config
        self.key_space = key_space
        self.sockets = sockets
        self.name_of = name_of
        self.ownership = ownership
        self.is_current = is_current
        self.published: dict[int, Table] = {}  # newest published value, by table

    # Changes.

    def count_lines(self, proxy: int, update: ProxyUpdate) -> tuple[int, int]:
        """Return the number of lines of this update, and that of all tables of the proxy in full."""
        tables = set(self.engine.update_builder.bindings.get(proxy, {}).values())
        store = self.engine.update_builder.store
        changed = sum(lines for _, lines in update.line_counts)
        return changed, sum(1 + len(store.latest(table)) for table in tables)

    def apply(self, session: SubscriberSession | None, update: ProxyUpdate) -> None:
        """Publish an update; `session` is that of its proxy, None if the proxy has left."""
        if update.ejections:
            self._publish_ejections(update.decision)
        for table, value in update.tables:
            self._publish_table(table, value)
        if session is None:
            return
        if update.bindings:
            self._publish_bindings(session, update)
        if update.mark >= 0:
            session.sent_marks.append(SentMark(self.heads_of(session), update.mark, update.decided_at_us))
            while len(session.sent_marks) > MAX_MARKS:
                session.sent_marks.popleft()

    def _publish_ejections(self, decision: int) -> None:
        ejected = sorted(self.engine.update_builder.ejected)
        target = {codec.EJECTED_SUBTREE + self.name_of(task): codec.json(codec.Out()) for task in ejected}
        self.sockets.publish(self.key_space.set(codec.EJECTED_SUBTREE, decision, target))

    def _publish_bindings(self, session: SubscriberSession, update: ProxyUpdate) -> None:
        bound = self.engine.update_builder.bindings.get(session.proxy, {})
        target = {
            f"{session.home}bind/{self.config.methods[method]}": codec.json(codec.Bind(table))
            for method, table in sorted(bound.items())
        }
        for table in set(bound.values()):
            if f"/table/{table}/" not in self.key_space.heads:
                self._publish_table(table, self.engine.update_builder.store.latest(table))
        session.charged_tables.update(f"/table/{table}/" for table, _ in update.bindings)
        if session.fence:
            target[session.home + "own"] = self.ownership.own_value(session.fence)
        messages = self.key_space.set(session.home, update.decision, target)
        if session.home_unsent:
            session.home_unsent = False
            self.send_snapshot(session, session.home)
        else:
            self.sockets.publish(messages)

    def _publish_table(self, table: int, value: Table) -> None:
        """Publish a table's newest value once; leave out closed tasks that the table still has."""
        if table in self.published and value.version <= self.published.get(table, EMPTY).version:
            return
        self.published[table] = value
        prefix = f"/table/{table}/"
        target = {
            f"{prefix}line/{self.name_of(task)}": codec.json(codec.Line(round(weight, WEIGHT_DIGITS)))
            for task, weight in value.lines.items()
            if not self.engine.is_closed(task)
        }
        for mask, (amount, retry) in value.levels.items():
            target[f"{prefix}level/{mask}"] = codec.json(codec.Level(round(amount, AMOUNT_DIGITS), retry))
        self.sockets.publish(self.key_space.set(prefix, value.version, target))

    def redirect(self, session: SubscriberSession, assigner: str) -> None:
        """Publish a redirect of a session's proxy to another assigner."""
        target = dict(self.key_space.held.get(session.home, {}))
        target[session.home + "go"] = self.ownership.go_value(assigner)
        self.sockets.publish(self.key_space.set(session.home, 0, target))

    def heartbeat(self) -> None:
        """Send the heartbeat of each subtree."""
        self.sockets.publish([codec.Hugz()])
        self.sockets.publish([self.key_space.heartbeat(subtree) for subtree in list(self.key_space.heads)])

    # Subtrees of a session.

    def tables_of(self, session: SubscriberSession) -> set[str]:
        """Return the subtrees of the tables that a session's proxy is bound to."""
        bound = self.engine.update_builder.bindings.get(session.proxy, {})
        return {f"/table/{table}/" for table in bound.values()}

    def heads_of(self, session: SubscriberSession) -> dict[str, int]:
        """Return the sequence number of the newest head of each subtree that a session uses."""
        subtrees = [session.home, codec.EJECTED_SUBTREE, *self.tables_of(session)]
        heads = self.key_space.heads
        return {subtree: heads[subtree].seq for subtree in subtrees if subtree in heads}

    # Snapshots.

    def charge_snapshot(self, now: int, subtree: str) -> None:
        """Charge the channel for a snapshot that it was not charged for yet."""
        size = len(self.key_space.held.get(subtree, ()))
        self.engine.queue.charge(now, size + self.engine.queue.overhead_lines)

    def send_snapshot(self, session: SubscriberSession, subtree: str) -> None:
        """Queue a snapshot for a session, and start to send if the queue was empty."""
        if subtree not in session.queued_snapshots:
            session.queued_snapshots[subtree] = None
            if len(session.queued_snapshots) == 1:
                self.loop.spawn(self._send_queued, session)

    def _send_queued(self, session: SubscriberSession) -> None:
        """Send the queued snapshots in order, as fast as the reader takes them; a full pipe delays no other session."""
        counts = self.sockets.counts
        while session.queued_snapshots and self.is_current(session):
            subtree = next(iter(session.queued_snapshots))
            counts["snapshots"] += 1
            for message in self.key_space.snapshot(subtree):
                parts = codec.encode(message)
                while not self.sockets.send_to(session.routing_id, parts):
                    counts["waited"] += 1
                    self.loop.sleep(FULL_PIPE_SLEEP_S)
                    if not self.is_current(session):
                        return
            del session.queued_snapshots[subtree]
