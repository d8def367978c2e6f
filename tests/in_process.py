"""Parts of the platform's assigner in this process, on loopback: protocol server, watch client, scripted discovery."""

import json
import socket
import time
from random import Random

import gevent
import structlog
from gevent import socket as green
from gevent.server import StreamServer
from helpers import SECOND, START, assigner_config
from stand_ins import list_page, server

from hollyridge.core.engine import Engine, EngineLimits
from hollyridge.core.event_loop import EventLoop
from hollyridge.decisions.assigner import Assigner
from hollyridge.discovery.endpoint_list import EndpointListReceived, EndpointListTracker
from hollyridge.discovery.schema import ListedEndpoint, WatchEvent
from hollyridge.discovery.watch_client import WatchClient, WatchConfig
from hollyridge.discovery.watch_state import WatchState
from hollyridge.registration.index_allocator import IndexAllocator
from hollyridge.resp import messages
from hollyridge.resp.codec import encode
from hollyridge.resp.config import RespConfig
from hollyridge.resp.server import RespServer

NAMES = messages.ProtocolNames(("khalda", "sahab"), ("read-chapter", "redeem-code"), 150)
ZONES = {"khalda": 0, "sahab": 1}


class EndpointListRig:
    """An endpoint list tracker with an index allocator that releases the indices of removed endpoints."""

    def __init__(self):
        self.indices = IndexAllocator(SECOND, 100)
        self.tracker = EndpointListTracker(
            lambda name: self.indices.allocate(START, name), monotonic_offset_us=START - 50_000 * SECOND
        )

    def apply(self, event, now=START):
        outcome = self.tracker.handle(now, event)
        for name in outcome.removed_keys:
            self.indices.release(now, name)
        return outcome.change


class ServerRig:
    """A protocol server on loopback with its own engine and clock, in this process.

    Attributes:
        now: The clock, in microseconds.
    """

    def __init__(self, tasks=6, descriptors=400, make_module=Assigner, **overrides):
        config, self.now = assigner_config(**overrides), START
        tracker = EndpointListTracker(lambda name: self.engine.task_indices.allocate(self.now, name), 0)
        limits = EngineLimits(
            config.lines_per_s, config.message_overhead_lines, config.max_waiting_lines, 1000, 150, 0, 0, 0.0, 0, 1000
        )
        self.engine = Engine(config, 7, limits, tracker, START, structlog.get_logger(), make_module)
        self.send_list(1, [f"s-{k}" for k in range(tasks)])
        self.loop = EventLoop(self.engine, clock=lambda: self.now)
        self.server = RespServer(
            self.loop,
            RespConfig("127.0.0.1", 0, descriptors, 24, 12_000_000, 2 * SECOND, NAMES),
            config,
            structlog.get_logger(),
        )
        self.engine.task_in_use = self.server.is_task_sent
        self.port = self.server.start()

    def send_list(self, version, names):
        entries = tuple(ListedEndpoint(name, k % 2, 0, 1, 1.0, 0.0) for k, name in enumerate(names))
        self.engine.update_endpoints(self.now, EndpointListReceived(WatchEvent(version, True, entries), version == 1))

    def proxy(self, node, buffer=0):
        sock = green.socket()
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.connect(("127.0.0.1", self.port))
        joins = self.engine.counts["joins"]
        sock.sendall(encode([b"attach", b"node", b"%d" % node, b"locality", b"khalda", b"w", b"5", b"cold", b"1"]))
        self.wait_until(lambda: self.engine.counts["joins"] > joins)
        return sock

    def events(self, kind):
        """Return the events of a type that wait for a decision."""
        return [event for _, event in self.engine.pending_events if type(event) is kind]

    def advance(self, seconds=0.0):
        """Advance the clock by this time and run the engine whenever it is due."""
        end = self.now + round(seconds * SECOND)
        due = self.engine.run(self.now)
        while due < end:
            self.now = max(self.now + 1, due)
            due = self.engine.run(self.now)
        self.now = end

    @staticmethod
    def wait_until(condition):
        """Wait until the condition holds, for up to five seconds."""
        with gevent.Timeout(5):
            while not condition():
                gevent.sleep(0.002)


class RecordingEngine:
    """Stand-in for the engine that records the events it receives."""

    def __init__(self):
        self.received = []

    def update_endpoints(self, now, event):
        self.received.append(event)


class ScriptedDiscovery:
    """A discovery server that sends a scripted response on each connection and then closes it.

    A response is either bytes, or a list of pieces that are sent with a pause after each; the piece "hang" sends
    nothing for 30 s.

    Attributes:
        responses: Responses that are still to be sent.
        requested_paths: Request targets received so far.
    """

    PIECE_INTERVAL_S = 0.02

    def __init__(self, *responses):
        self.responses, self.requested_paths = list(responses), []
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    def serve(self, sock, _):
        self.requested_paths.append(sock.recv(4096).split(b" ")[1])
        response = self.responses.pop(0) if self.responses else b""
        for piece in response if isinstance(response, list) else [response]:
            if piece == "hang":
                gevent.sleep(30)
            else:
                try:
                    sock.sendall(piece)
                except OSError:
                    return
                gevent.sleep(self.PIECE_INTERVAL_S if isinstance(response, list) else 0.05)


def make_watch_client(scripted_discovery, heartbeat_interval_us=200_000):
    """Return a watch client of a scripted discovery, not started yet, and the engine that records its events."""
    engine, endpoints = RecordingEngine(), EndpointListRig()

    class EventLoop:
        clock = staticmethod(lambda: int(time.monotonic() * SECOND))

        def wake(self):
            pass

    loop = EventLoop()
    loop.engine = engine
    watch = WatchClient(
        loop,
        endpoints.tracker,
        WatchState(heartbeat_interval_us, Random(3), max_retry_delay_us=3 * heartbeat_interval_us // 2),
        WatchConfig(("127.0.0.1", scripted_discovery.server.server_port), ZONES),
        structlog.get_logger(),
    )
    return watch, engine


def chunked(*lines):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(b"%x\r\n%b\n\r\n" % (len(row) + 1, row) for row in lines)


def list_line(version, *rows, full=True):
    return json.dumps(list_page(version, [server(*row) for row in rows], full)).encode()
