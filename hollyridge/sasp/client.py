"""A blocking SASP client for load balancers, members and agents. Needs nothing else of this package but the codec.

Sockets come from `connect`, by default the standard library's; hand in gevent's to use it in greenlets. One client
is for one user at a time; a load balancer that takes pushes calls `receive` from one place.
"""

from __future__ import annotations

import socket
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from hollyridge.sasp import codec, ownership_extension
from hollyridge.sasp.codec import BalancerFlags, Code, Group, Member, WeightFlags


class RefusedError(Exception):
    """The service answered with a return code other than OK; `code` tells which."""

    def __init__(self, code: int) -> None:
        super().__init__(f"return code {code:#04x}")
        self.code = code


class ConnectionLostError(Exception):
    """The stream is gone or spoke nonsense; open a new one."""


class HeartbeatTimeoutError(ConnectionLostError):
    """No answer in time: the other end stands still, or can't be reached."""


class Client:
    """A stream to the service. `heard(frame)` and `said(frame)`, if given, see every frame that passes.

    Raises OSError where connecting fails, LostError when the stream breaks, RefusedError for a return code."""

    MOST = 1 << 20  # bytes of the longest message that is read

    def __init__(
        self,
        address: tuple[str, int],
        source: str = "",
        timeout: float = 5.0,
        connect: Callable = socket.create_connection,
        heard: Callable | None = None,
        said: Callable | None = None,
    ) -> None:
        self.sock = connect(address, timeout=timeout, **({"source_address": (source, 0)} if source else {}))
        self.timeout = timeout
        self.framer, self.heard, self.said = codec.Framer(self.MOST), heard, said
        self.frames: deque[bytes] = deque()
        self.pushed: deque[tuple[int, codec.SendWeights]] = deque()
        self.number = 0

    def close(self) -> None:
        self.sock.close()

    def _read(self, timeout: float | None) -> tuple[int, codec.Message]:
        """The next message; TimeoutError if none came whole in time, with what came of it kept."""
        until = None if timeout is None else time.monotonic() + timeout
        try:
            while not self.frames:
                left = None if until is None else until - time.monotonic()
                if left is not None and left <= 0:
                    raise TimeoutError
                self.sock.settimeout(left)
                chunk = self.sock.recv(65536)
                if not chunk:
                    raise ConnectionLostError("closed by the service")
                self.frames.extend(self.framer.feed(chunk))
            frame = self.frames.popleft()
            if self.heard:
                self.heard(frame)
            return codec.decode(frame)
        except TimeoutError:
            raise
        except (OSError, codec.SaspError) as trouble:
            raise ConnectionLostError(str(trouble)) from trouble

    def call(self, message: codec.Message) -> codec.Message:
        """Send a request and wait for its answer; pushes that come meanwhile are kept for `receive`."""
        self.number = self.number + 1 & 0x7FFFFFFF
        frame = codec.encode(self.number, message)
        try:
            self.sock.settimeout(self.timeout)
            self.sock.sendall(frame)
        except OSError as trouble:
            raise ConnectionLostError(str(trouble)) from trouble
        if self.said:
            self.said(frame)
        until = time.monotonic() + self.timeout
        while True:
            try:
                number, answer = self._read(max(0.001, until - time.monotonic()))
            except TimeoutError:
                raise HeartbeatTimeoutError("no answer in time") from None
            if isinstance(answer, codec.SendWeights):
                self.pushed.append((number, answer))
            elif number == self.number:
                return answer

    def ask(self, message: codec.Message, fine: Iterable[int] = (Code.OK,)) -> codec.Message:
        answer = self.call(message)
        if answer.code not in fine:
            raise RefusedError(answer.code)
        return answer


