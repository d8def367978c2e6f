"""Blocking SASP client for load balancers, members and agents. Of this package it depends only on the codec.

`connect` opens the sockets, by default with the standard library; pass gevent's function to use a client in greenlets.
A client is not safe for concurrent use; a load balancer that accepts pushes calls `receive` from one place.
"""

from __future__ import annotations

import socket
import time
from collections import deque
from collections.abc import Callable, Iterable

from hollyridge.errors import HollyridgeError
from hollyridge.sasp import codec, ownership_extension
from hollyridge.sasp.codec import BalancerFlags, Code, Group, Member
from hollyridge.sasp.held_weights import Entry, HeldWeights

__all__ = [
    "Client",
    "ConnectionLostError",
    "Entry",
    "HeartbeatTimeoutError",
    "HeldWeights",
    "LoadBalancerClient",
    "MemberRegistrar",
    "RefusedError",
]

MAX_MESSAGE_BYTES = 1 << 20  # maximum length of a received frame
RECEIVE_BYTES = 65536
MIN_TIMEOUT_S = 0.001  # 0 would make the socket non-blocking
MAX_NUMBER = 0x7FFFFFFF
HEALTHY = 0x7F  # health of a load balancer in Set LB State
MAX_MEMBERS_PER_REQUEST = 200  # a component holds 64 KB; a member takes 24 bytes and a label of up to 255 bytes


class RefusedError(HollyridgeError):
    """Error for a reply with a return code other than OK, which is in `code`."""

    def __init__(self, code: int) -> None:
        super().__init__(f"return code {code:#04x}")
        self.code = code


class ConnectionLostError(HollyridgeError):
    """Error for a connection that is closed or received invalid SASP; a new connection is needed."""


class HeartbeatTimeoutError(ConnectionLostError):
    """Error for a reply that did not arrive in time: the service has stopped or can't be reached."""


