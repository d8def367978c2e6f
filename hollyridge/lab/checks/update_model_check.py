"""The update protocol as a small world that can be explored: one table, one reader, a wire that loses, doubles and
reorders, and an assigner that restarts with smaller numbers. The replica and the ledger are the real ones."""

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


def target(run: int, version: int) -> dict[str, bytes]:
    """What the table holds at a version: each value names its run and version, so that a mixture shows."""
    names = VERSIONS[version % len(VERSIONS)]
    return {f"{SUBTREE}line/{name}": f"{run}.{version}".encode() for name in names}


class FaultyReplica(Replica):
    """Replicas that leave out one check; the exploration must find what that breaks."""

    fault = ""

    def change(self, head: codec.Head) -> ReplicaChanges:
        same = self.synced and head.epoch == self.head.epoch
        if self.fault == "no count" and same and head.prev == self.head.seq:
            uuid = codec.uuid_of(head.epoch)
            mine = [seq for run, seq in self.gathered if run == uuid and self.head.seq < seq < head.seq]
            head = head_of(head, len(mine))
        if self.fault == "no run" and self.synced and head.epoch != self.head.epoch:
            self.head = codec.Head(head.epoch, head.version, head.prev, head.prev)
        if self.fault == "no order" and same and head.seq < self.head.seq:
            self.head = codec.Head(head.epoch, 0, head.prev, 0)
        return super().change(head)

    def prune(self) -> None:
        if self.fault != "no order":
            super().prune()


def head_of(head: codec.Head, count: int) -> codec.Head:
    return codec.Head(head.epoch, head.version, head.seq, head.prev, count, head.total, head.heartbeat_ms)


class World:
    """Moves: the assigner changes the table, beats or restarts; the wire delivers, loses, doubles or swaps what is
    published; the snapshot's stream delivers or breaks. Loss and doubling are bounded: the world is finite."""

    def __init__(self, fault: str = "") -> None:
        self.run, self.version = 0, 0
        self.ledger = KeySpace("run0", 500)
        self.ledger.set(SUBTREE, 0, target(0, 0))
        self.replica = FaultyReplica(SUBTREE)
        self.replica.fault = fault
        self.published: list[Kvpub] = []
        self.snapshots: list = []
        self.mischief = 4
        self.seen: tuple[int, int] = (-1, -1)
        self.wrong = ""
        self.ask()

    def ask(self) -> None:
        self.replica.begin()
        self.snapshots.append("ICANHAZ")

    def moves(self) -> list[str]:
        found = ["beat"] if len(self.published) < 8 else []
        if len(self.published) < 5:
            found.append("change")
        if self.run + 1 < RUNS:
            found.append("restart")
        if self.published:
            found.append("deliver")
            if self.mischief:
                found += ["lose", "double"]
        if self.mischief and len(self.published) > 1:
            found.append("swap")
        if self.snapshots:
            found.append("snapshot")
        return found

    def after(self, move: str) -> World:
        world = copy.copy(self)
        world.ledger, world.replica = copy.copy(self.ledger), copy.copy(self.replica)
        world.ledger.held, world.ledger.heads = dict(self.ledger.held), dict(self.ledger.heads)
        world.replica.gathered = dict(self.replica.gathered)
        world.replica.incoming = {k: dict(v) for k, v in self.replica.incoming.items()}
        world.replica.heads = dict(self.replica.heads)
        world.published, world.snapshots = list(self.published), list(self.snapshots)
        world.do(move)
        return world

    def do(self, move: str) -> None:
        if move == "change":
            self.version += 1
            self.published += self.ledger.set(SUBTREE, self.version, target(self.run, self.version))
        elif move == "beat":
            self.published.append(self.ledger.heartbeat(SUBTREE))
        elif move == "restart":  # what was published may still arrive; the snapshot's stream does not survive
            self.run, self.version = self.run + 1, 0
            self.ledger = KeySpace(f"run{self.run}", 500)
            self.ledger.set(SUBTREE, 0, target(self.run, 0))
            self.snapshots = ["ICANHAZ"] if self.replica.asking else []
            self.replica.incoming, self.replica.heads = {}, {}
        elif move == "deliver":
            self.take(self.published.pop(0))
        elif move == "lose":
            self.mischief -= 1
            self.published.pop(0)
        elif move == "double":
            self.mischief -= 1
            self.published.insert(0, self.published[0])
        elif move == "swap":
            self.mischief -= 1
            self.published[0], self.published[-1] = self.published[-1], self.published[0]
        elif self.snapshots[0] == "ICANHAZ":
            self.snapshots[:1] = self.ledger.snapshot(SUBTREE)
        else:
            message = self.snapshots.pop(0)
            while not isinstance(message, Kthxbai):
                self.take(message)
                message = self.snapshots.pop(0)
            self.take(message)

    def take(self, message) -> None:
        did = self.replica.take(message)
        if did.ask:
            self.ask()
        if self.replica.synced:
            at = self.at()
            if at is None:
                self.wrong = f"a table that never was: {sorted(self.replica.held.items())}"
            elif at < self.seen:
                self.wrong = f"went back from {self.seen} to {at}"
            else:
                self.seen = at

    def at(self) -> tuple[int, int] | None:
        """Run and version of what is held, None if no version was ever like it."""
        for run in range(RUNS):
            for version in range(64):
                if self.replica.held == target(run, version):
                    return run, version
        return None

    def broken(self) -> str:
        return self.wrong

    def key(self) -> tuple:
        replica = self.replica
        return (
            self.run,
            self.version,
            self.mischief,
            self.seen,
            replica.asking,
            replica.synced,
            replica.head.epoch,
            replica.head.seq,
            tuple(sorted(replica.held.items())),
            tuple(sorted(replica.gathered)),
            tuple(replica.incoming),
            tuple((m.uuid, m.sequence, m.key) for m in self.published),
            tuple(str(m) for m in self.snapshots),
        )

    def settled(self) -> World:
        """What comes of it when all that is on its way arrives and heartbeats get through."""
        world = self
        for _ in range(200):
            moves = world.moves()
            move = next((m for m in ("snapshot", "deliver") if m in moves), None)
            if move is None:
                if world.is_newest():
                    return world
                move = "beat"
            world = world.after(move)
        return world

    def is_newest(self) -> bool:
        return self.replica.synced and self.at() == (self.run, self.version) and not self.replica.asking


class Found(NamedTuple):
    states: int
    broken: str
    moves: tuple[str, ...]


def explore(depth: int, fault: str = "", begin: tuple[str, ...] = (), states_most: int = 400_000) -> Found:
    """Every world within so many moves of the start (after the moves of `begin`), breadth first. The first that is
    broken ends it, with the moves that lead there; so does a world that does not settle on the newest table."""
    start = World(fault)
    for move in begin:
        start = start.after(move)
    queue, seen = deque([(start, ())]), {start.key()}
    while queue:
        world, moves = queue.popleft()
        if world.broken():
            return Found(len(seen), world.broken(), moves)
        if len(moves) == depth:
            if len(seen) % 7 == 0 and not fault and not world.settled().is_newest():
                return Found(len(seen), "does not settle on the newest table", moves)
            continue
        for move in world.moves():
            after = world.after(move)
            key = after.key()
            if key not in seen and len(seen) < states_most:
                seen.add(key)
                queue.append((after, (*moves, move)))
    return Found(len(seen), "", ())
