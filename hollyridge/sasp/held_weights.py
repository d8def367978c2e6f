"""Weight tables that a load balancer holds and updates from the messages of the service. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hollyridge.sasp import codec
from hollyridge.sasp.codec import Member, WeightFlags
from hollyridge.sasp.ownership_extension import GROUP_NAME


class Entry(NamedTuple):
    """Weight and `WeightFlags` of one member."""

    weight: int
    flags: int


class HeldWeights:
    """Weight tables that a load balancer holds, by group; each message is applied as a whole.

    The first entries of a group on a connection replace its table, so that members that this service never knew do not
    remain; later entries change the table. A group that is sent without entries leaves its table unchanged.

    Attributes:
        tables: Entries by member, by group; replaced on each change, so that a reader keeps a consistent copy.
        received_groups: Groups for which this connection has received entries.

    >>> held, member = HeldWeights(), Member.at("127.1.0.1", 80)
    >>> held.handle_message((codec.WeightsOf(codec.Group("g", "a"), (codec.Weight(member, 9),)),))
    >>> [(member.host, entry.weight) for member, entry in held.lines("a").items()]
    [('127.1.0.1', 9)]
    >>> held.handle_message((codec.WeightsOf(codec.Group("g", "a"), (codec.Weight(member, 0, WeightFlags.QUIESCE),)),))
    >>> held.lines("a")
    {}
    """

    def __init__(self) -> None:
        self.tables: dict[str, dict[Member, Entry]] = {}
        self.received_groups: set[str] = set()

    def new_stream(self) -> None:
        """Begin a new connection: the next entries of each group replace its table."""
        self.received_groups = set()

    def handle_message(self, groups: Iterable[codec.WeightsOf], whole: bool = False) -> None:
        """Apply one message; `whole` for a Get Weights Reply, which holds all entries of each group."""
        tables = dict(self.tables)
        received_groups = set(self.received_groups)
        for group, weights in groups:
            if not weights or group.name == GROUP_NAME:
                continue
            changed_groups = received_groups - self.received_groups if whole else received_groups
            table = dict(tables.get(group.name, {})) if group.name in changed_groups else {}
            for entry in weights:
                if entry.weight > 0 and not entry.flags & WeightFlags.QUIESCE:
                    table[entry.member] = Entry(entry.weight, entry.flags)
                else:
                    table.pop(entry.member, None)
            tables[group.name] = table
            received_groups.add(group.name)
        self.tables = tables
        self.received_groups = received_groups

    def lines(self, group: str) -> dict[Member, Entry]:
        """Return the entries of a group, by member."""
        return self.tables.get(group, {})
