"""An explicit-state model check of the CHP update protocol, with the real key space and replica.

The model has one table, one subscriber, a network that loses, duplicates and reorders published messages, and an
assigner that restarts with smaller version numbers.
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
# Names of the lines at each version; further versions repeat them.
VERSIONS = (("a", "b"), ("b", "c"), ("a", "c", "d"), ("d",))
RUNS = 2  # runs of the assigner
VERSIONS_COMPARED = 64  # versions of each run that the replica's table is compared with
HEARTBEAT_MS = 500
MAX_NETWORK_FAULTS = 4  # number of messages that the network may lose, duplicate or swap
MAX_PUBLISHED = 8  # messages in flight, from which on no heartbeat is published
MAX_PUBLISHED_CHANGES = 5  # messages in flight, from which on no change is published
SETTLE_MOVES = 200  # limit on the moves in which a state must settle
SETTLE_SAMPLE = 7  # about one in 7 of the deepest states is also checked for settling
SNAPSHOT_REQUEST = "ICANHAZ"  # represents a request that has not arrived yet


def expected_table(run: int, version: int) -> dict[str, bytes]:
    """Return the table at a version; each value holds its run and version, so that a mixture is detected."""
    names = VERSIONS[version % len(VERSIONS)]
    return {f"{SUBTREE}line/{name}": f"{run}.{version}".encode() for name in names}


class FaultyReplica(Replica):
    """Replica that leaves out one check; the exploration must find the violation that results.

    Attributes:
        fault: Check that is left out: `no count` (all lines of a change were received), `no run` (the head is of the
            same run), `no order` (the head is newer than that of the table); empty for none.
    """

    fault = ""

    def apply_change(self, head: codec.Head) -> ReplicaChanges:
        """Apply a head without the check that is left out."""
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
        """Drop outdated lines unless this check is left out."""
        if self.fault != "no order":
            super().prune()


def with_count(head: codec.Head, count: int) -> codec.Head:
    """Return the head with another count of lines."""
    return codec.Head(head.epoch, head.version, head.seq, head.prev, count, head.total, head.heartbeat_ms)


class World:
    """One state of the model.

    Moves: the assigner changes the table, sends a heartbeat or restarts; the network delivers, loses, duplicates or
    swaps published messages; the snapshot stream delivers. The number of network faults is bounded to keep the model
    finite.

    Attributes:
        run: Number of the assigner's current run.
        version: Version of the table in this run.
        key_space: The assigner's key space.
        replica: The subscriber's replica.
        published: Published messages in flight to the subscriber.
        snapshots: Requests and messages on the snapshot stream.
        faults_left: Number of messages that the network may still lose, duplicate or swap.
        seen: Run and version of the newest table that the replica held.
        violation: Description of a violated property; empty if there is none.
    """

    def __init__(self, fault: str = "") -> None:
        self.run = 0
        self.version = 0
        self.key_space = self._start_run()
        self.replica = FaultyReplica(SUBTREE)
        self.replica.fault = fault
        self.published: list[Kvpub] = []
        self.snapshots: list = []
        self.faults_left = MAX_NETWORK_FAULTS
        self.seen: tuple[int, int] = (-1, -1)
        self.violation = ""
        self._request_snapshot()

    def _start_run(self) -> KeySpace:
        key_space = KeySpace(f"run{self.run}", HEARTBEAT_MS)
        key_space.set(SUBTREE, 0, expected_table(self.run, 0))
        return key_space

    def _request_snapshot(self) -> None:
        self.replica.begin()
        self.snapshots.append(SNAPSHOT_REQUEST)

    def moves(self) -> list[str]:
        """Return the kinds of move that are possible."""
        moves = ["beat"] if len(self.published) < MAX_PUBLISHED else []
        if len(self.published) < MAX_PUBLISHED_CHANGES:
            moves.append("change")
        if self.run + 1 < RUNS:
            moves.append("restart")
        if self.published:
            moves.append("deliver")
            if self.faults_left:
                moves += ["lose", "double"]
        if self.faults_left and len(self.published) > 1:
            moves.append("swap")
        if self.snapshots:
            moves.append("snapshot")
        return moves

    def after(self, move: str) -> World:
        """Return the state after a move without changing this one."""
        world = copy.copy(self)
        world.key_space, world.replica = copy.copy(self.key_space), copy.copy(self.replica)
        world.key_space.held, world.key_space.heads = dict(self.key_space.held), dict(self.key_space.heads)
        world.replica.gathered = dict(self.replica.gathered)
        world.replica.incoming = {number: dict(rows) for number, rows in self.replica.incoming.items()}
        world.replica.heads = dict(self.replica.heads)
        world.published, world.snapshots = list(self.published), list(self.snapshots)
        world.apply(move)
        return world

    def apply(self, move: str) -> None:
        """Apply a move to this state."""
        getattr(self, f"_on_{move}")()

    def _on_change(self) -> None:
        self.version += 1
        self.published += self.key_space.set(SUBTREE, self.version, expected_table(self.run, self.version))

    def _on_beat(self) -> None:
        self.published.append(self.key_space.heartbeat(SUBTREE))

    def _on_restart(self) -> None:
        """Restart the assigner; published messages may still arrive, but the snapshot stream breaks."""
        self.run += 1
        self.version = 0
        self.key_space = self._start_run()
        self.snapshots = [SNAPSHOT_REQUEST] if self.replica.awaiting_snapshot else []
        self.replica.incoming, self.replica.heads = {}, {}

    def _on_deliver(self) -> None:
        self._receive(self.published.pop(0))

    def _on_lose(self) -> None:
        self.faults_left -= 1
        self.published.pop(0)

    def _on_double(self) -> None:
        self.faults_left -= 1
        self.published.insert(0, self.published[0])

    def _on_swap(self) -> None:
        self.faults_left -= 1
        self.published[0], self.published[-1] = self.published[-1], self.published[0]

    def _on_snapshot(self) -> None:
        """Deliver the next request to the assigner or the next snapshot, as a whole, to the subscriber."""
        if self.snapshots[0] == SNAPSHOT_REQUEST:
            self.snapshots[:1] = self.key_space.snapshot(SUBTREE)
            return
        message = self.snapshots.pop(0)
        while not isinstance(message, Kthxbai):
            self._receive(message)
            message = self.snapshots.pop(0)
        self._receive(message)

    def _receive(self, message: codec.Message) -> None:
        changes = self.replica.handle_message(message)
        if changes.needs_snapshot:
            self._request_snapshot()
        if not self.replica.synced:
            return
        held = self.held_version()
        if held is None:
            self.violation = f"a table that never was: {sorted(self.replica.held.items())}"
        elif held < self.seen:
            self.violation = f"went back from {self.seen} to {held}"
        else:
            self.seen = held

    def held_version(self) -> tuple[int, int] | None:
        """Return the run and version of the table held; None if it equals no version of any run."""
        for run in range(RUNS):
            for version in range(VERSIONS_COMPARED):
                if self.replica.held == expected_table(run, version):
                    return run, version
        return None

    def broken(self) -> str:
        """Return the description of a violated property; empty if there is none."""
        return self.violation

    def key(self) -> tuple:
        """Return a key that is equal for equal states only."""
        replica = self.replica
        return (
            self.run,
            self.version,
            self.faults_left,
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
        """Return the state after all messages in flight have arrived and heartbeats get through."""
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
        """Return whether the subscriber holds the newest table."""
        return (
            self.replica.synced
            and self.held_version() == (self.run, self.version)
            and not self.replica.awaiting_snapshot
        )


class ExplorationResult(NamedTuple):
    """Result of an exploration.

    Attributes:
        states: Number of different states that were visited.
        broken: Description of the first violation; empty if there is none.
        moves: Moves that lead to the violation.
    """

    states: int
    broken: str
    moves: tuple[str, ...]


def explore(depth: int, fault: str = "", begin: tuple[str, ...] = (), max_states: int = 400_000) -> ExplorationResult:
    """Explore every state within a number of moves, breadth first.

    Stop at the first state with a violation, or that does not settle on the newest table.

    Args:
        depth: Number of moves after those of `begin`.
        fault: Check that the replica leaves out (see `FaultyReplica`).
        begin: Moves that lead to the first state.
        max_states: Number of states after which no new ones are explored.
    """
    start = World(fault)
    for move in begin:
        start = start.after(move)
    queue, seen = deque([(start, ())]), {start.key()}
    while queue:
        world, moves = queue.popleft()
        if world.broken():
            return ExplorationResult(len(seen), world.broken(), moves)
        if len(moves) == depth:
            if len(seen) % SETTLE_SAMPLE == 0 and not fault and not world.settled().is_newest():
                return ExplorationResult(len(seen), "does not settle on the newest table", moves)
            continue
        for move in world.moves():
            after = world.after(move)
            key = after.key()
            if key not in seen and len(seen) < max_states:
                seen.add(key)
                queue.append((after, (*moves, move)))
    return ExplorationResult(len(seen), "", ())
