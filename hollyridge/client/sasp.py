"""A gateway whose tables come by SASP."""

from __future__ import annotations

import socket
from collections.abc import Callable

from hollyridge.client.gateway import Gateway, RedirectedError, several
from hollyridge.sasp import codec, ownership_extension
from hollyridge.sasp.client import HeartbeatTimeoutError, HeldWeights, LoadBalancerClient, RefusedError

BEATS = 4  # signs of life in a lease


class SaspTables(Gateway):
    """What a gateway does with SASP's messages, wherever they come from. `groups`: the group a method goes by."""

    groups: dict[str, str]
    silences = (HeartbeatTimeoutError, TimeoutError)
    lease = 0.0  # of the last owner that told one

    def patience(self, usual: float) -> float:
        """Seconds that a first answer may take: where others know of this proxy, not long."""
        return min(usual, self.lease / 3) if self.lease else usual

    def begin(self) -> int:
        """A new stream: the number of its question."""
        self.held.new_stream()
        self.own = ownership_extension.Owned(0, 0.0)
        return self.judge.next_token()

    def take(self, message: codec.SendWeights) -> None:
        """SentOnError where another assigner should be asked. Not applied: what comes from who is not to be obeyed."""
        word = ownership_extension.read_reply(message.groups)
        if isinstance(word, ownership_extension.Redirected):
            raise RedirectedError(word.address)
        self.own = word or self.own
        self.lease = self.own.lease_s or self.lease
        if not self.judge.accepts(self.own.fence):
            return
        self.held.take(message.groups)
        self.lay(
            {
                method: {f"{m.host}:{m.port}": float(e.weight) for m, e in self.held.lines(group).items()}
                for method, group in self.groups.items()
                if group in self.held.fresh
            },
            {},
        )


class SaspGateway(SaspTables):
    """`groups`: the group that each method goes by, itself if not named. `address` may be a list: when one assigner
    doesn't answer, the next is dialled. `how` goes to `LoadBalancerClient` (source, connect, heard, said).
    `receive_s`: how often a stream without news is known to stand."""

    def __init__(
        self,
        address: tuple[str, int] | list[tuple[str, int]],
        uid: str,
        methods: list[str],
        groups: dict[str, str] | None = None,
        how: dict | None = None,
        receive_s: float = 1.0,
        before: Callable[[tuple], None] = lambda groups: None,
        **terms,
    ) -> None:
        super().__init__(uid, methods, **terms)
        self.addresses, self.how, self.receive_s, self.before = several(address), how or {}, receive_s, before
        self.groups = {method: (groups or {}).get(method, method) for method in methods}
        self.ways = len(self.addresses)
        self.held, self.client, self.version = HeldWeights(), None, 0

    def session(self) -> None:
        asked = self.begin()
        how = {**self.how, "timeout": self.patience(self.how.get("timeout", 5.0))}
        client = self.client = LoadBalancerClient(self.addresses[self.way], self.uid, **how)
        try:
            client.start(dict.fromkeys(self.groups.values()), number=asked, insist=self.pleads)
        except RefusedError:
            while client.pushed:  # it may have said who should be asked
                self.take(client.pushed.popleft()[1])
            raise
        self.alive()
        beat = self.clock()
        while not self.stopped:
            pushed = client.receive(
                min(self.receive_s, self.own.lease_s / BEATS) if self.own.lease_s else self.receive_s
            )
            if pushed is not None:
                self.before(pushed[1].groups)
                self.version = pushed[0]
                self.take(pushed[1])
            if self.own.lease_s and self.clock() - beat >= self.own.lease_s / BEATS:
                beat, client.timeout = self.clock(), self.own.lease_s / 2
                client.alive()
            self.alive()

    def hang_up(self) -> None:
        client, self.client = self.client, None
        if client is not None:
            try:
                client.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            client.close()
