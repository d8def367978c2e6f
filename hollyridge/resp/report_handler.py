"""Conversion of reports from collectors and proxies to events of the engine. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from hollyridge import interface as api
from hollyridge.core.engine import Engine
from hollyridge.resp.connection import Connection
from hollyridge.resp.messages import AckMessage, MalformedMessageError, OfferedLoadSample, TrafficSample


class ReportHandler:
    """Handler that checks whether a sender may make a report, and submits the report to the engine.

    Args:
        engine: Engine that receives the events.
        connections_by_proxy: Connections of joined proxies by index; read only.
        counts: Counters of the server, of which this class increments `stray_receipts`.
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
            Whether the report was handled. Reports of a proxy that has left are ignored.

        Raises:
            MalformedMessageError: The sender may not make this report, or it names a task that was never listed.
        """
        if type(message) is TrafficSample:
            self._submit_traffic(now_us, connection, message)
            return True
        proxy = self.engine.proxy_indices.index.get(message.node)
        if connection.proxy >= 0 and connection.node != message.node:
            raise MalformedMessageError("node is not the proxy that joined on this connection")
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
            raise MalformedMessageError("only a collector may send this message")
        # A task that was removed recently still has an index, since its last attempts are reported after the removal.
        task = self.engine.task_indices.lookup(message.endpoint)
        if task is None:
            raise MalformedMessageError("endpoint names a task that was never listed")
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
            raise MalformedMessageError("only a proxy may send this message")
        if message.mark not in connection.unacknowledged_marks:
            # The mark is from an earlier connection, perhaps to an earlier process whose marks had the same numbers.
            self.counts["stray_receipts"] += 1
            return
        del connection.unacknowledged_marks[message.mark]
        self.engine.acknowledge(now_us, proxy, message.mark, message.apply_time_us)
