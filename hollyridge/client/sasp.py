"""A gateway whose tables come by SASP."""

from __future__ import annotations

import socket
from collections.abc import Callable

from hollyridge.client.surface import Gateway, several
from hollyridge.sasp.client import Balancer, Held


class SaspGateway(Gateway):
    """`groups`: the group that each method goes by, itself if not named. `address` may be a list: when one assigner
    doesn't answer, the next is dialled. `how` goes to `Balancer` (source, connect, heard, said). `receive_s`: how often
    a stream without news is known to stand."""

    def __init__(self, address: tuple[str, int] | list[tuple[str, int]], uid: str, methods: list[str],
                 groups: dict[str, str] | None = None, how: dict | None = None, receive_s: float = 1.0,
                 before: Callable[[tuple], None] = lambda groups: None, **terms) -> None:
        super().__init__(uid, methods, **terms)
        self.addresses, self.how, self.receive_s, self.before = several(address), how or {}, receive_s, before
        self.groups = {method: (groups or {}).get(method, method) for method in methods}
        self.ways = len(self.addresses)
        self.held, self.client, self.version = Held(), None, 0

    def session(self) -> None:
        self.held.new_stream()
        client = self.client = Balancer(self.addresses[self.way], self.uid, **self.how)
        client.start(dict.fromkeys(self.groups.values()))
        self.alive()
        while not self.stopped:
            pushed = client.receive(self.receive_s)
            self.alive()
            if pushed is not None:
                self.before(pushed[1].groups)
                self.version = pushed[0]
                self.held.take(pushed[1].groups)
                self.lay({method: {f"{m.host}:{m.port}": float(e.weight) for m, e in self.held.lines(group).items()}
                          for method, group in self.groups.items() if group in self.held.fresh}, {})

    def hang_up(self) -> None:
        client, self.client = self.client, None
        if client is not None:
            try:
                client.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            client.close()
