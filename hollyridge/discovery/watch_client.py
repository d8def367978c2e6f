"""The socket side of discovery: one watch over HTTP/1.1, dialled and dropped as `caller.py` says."""

from __future__ import annotations

import gevent
import h11
from gevent import socket
from gevent.event import Event

from hollyridge.core.event_loop import EventLoop
from hollyridge.discovery.endpoint_list import EndpointListReceived, EndpointListTracker, WatchFailed
from hollyridge.discovery.schema import EndpointListError, read
from hollyridge.discovery.watch_state import CONNECT, WatchAction, WatchInput, WatchState
from hollyridge.limits.log_sampling import should_log

LINE_MOST = 8 << 20  # bytes of one line of a watch
HEAD_MOST = 16384
CHUNK = 65536


class DiscoveryCallError(Exception):
    """A call that came to nothing; the text says why."""


class WatchClient:
    """Keeps `listing` (the machine's source) up to date from `host:port`. `zones`: indices by name."""

    def __init__(
        self,
        loop: EventLoop,
        listing: EndpointListTracker,
        caller: WatchState,
        address: tuple[str, int],
        zones: dict[str, int],
        log,
    ) -> None:
        self.loop, self.engine, self.clock = loop, loop.engine, loop.clock
        self.listing, self.caller, self.address, self.zones, self.log = listing, caller, address, zones, log
        self.stirred = Event()
        self.call: gevent.Greenlet | None = None
        self.why = ""
        self.counts = dict.fromkeys(("calls", "lists", "beats", "bad_lines", "ended"), 0)

    def moved(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere: it is asked there at once, from the version that is held."""
        self.address = address
        if self.caller.take(self.clock(), WatchInput.MOVED) is WatchAction.DROP:
            self.drop("discovery has moved")
        self.stirred.set()

    def drop(self, why: str) -> None:
        call = self.call
        if call is not None:
            self.why = why
            call.kill()  # its end is told by itself, unless it had not begun
            self.ended(call)

    def run(self) -> None:
        """Blocks for good."""
        while True:
            self.stirred.clear()
            action = self.caller.take(self.clock(), WatchInput.TICK)
            if action is WatchAction.DIAL:
                self.caller.take(self.clock(), WatchInput.DIALLED)
                self.counts["calls"] += 1
                self.call = gevent.spawn(self.speak)
            elif action is WatchAction.DROP:
                self.drop("no word in time")
            self.stirred.wait(max(0.005, (self.caller.next_at - self.clock()) / 1e6))

    def speak(self) -> None:
        """One call, from dialling to its end."""
        sock, self.why = None, ""
        try:
            sock = socket.create_connection(self.address, timeout=CONNECT * self.caller.beat / 1e6)
            sock.settimeout(None)
            self.ask(sock)
        except (OSError, DiscoveryCallError, EndpointListError, h11.ProtocolError) as trouble:
            self.why = f"{type(trouble).__name__}: {trouble}"
        finally:
            if sock is not None:
                sock.close()
            self.ended(gevent.getcurrent())

    def ended(self, call: gevent.Greenlet) -> None:
        """Once a call: another may have been dialled since."""
        if self.call is not call:
            return
        now, self.call = self.clock(), None
        self.counts["ended"] += 1
        self.caller.take(now, WatchInput.ENDED)
        if should_log(self.caller.failures):
            self.log.warning(
                "discovery call ended",
                address=f"{self.address[0]}:{self.address[1]}",
                why=self.why,
                version=self.listing.version,
                failures=self.caller.failures,
            )
        self.engine.update_endpoints(now, WatchFailed())
        self.loop.wake()
        self.stirred.set()

    def ask(self, sock) -> None:
        host, port = self.address
        speaker = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_MOST)
        known = f"&index={self.listing.version}" if self.listing.version >= 0 else ""
        request = h11.Request(
            method="GET",
            target=f"/v1/servers?stream=1{known}",
            headers=[("Host", f"{host}:{port}"), ("Accept", "application/json")],
        )
        sock.sendall(speaker.send(request) + speaker.send(h11.EndOfMessage()))
        line = bytearray()
        while True:
            event = speaker.next_event()
            if event is h11.NEED_DATA:
                chunk = sock.recv(CHUNK)
                self.caller.take(self.clock(), WatchInput.HEARD)
                speaker.receive_data(chunk)
                gevent.sleep(0)
            elif type(event) is h11.Response:
                if event.status_code != 200:
                    raise DiscoveryCallError(f"answered {event.status_code}")
            elif type(event) is h11.Data:
                line += event.data
                while (stop := line.find(b"\n")) >= 0:
                    self.hear(bytes(line[:stop]).strip())
                    del line[: stop + 1]
                if len(line) > LINE_MOST:
                    raise DiscoveryCallError("a line without end")
            elif type(event) is h11.EndOfMessage:
                if line.strip():
                    self.hear(bytes(line).strip())
                raise DiscoveryCallError("the watch was ended")
            elif type(event) is not h11.InformationalResponse:
                raise DiscoveryCallError("the connection was closed")

    def hear(self, line: bytes) -> None:
        now = self.clock()
        if not line:
            self.counts["beats"] += 1
            if self.caller.stands:  # before the first list it says only that somebody is there
                self.caller.take(now, WatchInput.LIST)
            return
        try:
            news = read(line, self.zones)
        except EndpointListError:
            self.counts["bad_lines"] += 1
            raise
        self.caller.take(now, WatchInput.LIST)
        self.counts["lists"] += 1
        self.engine.update_endpoints(now, EndpointListReceived(news))
        self.loop.wake()

    def status(self) -> dict:
        return {**self.counts, "watching": self.caller.stands}