class LoadBalancerClient(Client):
    """The side of a load balancer, `uid` its name."""

    def __init__(self, address: tuple[str, int], uid: str, **how) -> None:
        super().__init__(address, **how)
        self.uid = uid

    def start(self, groups: Iterable[str], push: bool = True, asked: int = 0, plea: bool = False) -> None:
        """Say who it is and which groups it wants; with `push`, changes come by themselves. `asked`: the number of this
        question, for assigners that share a fleet; then RefusedError may come with a word of who should be asked
        waiting in `receive`."""
        self.flags = (BalancerFlags.PUSH if push else 0) | BalancerFlags.NO_CHANGE
        self.alive()
        if asked:
            self.call(
                ownership_extension.write_request(self.uid, asked, plea)
            )  # one that shares nothing refuses it, which is no harm
        self.ask(codec.Register(True, tuple(codec.MembersOf(Group(self.uid, name), ()) for name in groups)))

    def alive(self) -> None:
        """Say that it is there, and learn that the service is."""
        self.ask(codec.SetBalancer(self.uid, 0x7F, int(self.flags)))

    def weights(self, groups: Iterable[str]) -> codec.GetWeightsReply:
        """Ask once; the answer tells the interval (s) at which to ask again."""
        return self.ask(codec.GetWeights(tuple(Group(self.uid, name) for name in groups)))

    def receive(self, timeout: float | None = None) -> tuple[int, codec.SendWeights] | None:
        """The next push with its number, None if none came in time."""
        if self.pushed:
            return self.pushed.popleft()
        try:
            number, message = self._read(timeout)
        except TimeoutError:
            return None
        return (number, message) if isinstance(message, codec.SendWeights) else None


BATCH = 200  # members in one request; each takes some 24 bytes and a label of 255 at most


class MemberRegistrar(Client):
    """The side of a member or of an agent that speaks for several; `fleet` and `group` as the service has them."""

    def __init__(self, address: tuple[str, int], fleet: str, group: str = "tasks", **how) -> None:
        super().__init__(address, **how)
        self.group = Group(fleet, group)

    def register(self, members: Iterable[Member]) -> None:
        """Members that are registered already are no error."""
        for some in self.batches(members):
            self.ask(codec.Register(False, (codec.MembersOf(self.group, some),)), (Code.OK, Code.ALREADY_REGISTERED))

    def deregister(self, members: Iterable[Member], reason: int = 0) -> None:
        for some in self.batches(members):
            self.ask(codec.Deregister(False, reason, (codec.MembersOf(self.group, some),)))

    def quiesce(self, members: Iterable[Member], on: bool = True) -> None:
        for some in self.batches(members):
            states = tuple(codec.State(member, on) for member in some)
            self.ask(codec.SetMembers(False, (codec.StatesOf(self.group, states),)))

    @staticmethod
    def batches(members: Iterable[Member]) -> Iterable[tuple[Member, ...]]:
        """As many as a component holds, whatever their labels: its size is told in 16 bits."""
        members = tuple(members)
        for first in range(0, max(len(members), 1), BATCH):
            yield members[first : first + BATCH]


class Entry(NamedTuple):
    weight: int
    flags: int


class HeldWeights:
    """The tables that a load balancer holds, by group: changed whole messages at a time, never half.

    The first entries of a group on a stream replace what was held of it, later ones change it: what an assigner
    never knew of must not linger. A group sent without entries leaves what is held.

    >>> held, m = HeldWeights(), Member.at("127.1.0.1", 80)
    >>> held.take((codec.WeightsOf(Group("g", "a"), (codec.Weight(m, 9),)),))
    >>> [(member.host, entry.weight) for member, entry in held.lines("a").items()]
    [('127.1.0.1', 9)]
    >>> held.take((codec.WeightsOf(Group("g", "a"), (codec.Weight(m, 0, WeightFlags.QUIESCE),)),)); held.lines("a")
    {}
    """

    def __init__(self) -> None:
        self.tables: dict[str, dict[Member, Entry]] = {}
        self.fresh: set[str] = set()  # groups of which this stream has told something

    def new_stream(self) -> None:
        self.fresh = set()

    def take(self, groups: Iterable[codec.WeightsOf], whole: bool = False) -> None:
        """Apply one message; `whole` for the answer to a question, which tells all of each group."""
        tables, fresh = dict(self.tables), set(self.fresh)
        for group, weights in groups:
            if not weights or group.name == ownership_extension.GROUP_NAME:
                continue
            start = group.name not in (fresh - self.fresh if whole else fresh)
            table = {} if start else dict(tables.get(group.name, {}))
            for entry in weights:
                if entry.weight > 0 and not entry.flags & WeightFlags.QUIESCE:
                    table[entry.member] = Entry(entry.weight, entry.flags)
                else:
                    table.pop(entry.member, None)
            tables[group.name] = table
            fresh.add(group.name)
        self.tables, self.fresh = tables, fresh

    def lines(self, group: str) -> dict[Member, Entry]:
        return self.tables.get(group, {})
