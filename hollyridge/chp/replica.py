"""The client's side of subtrees: changed whole or not at all, whatever is lost, duplicated, late or reordered.

Decides when messages belong together, and when only a new snapshot will do. No sockets, no clock.
"""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.chp import codec
from hollyridge.chp.codec import Head, Kthxbai, Kvpub, Kvsync
from hollyridge.membership.fencing import FencingChecker

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


class ReplicaTables(NamedTuple):
    """What a proxy goes by, each by method name.

    Attributes:
        lines: Weight by task (`host:port`).
        levels: Fraction let in, and how retries go on.
        versions: Version of the table in use.
    """

    lines: dict[str, dict[str, float]]
    levels: dict[str, tuple[float, int]]
    versions: dict[str, int]


def lines_of(replica: Replica) -> dict[str, float]:
    """The weights in a table's subtree, without those of 0.

    >>> replica = Replica("/table/0/"); replica.held = {"/table/0/line/127.0.0.1:80": b'{"w":0.5,"v":1}'}
    >>> lines_of(replica)
    {'127.0.0.1:80': 0.5}
    """
    start = replica.subtree + "line/"
    found = {
        key[len(start) :]: codec.value_of(codec.Line, raw).weight
        for key, raw in replica.held.items()
        if key.startswith(start)
    }
    return {task: weight for task, weight in found.items() if weight > 0}


def level_of(replica: Replica, method: int) -> tuple[float, int]:
    """Admission and retries of one method in a table's subtree; the lowest amount where masks overlap."""
    start = replica.subtree + "level/"
    amount = 1.0
    retry = 0
    for key, raw in sorted(replica.held.items()):
        if key.startswith(start):
            mask = int(key[len(start) :] or 0)
            if not mask or mask >> method & 1:
                level = codec.value_of(codec.Level, raw)
                amount = min(amount, level.amount)
                retry = level.retry
    return amount, retry


class ClientChanges(NamedTuple):
    """What a message did to the subtrees of a proxy.

    Attributes:
        ask: Subtrees to ask for.
        drop: Subtrees that are of no more use.
        changed: Whether the tables to go by are new.
    """

    ask: list[str]
    drop: list[str]
    changed: bool


class Client:
    """All subtrees of one proxy: its own bindings, the tables that they name, and the ejected tasks.

    A table that a binding newly names is used once it is whole, until then the former one is.

    Attributes:
        home: The proxy's own subtree.
        tables: What to go by; replaced only when every table in use is whole.
        applied: How often it was replaced.
    """

    def __init__(self, uid: str, methods: list[str], fencing: FencingChecker | None = None) -> None:
        self.home = f"/proxy/{uid}/"
        self.methods = methods
        self.fencing = fencing or FencingChecker()
        self.replicas = {self.home: Replica(self.home), codec.OUT: Replica(codec.OUT)}
        self.tables = ReplicaTables({}, {}, {})
        self.applied = 0

    def own(self) -> codec.Own:
        """Who owns the proxy, as the bindings held were sent."""
        raw = self.replicas[self.home].held.get(self.home + "own")
        return codec.value_of(codec.Own, raw) if raw else codec.Own()

    def go(self) -> codec.Go | None:
        """Which assigner should be asked in place of this one, None if this one serves."""
        home = self.replicas[self.home]
        raw = home.held.get(self.home + "go") if home.synced and not home.asking else None
        return codec.value_of(codec.Go, raw) if raw else None

    def wanted(self) -> dict[str, str]:
        """The subtree of the table that each method is bound to."""
        start = self.home + "bind/"
        found = {}
        for key, raw in self.replicas[self.home].held.items():
            method = key[len(start) :]
            if key.startswith(start) and method in self.methods:
                found[method] = f"/table/{codec.value_of(codec.Bind, raw).table}/"
        return found

    def take(self, message: codec.Message) -> ClientChanges:
        """Take one message of any subtree."""
        subtree = codec.subtree_of_message(message)
        replica = self.replicas.get(subtree)
        if replica is None:
            return ClientChanges([], [], False)
        did = replica.take(message)
        ends_snapshot = type(message) is Kthxbai
        ask = [subtree] if did.ask else []
        if subtree == self.home and (did.applied or (did.beat and ends_snapshot)):
            ask += self._subtrees_to_ask(ends_snapshot)
        for asked in ask:
            self.replicas[asked].begin()
        changed = did.applied and self.lay()
        return ClientChanges(ask, self._drop_unused() if changed else [], changed)

    def _subtrees_to_ask(self, ends_snapshot: bool) -> list[str]:
        """Tables that are bound for the first time; after a snapshot of the bindings also those still asked for."""
        ask = []
        for table in dict.fromkeys((codec.OUT, *self.wanted().values())):
            if table not in self.replicas or (self.replicas[table].asking and ends_snapshot):
                self.replicas.setdefault(table, Replica(table))
                ask.append(table)
        return ask

    def _drop_unused(self) -> list[str]:
        used = {self.home, codec.OUT, *self.wanted().values()}
        unused = [subtree for subtree in self.replicas if subtree not in used]
        for subtree in unused:
            del self.replicas[subtree]
        return unused

    def lay(self) -> bool:
        """Make `tables` new, if every table in use is whole and its sender is to be obeyed."""
        wanted = self.wanted()
        if not wanted or not all(self.replicas[table].synced for table in wanted.values()):
            return False
        if not self.fencing.obeys(self.own().fence):
            return False
        ejected = {key[len(codec.OUT) :] for key in self.replicas[codec.OUT].held}
        lines = {
            table: {task: weight for task, weight in lines_of(self.replicas[table]).items() if task not in ejected}
            for table in set(wanted.values())
        }
        self.tables = ReplicaTables(
            {method: lines[table] for method, table in wanted.items()},
            {
                method: level_of(self.replicas[table], index)
                for index, method in enumerate(self.methods)
                if (table := wanted.get(method))
            },
            {method: self.replicas[table].head.version for method, table in wanted.items()},
        )
        self.applied += 1
        return True

    def seqs(self) -> dict[str, int]:
        """Sequence number of the head held, by subtree."""
        return {subtree: replica.head.seq for subtree, replica in self.replicas.items() if replica.synced}
