"""Gateways of the client libraries and the agent's registrar, on simulated connections."""

from __future__ import annotations

from hollyridge.client import ChpGateway
from hollyridge.client.sasp import HEARTBEATS_PER_LEASE, SaspGatewayBase
from hollyridge.lab.stand_ins.proxy import Proxy
from hollyridge.lab.stand_ins.simulation import AssignerProcess, Simulation
from hollyridge.lab.stand_ins.streams import FrameQueue, SimulatedStream
from hollyridge.sasp import codec, ownership_extension
from hollyridge.sasp.client import (
    ConnectionLostError,
    HeartbeatTimeoutError,
    HeldWeights,
    MemberRegistrar,
    RefusedError,
)
from hollyridge.sasp.codec import BalancerFlags, Group

BACKOFF_BASE_S = 0.1
MAX_BACKOFF_S = 1.5
MAX_BACKOFF_DOUBLINGS = 5
FIRST_ANSWER_TIMEOUT_S = 5.0  # timeout of the first answer if no lease shortens it
BALANCER_HEALTH = 0x7F  # maximum of SASP's SetLBState message
REGISTRATION_NUMBER = 3  # message number of the registration, the third message of a stream


class SeededBackoff:
    """Backoff between sessions, drawn from the proxy's own random generator."""

    def retry_delay_s(self, failed: int) -> float:
        """Return the seconds before the next attempt, after `failed` consecutive failures."""
        return self.rng.random() * min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2 ** min(failed, MAX_BACKOFF_DOUBLINGS))


class VirtualSaspGateway(SeededBackoff, SaspGatewayBase):
    """SASP gateway on a simulated connection to one of the assigners."""

    def __init__(self, simulation: Simulation, proxy: Proxy, **options: object) -> None:
        super().__init__(proxy.uid, proxy.names, **options)
        self.simulation = simulation
        self.proxy = proxy
        self.held = HeldWeights()
        self.stream: SimulatedStream | None = None
        self.addresses = [tuple(address) for address in simulation.addresses["sasp"]]
        self.assigner_count = len(simulation.processes)
        self.groups = {method.name: method.group for method in proxy.methods}

    def session(self) -> None:
        """Open a connection and serve it until it ends.

        Raises:
            ConnectionError: The assigner is down.
            RefusedError: The assigner refused the registration.
            HeartbeatTimeoutError: The assigner did not answer in time.
        """
        process = self.simulation.processes[self.assigner_index]
        if process.service is None:
            raise ConnectionError("nobody listens")
        frames = FrameQueue(self.simulation.world)
        request_number = self.begin_session()
        stream = self.stream = SimulatedStream(process, self.proxy.host, frames.put)
        heartbeat = codec.SetBalancer(self.uid, BALANCER_HEALTH, int(BalancerFlags.PUSH | BalancerFlags.NO_CHANGE))
        self._open(stream, heartbeat, request_number)
        _Session(self, stream, frames, heartbeat).run()

    def _open(self, stream: SimulatedStream, heartbeat: codec.Message, request_number: int) -> None:
        groups = tuple(codec.MembersOf(Group(self.uid, name), ()) for name in dict.fromkeys(self.groups.values()))
        self.send(stream, 1, heartbeat)
        self.send(stream, 2, ownership_extension.write_request(self.uid, request_number, self.insists))
        self.send(stream, REGISTRATION_NUMBER, codec.Register(True, groups))

    def send(self, stream: SimulatedStream, number: int, message: codec.Message) -> None:
        """Send a message and record it."""
        frame = codec.encode(number, message)
        self.proxy.record.frame("said", self.uid, self.proxy.stream, frame)
        stream.send_to_server(frame)

    def receive(self, frame: bytes) -> tuple[int, codec.Message]:
        """Record and decode a frame, and apply its weights if it has any.

        Returns:
            (number of the message that the frame answers, decoded message).

        Raises:
            RefusedError: The assigner refused the registration.
        """
        self.proxy.record.frame("heard", self.uid, self.proxy.stream, frame)
        reply_to, message = codec.decode(frame)
        if isinstance(message, codec.SendWeights):
            self.proxy.apply(sum(len(group.weights) for group in message.groups))
            self.handle_message(message)
        elif getattr(message, "code", 0) and reply_to == REGISTRATION_NUMBER:
            raise RefusedError(message.code)
        return reply_to, message

    def disconnect(self) -> None:
        """Close the connection, if there is one."""
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()


