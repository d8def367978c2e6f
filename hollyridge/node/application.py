"""A whole assigner of the platform from its terms: machine, loop, front, roster. Wiring only."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from random import Random

import gevent

from hollyridge.core.engine import Engine, EngineLimits, spread
from hollyridge.core.event_loop import EventLoop, monotonic_us
from hollyridge.discovery.endpoint_list import EndpointListReceived, EndpointListTracker
from hollyridge.discovery.schema import MAX_ENDPOINTS
from hollyridge.discovery.watch_client import WatchClient, WatchConfig
from hollyridge.discovery.watch_state import WatchState
from hollyridge.node.config import ConfigError, NodeConfig
from hollyridge.resp.server import RespConfig, RespServer

KEPT = 24  # descriptors for what is not a connection of the front: logs, the hub, discovery, the listener
EVENTS_MOST = 20_000  # waiting for the module, past which reports give way
BEAT = 2_000_000  # us: discovery writes an empty line as often as that
PATIENCE = 2_000_000  # us to join: a second is the peer's by right, a close is due within three
STATUS_S = 5.0
REREADS = (0.1, 0.2, 0.4, 0.8)  # s between readings of a configuration that may be half replaced


class Application:
    """`read` reads the configuration again. `start` listens (OSError if the address is taken), `run` blocks until
    `stop` and raises what the machine raises when it gives up."""

    def __init__(self, terms: NodeConfig, log, read: Callable[[], NodeConfig], clock: Callable = monotonic_us) -> None:
        self.terms, self.log, self.read = terms, log, read
        self.reloads = 0
        config = terms.config
        limits = EngineLimits(
            config.lines_per_s,
            config.message_overhead_lines,
            config.max_waiting_lines,
            MAX_ENDPOINTS,
            terms.names.proxies,
            0,
            0,
            0.0,
            0,
            EVENTS_MOST,
        )
        now = clock()
        listing = EndpointListTracker(
            lambda name: self.engine.task_indices.allocate(self.engine.ran_at, name), now - time.time_ns() // 1000
        )
        self.engine = Engine(config, terms.seed, limits, listing, now, log, log_decisions=False)
        self.loop = EventLoop(self.engine, clock, terms.round_s)
        self.engine.update_endpoints(now, EndpointListReceived(terms.known, stale=True))
        zones = {name: z for z, name in enumerate(terms.names.zones)}
        self.watch = WatchClient(
            self.loop, listing, WatchState(BEAT, Random(terms.seed ^ 1)), WatchConfig(terms.discovery, zones), log
        )
        descriptors = min(terms.limits.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.front = RespServer(
            self.loop, RespConfig(*terms.listen, descriptors, KEPT, PATIENCE, terms.names), config, log
        )
        self.engine.task_in_use = self.front.holds

    def start(self) -> int:
        port = self.front.start()
        gevent.spawn(self.watch.run)
        gevent.spawn(self.tell)
        return port

    def run(self) -> None:
        self.loop.run()

    def stop(self) -> None:
        self.loop.stop()

    def reload(self) -> None:
        """Take a replaced configuration: the address of discovery at once; what needs a restart is named in the log.
        A faulty one changes nothing; it is read again a few times, for it may have been half replaced."""
        self.reloads += 1
        number, faults = self.reloads, ""
        for pause in (*REREADS, 0):
            try:
                terms = self.read()
                break
            except ConfigError as trouble:
                if str(trouble) != faults:
                    faults = str(trouble)
                    self.log.error("configuration not taken", faults=faults.splitlines())
            gevent.sleep(pause)
            if number != self.reloads:  # a newer call reads it, and may have by now
                return
        else:
            return
        held = self.terms
        waits = [name for name in ("name", "listen", "limits", "values") if getattr(terms, name) != getattr(held, name)]
        if terms.discovery != held.discovery:
            self.watch.change_address(terms.discovery)
        self.terms = held._replace(discovery=terms.discovery)
        self.log.info(
            "configuration read again", discovery=f"{terms.discovery[0]}:{terms.discovery[1]}", need_a_restart=waits
        )

    def tell(self) -> None:
        while True:
            gevent.sleep(STATUS_S)
            self.log.info("status", **self.status())

    def status(self) -> dict:
        return {
            "core": self.engine.status(),
            "front": self.front.status(),
            "discovery": self.watch.status(),
            "turn_us": list(spread(self.loop.run_durations).values()),
            "cpu_s": round(time.process_time(), 2),
            "rss_mb": resident_mb(),
        }


def resident_mb() -> float:
    """Megabytes resident, from the system; 0 where it does not tell."""
    try:
        with open("/proc/self/statm") as file:
            return round(int(file.read().split()[1]) * 4096 / 1e6, 1)
    except (OSError, ValueError, IndexError):
        return 0.0
