"""The service's side of the key space: what each subtree holds, numbered changes, snapshots. No sockets."""

from __future__ import annotations

from hollyridge.chp import codec
from hollyridge.chp.codec import Head, Kthxbai, Kvpub, Kvsync


class KeySpace:
    """`epoch` names this run of the assigner: numbers of another run mean nothing here.

    >>> ledger = KeySpace("e1", beat=500)
    >>> [m.key for m in ledger.set("/table/0/", 1, {"/table/0/line/a:1": b"x"})]
    ['/table/0/line/a:1', '/table/0/head']
    >>> ledger.set("/table/0/", 2, {"/table/0/line/a:1": b"x"})
    []
    """

    def __init__(self, epoch: str, beat: int) -> None:
        self.epoch, self.uuid, self.beat_ms = epoch, codec.uuid_of(epoch), beat
        self.sequence = 0
        self.held: dict[str, dict[str, bytes]] = {}
        self.heads: dict[str, Head] = {}

    def publish(self, key: str, value: bytes) -> Kvpub:
        self.sequence += 1
        return Kvpub(key, self.sequence, self.uuid, f"v={codec.LAYOUT}\n", value)

    def set(self, subtree: str, version: int, target: dict[str, bytes]) -> list[Kvpub]:
        """Make the subtree hold this; the messages that tell so, none if it does already."""
        held = self.held.setdefault(subtree, {})
        changed = [(key, b"") for key in held if key not in target]
        changed += [(key, value) for key, value in target.items() if held.get(key) != value]
        if not changed and subtree in self.heads:
            return []
        messages = [self.publish(key, value) for key, value in sorted(changed)]
        before = self.heads.get(subtree)
        self.sequence += 1
        head = self.heads[subtree] = Head(
            self.epoch, version, self.sequence, before.seq if before else 0, len(messages), len(target), self.beat_ms
        )
        self.held[subtree] = dict(target)
        return [*messages, self.head(subtree, head)]

    def head(self, subtree: str, head: Head) -> Kvpub:
        return Kvpub(subtree + "head", head.seq, self.uuid, f"v={codec.LAYOUT}\n", codec.json(head))

    def beat(self, subtree: str) -> Kvpub:
        """The head again, so that who missed the last change learns of it."""
        return self.head(subtree, self.heads[subtree])

    def snapshot(self, subtree: str) -> list[Kvsync | Kthxbai]:
        head = self.heads.get(subtree)
        if head is None:
            return [Kthxbai(self.sequence, subtree)]
        rows = [Kvsync(key, head.seq, value) for key, value in sorted(self.held[subtree].items())]
        return [*rows, Kvsync(subtree + "head", head.seq, codec.json(head)), Kthxbai(head.seq, subtree)]

    def drop(self, subtree: str) -> None:
        self.held.pop(subtree, None)
        self.heads.pop(subtree, None)
