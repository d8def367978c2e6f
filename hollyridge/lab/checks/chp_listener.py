"""What one CHP proxy holds, from what was recorded of its messages."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.chp import codec
from hollyridge.chp.proxy_replicas import ProxyReplicas
from hollyridge.membership.fencing import FencingChecker


class FenceFollower(FencingChecker):
    """Does not know the numbers of a proxy's questions, only that they grow."""

    def accepts(self, fencing_token: int) -> bool:
        """Whether the number is not older than one that was followed."""
        if fencing_token < self.accepted_token:
            return False
        self.accepted_token = fencing_token
        return True


class Received(NamedTuple):
    """What a message came to.

    Attributes:
        joined: Whether the proxy joined with it.
        lines: Lines that came complete with it, and `version`, the decision's number.
        changed: Whether the proxy's tables changed.
    """

    joined: bool = False
    lines: int = 0
    version: int = 0
    changed: bool = False


class ChpListener:
    """Follows the messages of one proxy.

    Attributes:
        joined_in: The stream in which it joined last.
    """

    def __init__(self, uid: str, methods: list[str]) -> None:
        self.client = ProxyReplicas(uid, methods, FenceFollower())
        self.stream = 0
        self.joined_in = 0

    def take(self, stream: int, parts: list[bytes]) -> Received:
        """Read one message; one that the client library refuses comes to nothing."""
        if stream != self.stream:
            self.stream = stream
            for replica in self.client.replicas.values():
                replica.begin()
        try:
            message = codec.decode(parts)
            before = {subtree: replica.head.seq for subtree, replica in self.client.replicas.items()}
            _, _, changed = self.client.take(message)
        except codec.ChpError:
            return Received()
        subtree = getattr(message, "subtree", "") or codec.subtree_of(getattr(message, "key", ""))
        lines, version = self._completed(message, subtree, before.get(subtree, 0))
        return Received(self._joins(message, subtree), lines, version, changed)

    def _completed(self, message: codec.Message, subtree: str, seq_before: int) -> tuple[int, int]:
        """Lines that are complete with this message, and their version."""
        replica = self.client.replicas.get(subtree)
        if replica is None or replica.head.seq == seq_before:
            return 0, 0
        head = replica.head
        return 1 + (head.total if isinstance(message, codec.Kthxbai) else head.count), head.version

    def _joins(self, message: codec.Message, subtree: str) -> bool:
        home = isinstance(message, codec.Kthxbai) and subtree == self.client.home
        joined = (
            home
            and self.joined_in != self.stream
            and self.client.replicas[subtree].synced
            and not self.client.redirect()
        )
        if joined:
            self.joined_in = self.stream
        return joined