class Client:
    """Connection to the service.

    `on_receive(frame)` and `on_send(frame)`, if given, are called with each frame received and sent. Methods raise
    ConnectionLostError if the connection breaks and RefusedError for a return code; the constructor raises OSError if
    it can't connect.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - a library's public constructor, used with keywords
        self,
        address: tuple[str, int],
        source: str = "",
        timeout: float = 5.0,
        connect: Callable = socket.create_connection,
        on_receive: Callable | None = None,
        on_send: Callable | None = None,
    ) -> None:
        self.sock = connect(address, timeout=timeout, **({"source_address": (source, 0)} if source else {}))
        self.timeout = timeout
        self.framer = codec.Framer(MAX_MESSAGE_BYTES)
        self.on_receive = on_receive
        self.on_send = on_send
        self.frames: deque[bytes] = deque()
        self.pushed: deque[tuple[int, codec.SendWeights]] = deque()
        self.number = 0

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def _read(self, timeout_s: float | None) -> tuple[int, codec.Message]:
        """Return the next message; raise TimeoutError if none is complete in time, keeping the bytes received."""
        deadline = None if timeout_s is None else time.monotonic() + timeout_s
        try:
            while not self.frames:
                self._receive(deadline)
            frame = self.frames.popleft()
            if self.on_receive:
                self.on_receive(frame)
            return codec.decode(frame)
        except TimeoutError:
            raise
        except (OSError, codec.SaspError) as error:
            raise ConnectionLostError(str(error)) from error

    def _receive(self, deadline: float | None) -> None:
        remaining_s = None if deadline is None else deadline - time.monotonic()
        if remaining_s is not None and remaining_s <= 0:
            raise TimeoutError
        self.sock.settimeout(remaining_s)
        chunk = self.sock.recv(RECEIVE_BYTES)
        if not chunk:
            raise ConnectionLostError("closed by the service")
        self.frames.extend(self.framer.feed(chunk))

    def call(self, message: codec.Message) -> codec.Message:
        """Send a request and return its reply; keep pushes that arrive before the reply for `receive`."""
        self.number = self.number + 1 & MAX_NUMBER
        frame = codec.encode(self.number, message)
        try:
            self.sock.settimeout(self.timeout)
            self.sock.sendall(frame)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        if self.on_send:
            self.on_send(frame)
        deadline = time.monotonic() + self.timeout
        while True:
            try:
                number, reply = self._read(max(MIN_TIMEOUT_S, deadline - time.monotonic()))
            except TimeoutError:
                raise HeartbeatTimeoutError("no answer in time") from None
            if isinstance(reply, codec.SendWeights):
                self.pushed.append((number, reply))
            elif number == self.number:
                return reply

    def call_checked(self, message: codec.Message, accepted_codes: Iterable[int] = (Code.OK,)) -> codec.Message:
        """Send a request and return its reply; raise RefusedError if its return code is not accepted."""
        reply = self.call(message)
        if reply.code not in accepted_codes:
            raise RefusedError(reply.code)
        return reply


class LoadBalancerClient(Client):
    """Connection of the load balancer with the UID `uid`. `options` are those of `Client`."""

    def __init__(self, address: tuple[str, int], uid: str, **options: object) -> None:
        super().__init__(address, **options)
        self.uid = uid

    def start(self, groups: Iterable[str], push: bool = True, number: int = 0, insist: bool = False) -> None:
        """Identify the load balancer and register the groups whose weights it wants.

        Args:
            groups: Names of the groups.
            push: Whether the service pushes changes.
            number: Number of the ownership request, where assigners share a fleet; 0 sends no such request.
            insist: Whether the service should accept the load balancer even if another assigner seems to own it.

        Raises:
            RefusedError: The service refused a request. If it redirects to another assigner, `receive` returns the
                redirect.
        """
        self.flags = (BalancerFlags.PUSH if push else 0) | BalancerFlags.NO_CHANGE
        self.send_heartbeat()
        if number:
            # A service that shares no fleet refuses this request, which does no harm.
            self.call(ownership_extension.write_request(self.uid, number, insist))
        self.call_checked(codec.Register(True, tuple(codec.MembersOf(Group(self.uid, name), ()) for name in groups)))

    def send_heartbeat(self) -> None:
        """Send a heartbeat (Set LB State) and wait for its reply."""
        self.call_checked(codec.SetBalancer(self.uid, HEALTHY, int(self.flags)))

    def weights(self, groups: Iterable[str]) -> codec.GetWeightsReply:
        """Poll the weights once; the reply holds the polling interval in seconds."""
        return self.call_checked(codec.GetWeights(tuple(Group(self.uid, name) for name in groups)))

    def receive(self, timeout: float | None = None) -> tuple[int, codec.SendWeights] | None:
        """Return the message id and message of the next push, None if none arrives within `timeout` seconds."""
        if self.pushed:
            return self.pushed.popleft()
        try:
            number, message = self._read(timeout)
        except TimeoutError:
            return None
        return (number, message) if isinstance(message, codec.SendWeights) else None


class MemberRegistrar(Client):
    """Connection of a member, or of an agent for several members.

    `fleet` and `group` are the UID and the group under which the service expects members.
    """

    def __init__(self, address: tuple[str, int], fleet: str, group: str = "tasks", **options: object) -> None:
        super().__init__(address, **options)
        self.group = Group(fleet, group)

    def register(self, members: Iterable[Member]) -> None:
        """Register members; members that are registered already cause no error."""
        for batch in self.batches(members):
            request = codec.Register(False, (codec.MembersOf(self.group, batch),))
            self.call_checked(request, (Code.OK, Code.ALREADY_REGISTERED))

    def deregister(self, members: Iterable[Member], reason: int = 0) -> None:
        """Deregister members; an empty iterable means all members that this client may remove."""
        for batch in self.batches(members):
            self.call_checked(codec.Deregister(False, reason, (codec.MembersOf(self.group, batch),)))

    def quiesce(self, members: Iterable[Member], on: bool = True) -> None:
        """Request that these members get no new work, or revoke that if `on` is false."""
        for batch in self.batches(members):
            states = tuple(codec.State(member, on) for member in batch)
            self.call_checked(codec.SetMembers(False, (codec.StatesOf(self.group, states),)))

    @staticmethod
    def batches(members: Iterable[Member]) -> Iterable[tuple[Member, ...]]:
        """Yield batches that fit in one component with labels of any length; one empty batch if there are none."""
        members = tuple(members)
        for first in range(0, max(len(members), 1), MAX_MEMBERS_PER_REQUEST):
            yield members[first : first + MAX_MEMBERS_PER_REQUEST]
