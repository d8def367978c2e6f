"""Updates of the engine as changes of the key space, and snapshots of it to those who ask.

A table's change is published once for all proxies that use it, when the first of their updates leaves the channel;
the others' updates take their time in the channel but send nothing.
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

FULL_PIPE_SLEEP_S = 0.01  # before a session that can't take more is tried again
MAX_MARKS = 32  # of one session; a later one covers the earlier ones
WEIGHT_DIGITS = 6
AMOUNT_DIGITS = 4


class Publication:
    """Publishes changes and sends snapshots; `is_current(session)` tells whether a session still stands."""

    def __init__(  # noqa: PLR0913, PLR0917 - it joins the engine, the key space and the sockets
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
        self.published: dict[int, Table] = {}  # newest value published, by table

    # Changes.

    def count_lines(self, proxy: int, update: ProxyUpdate) -> tuple[int, int]:
        """How many lines this update comes to, and how many all its tables in full."""
        tables = set(self.engine.update_builder.bindings.get(proxy, {}).values())
        store = self.engine.update_builder.store
        changed = sum(lines for _, lines in update.line_counts)
        return changed, sum(1 + len(store.latest(table)) for table in tables)

    def apply(self, session: SubscriberSession | None, update: ProxyUpdate) -> None:
        """Publish an update; `session` is its proxy's, None if that has left."""
        if update.ejections:
            self._publish_ejections(update.decision)
        for table, value in update.tables:
            self._publish_table(table, value)
        if session is None:
            return
        if update.bindings:
            self._publish_bindings(session, update)
        if update.mark >= 0:
            session.marks.append(SentMark(self.heads_of(session), update.mark, update.decided_at_us))
            while len(session.marks) > MAX_MARKS:
                session.marks.popleft()

    def _publish_ejections(self, decision: int) -> None:
        ejected = sorted(self.engine.update_builder.ejected)
        target = {codec.OUT + self.name_of(task): codec.json(codec.Out()) for task in ejected}
        self.sockets.publish(self.key_space.set(codec.OUT, decision, target))

    def _publish_bindings(self, session: SubscriberSession, update: ProxyUpdate) -> None:
        bound = self.engine.update_builder.bindings.get(session.proxy, {})
        target = {
            f"{session.home}bind/{self.config.methods[method]}": codec.json(codec.Bind(table))
            for method, table in sorted(bound.items())
        }
        for table in set(bound.values()):
            if f"/table/{table}/" not in self.key_space.heads:
                self._publish_table(table, self.engine.update_builder.store.latest(table))
        session.counted.update(f"/table/{table}/" for table, _ in update.bindings)
        if session.fence:
            target[session.home + "own"] = self.ownership.own_value(session.fence)
        messages = self.key_space.set(session.home, update.decision, target)
        if session.waits_for_home:
            session.waits_for_home = False
            self.send_snapshot(session, session.home)
        else:
            self.sockets.publish(messages)

    def _publish_table(self, table: int, value: Table) -> None:
        """Publish a table's newest value, once. A closed task is left out even where the table still has it."""
        if table in self.published and value.version <= self.published.get(table, EMPTY).version:
            return
        self.published[table] = value
        start = f"/table/{table}/"
        target = {
            f"{start}line/{self.name_of(task)}": codec.json(codec.Line(round(weight, WEIGHT_DIGITS)))
            for task, weight in value.lines.items()
            if not self.engine.is_closed(task)
        }
        for mask, (amount, retry) in value.levels.items():
            target[f"{start}level/{mask}"] = codec.json(codec.Level(round(amount, AMOUNT_DIGITS), retry))
        self.sockets.publish(self.key_space.set(start, value.version, target))

    def redirect(self, session: SubscriberSession, assigner: str) -> None:
        """Tell a session's proxy which assigner it should ask."""
        target = dict(self.key_space.held.get(session.home, {}))
        target[session.home + "go"] = self.ownership.go_value(assigner)
        self.sockets.publish(self.key_space.set(session.home, 0, target))

    def heartbeat(self) -> None:
        """Send the heartbeat of each subtree."""
        self.sockets.publish([codec.Hugz()])
        self.sockets.publish([self.key_space.heartbeat(subtree) for subtree in list(self.key_space.heads)])

    # Who uses what.

    def tables_of(self, session: SubscriberSession) -> set[str]:
        """The subtrees of the tables that a session's proxy is bound to."""
        bound = self.engine.update_builder.bindings.get(session.proxy, {})
        return {f"/table/{table}/" for table in bound.values()}

    def heads_of(self, session: SubscriberSession) -> dict[str, int]:
        """Sequence number of the newest head of each subtree that a session uses."""
        subtrees = [session.home, codec.OUT, *self.tables_of(session)]
        heads = self.key_space.heads
        return {subtree: heads[subtree].seq for subtree in subtrees if subtree in heads}

    # Snapshots.

    def charge_repair(self, now: int, subtree: str) -> None:
        """Count a snapshot that the channel has not counted yet."""
        size = len(self.key_space.held.get(subtree, ()))
        self.engine.queue.charge(now, size + self.engine.queue.overhead_lines)

    def send_snapshot(self, session: SubscriberSession, subtree: str) -> None:
        """Send a snapshot, after those that this session still waits for."""
        if subtree not in session.owed_snapshots:
            session.owed_snapshots[subtree] = None
            if len(session.owed_snapshots) == 1:
                self.loop.spawn(self._send_owed, session)

    def _send_owed(self, session: SubscriberSession) -> None:
        """Send one after the other, as fast as the reader takes them; a full pipe holds up nobody else."""
        counts = self.sockets.counts
        while session.owed_snapshots and self.is_current(session):
            subtree = next(iter(session.owed_snapshots))
            counts["snapshots"] += 1
            for message in self.key_space.snapshot(subtree):
                parts = codec.encode(message)
                while not self.sockets.send_to(session.routing_id, parts):
                    counts["waited"] += 1
                    self.loop.sleep(FULL_PIPE_SLEEP_S)
                    if not self.is_current(session):
                        return
            del session.owed_snapshots[subtree]
