"""An explicit-state model check of leases, fencing and handover, with the real lease manager and fencing checker.

The model: two assigners that may be cut from each other, stand still or restart, one proxy, and updates on their way
that arrive late and in any order. What must never happen: an update of an assigner that was followed by another is
applied after the other's, unless the proxy asked again. What must always be possible: to ask either of them and be sent
updates.
"""

from __future__ import annotations

import copy
from typing import NamedTuple

from hollyridge.membership.fencing import FencingChecker
from hollyridge.membership.leases import (
    LeaseConfig,
    LeaseGranted,
    LeaseManager,
    LeaseRequested,
    MembersChanged,
    MemberState,
    ReleaseProxy,
    Tick,
    TokenAcknowledged,
)

NAMES = ("a", "b")
LEASE = LeaseConfig(duration_us=2, settle_us=1, move_period_us=1)  # in steps of the model's time
UID = "gw-1"
MAX_CHANGES = 3  # how often time may pass, or a cut begin or end
WAIT_STEPS = 3  # how far time passes at once


class FaultyFencingChecker(FencingChecker):
    """Follows every number, to show that the check finds what this breaks."""

    def accepts(self, fencing_token: int) -> bool:
        """Follow the number."""
        return True


class Update(NamedTuple):
    """An update on its way to the proxy: from which run of which assigner, under which fencing number."""

    name: str
    run: int
    fence: int


class World:
    """One state of the model.

    Moves: the proxy asks an assigner (its old stream broke, as it sees it), pleading or not; it answers the one it has;
    an assigner sends an update, looks at its leases, restarts; a cut begins or ends; an update arrives; time passes,
    for those who look.

    Attributes:
        asks: How often the proxy may still ask; `orders`, `restarts` and `steps` are limits alike.
        cut: Whether the assigners are cut from each other.
        run: Counts the runs of each assigner.
        stream: The assigner that the proxy has a stream to.
        in_flight: Updates on their way.
        applied: Of which assigner, run and number updates were applied, in order.
        wrong: What must never happen and did.
    """

    def __init__(self, fencing: bool = True, asks: int = 3, orders: int = 3, restarts: int = 1) -> None:
        self.judge = FencingChecker() if fencing else FaultyFencingChecker()
        self.asks = asks
        self.orders = orders
        self.restarts = restarts
        self.steps = MAX_CHANGES
        self.now = 0
        self.cut = False
        self.run = dict.fromkeys(NAMES, 0)
        self.owners: dict[str, LeaseManager] = {}
        self.stream = ""
        self.in_flight: list[Update] = []
        self.applied: list[tuple[str, int, int]] = []
        self.wrong = ""
        for name in NAMES:
            self._start(name)

    def _start(self, name: str) -> None:
        self.owners[name] = LeaseManager(name, LEASE)
        self._update_members(name)

    def _update_members(self, name: str) -> None:
        alive = [name] if self.cut else NAMES
        self.owners[name].handle(self.now, MembersChanged({member: MemberState("", 1.0, 0) for member in alive}))

    def moves(self) -> list[tuple]:
        """What may happen next: the kind of the move and what it is about."""
        moves: list[tuple] = []
        if self.asks:
            moves += [("ask", name, plea) for name in NAMES for plea in (False, True)]
        if self.orders:
            moves += [("order", name) for name in NAMES if UID in self.owners[name].held]
        if self.stream:
            moves.append(("hear",))
        moves += [("tick", name) for name in NAMES if self.owners[name].held]
        if self.restarts:
            moves += [("restart", name) for name in NAMES]
        if self.steps:
            moves += [("wait",), ("cut",)]
        moves += [("arrive", update) for update in dict.fromkeys(self.in_flight)]
        return moves

    def play(self, move: tuple) -> None:
        """Let a move happen."""
        kind, *arguments = move
        getattr(self, f"_on_{kind}")(*arguments)

    def _on_ask(self, name: str, plea: bool) -> None:
        """The proxy asks; the other end of its old stream does not know that it is gone."""
        self.asks -= 1
        for effect in self.owners[name].handle(self.now, LeaseRequested(UID, "", self.judge.next_token(), plea)):
            if isinstance(effect, LeaseGranted):
                self.stream = name
                self.in_flight.append(Update(name, self.run[name], effect.fencing_token))

    def _on_order(self, name: str) -> None:
        self.orders -= 1
        owners = self.owners[name]
        if owners.may_send_commands(self.now, UID):
            self.in_flight.append(Update(name, self.run[name], owners.fencing_token(UID)))

    def _on_hear(self) -> None:
        """The assigner of the proxy's stream hears from it."""
        owners = self.owners[self.stream]
        acknowledged = TokenAcknowledged(UID, self.judge.newest_token)
        if UID not in owners.held or any(
            isinstance(effect, ReleaseProxy) for effect in owners.handle(self.now, acknowledged)
        ):
            self.stream = ""

    def _on_tick(self, name: str) -> None:
        for effect in self.owners[name].handle(self.now, Tick()):
            if isinstance(effect, ReleaseProxy) and self.stream == name:
                self.stream = ""

    def _on_restart(self, name: str) -> None:
        self.restarts -= 1
        self.run[name] += 1
        self._start(name)
        self.stream = "" if self.stream == name else self.stream

    def _on_wait(self) -> None:
        self.steps -= 1
        self.now += WAIT_STEPS

    def _on_cut(self) -> None:
        self.steps -= 1
        self.cut = not self.cut
        for name in NAMES:
            self._update_members(name)

    def _on_arrive(self, update: Update) -> None:
        self.in_flight.remove(update)
        if not self.judge.accepts(update.fence):
            return
        source = update.name, update.run, update.fence
        if self.applied and self.applied[-1] == source:
            return
        if source in self.applied and self.applied[-1][0] != update.name:
            self.wrong = f"{source} was obeyed again after {self.applied[-1]}"
        self.applied.append(source)

    def key(self) -> tuple:
        """Tells different states apart."""
        leases = tuple(
            (
                name,
                self.run[name],
                owners.fencing_token(UID),
                owners.held[UID].renewed_at_us if UID in owners.held else -1,
                owners.held[UID].fallback_at_us if UID in owners.held else -1,
            )
            for name, owners in self.owners.items()
        )
        return (
            leases,
            self.now,
            self.cut,
            self.stream,
            tuple(sorted(self.in_flight)),
            tuple(self.applied),
            self.judge.newest_token,
            self.asks,
            self.orders,
            self.restarts,
            self.steps,
        )


