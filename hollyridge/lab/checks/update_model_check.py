"""An explicit-state model check of the CHP update protocol, with the real key space and replica.

The model: one table, one subscriber, a network that loses, doubles and reorders what is published, and an assigner that
restarts with smaller numbers.
"""

from __future__ import annotations

import copy
from collections import deque
from typing import NamedTuple

from hollyridge.chp import codec
from hollyridge.chp.codec import Kthxbai, Kvpub
from hollyridge.chp.key_space import KeySpace
from hollyridge.chp.replica import Replica, ReplicaChanges

SUBTREE = "/table/0/"
VERSIONS = (("a", "b"), ("b", "c"), ("a", "c", "d"), ("d",))
RUNS = 2
VERSIONS_COMPARED = 64  # of each run, with what the replica holds
HEARTBEAT_MS = 500
MAX_MISCHIEF = 4  # messages that the network may lose, double or swap
MAX_PUBLISHED = 8  # messages on their way, after which no heartbeat is published
MAX_PUBLISHED_CHANGES = 5  # the same for changes
SETTLE_MOVES = 200
SETTLE_SAMPLE = 7  # of the deepest states about one in so many is also checked for settling
SNAPSHOT_ASKED = "ICANHAZ"  # stands for a request that has not arrived


def target(run: int, version: int) -> dict[str, bytes]:
    """What the table holds at a version: each value names its run and version, so that a mixture shows."""
    names = VERSIONS[version % len(VERSIONS)]
    return {f"{SUBTREE}line/{name}": f"{run}.{version}".encode() for name in names}


class FaultyReplica(Replica):
    """Replicas that leave out one check; the exploration must find what that breaks."""

    fault = ""

    def apply_change(self, head: codec.Head) -> ReplicaChanges:
        """Take a head, without the check that is left out."""
        same = self.synced and head.epoch == self.head.epoch
        if self.fault == "no count" and same and head.prev == self.head.seq:
            uuid = codec.uuid_of(head.epoch)
            gathered = [seq for run, seq in self.gathered if run == uuid and self.head.seq < seq < head.seq]
            head = with_count(head, len(gathered))
        if self.fault == "no run" and self.synced and head.epoch != self.head.epoch:
            self.head = codec.Head(head.epoch, head.version, head.prev, head.prev)
        if self.fault == "no order" and same and head.seq < self.head.seq:
            self.head = codec.Head(head.epoch, 0, head.prev, 0)
        return super().apply_change(head)

    def prune(self) -> None:
        """Drop what is behind, unless that is left out."""
        if self.fault != "no order":
            super().prune()


def with_count(head: codec.Head, count: int) -> codec.Head:
    """The head with another count of lines."""
    return codec.Head(head.epoch, head.version, head.seq, head.prev, count, head.total, head.heartbeat_ms)


