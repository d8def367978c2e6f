"""What each proxy is to hold, and the one message that each is owed for what the module ordered at once."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Union

from hollyridge.interface import AskReceipt, Attach, DropTable, Order, PutLine, SetLevel, Withdraw


class Abilities(NamedTuple):
    """What a front can carry. `groups`: how often a line is said to a proxy, once for each group of methods."""

    levels: bool
    further_tries: bool
    withdrawals: bool
    receipts: bool
    groups: int


class Whole(NamedTuple):
    """A table in full, for the methods whose bits are set."""

    table: int
    methods: int
    lines: dict[int, float]


Step = Union[PutLine, Whole, SetLevel, Withdraw, DropTable]


class Parcel(NamedTuple):
    """One message to one proxy: steps in the order they were ordered. `number` is that of the decision."""

    proxy: int
    number: int
    at: int
    steps: tuple[Step, ...]
    mark: int  # -1 for none
    urgent: bool = False


class Desk:
    """Tables as ordered, and who uses which.

    >>> desk = Desk(methods=2)
    >>> can = Abilities(False, False, False, True, 1)
    >>> for p in desk.carry(1, 5, [PutLine(1.0, 3, 0), Attach(9, 0, 0), AskReceipt(1, False)], {9: can}).parcels:
    ...     print(p.proxy, p.steps, p.mark)
    9 (Whole(table=0, methods=3, lines={3: 1.0}),) 1
    """

    def __init__(self, methods: int) -> None:
        self.every = (1 << methods) - 1
        self.tables: dict[int, dict[int, float]] = {}
        self.bound: dict[int, dict[int, int]] = {}  # proxy: table by method
        self.users: dict[int, dict[int, None]] = {}  # table: proxies, in the order they came
        self.out: set[int] = set()

    def forget(self, proxy: int) -> None:
        for table in set(self.bound.pop(proxy, {}).values()):
            self.users[table].pop(proxy, None)

    def carry(self, now: int, number: int, orders: Iterable[Order], fronts: dict[int, Abilities]) -> Carried:
        """Take the orders about tables. An order that a proxy's front can't carry is refused with a reason;
        others go on."""
        steps: dict[int, list[Step]] = {}
        refused: dict[str, int] = {}
        mark, everyone = -1, False

        def refuse(why: str) -> None:
            refused[why] = refused.get(why, 0) + 1

        def tell(proxies: Iterable[int], step: Step, needs: str = "") -> None:
            for proxy in proxies:
                if needs and not getattr(fronts[proxy], needs):
                    refuse(f"front has no {needs}")
                else:
                    steps.setdefault(proxy, []).append(step)

        for order in orders:
            kind = type(order)
            if kind is PutLine:
                lines = self.tables.setdefault(order.table, {})
                if order.weight > 0:
                    lines[order.task] = order.weight
                else:
                    lines.pop(order.task, None)
                tell(self.users.get(order.table, ()), order)
            elif kind is Attach:
                if order.proxy not in fronts:
                    refuse("proxy has left")
                    continue
                mask = (order.methods or self.every) & self.every
                self.bind(order.proxy, order.table, mask)
                snapshot = dict(self.tables.get(order.table, {}))
                tell([order.proxy], Whole(order.table, mask, snapshot))
            elif kind is DropTable:
                self.tables.pop(order.table, None)
                tell(self.users.get(order.table, ()), order)
            elif kind is SetLevel:
                tell(self.users.get(order.table, ()), order, "levels")
            elif kind is Withdraw:
                (self.out.add if order.out else self.out.discard)(order.task)
                tell(self.bound, order, "withdrawals")
            elif kind is AskReceipt:
                mark, everyone = order.mark, order.everyone
            else:
                refuse(f"no {kind.__name__} here")
        if everyone:
            for proxy in fronts:
                steps.setdefault(proxy, [])
        parcels = [Parcel(proxy, number, now, tuple(todo), mark, any(type(s) is Whole for s in todo))
                   for proxy, todo in steps.items()]
        return Carried(parcels, refused)

    def bind(self, proxy: int, table: int, mask: int) -> None:
        mine = self.bound.setdefault(proxy, {})
        before = set(mine.values())
        mine.update((k, table) for k in range(mask.bit_length()) if mask >> k & 1)
        for old in before - set(mine.values()):
            self.users[old].pop(proxy, None)
        self.users.setdefault(table, {})[proxy] = None


class Carried(NamedTuple):
    parcels: list[Parcel]
    refused: dict[str, int]