def can_go_on(world: World) -> bool:
    """Whether the proxy is sent updates by either assigner once it asks, pleading."""
    for name in NAMES:
        later = copy.deepcopy(world)
        later.play(("ask", name, True))
        while later.in_flight:
            later.play(("arrive", later.in_flight[0]))
        if not later.applied or later.applied[-1][0] != name:
            return False
    return True


class Explored(NamedTuple):
    """What an exploration found.

    Attributes:
        worlds: States that were seen.
        wrong: What is wrong with the first that is; empty if none is.
        way: The moves that lead there.
    """

    worlds: int
    wrong: str
    way: tuple = ()


def explore(depth: int, fencing: bool = True, **limits: int) -> Explored:
    """Explore every state within so many moves; `limits` go to `World`."""
    start = World(fencing, **limits)
    seen = {start.key()}
    frontier: list[tuple[World, tuple]] = [(start, ())]
    for _ in range(depth):
        following: list[tuple[World, tuple]] = []
        for world, way in frontier:
            for move in world.moves():
                after = copy.deepcopy(world)
                after.play(move)
                if after.wrong:
                    return Explored(len(seen), after.wrong, (*way, move))
                key = after.key()
                if key in seen:
                    continue
                if fencing and not can_go_on(after):
                    return Explored(len(seen), "the proxy is stuck", (*way, move))
                seen.add(key)
                following.append((after, (*way, move)))
        frontier = following
    return Explored(len(seen), "")
