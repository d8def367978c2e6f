"""The client's side of one subtree: changed whole or not at all, whatever is lost, doubled, late or mixed up.

Decides when what came belongs together, and when only a new snapshot will do. No sockets, no clock.
"""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.chp import codec
from hollyridge.chp.codec import Head, Kthxbai, Kvpub, Kvsync
from hollyridge.membership.fencing import FencingChecker

GATHERED_MOST = 20_000  # messages kept for a change whose head has not come


class ReplicaChanges(NamedTuple):
    """`applied`: the subtree holds something new. `ask`: a snapshot is needed. `beat`: a sign of life."""

    applied: bool = False
    ask: bool = False
    beat: bool = False


NOTHING = ReplicaChanges()


class Replica:
    """`held` is the subtree as of `head`, and replaced, never altered: a reader may keep it.

    `asking` is true from the start and after a gap, until a snapshot came. Heads of another epoch, or behind what
    is held, are never applied; a snapshot of another epoch is, since it was asked for.
    """

    def __init__(self, subtree: str) -> None:
        self.subtree = subtree
        self.held: dict[str, bytes] = {}
        self.head = Head()
        self.synced, self.asking = False, True
        self.gathered: dict[tuple[bytes, int], Kvpub] = {}  # by run and number, what may come after the head held
        self.incoming: dict[int, dict[str, bytes]] = {}  # rows of snapshots by their number
        self.heads: dict[int, Head] = {}

    def take(self, message: Kvsync | Kthxbai | Kvpub) -> ReplicaChanges:
        """One message of this subtree. CloneError for a head that is none."""
        if type(message) is Kvsync:
            if message.key == self.subtree + "head":
                self.heads[message.sequence] = codec.value_of(Head, message.value)
            else:
                self.incoming.setdefault(message.sequence, {})[message.key] = message.value
            return NOTHING
        if type(message) is Kthxbai:
            return self.snapshot(message.sequence)
        if message.key == self.subtree + "head":
            return self.change(codec.value_of(Head, message.value))
        if len(self.gathered) < GATHERED_MOST:
            self.gathered[message.uuid, message.sequence] = message
        return NOTHING

    def begin(self) -> None:
        """A snapshot was asked for: what an earlier one began to bring is void."""
        self.asking = True
        self.incoming, self.heads = {}, {}

    def snapshot(self, number: int) -> ReplicaChanges:
        head, rows = self.heads.pop(number, None), self.incoming.pop(number, {})
        if head is None or len(rows) != head.total:  # nothing there yet, or not all of it: what is held stays
            return NOTHING
        same = self.synced and head.epoch == self.head.epoch
        if same and head.seq < self.head.seq or self.synced and not same and not self.asking:
            return NOTHING  # an older one, overtaken by what came since, or one that nobody asked for
        new = not self.synced or rows != self.held
        self.held, self.head, self.synced, self.asking = rows, head, True, False
        self.incoming, self.heads = {}, {}
        self.prune()
        return ReplicaChanges(applied=new, beat=True)

    def prune(self) -> None:
        mine = codec.uuid_of(self.head.epoch)
        self.gathered = {key: m for key, m in self.gathered.items() if key[0] == mine and key[1] > self.head.seq}

    def change(self, head: Head) -> ReplicaChanges:
        if not self.synced:
            return ReplicaChanges(ask=not self.asking)
        if head.epoch != self.head.epoch:
            return ReplicaChanges(ask=not self.asking)
        if head.seq <= self.head.seq:
            return ReplicaChanges(beat=head.seq == self.head.seq)
        uuid = codec.uuid_of(head.epoch)
        mine = sorted(seq for run, seq in self.gathered if run == uuid and self.head.seq < seq < head.seq)
        if head.prev != self.head.seq or len(mine) != head.count:
            return ReplicaChanges(ask=not self.asking)
        held = dict(self.held)
        for seq in mine:
            message = self.gathered[uuid, seq]
            if message.value:
                held[message.key] = message.value
            else:
                held.pop(message.key, None)
        self.held, self.head = held, head
        self.prune()
        return ReplicaChanges(applied=True, beat=True)


class ReplicaTables(NamedTuple):
    """What a proxy goes by: lines by method index, weight by `host:port`; the version of each table in use."""

    lines: dict[str, dict[str, float]]
    levels: dict[str, tuple[float, int]]
    versions: dict[str, int]


