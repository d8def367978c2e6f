"""Simulated SASP connections: frames arrive in order after a delay, acknowledgements one round trip later."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from hollyridge.lab.stand_ins.simulation import US_PER_S, AssignerProcess
from hollyridge.lab.stand_ins.world import VirtualWorld
from hollyridge.sasp.server import Connection

TO_SERVER, TO_CLIENT = 0, 1  # directions


class WakeUp:
    """Replacement of the event that a connection's writer waits for; `set` calls the writer instead."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.set = call

    def clear(self) -> None:
        """Do nothing, because no greenlet waits for the event."""


class SimulatedStream:
    """Both ends of a connection between a client and an assigner.

    The server uses it as the socket of its `Connection`, therefore it has the methods `shutdown` and `close` of a
    socket.

    Attributes:
        connection: Connection object of the server.
        writer_due: Whether the server's writer is scheduled.
        consumed_bytes: Number of bytes that the client has read and acknowledged.
        last_arrival_us: Time at which the last frame arrives, by direction, so that no frame overtakes another.
    """

    def __init__(self, process: AssignerProcess, host: str, on_frame: Callable[[bytes | None], None]) -> None:
        """Connect.

        Args:
            process: Process of the assigner, whose service must be up.
            host: Address of the client.
            on_frame: Function that is called with each frame for the client, and with None at the end.
        """
        self.process = process
        self.simulation = process.simulation
        self.host = host
        self.on_frame = on_frame
        self.open = True
        self.server = process.service.sasp_server
        self.server.number += 1
        self.connection = Connection(self.server.number, self, (host, 0), self.server.limiter.reply_bucket())
        self.connection.due = WakeUp(self.wake_writer)
        self.server.streams[self.connection.number] = self.connection
        self.writer_due = False
        self.consumed_bytes = 0
        self.last_arrival_us = [0, 0]

    def shutdown(self, _how: int) -> None:
        """Schedule the end of the connection on behalf of the server."""
        self.simulation.world.spawn(self.close)

    def close(self) -> None:
        """Close the connection."""
        if not self.open:
            return
        self.open = False
        self.connection.close_reason = self.connection.close_reason or "closed"
        if self.process.service is not None and self.server is self.process.service.sasp_server:
            self.server.end(self.connection)
        self.simulation.world.spawn(self.on_frame, None)

    def _deliver(self, direction: int, call: Callable, *arguments: object) -> None:
        """Run `call` at the other end after the network's delay."""
        world, simulation = self.simulation.world, self.simulation
        arrival = world.now() + round(simulation.delay_s(simulation.net.orders_ms) * US_PER_S)
        self.last_arrival_us[direction] = max(self.last_arrival_us[direction] + 1, arrival)
        world.call_at(self.last_arrival_us[direction], world.start_greenlet, call, arguments)

    def send_to_server(self, frame: bytes) -> None:
        """Send a frame from the client."""
        self._deliver(TO_SERVER, self._on_server_received, frame)

    def _on_server_received(self, frame: bytes) -> None:
        if self.process.defer_if_stalled(self._on_server_received, frame):
            return
        if self.open:
            self.server.handle_message(self.connection, frame)
            self.wake_writer()

    def wake_writer(self) -> None:
        """Schedule the server's writer, unless it is scheduled already."""
        if not self.writer_due:
            self.writer_due = True
            self.simulation.world.spawn(self._write_due)

    def _write_due(self) -> None:
        if self.process.defer_if_stalled(self._write_due):
            return
        self.writer_due = False
        if not self.open or self.connection.close_reason:
            return
        while self.connection.replies:
            self._send_to_client(self.connection.replies.popleft(), [])
        if self.connection.push and self.connection.proxy >= 0:
            self._push_update()

    def _push_update(self) -> None:
        marks, self.connection.pending = self.connection.pending, []
        frames = self.server.compose(self.connection)
        if not frames:
            self._on_acknowledged(0, marks)
            return
        for frame in frames[:-1]:
            self._send_to_client(frame, [])
        self._send_to_client(frames[-1], marks)

    def _send_to_client(self, frame: bytes, marks: list) -> None:
        self.connection.sent += len(frame)
        self.server.counts["frames_out"] += 1
        self._deliver(TO_CLIENT, self._on_client_received, frame, marks)

    def _on_client_received(self, frame: bytes, marks: list) -> None:
        if self.open:
            self.on_frame(frame)
            self._deliver(TO_SERVER, self._on_acknowledged, len(frame), marks)

    def _on_acknowledged(self, size_bytes: int, marks: list) -> None:
        """Acknowledge the marks (see `PendingMark`) of a frame that the client has read."""
        if not self.open or self.process.defer_if_stalled(self._on_acknowledged, size_bytes, marks):
            return
        self.consumed_bytes += size_bytes
        now = self.simulation.world.now()
        for mark, decided_at_us in marks:
            self.server.engine.acknowledge(now, self.connection.proxy, mark, now - decided_at_us)
        if marks:
            self.server.loop.wake()


class FrameQueue:
    """Queue of frames between a simulated stream and the greenlet that reads them."""

    def __init__(self, world: VirtualWorld) -> None:
        self.world = world
        self.frames: deque[bytes | None] = deque()
        self.available = world.result()

    def put(self, frame: bytes | None) -> None:
        """Add a frame, or None for the end of the stream."""
        self.frames.append(frame)
        self.available.set()

    def get(self, timeout_s: float | None = None) -> bytes | None:
        """Wait for the next frame and return it, or None at the end of the stream.

        Raises:
            TimeoutError: No frame arrived in time.
        """
        while not self.frames:
            self.available = self.world.result()
            self.available.get(timeout=timeout_s)
        return self.frames.popleft()