class World:
    """One state of the model.

    Moves: the assigner changes the table, sends a heartbeat or restarts; the network delivers, loses, doubles or swaps
    what is published; the snapshot's stream delivers. Loss and doubling are bounded, so that the model is finite.

    Attributes:
        published: Messages on their way to the subscriber.
        snapshots: What is on the snapshot's stream: requests and messages.
        mischief: Messages that the network may still lose, double or swap.
        seen: Run and version of the newest table that was held.
        wrong: What must never happen and did.
    """

    def __init__(self, fault: str = "") -> None:
        self.run = 0
        self.version = 0
        self.key_space = self._start_run()
        self.replica = FaultyReplica(SUBTREE)
        self.replica.fault = fault
        self.published: list[Kvpub] = []
        self.snapshots: list = []
        self.mischief = MAX_MISCHIEF
        self.seen: tuple[int, int] = (-1, -1)
        self.wrong = ""
        self._ask()

    def _start_run(self) -> KeySpace:
        key_space = KeySpace(f"run{self.run}", HEARTBEAT_MS)
        key_space.set(SUBTREE, 0, target(self.run, 0))
        return key_space

    def _ask(self) -> None:
        self.replica.begin()
        self.snapshots.append(SNAPSHOT_ASKED)

    def moves(self) -> list[str]:
        """What may happen next."""
        moves = ["beat"] if len(self.published) < MAX_PUBLISHED else []
        if len(self.published) < MAX_PUBLISHED_CHANGES:
            moves.append("change")
        if self.run + 1 < RUNS:
            moves.append("restart")
        if self.published:
            moves.append("deliver")
            if self.mischief:
                moves += ["lose", "double"]
        if self.mischief and len(self.published) > 1:
            moves.append("swap")
        if self.snapshots:
            moves.append("snapshot")
        return moves

    def after(self, move: str) -> World:
        """The state after a move; this one stays as it is."""
        world = copy.copy(self)
        world.key_space, world.replica = copy.copy(self.key_space), copy.copy(self.replica)
        world.key_space.held, world.key_space.heads = dict(self.key_space.held), dict(self.key_space.heads)
        world.replica.gathered = dict(self.replica.gathered)
        world.replica.incoming = {number: dict(rows) for number, rows in self.replica.incoming.items()}
        world.replica.heads = dict(self.replica.heads)
        world.published, world.snapshots = list(self.published), list(self.snapshots)
        world.do(move)
        return world

    def do(self, move: str) -> None:
        """Let a move happen."""
        getattr(self, f"_on_{move}")()

    def _on_change(self) -> None:
        self.version += 1
        self.published += self.key_space.set(SUBTREE, self.version, target(self.run, self.version))

    def _on_beat(self) -> None:
        self.published.append(self.key_space.heartbeat(SUBTREE))

    def _on_restart(self) -> None:
        """What was published may still arrive; the snapshot's stream does not survive."""
        self.run += 1
        self.version = 0
        self.key_space = self._start_run()
        self.snapshots = [SNAPSHOT_ASKED] if self.replica.awaiting_snapshot else []
        self.replica.incoming, self.replica.heads = {}, {}

    def _on_deliver(self) -> None:
        self._take(self.published.pop(0))

    def _on_lose(self) -> None:
        self.mischief -= 1
        self.published.pop(0)

    def _on_double(self) -> None:
        self.mischief -= 1
        self.published.insert(0, self.published[0])

    def _on_swap(self) -> None:
        self.mischief -= 1
        self.published[0], self.published[-1] = self.published[-1], self.published[0]

    def _on_snapshot(self) -> None:
        """A request arrives at the assigner, or else a whole snapshot at the subscriber."""
        if self.snapshots[0] == SNAPSHOT_ASKED:
            self.snapshots[:1] = self.key_space.snapshot(SUBTREE)
            return
        message = self.snapshots.pop(0)
        while not isinstance(message, Kthxbai):
            self._take(message)
            message = self.snapshots.pop(0)
        self._take(message)

    def _take(self, message: codec.Message) -> None:
        changes = self.replica.take(message)
        if changes.needs_snapshot:
            self._ask()
        if not self.replica.synced:
            return
        held = self.at()
        if held is None:
            self.wrong = f"a table that never was: {sorted(self.replica.held.items())}"
        elif held < self.seen:
            self.wrong = f"went back from {self.seen} to {held}"
        else:
            self.seen = held

    def at(self) -> tuple[int, int] | None:
        """Run and version of what is held, None if no version was ever like it."""
        for run in range(RUNS):
            for version in range(VERSIONS_COMPARED):
                if self.replica.held == target(run, version):
                    return run, version
        return None

    def broken(self) -> str:
        """What is wrong; empty if nothing is."""
        return self.wrong

    def key(self) -> tuple:
        """Tells different states apart."""
        replica = self.replica
        return (
            self.run,
            self.version,
            self.mischief,
            self.seen,
            replica.awaiting_snapshot,
            replica.synced,
            replica.head.epoch,
            replica.head.seq,
            tuple(sorted(replica.held.items())),
            tuple(sorted(replica.gathered)),
            tuple(replica.incoming),
            tuple((message.uuid, message.sequence, message.key) for message in self.published),
            tuple(str(message) for message in self.snapshots),
        )

    def settled(self) -> World:
        """The state when all that is on its way has arrived and heartbeats get through."""
        world = self
        for _ in range(SETTLE_MOVES):
            moves = world.moves()
            move = next((kind for kind in ("snapshot", "deliver") if kind in moves), None)
            if move is None:
                if world.is_newest():
                    return world
                move = "beat"
            world = world.after(move)
        return world

    def is_newest(self) -> bool:
        """Whether the subscriber holds the newest table."""
        return self.replica.synced and self.at() == (self.run, self.version) and not self.replica.awaiting_snapshot


class Found(NamedTuple):
    """What an exploration found.

    Attributes:
        states: How many were seen.
        broken: What is wrong with the first that is; empty if none is.
        moves: The moves that lead there.
    """

    states: int
    broken: str
    moves: tuple[str, ...]


def explore(depth: int, fault: str = "", begin: tuple[str, ...] = (), max_states: int = 400_000) -> Found:
    """Explore every state within so many moves, breadth first.

    The first that is broken ends it; so does one that does not settle on the newest table.

    Args:
        depth: Moves after those of `begin`.
        fault: The check that the replica leaves out (see `FaultyReplica`).
        begin: Moves that lead to the first state.
        max_states: After so many no new ones are explored.
    """
    start = World(fault)
    for move in begin:
        start = start.after(move)
    queue, seen = deque([(start, ())]), {start.key()}
    while queue:
        world, moves = queue.popleft()
        if world.broken():
            return Found(len(seen), world.broken(), moves)
        if len(moves) == depth:
            if len(seen) % SETTLE_SAMPLE == 0 and not fault and not world.settled().is_newest():
                return Found(len(seen), "does not settle on the newest table", moves)
            continue
        for move in world.moves():
            after = world.after(move)
            key = after.key()
            if key not in seen and len(seen) < max_states:
                seen.add(key)
                queue.append((after, (*moves, move)))
    return Found(len(seen), "", ())
