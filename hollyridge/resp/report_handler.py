"""Reports of collectors and proxies as events of the engine. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from hollyridge import interface as api
from hollyridge.core.engine import Engine
from hollyridge.resp.connection import Connection
from hollyridge.resp.messages import AckMessage, MalformedMessageError, OfferedLoadSample, TrafficSample


class ReportHandler:
    """Checks that a report is for its sender to make, and submits it.

    Args:
        engine: Takes the events.
        connections_by_proxy: The connections that proxies have joined on; read only.
        counts: Of the server; `stray_receipts` is counted here.
    """

    def __init__(self, engine: Engine, connections_by_proxy: Mapping[int, Connection], counts: dict[str, int]) -> None:
        self.engine = engine
        self.connections_by_proxy = connections_by_proxy
        self.counts = counts

    def handle(
        self, now_us: int, connection: Connection, message: TrafficSample | OfferedLoadSample | AckMessage
    ) -> bool:
        """Submit one report.

        Returns:
            Whether it was taken; one of a proxy that has left meanwhile is passed over.

        Raises:
            MalformedMessageError: The sender may not make it, or it names a task that was never listed.
        """
        if type(message) is TrafficSample:
            self._submit_traffic(now_us, connection, message)
            return True
        proxy = self.engine.proxy_indices.index.get(message.node)
        if connection.proxy >= 0 and connection.node != message.node:
            raise MalformedMessageError("speaks for another proxy")
        if proxy is None or proxy not in self.connections_by_proxy:
            return False
        if type(message) is OfferedLoadSample:
            event = api.OfferedLoad(message.rpcs, message.interval_us, proxy, message.method, message.unanswered)
            self.engine.submit(now_us, event)
        else:
            self._acknowledge(now_us, connection, proxy, message)
        return True

    def _submit_traffic(self, now_us: int, connection: Connection, message: TrafficSample) -> None:
        if connection.proxy >= 0:
            raise MalformedMessageError("not for a proxy to say")
        # A task that was removed a moment ago still has an index: its last attempts are reported after that.
        task = self.engine.task_indices.lookup(message.endpoint)
        if task is None:
            raise MalformedMessageError("names no task that was listed")
        event = api.TrafficReport(
            message.zone,
            task,
            message.attempts,
            message.failed,
            message.latency_us,
            message.interval_us,
            message.load,
        )
        self.engine.submit(now_us, event)

    def _acknowledge(self, now_us: int, connection: Connection, proxy: int, message: AckMessage) -> None:
        if connection.proxy < 0:
            raise MalformedMessageError("not for a collector to say")
        if message.mark not in connection.unacknowledged_marks:
            # Of an earlier connection, perhaps to an earlier process whose marks had the same numbers.
            self.counts["stray_receipts"] += 1
            return
        del connection.unacknowledged_marks[message.mark]
        self.engine.acknowledge(now_us, proxy, message.mark, message.apply_time_us)
