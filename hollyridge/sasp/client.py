"""A blocking SASP client for load balancers, members and agents. Needs nothing else of this package but the codec.

Sockets come from `connect`, by default the standard library's; pass gevent's to use it in greenlets. A client is for
one user at a time; a load balancer that takes pushes calls `receive` from one place.
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

MAX_MESSAGE_BYTES = 1 << 20  # longest message that is read
RECEIVE_BYTES = 65536
MIN_TIMEOUT_S = 0.001  # 0 would mean not to wait at all
MAX_NUMBER = 0x7FFFFFFF
HEALTHY = 0x7F  # health of a load balancer in Set LB State
MAX_MEMBERS_PER_REQUEST = 200  # a component holds 64 KB; a member takes 24 bytes and a label of 255 at most


class RefusedError(HollyridgeError):
    """The service answered with a return code other than OK; `code` is that."""

    def __init__(self, code: int) -> None:
        super().__init__(f"return code {code:#04x}")
        self.code = code


class ConnectionLostError(HollyridgeError):
    """The connection is closed, or what was received is no SASP; open a new one."""


class HeartbeatTimeoutError(ConnectionLostError):
    """No answer in time: the other side has stopped, or can't be reached."""


class Client:
    """A connection to the service.

    `on_receive(frame)` and `on_send(frame)`, if given, are called with each frame received and sent. Methods raise
    ConnectionLostError when the connection breaks and RefusedError for a return code; connecting raises OSError.
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
        """The next message; TimeoutError if none is whole in time, with the bytes received so far kept."""
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
        left_s = None if deadline is None else deadline - time.monotonic()
        if left_s is not None and left_s <= 0:
            raise TimeoutError
        self.sock.settimeout(left_s)
        chunk = self.sock.recv(RECEIVE_BYTES)
        if not chunk:
            raise ConnectionLostError("closed by the service")
        self.frames.extend(self.framer.feed(chunk))

    def call(self, message: codec.Message) -> codec.Message:
        """Send a request and wait for its reply; pushes that come meanwhile are kept for `receive`."""
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

    def ask(self, message: codec.Message, accepted_codes: Iterable[int] = (Code.OK,)) -> codec.Message:
        """Send a request; the reply, RefusedError if its return code is not one of these."""
        reply = self.call(message)
        if reply.code not in accepted_codes:
            raise RefusedError(reply.code)
        return reply


class LoadBalancerClient(Client):
    """The side of the load balancer named `uid`. `options` are those of `Client`."""

    def __init__(self, address: tuple[str, int], uid: str, **options: object) -> None:
        super().__init__(address, **options)
        self.uid = uid

    def start(self, groups: Iterable[str], push: bool = True, number: int = 0, insist: bool = False) -> None:
        """Say who it is and which groups it wants; with `push`, changes come by themselves.

        Args:
            groups: Names of the groups.
            push: Whether changes are pushed.
            number: Of the request for an owner, where assigners share a fleet; 0 makes none.
            insist: Whether to be taken in even if another assigner seems to be the owner.

        Raises:
            RefusedError: Also where another assigner should be asked; `receive` then has the redirect.
        """
        self.flags = (BalancerFlags.PUSH if push else 0) | BalancerFlags.NO_CHANGE
        self.alive()
        if number:
            # A service that shares no fleet refuses this, which does no harm.
            self.call(ownership_extension.write_request(self.uid, number, insist))
        self.ask(codec.Register(True, tuple(codec.MembersOf(Group(self.uid, name), ()) for name in groups)))

    def alive(self) -> None:
        """Send a heartbeat (Set LB State) and wait for its reply."""
        self.ask(codec.SetBalancer(self.uid, HEALTHY, int(self.flags)))

    def weights(self, groups: Iterable[str]) -> codec.GetWeightsReply:
        """Ask once; the reply has the interval (s) at which to ask again."""
        return self.ask(codec.GetWeights(tuple(Group(self.uid, name) for name in groups)))

    def receive(self, timeout: float | None = None) -> tuple[int, codec.SendWeights] | None:
        """The next push with its number, None if none was received in `timeout` seconds."""
        if self.pushed:
            return self.pushed.popleft()
        try:
            number, message = self._read(timeout)
        except TimeoutError:
            return None
        return (number, message) if isinstance(message, codec.SendWeights) else None


class MemberRegistrar(Client):
    """The side of a member, or of an agent for several; `fleet` and `group` as the service has them."""

    def __init__(self, address: tuple[str, int], fleet: str, group: str = "tasks", **options: object) -> None:
        super().__init__(address, **options)
        self.group = Group(fleet, group)

    def register(self, members: Iterable[Member]) -> None:
        """Register members; those that are registered already are no error."""
        for batch in self.batches(members):
            request = codec.Register(False, (codec.MembersOf(self.group, batch),))
            self.ask(request, (Code.OK, Code.ALREADY_REGISTERED))

    def deregister(self, members: Iterable[Member], reason: int = 0) -> None:
        """Deregister members; none means all that this client may remove."""
        for batch in self.batches(members):
            self.ask(codec.Deregister(False, reason, (codec.MembersOf(self.group, batch),)))

    def quiesce(self, members: Iterable[Member], on: bool = True) -> None:
        """Ask for no new work for these members, or end that."""
        for batch in self.batches(members):
            states = tuple(codec.State(member, on) for member in batch)
            self.ask(codec.SetMembers(False, (codec.StatesOf(self.group, states),)))

    @staticmethod
    def batches(members: Iterable[Member]) -> Iterable[tuple[Member, ...]]:
        """As many at a time as one component holds, whatever their labels; one empty batch for none."""
        members = tuple(members)
        for first in range(0, max(len(members), 1), MAX_MEMBERS_PER_REQUEST):
            yield members[first : first + MAX_MEMBERS_PER_REQUEST]
