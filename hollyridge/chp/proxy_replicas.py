"""Client side of all subtrees of one proxy, and the tables that result from them. No sockets, no clock."""

from __future__ import annotations

from typing import NamedTuple

from hollyridge.chp import codec
from hollyridge.chp.codec import Kthxbai
from hollyridge.chp.replica import Replica
from hollyridge.membership.fencing import FencingChecker


class ReplicaTables(NamedTuple):
    """Tables and admission levels of a proxy, each by method name.

    Attributes:
        lines: Weights by task (`host:port`).
        levels: Admitted fraction and retry mode.
        versions: Version of the table in use.
    """

    lines: dict[str, dict[str, float]]
    levels: dict[str, tuple[float, int]]
    versions: dict[str, int]


def lines_of(replica: Replica) -> dict[str, float]:
    """Return the positive weights in a table's subtree, by task.

    >>> replica = Replica("/table/0/"); replica.held = {"/table/0/line/127.0.0.1:80": b'{"w":0.5,"v":1}'}
    >>> lines_of(replica)
    {'127.0.0.1:80': 0.5}
    """
    prefix = replica.subtree + "line/"
    found = {
        key[len(prefix) :]: codec.value_of(codec.Line, raw).weight
        for key, raw in replica.held.items()
        if key.startswith(prefix)
    }
    return {task: weight for task, weight in found.items() if weight > 0}


def level_of(replica: Replica, method: int) -> tuple[float, int]:
    """Return the admitted fraction and retry mode of one method in a table's subtree.

    If several masks contain the method, the lowest fraction applies.
    """
    prefix = replica.subtree + "level/"
    amount = 1.0
    retry = 0
    for key, raw in sorted(replica.held.items()):
        if key.startswith(prefix):
            mask = int(key[len(prefix) :] or 0)
            if not mask or mask >> method & 1:
                level = codec.value_of(codec.Level, raw)
                amount = min(amount, level.amount)
                retry = level.retry
    return amount, retry


class ClientChanges(NamedTuple):
    """Effects of a message on the subtrees of a proxy.

    Attributes:
        needed: Subtrees of which a snapshot has to be requested.
        unused: Subtrees that are no longer used.
        changed: Whether the tables in use were replaced.
    """

    needed: list[str]
    unused: list[str]
    changed: bool


class ProxyReplicas:
    """Replicas of all subtrees of one proxy: its bindings, the bound tables, and the ejected tasks.

    A newly bound table is used once it is complete; until then the previous table stays in use.

    Attributes:
        home: The proxy's own subtree.
        tables: Tables in use; replaced only when every bound table is complete.
        applied: Number of times that the tables were replaced.
    """

    def __init__(self, uid: str, methods: list[str], fencing: FencingChecker | None = None) -> None:
        self.home = f"/proxy/{uid}/"
        self.methods = methods
        self.fencing = fencing or FencingChecker()
        self.replicas = {self.home: Replica(self.home), codec.EJECTED_SUBTREE: Replica(codec.EJECTED_SUBTREE)}
        self.tables = ReplicaTables({}, {}, {})
        self.applied = 0

    def ownership(self) -> codec.Own:
        """Return the ownership under which the current bindings were sent."""
        raw = self.replicas[self.home].held.get(self.home + "own")
        return codec.value_of(codec.Own, raw) if raw else codec.Own()

    def redirect(self) -> codec.Go | None:
        """Return the redirect to another assigner, None if this assigner serves the proxy."""
        home = self.replicas[self.home]
        raw = home.held.get(self.home + "go") if home.synced and not home.awaiting_snapshot else None
        return codec.value_of(codec.Go, raw) if raw else None

    def bound_tables(self) -> dict[str, str]:
        """Return the subtree of the table that each method is bound to, by method name."""
        prefix = self.home + "bind/"
        found = {}
        for key, raw in self.replicas[self.home].held.items():
            method = key[len(prefix) :]
            if key.startswith(prefix) and method in self.methods:
                found[method] = f"/table/{codec.value_of(codec.Bind, raw).table}/"
        return found

    def handle_message(self, message: codec.Message) -> ClientChanges:
        """Process one message of any subtree."""
        subtree = codec.subtree_of_message(message)
        replica = self.replicas.get(subtree)
        if replica is None:
            return ClientChanges([], [], False)
        changes = replica.handle_message(message)
        ends_snapshot = type(message) is Kthxbai
        needed = [subtree] if changes.needs_snapshot else []
        if subtree == self.home and (changes.applied or (changes.head_applied and ends_snapshot)):
            needed += self._subtrees_to_request(ends_snapshot)
        for needed_subtree in needed:
            self.replicas[needed_subtree].begin()
        changed = changes.applied and self.rebuild_tables()
        return ClientChanges(needed, self._drop_unused() if changed else [], changed)

    def _subtrees_to_request(self, ends_snapshot: bool) -> list[str]:
        """Return newly bound tables and, after a snapshot of the bindings, those whose snapshot is still missing."""
        needed = []
        for table in dict.fromkeys((codec.EJECTED_SUBTREE, *self.bound_tables().values())):
            if table not in self.replicas or (self.replicas[table].awaiting_snapshot and ends_snapshot):
                self.replicas.setdefault(table, Replica(table))
                needed.append(table)
        return needed

    def _drop_unused(self) -> list[str]:
        used = {self.home, codec.EJECTED_SUBTREE, *self.bound_tables().values()}
        unused = [subtree for subtree in self.replicas if subtree not in used]
        for subtree in unused:
            del self.replicas[subtree]
        return unused

    def rebuild_tables(self) -> bool:
        """Replace `tables` if every bound table is complete and the fencing token is accepted.

        Returns:
            Whether `tables` was replaced.
        """
        bound = self.bound_tables()
        if not bound or not all(self.replicas[table].synced for table in bound.values()):
            return False
        if not self.fencing.accepts(self.ownership().fence):
            return False
        ejected = {key[len(codec.EJECTED_SUBTREE) :] for key in self.replicas[codec.EJECTED_SUBTREE].held}
        lines = {
            table: {task: weight for task, weight in lines_of(self.replicas[table]).items() if task not in ejected}
            for table in set(bound.values())
        }
        self.tables = ReplicaTables(
            {method: lines[table] for method, table in bound.items()},
            {
                method: level_of(self.replicas[table], index)
                for index, method in enumerate(self.methods)
                if (table := bound.get(method))
            },
            {method: self.replicas[table].head.version for method, table in bound.items()},
        )
        self.applied += 1
        return True

    def applied_heads(self) -> dict[str, int]:
        """Return the sequence number of the applied head, by subtree."""
        return {subtree: replica.head.seq for subtree, replica in self.replicas.items() if replica.synced}
