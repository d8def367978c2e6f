"""Leases, fencing and handover as a small world that can be explored: two assigners that may be cut from each other,
stand still or restart, one proxy, and orders on their way that arrive late and in any order. Owners and judge are the
real ones. What must never happen: an order of one who was followed by another is applied after the other's, unless the
proxy asked again. What must always be possible: to ask either of them and be ordered."""

from __future__ import annotations

import copy
from typing import NamedTuple

from hollyridge.membership.fencing import FencingChecker
from hollyridge.membership.leases import (
    LeaseConfig,
    LeaseGranted,
    LeaseManager,
    MembersChanged,
    MemberState,
    ProxyAsked,
    ReleaseProxy,
    Tick,
    TokenAcknowledged,
)

NAMES = ("a", "b")
LEASE = LeaseConfig(duration_us=2, settle_us=1, move_period_us=1)  # in steps of this world
UID = "gw-1"


class FaultyFencingChecker(FencingChecker):
    def accepts(self, fencing_token: int) -> bool:
        return True


class Order(NamedTuple):
    name: str
    run: int
    fence: int


class World:
    """Moves: the proxy asks an assigner (after its old stream broke, as it sees it), pleading or not; it hears from the
    one it has; an assigner orders, looks at its leases, restarts; a cut begins or ends; an order arrives; time passes,
    for those who look."""

    def __init__(self, fencing: bool = True, asks: int = 3, orders: int = 3, restarts: int = 1) -> None:
        self.judge = FencingChecker() if fencing else FaultyFencingChecker()
        self.asks, self.orders, self.restarts, self.steps = asks, orders, restarts, 3
        self.now, self.cut = 0, False
        self.run = dict.fromkeys(NAMES, 0)
        self.owners: dict[str, LeaseManager] = {}
        for name in NAMES:
            self.begin(name)
        self.stream = ""  # whom the proxy hears
        self.flying: list[Order] = []
        self.applied: list[tuple[str, int, int]] = []  # whose orders were applied: who, which run, asked when
        self.wrong = ""

    def begin(self, name: str) -> None:
        self.owners[name] = LeaseManager(name, LEASE)
        self.look(name)

    def look(self, name: str) -> None:
        there = [name] if self.cut else NAMES
        self.owners[name].handle(self.now, MembersChanged({one: MemberState("", 1.0, 0) for one in there}))

    def moves(self) -> list[tuple]:
        found: list[tuple] = []
        if self.asks:
            found += [("ask", name, plea) for name in NAMES for plea in (False, True)]
        if self.orders:
            found += [("order", name) for name in NAMES if UID in self.owners[name].held]
        if self.stream:
            found.append(("hear",))
        found += [("tick", name) for name in NAMES if self.owners[name].held]
        if self.restarts:
            found += [("restart", name) for name in NAMES]
        if self.steps:
            found += [("wait",), ("cut",)]
        found += [("arrive", order) for order in dict.fromkeys(self.flying)]
        return found

    def play(self, move: tuple) -> None:
        kind = move[0]
        if kind == "ask":
            _, name, plea = move
            self.asks -= 1
            # Its old stream is not known to be gone at the other end: no word of it goes there.
            for do in self.owners[name].handle(self.now, ProxyAsked(UID, "", self.judge.next_token(), plea)):
                if isinstance(do, LeaseGranted):
                    self.stream = name
                    self.flying.append(Order(name, self.run[name], do.fencing_token))
        elif kind == "order":
            owners = self.owners[move[1]]
            self.orders -= 1
            if owners.may_order(self.now, UID):
                self.flying.append(Order(move[1], self.run[move[1]], owners.fencing_token(UID)))
        elif kind == "hear":
            owners = self.owners[self.stream]
            if UID not in owners.held or any(
                isinstance(do, ReleaseProxy)
                for do in owners.handle(self.now, TokenAcknowledged(UID, self.judge.newest_token))
            ):
                self.stream = ""
        elif kind == "tick":
            for do in self.owners[move[1]].handle(self.now, Tick()):
                if isinstance(do, ReleaseProxy) and self.stream == move[1]:
                    self.stream = ""
        elif kind == "restart":
            self.restarts -= 1
            self.run[move[1]] += 1
            self.begin(move[1])
            self.stream = "" if self.stream == move[1] else self.stream
        elif kind == "wait":
            self.steps -= 1
            self.now += 3
        elif kind == "cut":
            self.steps -= 1
            self.cut = not self.cut
            for name in NAMES:
                self.look(name)
        else:
            order = move[1]
            self.flying.remove(order)
            if self.judge.accepts(order.fence):
                who = order.name, order.run, order.fence
                if not self.applied or self.applied[-1] != who:
                    if who in self.applied and self.applied[-1][0] != order.name:
                        self.wrong = f"{who} was obeyed again after {self.applied[-1]}"
                    self.applied.append(who)

    def key(self) -> tuple:
        mine = tuple(
            (
                name,
                self.run[name],
                o.fencing_token(UID),
                o.held[UID].renewed_at_us if UID in o.held else -1,
                o.held[UID].fallback_at_us if UID in o.held else -1,
            )
            for name, o in self.owners.items()
        )
        return (
            mine,
            self.now,
            self.cut,
            self.stream,
            tuple(sorted(self.flying)),
            tuple(self.applied),
            self.judge.newest_token,
            self.asks,
            self.orders,
            self.restarts,
            self.steps,
        )


def can_go_on(world: World) -> bool:
    """Whether the proxy is ordered by either of them once it asks, pleading."""
    for name in NAMES:
        other = copy.deepcopy(world)
        other.play(("ask", name, True))
        while other.flying:
            other.play(("arrive", other.flying[0]))
        if not other.applied or other.applied[-1][0] != name:
            return False
    return True


class Explored(NamedTuple):
    worlds: int
    wrong: str
    way: tuple = ()


def explore(depth: int, fencing: bool = True, **limits) -> Explored:
    """Every world within so many moves; the first one that is wrong, with the way to it."""
    start = World(fencing, **limits)
    seen = {start.key()}
    front: list[tuple[World, tuple]] = [(start, ())]
    for _ in range(depth):
        ahead: list[tuple[World, tuple]] = []
        for world, way in front:
            for move in world.moves():
                other = copy.deepcopy(world)
                other.play(move)
                if other.wrong:
                    return Explored(len(seen), other.wrong, (*way, move))
                key = other.key()
                if fencing and key not in seen and not can_go_on(other):
                    return Explored(len(seen), "the proxy is stuck", (*way, move))
                if key not in seen:
                    seen.add(key)
                    ahead.append((other, (*way, move)))
        front = ahead
    return Explored(len(seen), "")
