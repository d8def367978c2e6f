"""HTTP/1.1 client that watches discovery: connects as `watch_state` decides, and passes events to the engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import gevent
import h11
from gevent import socket
from gevent.event import Event

from hollyridge.core.event_loop import EventLoop
from hollyridge.core.input_turns import PAUSE_S
from hollyridge.discovery.endpoint_list import EndpointListReceived, EndpointListTracker, WatchFailed
from hollyridge.discovery.schema import EndpointListError, read
from hollyridge.discovery.watch_state import WatchAction, WatchInput, WatchState
from hollyridge.errors import HollyridgeError
from hollyridge.limits.log_sampling import should_log

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

MAX_LINE_BYTES = 8 << 20  # bounds the memory of a line without an end
MAX_HEAD_BYTES = 16384  # status line and header of the response
RECEIVE_BYTES = 65536  # bytes per read from the socket
MIN_WAIT_S = 0.005  # interval between two ticks of the state machine, however close its deadline
HTTP_OK = 200
US_PER_S = 1e6


class DiscoveryCallError(HollyridgeError):
    """A watch could not be opened or has ended; the text of the error gives the reason."""


class WatchConfig(NamedTuple):
    """IP address and port of discovery, and the zone indices by name."""

    address: tuple[str, int]
    zones: dict[str, int]


class WatchClient:
    """Client that keeps an endpoint list up to date through a watch of discovery.

    Args:
        loop: Event loop, whose engine receives the events and whose clock is used.
        endpoint_list: Endpoint source of the engine, read for the version from which a watch continues.
        state: State machine that decides when to connect and when a connection is lost.
        config: Address of discovery and the zones.
        log: A structlog logger.
    """

    def __init__(
        self,
        loop: EventLoop,
        endpoint_list: EndpointListTracker,
        state: WatchState,
        config: WatchConfig,
        log: FilteringBoundLogger,
    ) -> None:
        self.loop = loop
        self.engine = loop.engine
        self.clock = loop.clock
        self.endpoint_list = endpoint_list
        self.state = state
        self.address = config.address
        self.zones = config.zones
        self.log = log
        self.state_changed = Event()
        self.connection: gevent.Greenlet | None = None  # runs `run_connection`
        self.close_reason = ""
        self.counts = dict.fromkeys(("calls", "lists", "beats", "bad_lines", "ended"), 0)

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to another address of discovery at once, continuing from the current version."""
        self.address = address
        if self.state.handle(self.clock(), WatchInput.ADDRESS_CHANGED) is WatchAction.DISCONNECT:
            self.disconnect("the address of discovery has changed")
        self.state_changed.set()

    def disconnect(self, reason: str) -> None:
        """Close the connection, if any, and report its end."""
        connection = self.connection
        if connection is not None:
            self.close_reason = reason
            connection.kill()
            # A greenlet that is killed before it first runs does not report its own end.
            self.on_connection_closed(connection)

    def run(self) -> None:
        """Keep a watch open; runs until it is killed."""
        while True:
            self.state_changed.clear()
            action = self.state.handle(self.clock(), WatchInput.TICK)
            if action is WatchAction.CONNECT:
                self.state.handle(self.clock(), WatchInput.CONNECT_STARTED)
                self.counts["calls"] += 1
                self.connection = gevent.spawn(self.run_connection)
            elif action is WatchAction.DISCONNECT:
                self.disconnect("discovery sent no event or heartbeat in time")
            self.state_changed.wait(max(MIN_WAIT_S, (self.state.next_at_us - self.clock()) / US_PER_S))

    def run_connection(self) -> None:
        """Open one connection and receive events until it ends."""
        sock = None
        self.close_reason = ""
        try:
            sock = socket.create_connection(self.address, timeout=self.state.connect_timeout_us / US_PER_S)
            sock.settimeout(None)
            self.receive_events(sock)
        except (OSError, DiscoveryCallError, EndpointListError, h11.ProtocolError) as error:
            self.close_reason = f"{type(error).__name__}: {error}"
        finally:
            if sock is not None:
                sock.close()
            self.on_connection_closed(gevent.getcurrent())

    def on_connection_closed(self, connection: gevent.Greenlet) -> None:
        """Report the end of a connection, unless it was reported before: a newer connection may already be open."""
        if self.connection is not connection:
            return
        now_us = self.clock()
        self.connection = None
        self.counts["ended"] += 1
        self.state.handle(now_us, WatchInput.CONNECTION_CLOSED)
        if should_log(self.state.failures):
            self.log.warning(
                "discovery_watch_ended",
                address=f"{self.address[0]}:{self.address[1]}",
                reason=self.close_reason,
                version=self.endpoint_list.version,
                failures=self.state.failures,
            )
        self.engine.update_endpoints(now_us, WatchFailed())
        self.loop.wake()
        self.state_changed.set()

    def receive_events(self, sock: socket.socket) -> None:
        """Request a watch and pass its events to the engine; raise an exception when it ends."""
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        sock.sendall(http.send(self.watch_request()) + http.send(h11.EndOfMessage()))
        line = bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = sock.recv(RECEIVE_BYTES)
                self.state.handle(self.clock(), WatchInput.DATA_RECEIVED)
                http.receive_data(data)
                if len(data) == RECEIVE_BYTES:  # a long list must not block the other greenlets
                    gevent.sleep(PAUSE_S)
            else:
                self.handle_http_event(event, line)

    def watch_request(self) -> h11.Request:
        """Return the request for a watch that starts at the current version."""
        host, port = self.address
        version = self.endpoint_list.version
        since = f"&index={version}" if version >= 0 else ""
        return h11.Request(
            method="GET",
            target=f"/v1/servers?stream=1{since}",
            headers=[("Host", f"{host}:{port}"), ("Accept", "application/json")],
        )

    def handle_http_event(self, event: object, line: bytearray) -> None:
        """Handle a part of the response; `line` holds the unfinished line and is updated."""
        if type(event) is h11.Response:
            if event.status_code != HTTP_OK:
                raise DiscoveryCallError(f"discovery responded with status {event.status_code}, expected {HTTP_OK}")
        elif type(event) is h11.Data:
            line += event.data
            self.handle_complete_lines(line)
            if len(line) > MAX_LINE_BYTES:
                raise DiscoveryCallError(f"a line of the response is longer than {MAX_LINE_BYTES} bytes")
        elif type(event) is h11.EndOfMessage:
            if line.strip():
                self.handle_line(bytes(line).strip())
            raise DiscoveryCallError("discovery ended the watch")
        elif type(event) is not h11.InformationalResponse:
            raise DiscoveryCallError("discovery closed the connection")

    def handle_complete_lines(self, line: bytearray) -> None:
        """Handle each complete line and remove it from `line`."""
        while (end := line.find(b"\n")) >= 0:
            self.handle_line(bytes(line[:end]).strip())
            del line[: end + 1]

    def handle_line(self, line: bytes) -> None:
        """Pass one event to the engine; an empty line is a heartbeat."""
        now_us = self.clock()
        if not line:
            self.counts["beats"] += 1
            if self.state.watching:  # until the first list has arrived, heartbeats must not keep the watch open
                self.state.handle(now_us, WatchInput.EVENT_RECEIVED)
            return
        try:
            event = read(line, self.zones)
        except EndpointListError:
            self.counts["bad_lines"] += 1
            raise
        self.state.handle(now_us, WatchInput.EVENT_RECEIVED)
        self.counts["lists"] += 1
        self.engine.update_endpoints(now_us, EndpointListReceived(event))
        self.loop.wake()

    def status(self) -> dict[str, int | bool]:
        """Return counters by their keys on the status page."""
        return {**self.counts, "watching": self.state.watching}