def lines_of(replica: Replica) -> dict[str, float]:
    """
    >>> r = Replica("/table/0/"); r.held = {"/table/0/line/127.0.0.1:80": b'{"w":0.5,"v":1}'}
    >>> lines_of(r)
    {'127.0.0.1:80': 0.5}
    """
    start = replica.subtree + "line/"
    found = {
        key[len(start) :]: codec.value_of(codec.Line, raw).w
        for key, raw in replica.held.items()
        if key.startswith(start)
    }
    return {task: weight for task, weight in found.items() if weight > 0}


def level_of(replica: Replica, method: int) -> tuple[float, int]:
    """Amount and way to try again for one method; the lower amount where masks overlap."""
    start, amount, retry = replica.subtree + "level/", 1.0, 0
    for key, raw in sorted(replica.held.items()):
        if key.startswith(start):
            mask = int(key[len(start) :] or 0)
            if not mask or mask >> method & 1:
                level = codec.value_of(codec.Level, raw)
                amount, retry = min(amount, level.amount), level.retry
    return amount, retry


class Client:
    """All subtrees of one proxy: its own bindings, and the tables that they name. `take` returns the subtrees to
    ask for; `tables` is what to go by, replaced only when every table in use is whole. A table that the bindings
    turn to is used once it has come, until then the former one is."""

    def __init__(self, uid: str, methods: list[str], judge: FencingChecker | None = None) -> None:
        self.home, self.methods, self.judge = f"/proxy/{uid}/", methods, judge or FencingChecker()
        self.replicas = {self.home: Replica(self.home), codec.OUT: Replica(codec.OUT)}
        self.tables = ReplicaTables({}, {}, {})
        self.applied = 0

    def own(self) -> codec.Own:
        raw = self.replicas[self.home].held.get(self.home + "own")
        return codec.value_of(codec.Own, raw) if raw else codec.Own()

    def go(self) -> codec.Go | None:
        """Which assigner should be asked in place of this one, if this one has said so."""
        home = self.replicas[self.home]
        raw = home.held.get(self.home + "go") if home.synced and not home.asking else None
        return codec.value_of(codec.Go, raw) if raw else None

    def wanted(self) -> dict[str, str]:
        """Subtree by method, as the bindings say now."""
        start, found = self.home + "bind/", {}
        for key, raw in self.replicas[self.home].held.items():
            if key.startswith(start) and key[len(start) :] in self.methods:
                found[key[len(start) :]] = f"/table/{codec.value_of(codec.Bind, raw).table}/"
        return found

    def take(self, message: codec.Message) -> tuple[list[str], list[str], bool]:
        """Subtrees to ask for, subtrees that are of no more use, and whether `tables` changed."""
        subtree = message.subtree if type(message) is Kthxbai else codec.subtree_of(getattr(message, "key", ""))
        replica = self.replicas.get(subtree)
        if replica is None:
            return [], [], False
        did = replica.take(message)
        ask = [subtree] if did.ask else []
        drop: list[str] = []
        if subtree == self.home and (did.applied or did.beat and type(message) is Kthxbai):
            for table in dict.fromkeys((codec.OUT, *self.wanted().values())):
                if table not in self.replicas or self.replicas[table].asking and type(message) is Kthxbai:
                    self.replicas.setdefault(table, Replica(table))
                    ask.append(table)
        for one in ask:
            self.replicas[one].begin()
        changed = did.applied and self.lay()
        if changed:
            used = {self.home, codec.OUT, *self.wanted().values()}
            drop = [one for one in self.replicas if one not in used]
            for one in drop:
                del self.replicas[one]
        return ask, drop, changed

    def lay(self) -> bool:
        """Put together what to go by, if all of it is there and comes from who is to be obeyed."""
        wanted = self.wanted()
        if not wanted or not all(self.replicas[table].synced for table in wanted.values()):
            return False
        if not self.judge.accepts(self.own().fence):
            return False
        out = {key[len(codec.OUT) :] for key in self.replicas[codec.OUT].held}
        lines = {
            table: {task: weight for task, weight in lines_of(self.replicas[table]).items() if task not in out}
            for table in set(wanted.values())
        }
        self.tables = ReplicaTables(
            {method: lines[table] for method, table in wanted.items()},
            {
                method: level_of(self.replicas[table], k)
                for k, method in enumerate(self.methods)
                if (table := wanted.get(method))
            },
            {method: self.replicas[table].head.version for method, table in wanted.items()},
        )
        self.applied += 1
        return True

    def seqs(self) -> dict[str, int]:
        return {subtree: replica.head.seq for subtree, replica in self.replicas.items() if replica.synced}
