"""The client's side of all subtrees of one proxy, and the tables that they come to. No sockets, no clock."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.chp import codec
from hollyridge.chp.codec import Kthxbai
from hollyridge.chp.replica import Replica
from hollyridge.membership.fencing import FencingChecker


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


class ProxyReplicas:
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

    def ownership(self) -> codec.Own:
        """Who owns the proxy, as the bindings held were sent."""
        raw = self.replicas[self.home].held.get(self.home + "own")
        return codec.value_of(codec.Own, raw) if raw else codec.Own()

    def redirect(self) -> codec.Go | None:
        """Which assigner should be asked in place of this one, None if this one serves."""
        home = self.replicas[self.home]
        raw = home.held.get(self.home + "go") if home.synced and not home.asking else None
        return codec.value_of(codec.Go, raw) if raw else None

    def bound_tables(self) -> dict[str, str]:
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
        changed = did.applied and self.rebuild_tables()
        return ClientChanges(ask, self._drop_unused() if changed else [], changed)

    def _subtrees_to_ask(self, ends_snapshot: bool) -> list[str]:
        """Tables that are bound for the first time; after a snapshot of the bindings also those still asked for."""
        ask = []
        for table in dict.fromkeys((codec.OUT, *self.bound_tables().values())):
            if table not in self.replicas or (self.replicas[table].asking and ends_snapshot):
                self.replicas.setdefault(table, Replica(table))
                ask.append(table)
        return ask

    def _drop_unused(self) -> list[str]:
        used = {self.home, codec.OUT, *self.bound_tables().values()}
        unused = [subtree for subtree in self.replicas if subtree not in used]
        for subtree in unused:
            del self.replicas[subtree]
        return unused

    def rebuild_tables(self) -> bool:
        """Make `tables` new, if every table in use is whole and its sender is to be obeyed."""
        wanted = self.bound_tables()
        if not wanted or not all(self.replicas[table].synced for table in wanted.values()):
            return False
        if not self.fencing.accepts(self.ownership().fence):
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

    def applied_heads(self) -> dict[str, int]:
        """Sequence number of the head held, by subtree."""
        return {subtree: replica.head.seq for subtree, replica in self.replicas.items() if replica.synced}
