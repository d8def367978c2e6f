"""Server side of the key space: the content of each subtree, numbered changes and snapshots. No sockets."""

from __future__ import annotations

from hollyridge.chp import codec
from hollyridge.chp.codec import Head, Kthxbai, Kvpub, Kvsync


class KeySpace:
    """Content of all subtrees.

    Attributes:
        epoch: Identifier of this run of the assigner; sequence numbers of different runs are not comparable.
        sequence: Newest sequence number of a message.
        held: Keys and their values, by subtree.
        heads: Newest head, by subtree.

    >>> key_space = KeySpace("e1", 500)
    >>> [message.key for message in key_space.set("/table/0/", 1, {"/table/0/line/a:1": b"x"})]
    ['/table/0/line/a:1', '/table/0/head']
    >>> key_space.set("/table/0/", 2, {"/table/0/line/a:1": b"x"})
    []
    """

    def __init__(self, epoch: str, heartbeat_ms: int) -> None:
        self.epoch = epoch
        self.uuid = codec.uuid_of(epoch)
        self.heartbeat_ms = heartbeat_ms
        self.sequence = 0
        self.held: dict[str, dict[str, bytes]] = {}
        self.heads: dict[str, Head] = {}

    def set(self, subtree: str, version: int, target: dict[str, bytes]) -> list[Kvpub]:
        """Replace the content of the subtree; return the messages of the change, none if nothing changes."""
        held = self.held.setdefault(subtree, {})
        changed = [(key, b"") for key in held if key not in target]
        changed += [(key, value) for key, value in target.items() if held.get(key) != value]
        previous_head = self.heads.get(subtree)
        if not changed and previous_head is not None:
            return []
        messages = [self._change(key, value) for key, value in sorted(changed)]
        self.sequence += 1
        head = Head(
            epoch=self.epoch,
            version=version,
            seq=self.sequence,
            prev=previous_head.seq if previous_head else 0,
            count=len(messages),
            total=len(target),
            heartbeat_ms=self.heartbeat_ms,
        )
        self.heads[subtree] = head
        self.held[subtree] = dict(target)
        return [*messages, self._head_message(subtree, head)]

    def _change(self, key: str, value: bytes) -> Kvpub:
        self.sequence += 1
        return Kvpub(key, self.sequence, self.uuid, codec.PROPERTIES, value)

    def _head_message(self, subtree: str, head: Head) -> Kvpub:
        return Kvpub(subtree + "head", head.seq, self.uuid, codec.PROPERTIES, codec.json(head))

    def heartbeat(self, subtree: str) -> Kvpub:
        """Return the heartbeat, which repeats the head so that a subscriber that missed the last change notices it."""
        return self._head_message(subtree, self.heads[subtree])

    def snapshot(self, subtree: str) -> list[Kvsync | Kthxbai]:
        """Return all messages of a snapshot."""
        head = self.heads.get(subtree)
        if head is None:
            return [Kthxbai(self.sequence, subtree)]
        keys = [Kvsync(key, head.seq, value) for key, value in sorted(self.held[subtree].items())]
        return [*keys, Kvsync(subtree + "head", head.seq, codec.json(head)), Kthxbai(head.seq, subtree)]

    def drop(self, subtree: str) -> None:
        """Remove a subtree."""
        self.held.pop(subtree, None)
        self.heads.pop(subtree, None)
