"""Client side of one subtree, which applies each change completely or not at all.

This holds even if messages are lost, duplicated, delayed or reordered. The module decides which messages form a change
and when a new snapshot is needed. No sockets, no clock.
"""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.chp import codec
from hollyridge.chp.codec import Head, Kthxbai, Kvpub, Kvsync

MAX_GATHERED = 20_000  # messages kept for a change whose head has not arrived yet


class ReplicaChanges(NamedTuple):
    """Effects of a message on a replica.

    Attributes:
        applied: Whether the content of the subtree changed.
        needs_snapshot: Whether a new snapshot has to be requested.
        head_applied: Whether the replica now holds the head of the message, which then counts as a heartbeat.
    """

    applied: bool = False
    needs_snapshot: bool = False
    head_applied: bool = False


NO_CHANGES = ReplicaChanges()


class Replica:
    """Replica of one subtree as of its newest applied head.

    Heads of another epoch or older than the applied head are never applied. A snapshot of another epoch is applied,
    since the client requested it.

    Attributes:
        held: Values by key; replaced and never modified, so that a reader may keep a reference.
        head: Head that `held` belongs to.
        synced: Whether a snapshot was applied yet.
        awaiting_snapshot: Whether a snapshot is requested, from the start and after a gap until it is applied.
        gathered: Messages that may belong to the next change, by UUID of the run and sequence number.
        incoming: Keys and values of incomplete snapshots, by sequence number of the snapshot.
        heads: Heads of incomplete snapshots, by sequence number of the snapshot.
    """

    def __init__(self, subtree: str) -> None:
        self.subtree = subtree
        self.held: dict[str, bytes] = {}
        self.head = Head()
        self.synced = False
        self.awaiting_snapshot = True
        self.gathered: dict[tuple[bytes, int], Kvpub] = {}
        self.incoming: dict[int, dict[str, bytes]] = {}
        self.heads: dict[int, Head] = {}

    def handle_message(self, message: Kvsync | Kthxbai | Kvpub) -> ReplicaChanges:
        """Process one message of this subtree; raise ChpError for an invalid head."""
        if type(message) is Kvsync:
            self._gather_snapshot(message)
            return NO_CHANGES
        if type(message) is Kthxbai:
            return self.apply_snapshot(message.sequence)
        if message.key == self.subtree + "head":
            return self.apply_change(codec.value_of(Head, message.value))
        if len(self.gathered) < MAX_GATHERED:
            self.gathered[message.uuid, message.sequence] = message
        return NO_CHANGES

    def _gather_snapshot(self, message: Kvsync) -> None:
        if message.key == self.subtree + "head":
            self.heads[message.sequence] = codec.value_of(Head, message.value)
        else:
            self.incoming.setdefault(message.sequence, {})[message.key] = message.value

    def begin(self) -> None:
        """Await a new snapshot, and discard the messages of earlier incomplete snapshots."""
        self.awaiting_snapshot = True
        self.incoming = {}
        self.heads = {}

    def apply_snapshot(self, number: int) -> ReplicaChanges:
        """Apply a snapshot that has ended, if it is complete and not older than the applied head."""
        head = self.heads.pop(number, None)
        keys = self.incoming.pop(number, {})
        if head is None or len(keys) != head.total:
            return NO_CHANGES
        if self.synced and self._outdated(head):
            return NO_CHANGES
        new = not self.synced or keys != self.held
        self.held = keys
        self.head = head
        self.synced = True
        self.awaiting_snapshot = False
        self.incoming = {}
        self.heads = {}
        self.prune()
        return ReplicaChanges(applied=new, head_applied=True)

    def _outdated(self, head: Head) -> bool:
        """Return whether a snapshot is older than the applied changes, or of another run and not requested."""
        if head.epoch == self.head.epoch:
            return head.seq < self.head.seq
        return not self.awaiting_snapshot

    def prune(self) -> None:
        """Discard messages that can't belong to the next change."""
        uuid = codec.uuid_of(self.head.epoch)
        self.gathered = {
            key: message for key, message in self.gathered.items() if key[0] == uuid and key[1] > self.head.seq
        }

    def apply_change(self, head: Head) -> ReplicaChanges:
        """Apply the change that a published head ends; if messages are missing, report that a snapshot is needed."""
        if not self.synced or head.epoch != self.head.epoch:
            return ReplicaChanges(needs_snapshot=not self.awaiting_snapshot)
        if head.seq <= self.head.seq:
            return ReplicaChanges(head_applied=head.seq == self.head.seq)
        uuid = codec.uuid_of(head.epoch)
        sequences = sorted(seq for run, seq in self.gathered if run == uuid and self.head.seq < seq < head.seq)
        if head.prev != self.head.seq or len(sequences) != head.count:
            return ReplicaChanges(needs_snapshot=not self.awaiting_snapshot)
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
        return ReplicaChanges(applied=True, head_applied=True)