class _Session:
    """Session on one SASP connection: reads its frames and sends heartbeats.

    Attributes:
        last_number: Number of the last message sent.
        last_sent_s: Time of the last message sent, in seconds.
        answered: Whether the last message sent was answered.
        first_answer_timeout_s: Timeout of the first answer, in seconds.
    """

    def __init__(
        self, gateway: VirtualSaspGateway, stream: SimulatedStream, frames: FrameQueue, heartbeat: codec.Message
    ) -> None:
        self.gateway = gateway
        self.stream = stream
        self.frames = frames
        self.heartbeat = heartbeat
        self.last_number = REGISTRATION_NUMBER
        self.last_sent_s = gateway.clock()
        self.answered = False
        self.first_answer_timeout_s = gateway.first_reply_timeout(FIRST_ANSWER_TIMEOUT_S)

    def run(self) -> None:
        """Read frames until the stream ends or the gateway stops."""
        while not self.gateway.stopped:
            try:
                frame = self.frames.get(self._wait_s())
            except TimeoutError:
                frame = b""
            if frame is None:
                return
            if frame:
                self._on_frame(frame)
            self._keep_heartbeat()

    def _wait_s(self) -> float | None:
        lease_s = self.gateway.ownership.lease_s
        if lease_s:
            return lease_s / HEARTBEATS_PER_LEASE
        return None if self.answered else self.first_answer_timeout_s

    def _on_frame(self, frame: bytes) -> None:
        reply_to, message = self.gateway.receive(frame)
        self.answered = self.answered or reply_to >= self.last_number
        if reply_to >= REGISTRATION_NUMBER or isinstance(message, codec.SendWeights):
            self.gateway.record_activity()

    def _keep_heartbeat(self) -> None:
        lease_s = self.gateway.ownership.lease_s
        waited_s = self.gateway.clock() - self.last_sent_s
        limit_s = lease_s / 2 if self.last_number > REGISTRATION_NUMBER else self.first_answer_timeout_s
        if not self.answered and waited_s >= limit_s:
            raise HeartbeatTimeoutError("no answer in time")
        if lease_s and waited_s >= lease_s / HEARTBEATS_PER_LEASE and self.answered:
            self.last_sent_s = self.gateway.clock()
            self.answered = False
            self.last_number += 1
            self.gateway.send(self.stream, self.last_number, self.heartbeat)


class VirtualChpGateway(SeededBackoff, ChpGateway):
    """CHP gateway of the client library, on simulated sockets."""


class VirtualRegistrar(MemberRegistrar):
    """Registrar of the agent, whose requests the assigner answers immediately."""

    def __init__(self, process: AssignerProcess, fleet: str, agent: str, stream_number: int) -> None:
        """Connect; `agent` and `stream_number` identify the stream in recordings."""
        self.record = process.simulation.record
        self.agent = agent
        self.group = Group(fleet, "tasks")
        self.stream_number = stream_number
        self.number = 0
        self.lost = False
        self.stream = SimulatedStream(process, "127.0.0.1", self._on_frame)

    @property
    def connected(self) -> bool:
        """Return whether the stream is open at both ends."""
        return self.stream.open and not self.lost

    def _on_frame(self, frame: bytes | None) -> None:
        self.lost = self.lost or frame is None

    def call(self, message: codec.Message) -> codec.Message:
        """Send a request and return its answer.

        Raises:
            ConnectionLostError: The stream has ended.
        """
        if not self.connected:
            raise ConnectionLostError("closed by the service")
        self.number += 1
        frame = codec.encode(self.number, message)
        self.record.frame("said", self.agent, self.stream_number, frame)
        connection = self.stream.connection
        self.stream.server.handle_message(connection, frame)
        reply = connection.replies.pop()
        self.record.frame("heard", self.agent, self.stream_number, reply)
        return codec.decode(reply)[1]
