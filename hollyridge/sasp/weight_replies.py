"""Weight tables as SASP messages: what each load balancer should hold, what it was sent, what it is owed.

Updates of the engine change a connection's views; messages are made of the views when they are written. So a reader
that stands still holds up nobody, and costs one view for each group, not a queue.
"""

from __future__ import annotations

from hollyridge.core.event_loop import EventLoop
from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.sasp import codec
from hollyridge.sasp.codec import BalancerFlags, WeightFlags
from hollyridge.sasp.config import SaspConfig
from hollyridge.sasp.connection import Connection, PendingMark, SaspProxyView
from hollyridge.sasp.ownership import SaspOwnership, message_id
from hollyridge.sasp.registration import MemberRequests
from hollyridge.store.table_versions import Table

MAX_ENTRIES_PER_GROUP = 900  # with the longest addresses and no labels these fit in a component of 64 KB
MAX_ENTRIES_PER_MESSAGE = 1500  # a message is one component, so 64 KB too
MAX_PENDING_MARKS = 32  # a later mark covers the earlier ones


class WeightReplies:
    """Keeps the views of load balancers and writes what is owed."""

    def __init__(
        self, loop: EventLoop, config: SaspConfig, member_requests: MemberRequests, ownership: SaspOwnership
    ) -> None:
        self.engine = loop.engine
        self.clock = loop.clock
        self.config = config
        self.member_requests = member_requests
        self.ownership = ownership

    # What the views should hold.

    def count_lines(self, connection: Connection, update: ProxyUpdate) -> tuple[int, int]:
        """How many entries this update comes to, and how many all its groups in full."""
        bound = self.engine.update_builder.bindings.get(connection.proxy, {})
        tables = [bound.get(method) for name, method in self.config.groups.items() if name in connection.views]
        store = self.engine.update_builder.store
        whole = sum(len(store.latest(table)) for table in tables if table is not None)
        if not connection.flags & BalancerFlags.NO_CHANGE:  # it is sent its groups in full, whatever changed
            return whole, whole
        return sum(lines * tables.count(table) for table, lines in update.line_counts), whole

    def apply(self, connection: Connection, update: ProxyUpdate) -> None:
        """Change the views by an update of the engine."""
        connection.version = update.decision
        values = dict(update.tables)
        for name, method in self.config.groups.items():
            view = connection.views.get(name)
            if view is None:
                continue
            for table, method_mask in update.bindings:
                if method_mask >> method & 1:
                    value = values.get(table) or self.engine.update_builder.store.latest(table)
                    self.bind(connection, view, table, value)
            if view.current is not None and view.table in values:
                view.current = values[view.table]
        if update.mark >= 0:
            connection.pending.append(PendingMark(update.mark, update.decided_at_us))
            del connection.pending[:-MAX_PENDING_MARKS]
        connection.due.set()

    def bind(self, connection: Connection, view: SaspProxyView, table: int, value: Table) -> None:
        """Let the view show this table from now on."""
        view.table = table
        view.current = value
        view.resend_whole = True
        connection.weights_ready.set()
        connection.due.set()

    def add_group(self, connection: Connection, name: str) -> None:
        """Let the load balancer have this group; if its proxy has its tables already, this one at once."""
        view = connection.views.setdefault(name, SaspProxyView())
        if view.current is None and connection.proxy >= 0:
            builder = self.engine.update_builder
            table = builder.bindings.get(connection.proxy, {}).get(self.config.groups[name])
            if table is not None:
                self.bind(connection, view, table, builder.store.latest(table))

    # What is sent.

    def in_full(self, connection: Connection, groups: tuple[codec.Group, ...]) -> tuple[codec.WeightsOf, ...]:
        """The answer to one that asks; its cost is charged to the channel that all share."""
        batches = []
        for group in groups:
            entries = self._entries(connection, connection.views[group.name], whole=True)
            batches.append(codec.WeightsOf(group, entries))
        lines = sum(len(batch.weights) for batch in batches) + self.engine.queue.overhead_lines
        self.engine.queue.charge(self.clock(), lines)
        return tuple(batches)

    def compose(self, connection: Connection) -> list[bytes]:
        """Frames for all that is to be pushed; several only where one would be too long."""
        batches: list[codec.WeightsOf] = []
        frames = []
        entries_in_message = 0
        if connection.fence_unsent and any(view.due for view in connection.views.values()):
            connection.fence_unsent = False
            batches.append(self.ownership.owned_entry(connection))
        for batch in self._due_batches(connection):
            if batches and entries_in_message + len(batch.weights) > MAX_ENTRIES_PER_MESSAGE:
                frames.append(self._frame(connection, batches))
                batches = []
                entries_in_message = 0
            batches.append(batch)
            entries_in_message += len(batch.weights)
        if batches:
            frames.append(self._frame(connection, batches))
        return frames

    def _due_batches(self, connection: Connection) -> list[codec.WeightsOf]:
        batches = []
        for name, view in connection.views.items():
            if not view.due:
                continue
            group = codec.Group(connection.uid, name)
            entries = self._entries(connection, view, whole=False)  # none where only admission levels changed
            for first in range(0, len(entries), MAX_ENTRIES_PER_GROUP):
                batches.append(codec.WeightsOf(group, entries[first : first + MAX_ENTRIES_PER_GROUP]))
        return batches

    @staticmethod
    def _frame(connection: Connection, batches: list[codec.WeightsOf]) -> bytes:
        return codec.encode(message_id(connection), codec.SendWeights(tuple(batches)))

    def _entries(self, connection: Connection, view: SaspProxyView, whole: bool) -> tuple[codec.Weight, ...]:
        """Entries that bring the group up to date; from then on they count as sent."""
        if view.current is None:
            return ()
        now = self.clock()
        engine = self.engine
        whole = whole or view.resend_whole or not connection.flags & BalancerFlags.NO_CHANGE
        changed = () if whole else engine.update_builder.store.change(view.table, view.sent, view.current).lines
        advised = view.weights.advise(
            view.current.lines,
            [task for task, _ in changed],
            whole,
            lambda task: engine.is_warming_up(now, task),
            engine.is_closed,
        )
        view.sent = view.current
        view.resend_whole = False
        return tuple(self._entry(now, task, figure) for task, figure in advised.figures.items())

    def _entry(self, now: int, task: int, figure: int) -> codec.Weight:
        member = self.member_requests.by_task[task]
        flags = WeightFlags.CONTACT * self.engine.is_running(task)
        flags |= WeightFlags.QUIESCE * self.engine.is_closed(task)
        flags |= WeightFlags.CONFIDENT * self.engine.is_confident(now, task)
        by_balancer = self.member_requests.registered_by_balancer.get(member.key, False)
        flags |= WeightFlags.REGISTERED_BY_BALANCER * by_balancer
        return codec.Weight(member, figure, int(flags))
