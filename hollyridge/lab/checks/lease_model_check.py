"""An explicit-state model check of leases, fencing and handover, with the real lease manager and fencing checker.

The model has two assigners, which may be partitioned from each other, stall or restart, one proxy, and updates in
flight, which arrive late and in any order. Safety: once updates of a second assigner were applied, no update of the
first is applied any more unless the proxy asked again. Liveness: the proxy can always ask either assigner and is then
sent updates.
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
LEASE = LeaseConfig(duration_us=2, settle_us=1, move_period_us=1)  # in steps of model time
UID = "gw-1"
MAX_CHANGES = 3  # number of moves that let time pass, or begin or end a partition
WAIT_STEPS = 3  # steps of model time that pass in one move


class FaultyFencingChecker(FencingChecker):
    """Fencing checker that accepts every token, to show that the model check finds the resulting violation."""

    def accepts(self, fencing_token: int) -> bool:
        """Return True for every token."""
        return True


class Update(NamedTuple):
    """An update in flight to the proxy.

    Attributes:
        name: Assigner that sent it.
        run: Run of that assigner.
        fence: Fencing token that it carries.
    """

    name: str
    run: int
    fence: int


class World:
    """One state of the model.

    Moves of the proxy: it asks an assigner for a lease after its stream broke, as a fallback or not; or it
    acknowledges its fencing token to the assigner that it has a stream to. Moves of an assigner: it sends an update,
    checks its leases or restarts. Other moves: a partition begins or ends, an update arrives, or time passes.

    Attributes:
        fencing_checker: The proxy's check of fencing tokens.
        asks: Number of requests that the proxy may still send.
        orders: Number of updates that assigners may still send.
        restarts: Number of restarts that may still happen.
        steps: Number of moves left that let time pass, or begin or end a partition.
        now: Model time, in steps.
        cut: Whether the assigners are partitioned from each other.
        run: Number of the current run of each assigner.
        lease_managers: Lease manager of each assigner.
        stream: Assigner that the proxy has a stream to; empty if it has none.
        in_flight: Updates in flight.
        applied: Assigner, run and fencing token of the applied updates, in order.
        violation: Description of a violated property; empty if there is none.
    """

    def __init__(self, fencing: bool = True, asks: int = 3, orders: int = 3, restarts: int = 1) -> None:
        self.fencing_checker = FencingChecker() if fencing else FaultyFencingChecker()
        self.asks = asks
        self.orders = orders
        self.restarts = restarts
        self.steps = MAX_CHANGES
        self.now = 0
        self.cut = False
        self.run = dict.fromkeys(NAMES, 0)
        self.lease_managers: dict[str, LeaseManager] = {}
        self.stream = ""
        self.in_flight: list[Update] = []
        self.applied: list[tuple[str, int, int]] = []
        self.violation = ""
        for name in NAMES:
            self._start(name)

    def _start(self, name: str) -> None:
        self.lease_managers[name] = LeaseManager(name, LEASE)
        self._update_members(name)

    def _update_members(self, name: str) -> None:
        alive = [name] if self.cut else NAMES
        self.lease_managers[name].handle(
            self.now, MembersChanged({member: MemberState("", 1.0, 0) for member in alive})
        )

    def moves(self) -> list[tuple]:
        """Return the possible moves, each as its kind and arguments."""
        moves: list[tuple] = []
        if self.asks:
            moves += [("ask", name, is_fallback) for name in NAMES for is_fallback in (False, True)]
        if self.orders:
            moves += [("order", name) for name in NAMES if UID in self.lease_managers[name].held]
        if self.stream:
            moves.append(("hear",))
        moves += [("tick", name) for name in NAMES if self.lease_managers[name].held]
        if self.restarts:
            moves += [("restart", name) for name in NAMES]
        if self.steps:
            moves += [("wait",), ("cut",)]
        moves += [("arrive", update) for update in dict.fromkeys(self.in_flight)]
        return moves

    def apply(self, move: tuple) -> None:
        """Apply a move to this state."""
        kind, *arguments = move
        getattr(self, f"_on_{kind}")(*arguments)

    def _on_ask(self, name: str, is_fallback: bool) -> None:
        """Let the proxy ask an assigner; the assigner of its old stream does not learn that the stream is gone."""
        self.asks -= 1
        for effect in self.lease_managers[name].handle(
            self.now, LeaseRequested(UID, "", self.fencing_checker.next_token(), is_fallback)
        ):
            if isinstance(effect, LeaseGranted):
                self.stream = name
                self.in_flight.append(Update(name, self.run[name], effect.fencing_token))

    def _on_order(self, name: str) -> None:
        self.orders -= 1
        manager = self.lease_managers[name]
        if manager.may_send_commands(self.now, UID):
            self.in_flight.append(Update(name, self.run[name], manager.fencing_token(UID)))

    def _on_hear(self) -> None:
        """Let the assigner of the proxy's stream receive the proxy's acknowledgment."""
        manager = self.lease_managers[self.stream]
        acknowledged = TokenAcknowledged(UID, self.fencing_checker.newest_token)
        if UID not in manager.held or any(
            isinstance(effect, ReleaseProxy) for effect in manager.handle(self.now, acknowledged)
        ):
            self.stream = ""

    def _on_tick(self, name: str) -> None:
        for effect in self.lease_managers[name].handle(self.now, Tick()):
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
        if not self.fencing_checker.accepts(update.fence):
            return
        source = update.name, update.run, update.fence
        if self.applied and self.applied[-1] == source:
            return
        if source in self.applied and self.applied[-1][0] != update.name:
            self.violation = f"{source} was obeyed again after {self.applied[-1]}"
        self.applied.append(source)

    def key(self) -> tuple:
        """Return a key that is equal for equal states only."""
        leases = tuple(
            (
                name,
                self.run[name],
                manager.fencing_token(UID),
                manager.held[UID].renewed_at_us if UID in manager.held else -1,
                manager.held[UID].fallback_at_us if UID in manager.held else -1,
            )
            for name, manager in self.lease_managers.items()
        )
        return (
            leases,
            self.now,
            self.cut,
            self.stream,
            tuple(sorted(self.in_flight)),
            tuple(self.applied),
            self.fencing_checker.newest_token,
            self.asks,
            self.orders,
            self.restarts,
            self.steps,
        )


def can_recover(world: World) -> bool:
    """Return whether each assigner sends the proxy updates after a fallback request."""
    for name in NAMES:
        later = copy.deepcopy(world)
        later.apply(("ask", name, True))
        while later.in_flight:
            later.apply(("arrive", later.in_flight[0]))
        if not later.applied or later.applied[-1][0] != name:
            return False
    return True


class ExplorationResult(NamedTuple):
    """Result of an exploration.

    Attributes:
        states: Number of different states that were visited.
        violation: Description of the first violation; empty if there is none.
        path: Moves that lead to the violation.
    """

    states: int
    violation: str
    path: tuple = ()


def explore(depth: int, fencing: bool = True, **limits: int) -> ExplorationResult:
    """Explore every state within `depth` moves; `limits` are passed to `World`."""
    start = World(fencing, **limits)
    seen = {start.key()}
    frontier: list[tuple[World, tuple]] = [(start, ())]
    for _ in range(depth):
        following: list[tuple[World, tuple]] = []
        for world, path in frontier:
            for move in world.moves():
                after = copy.deepcopy(world)
                after.apply(move)
                if after.violation:
                    return ExplorationResult(len(seen), after.violation, (*path, move))
                key = after.key()
                if key in seen:
                    continue
                if fencing and not can_recover(after):
                    return ExplorationResult(len(seen), "the proxy is stuck", (*path, move))
                seen.add(key)
                following.append((after, (*path, move)))
        frontier = following
    return ExplorationResult(len(seen), "")
