"""Weight tables as SASP messages.

Updates of the engine change a connection's views, and messages are built from the views only when they are written.
Therefore a reader that does not read delays no other reader and costs one view per group rather than a queue.
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

MAX_ENTRIES_PER_GROUP = 900  # these fit in a component of 64 KB with the longest addresses and without labels
MAX_ENTRIES_PER_MESSAGE = 1500  # a message is one component, so its limit is 64 KB too
MAX_PENDING_MARKS = 32  # a later mark covers the earlier ones


class WeightReplies:
    """Views of load balancers, and the messages that bring load balancers up to date with them."""

    def __init__(
        self, loop: EventLoop, config: SaspConfig, member_requests: MemberRequests, ownership: SaspOwnership
    ) -> None:
        self.engine = loop.engine
        self.clock = loop.clock
        self.config = config
        self.member_requests = member_requests
        self.ownership = ownership

    # Changes of views.

    def count_lines(self, connection: Connection, update: ProxyUpdate) -> tuple[int, int]:
        """Return the number of entries of this update, and that of all groups of the connection in full."""
        bound = self.engine.update_builder.bindings.get(connection.proxy, {})
        tables = [bound.get(method) for name, method in self.config.groups.items() if name in connection.views]
        store = self.engine.update_builder.store
        whole = sum(len(store.latest(table)) for table in tables if table is not None)
        if not connection.flags & BalancerFlags.NO_CHANGE:  # any change sends its groups in full
            return whole, whole
        return sum(lines * tables.count(table) for table, lines in update.line_counts), whole

    def apply(self, connection: Connection, update: ProxyUpdate) -> None:
        """Apply an update of the engine to the views."""
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
        """Bind the view to a table with its current value."""
        view.table = table
        view.current = value
        view.resend_whole = True
        connection.weights_ready.set()
        connection.due.set()

    def add_group(self, connection: Connection, name: str) -> None:
        """Add a group to the load balancer, and bind its table at once if the proxy has its tables already."""
        view = connection.views.setdefault(name, SaspProxyView())
        if view.current is None and connection.proxy >= 0:
            builder = self.engine.update_builder
            table = builder.bindings.get(connection.proxy, {}).get(self.config.groups[name])
            if table is not None:
                self.bind(connection, view, table, builder.store.latest(table))

    # Messages.

    def full_weights(self, connection: Connection, groups: tuple[codec.Group, ...]) -> tuple[codec.WeightsOf, ...]:
        """Return all entries of the groups for a load balancer that polls, and charge them to the shared channel."""
        batches = []
        for group in groups:
            entries = self._entries(connection, connection.views[group.name], whole=True)
            batches.append(codec.WeightsOf(group, entries))
        lines = sum(len(batch.weights) for batch in batches) + self.engine.queue.overhead_lines
        self.engine.queue.charge(self.clock(), lines)
        return tuple(batches)

    def compose(self, connection: Connection) -> list[bytes]:
        """Return the frames that are due to be pushed, more than one only if one would be too long."""
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
            entries = self._entries(connection, view, whole=False)  # empty if only admission levels changed
            for first in range(0, len(entries), MAX_ENTRIES_PER_GROUP):
                batches.append(codec.WeightsOf(group, entries[first : first + MAX_ENTRIES_PER_GROUP]))
        return batches

    @staticmethod
    def _frame(connection: Connection, batches: list[codec.WeightsOf]) -> bytes:
        return codec.encode(message_id(connection), codec.SendWeights(tuple(batches)))

    def _entries(self, connection: Connection, view: SaspProxyView, whole: bool) -> tuple[codec.Weight, ...]:
        """Return the entries that bring the group up to date, and mark them as sent."""
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
        return tuple(self._entry(now, task, sasp_weight) for task, sasp_weight in advised.sasp_weights.items())

    def _entry(self, now: int, task: int, sasp_weight: int) -> codec.Weight:
        member = self.member_requests.by_task[task]
        flags = WeightFlags.CONTACT * self.engine.is_running(task)
        flags |= WeightFlags.QUIESCE * self.engine.is_closed(task)
        flags |= WeightFlags.CONFIDENT * self.engine.is_confident(now, task)
        by_balancer = self.member_requests.registered_by_balancer.get(member.key, False)
        flags |= WeightFlags.REGISTERED_BY_BALANCER * by_balancer
        return codec.Weight(member, sasp_weight, int(flags))
