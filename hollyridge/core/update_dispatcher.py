"""Dispatch of commands to the proxies: they become updates, wait in the paced queue and are sent when due."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

from hollyridge.core.engine_limits import EngineLimits
from hollyridge.core.protocol_server import ProtocolServer
from hollyridge.delivery.paced_queue import PacedQueue
from hollyridge.delivery.update_builder import UpdateBatch, UpdateBuilder
from hollyridge.interface import Command
from hollyridge.store.table_versions import TableStore

TABLE_VERSIONS_KEPT = 64  # a proxy that lags by more versions gets the whole table, not the differences
MAX_LATENCY_US = 60_000_000  # upper end of the histogram of latencies
LATENCY_DIGITS = 3  # significant digits of that histogram


class UpdateDispatcher:
    """Builder, queue and sender of updates.

    Args:
        methods: Number of RPC methods.
        limits: Pace and bounds of the queue.
        counts: Counters of sent and withheld messages, updated in place.

    Attributes:
        update_builder: The builder of updates, which holds the commanded tables and the proxies that use each.
        queue: The updates that wait.
        refused_commands: Number of commands that could not be executed, by reason.
        latency: Histogram of the time from an event's submission to the sending of its update, in microseconds.
    """

    def __init__(self, methods: int, limits: EngineLimits, counts: dict[str, int]) -> None:
        self.methods = methods
        self.limits = limits
        self.counts = counts
        self.refused_commands: dict[str, int] = {}
        self.latency = HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)
        self.reset()

    def reset(self) -> None:
        """Drop all tables and empty the queue, as a new decision module expects."""
        limits = self.limits
        self.update_builder = UpdateBuilder(self.methods, TableStore(TABLE_VERSIONS_KEPT))
        self.queue = PacedQueue(limits.lines_per_s, limits.message_overhead_lines, limits.max_waiting_lines)

    def enqueue(
        self,
        now_us: int,
        oldest_us: int,
        decision: int,
        commands: list[Command],
        servers: Mapping[int, ProtocolServer],
    ) -> UpdateBatch:
        """Queue the updates that follow from the commands of a decision; return them and the refused commands.

        Args:
            now_us: The time, in microseconds.
            oldest_us: Time at which the oldest event that led to the decision was submitted.
            decision: Number of the decision.
            commands: Commands of the decision about tables.
            servers: The protocol server of each joined proxy.
        """
        capabilities = {proxy: server.capabilities for proxy, server in servers.items()}
        batch = self.update_builder.build(oldest_us, decision, commands, capabilities)
        for reason, count in batch.refused.items():
            self.refused_commands[reason] = self.refused_commands.get(reason, 0) + count
        for update in batch.updates:
            lines, full_lines = servers[update.proxy].count_lines(update.proxy, update)
            self.queue.put(now_us, update, lines, full_lines)
        return batch

    def send_due(
        self, now_us: int, servers: Mapping[int, ProtocolServer], may_send: Callable[[int, int], bool]
    ) -> None:
        """Send the updates that are due. Drop and count those that `may_send` forbids."""
        while (update := self.queue.take_due(now_us)) is not None:
            server = servers.get(update.proxy)
            if server is None:
                continue
            if not may_send(now_us, update.proxy):
                self.counts["withheld"] += 1
                continue
            server.write(update.proxy, update)
            self.counts["messages"] += 1
            self.latency.record_value(min(max(now_us - update.decided_at_us, 1), MAX_LATENCY_US))
