"""The client's side of one subtree: changed whole or not at all, whatever is lost, duplicated, late or reordered.

Decides when messages belong together, and when only a new snapshot will do. No sockets, no clock.
"""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.chp import codec
from hollyridge.chp.codec import Head, Kthxbai, Kvpub, Kvsync

MAX_GATHERED = 20_000  # messages kept for a change whose head is not here yet


class ReplicaChanges(NamedTuple):
    """What a message did.

    Attributes:
        applied: The subtree holds something new.
        ask: A snapshot is needed.
        beat: It was a heartbeat.
    """

    applied: bool = False
    ask: bool = False
    beat: bool = False


NOTHING = ReplicaChanges()


class Replica:
    """One subtree as of its newest whole head.

    Heads of another epoch, or behind what is held, are never applied; a snapshot of another epoch is, since it was
    asked for.

    Attributes:
        held: Values by key; replaced, never altered, so that a reader may keep it.
        head: The head that `held` belongs to.
        synced: Whether anything is held yet.
        asking: Whether a snapshot is asked for: from the start and after a gap, until one is here.
        gathered: By run and sequence number, messages that may belong to the next change.
        incoming: Keys of snapshots, by the snapshot's number.
        heads: Heads of snapshots, by the snapshot's number.
    """

    def __init__(self, subtree: str) -> None:
        self.subtree = subtree
        self.held: dict[str, bytes] = {}
        self.head = Head()
        self.synced = False
        self.asking = True
        self.gathered: dict[tuple[bytes, int], Kvpub] = {}
        self.incoming: dict[int, dict[str, bytes]] = {}
        self.heads: dict[int, Head] = {}

    def take(self, message: Kvsync | Kthxbai | Kvpub) -> ReplicaChanges:
        """Take one message of this subtree; ChpError for a head that is none."""
        if type(message) is Kvsync:
            self._gather_snapshot(message)
            return NOTHING
        if type(message) is Kthxbai:
            return self.snapshot(message.sequence)
        if message.key == self.subtree + "head":
            return self.change(codec.value_of(Head, message.value))
        if len(self.gathered) < MAX_GATHERED:
            self.gathered[message.uuid, message.sequence] = message
        return NOTHING

    def _gather_snapshot(self, message: Kvsync) -> None:
        if message.key == self.subtree + "head":
            self.heads[message.sequence] = codec.value_of(Head, message.value)
        else:
            self.incoming.setdefault(message.sequence, {})[message.key] = message.value

    def begin(self) -> None:
        """A snapshot is asked for: what an earlier one has brought so far is void."""
        self.asking = True
        self.incoming = {}
        self.heads = {}

    def snapshot(self, number: int) -> ReplicaChanges:
        """A snapshot has ended: apply it if it is whole and not older than what is held."""
        head = self.heads.pop(number, None)
        keys = self.incoming.pop(number, {})
        if head is None or len(keys) != head.total:
            return NOTHING
        if self.synced and self._outdated(head):
            return NOTHING
        new = not self.synced or keys != self.held
        self.held = keys
        self.head = head
        self.synced = True
        self.asking = False
        self.incoming = {}
        self.heads = {}
        self.prune()
        return ReplicaChanges(applied=new, beat=True)

    def _outdated(self, head: Head) -> bool:
        """Whether a snapshot was overtaken by changes, or is of another run and nobody asked for it."""
        if head.epoch == self.head.epoch:
            return head.seq < self.head.seq
        return not self.asking

    def prune(self) -> None:
        """Forget messages that can't belong to the next change."""
        uuid = codec.uuid_of(self.head.epoch)
        self.gathered = {
            key: message for key, message in self.gathered.items() if key[0] == uuid and key[1] > self.head.seq
        }

    def change(self, head: Head) -> ReplicaChanges:
        """A head was published: apply its change if all of it is here, else ask for a snapshot."""
        if not self.synced or head.epoch != self.head.epoch:
            return ReplicaChanges(ask=not self.asking)
        if head.seq <= self.head.seq:
            return ReplicaChanges(beat=head.seq == self.head.seq)
        uuid = codec.uuid_of(head.epoch)
        sequences = sorted(seq for run, seq in self.gathered if run == uuid and self.head.seq < seq < head.seq)
        if head.prev != self.head.seq or len(sequences) != head.count:
            return ReplicaChanges(ask=not self.asking)
        held = dict(self.held)
        for sequence in sequences:
            message = self.gathered[uuid, sequence]
            if message.value:
                held[message.key] = message.value
            else:
                held.pop(message.key, None)
        self.held = held
        self.head = head
        self.prune()
        return ReplicaChanges(applied=True, beat=True)
