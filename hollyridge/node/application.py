"""Wiring of an assigner of the platform: engine, event loop, protocol server and discovery."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import gevent

from hollyridge.core.engine import Engine, EngineLimits, percentiles
from hollyridge.core.event_loop import EventLoop, monotonic_us
from hollyridge.discovery.endpoint_list import EndpointListReceived, EndpointListTracker
from hollyridge.discovery.schema import MAX_ENDPOINTS
from hollyridge.discovery.timing import HEARTBEAT_INTERVAL_US, max_retry_delay_us
from hollyridge.discovery.watch_client import WatchClient, WatchConfig
from hollyridge.discovery.watch_state import WatchState
from hollyridge.node.config import NodeConfig
from hollyridge.node.config_reload import ConfigReloader
from hollyridge.resp.codec import MAX_MESSAGE_BYTES
from hollyridge.resp.config import RespConfig
from hollyridge.resp.server import RespServer

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

RESERVED_DESCRIPTORS = 24  # for other uses than connections of proxies and collectors: log, gevent, discovery, listener
MAX_PENDING_EVENTS = 20_000  # events queued for the decision module; further reports are dropped
JOIN_TIMEOUT_US = 2_000_000  # the platform allows 1 s for joining and wants others closed within 3 s
MAX_BUFFERED_SHARE = 1 / 16  # part of the memory limit for unfinished messages, which take twice that while decoded
STATUS_PERIOD_S = 5.0
WATCH_SEED_MASK = 1  # gives the watch a separate random sequence, so that its backoff is independent of the decisions
PAGE_BYTES = 4096
BYTES_PER_MB = 1e6
NS_PER_US = 1000


class Application:
    """Assigner with all its components.

    Args:
        config: Configuration of the node process.
        log: A structlog logger.
        read_config: Function that reads the configuration again; raises ConfigError if it is invalid.
        clock: Monotonic clock in microseconds.
    """

    def __init__(
        self,
        config: NodeConfig,
        log: FilteringBoundLogger,
        read_config: Callable[[], NodeConfig],
        clock: Callable[[], int] = monotonic_us,
    ) -> None:
        self.log = log
        now_us = clock()
        endpoint_list = EndpointListTracker(self._allocate_index, now_us - time.time_ns() // NS_PER_US)
        self.engine = Engine(
            config.assigner_config,
            config.seed,
            _engine_limits(config),
            endpoint_list,
            now_us,
            log,
            log_decisions=False,
        )
        self.loop = EventLoop(self.engine, clock, config.min_decision_interval_s)
        self.engine.update_endpoints(now_us, EndpointListReceived(config.cached_list, stale=True))
        self.watch = self._make_watch(config, endpoint_list)
        self.server = RespServer(self.loop, _server_config(config), config.assigner_config, log)
        self.engine.task_in_use = self.server.is_task_sent
        self.reloader = ConfigReloader(config, read_config, self.watch.change_address, log)

    def start(self) -> int:
        """Start to listen and to watch the endpoint list; return the port.

        Raises:
            OSError: The address cannot be listened on.
        """
        port = self.server.start()
        gevent.spawn(self.watch.run)
        gevent.spawn(self._log_status)
        return port

    def run(self) -> None:
        """Run the assigner until `stop` is called.

        Raises:
            DecisionModuleError: The decision module has failed too often.
        """
        self.loop.run()

    def stop(self) -> None:
        """Make `run` return."""
        self.loop.stop()

    def reload(self) -> None:
        """Apply a changed configuration as far as that is possible without a restart."""
        self.reloader.reload()

    def status(self) -> dict:
        """Return the counters and states of all components, as they are logged."""
        return {
            "core": self.engine.status(),
            "front": self.server.status(),
            "discovery": self.watch.status(),
            "turn_us": list(percentiles(self.loop.run_durations).values()),
            "cpu_s": round(time.process_time(), 2),
            "rss_mb": resident_mb(),
        }

    def _allocate_index(self, name: str) -> int | None:
        return self.engine.task_indices.allocate(self.engine.ran_at_us, name)

    def _make_watch(self, config: NodeConfig, endpoint_list: EndpointListTracker) -> WatchClient:
        zones = {name: zone for zone, name in enumerate(config.protocol_names.zones)}
        rules = config.assigner_config
        state = WatchState(
            HEARTBEAT_INTERVAL_US,
            Random(config.seed ^ WATCH_SEED_MASK),
            max_retry_delay_us(rules.drain_grace_us, rules.max_transit_us),
        )
        return WatchClient(self.loop, endpoint_list, state, WatchConfig(config.discovery, zones), self.log)

    def _log_status(self) -> None:
        """Log the status periodically; runs until the process ends."""
        while True:
            gevent.sleep(STATUS_PERIOD_S)
            self.log.info("status_reported", **self.status())


def _engine_limits(config: NodeConfig) -> EngineLimits:
    assigner_config = config.assigner_config
    return EngineLimits(
        lines_per_s=assigner_config.lines_per_s,
        message_overhead_lines=assigner_config.message_overhead_lines,
        max_waiting_lines=assigner_config.max_waiting_lines,
        max_tasks=MAX_ENDPOINTS,
        max_proxies=config.protocol_names.proxy_count,
        # The platform has no load reports in the form of metric series.
        max_series=0,
        max_series_per_source=0,
        max_rate_per_s=0.0,
        max_reports_per_period=0,
        max_pending_events=MAX_PENDING_EVENTS,
    )


def _server_config(config: NodeConfig) -> RespConfig:
    host, port = config.listen
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return RespConfig(
        host=host,
        port=port,
        max_descriptors=min(config.limits.sockets, soft_limit),
        reserved_descriptors=RESERVED_DESCRIPTORS,
        max_buffered_bytes=max(MAX_MESSAGE_BYTES, round(config.limits.memory_mb * BYTES_PER_MB * MAX_BUFFERED_SHARE)),
        join_timeout_us=JOIN_TIMEOUT_US,
        names=config.protocol_names,
    )


def resident_mb() -> float:
    """Return the resident set size of this process in megabytes; 0 if the system does not provide it."""
    try:
        resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return round(resident_pages * PAGE_BYTES / BYTES_PER_MB, 1)
