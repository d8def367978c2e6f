"""Replay of the recorded messages of one CHP proxy, to find which lines it held."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.chp import codec
from hollyridge.chp.proxy_replicas import ProxyReplicas
from hollyridge.membership.fencing import FencingChecker


class MonotonicFencingChecker(FencingChecker):
    """Fencing check that accepts any token that is not older than the newest accepted one.

    The tokens that the proxy asked with are not recorded; it is only known that they increase.
    """

    def accepts(self, fencing_token: int) -> bool:
        """Return whether the token is not older than the newest accepted one."""
        if fencing_token < self.accepted_token:
            return False
        self.accepted_token = fencing_token
        return True


class MessageEffect(NamedTuple):
    """Effect of one message on a proxy.

    Attributes:
        joined: Whether the proxy joined with this message.
        lines: Number of lines of the update that this message completes, its head included; 0 if it completes none.
        version: Number of the decision that these lines belong to.
        changed: Whether the proxy's tables changed.
    """

    joined: bool = False
    lines: int = 0
    version: int = 0
    changed: bool = False


class ChpListener:
    """State of one proxy, rebuilt from the messages it received.

    Attributes:
        client: The client library's copy of the proxy's tables.
        stream: Number of the stream of the newest message.
        joined_stream: Number of the stream in which the proxy joined last.
    """

    def __init__(self, uid: str, methods: list[str]) -> None:
        self.client = ProxyReplicas(uid, methods, MonotonicFencingChecker())
        self.stream = 0
        self.joined_stream = 0

    def apply(self, stream: int, parts: list[bytes]) -> MessageEffect:
        """Apply one message and return its effect; a message that the client library rejects has none."""
        if stream != self.stream:
            self.stream = stream
            for replica in self.client.replicas.values():
                replica.begin()
        try:
            message = codec.decode(parts)
            before = {subtree: replica.head.seq for subtree, replica in self.client.replicas.items()}
            _, _, changed = self.client.handle_message(message)
        except codec.ChpError:
            return MessageEffect()
        subtree = getattr(message, "subtree", "") or codec.subtree_of(getattr(message, "key", ""))
        lines, version = self._completed(message, subtree, before.get(subtree, 0))
        return MessageEffect(self._joins(message, subtree), lines, version, changed)

    def _completed(self, message: codec.Message, subtree: str, seq_before: int) -> tuple[int, int]:
        """Return the number of lines that this message completes, and their version; 0 and 0 if none."""
        replica = self.client.replicas.get(subtree)
        if replica is None or replica.head.seq == seq_before:
            return 0, 0
        head = replica.head
        return 1 + (head.total if isinstance(message, codec.Kthxbai) else head.count), head.version

    def _joins(self, message: codec.Message, subtree: str) -> bool:
        home = isinstance(message, codec.Kthxbai) and subtree == self.client.home
        joined = (
            home
            and self.joined_stream != self.stream
            and self.client.replicas[subtree].synced
            and not self.client.redirect()
        )
        if joined:
            self.joined_stream = self.stream
        return joined
