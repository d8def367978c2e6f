"""What both client libraries are to their user.

A gateway keeps the tables of one proxy. `run` keeps its stream, dials again after growing, jittered waits, and goes
on for ever; call it in a thread or greenlet of its own, or let `start` do so. All else may be called from anywhere:
tables are replaced whole, so a reader in mid-pick keeps the one it has.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from enum import Enum
from random import Random
from types import MappingProxyType

from tenacity import RetryCallState, wait_random_exponential

from hollyridge.client.picking import Picker
from hollyridge.membership.fencing import FencingChecker

NO_LINES: Mapping[str, float] = MappingProxyType({})


class GatewayState(Enum):
    """FRESH: the stream stands. STALE: it does not, what is held is used. CUT_OFF: not for `cut_off_after`."""

    FRESH = "fresh"
    STALE = "stale"
    CUT_OFF = "cut off"


def several(address: tuple[str, int] | list[tuple[str, int]]) -> list[tuple[str, int]]:
    """
    >>> several(("127.0.0.1", 80)), several([("127.0.0.1", 80), ("127.0.0.1", 81)])
    ([('127.0.0.1', 80)], [('127.0.0.1', 80), ('127.0.0.1', 81)])
    """
    return [address] if isinstance(address[0], str) else [tuple(one) for one in address]


# Recordings hold the reason a stream ended with the error's name: these stay, whatever the classes are called.
RECORDED_NAMES = {
    "hollyridge.chp.codec.ChpError": "CloneError",
    "hollyridge.client.chp.HeartbeatTimeoutError": "SilenceError",
    "hollyridge.sasp.client.ConnectionLostError": "LostError",
    "hollyridge.sasp.client.HeartbeatTimeoutError": "SilentError",
}


def recorded_name(error: Exception) -> str:
    """The name by which recordings know the class of an error.

    >>> recorded_name(OSError("reset"))
    'OSError'
    """
    kind = type(error)
    return RECORDED_NAMES.get(f"{kind.__module__}.{kind.__qualname__}", kind.__name__)


class RedirectedError(Exception):
    """Another assigner should be asked, at the address that `args` has as `host:port`; none: whichever answers."""


HOPS = 3  # times in a row that it goes where it is sent; assigners that are cut off may each mean the other


class Gateway:
    """`methods` in the order of the assigner's settings. `standing` is used until a table comes. `numbers_from`: where
    the numbers of its questions begin, above those of its last life; by default from the time of day."""

    silences: tuple[type[Exception], ...] = ()  # ends of a session whose other end stands still or can't be reached

    def __init__(
        self,
        uid: str,
        methods: list[str],
        standing: Mapping[str, float] | None = None,
        pick: str = "p2c",
        rng: Random | None = None,
        cut_off_after: float = 30.0,
        sleep: Callable[[float], None] = time.sleep,
        clock: Callable[[], float] = time.monotonic,
        numbers_from: int | None = None,
    ) -> None:
        self.clock = clock
        self.judge = FencingChecker(int(time.time()) << 16 if numbers_from is None else numbers_from)
        self.addresses: list[tuple[str, int]] = []
        self.sent_to, self.hops, self.pleads = -1, 0, False
        self.uid, self.methods, self.sleep, self.cut_off_after = uid, methods, sleep, cut_off_after
        self.rng = rng or Random()
        self.tables: dict[str, Mapping[str, float]] = {m: MappingProxyType(dict(standing or {})) for m in methods}
        self.levels: dict[str, tuple[float, int]] = {}
        self.pickers = {method: Picker(pick, self.rng) for method in methods}
        for method, picker in self.pickers.items():
            picker.set(self.tables[method])
        self.listeners: list[Callable[[Gateway], None]] = []
        self.heard_at: float | None = None  # when the stream was last known to stand
        self.standing_stream = self.lived = False
        self.ways, self.way = 1, 0  # assigners that may be dialled, and whose turn it is
        self.stopped = False
        self.trouble = ""
        self.sessions = 0
        self.watch: Callable[[bool], None] = lambda begins: None  # told when a session begins and when it is over

    # For the user.

    def table_for(self, method: str) -> Mapping[str, float]:
        """Weight by `host:port`; what is held, however old. Never half a change."""
        return self.tables.get(method, NO_LINES)

    def pick(
        self, method: str, out: Callable[[str], int] = lambda task: 0, avoid: frozenset | set = frozenset()
    ) -> str | None:
        """A task for one RPC, None without lines."""
        return self.pickers[method].choose(out, avoid)

    def level_for(self, method: str) -> tuple[float, int]:
        """What part of the RPCs to let in, and how to try again (0: not, 1: one on proof that the first never ran,
        2: one after any failure, 3: two)."""
        return self.levels.get(method, (1.0, 0))

    def on_change(self, call: Callable[[Gateway], None]) -> None:
        """Call this after each change, from the gateway's own thread."""
        self.listeners.append(call)

    @property
    def state(self) -> GatewayState:
        if self.standing_stream:
            return GatewayState.FRESH
        return GatewayState.STALE if self.age < self.cut_off_after else GatewayState.CUT_OFF

    @property
    def age(self) -> float:
        """Seconds since the stream was last known to stand; infinite if it never was."""
        return float("inf") if self.heard_at is None else self.clock() - self.heard_at

    def start(self) -> None:
        threading.Thread(target=self.run, daemon=True, name=f"gateway {self.uid}").start()

    def stop(self) -> None:
        self.stopped = True
        self.hang_up()

    # For the protocols.

    def lay(self, tables: Mapping[str, Mapping[str, float]], levels: Mapping[str, tuple[float, int]]) -> None:
        """Go by these from now on; methods that are not named keep what they have."""
        laid = {method: MappingProxyType(dict(lines)) for method, lines in tables.items() if method in self.pickers}
        self.tables = {**self.tables, **laid}
        self.levels = dict(levels)
        for method, lines in laid.items():
            self.pickers[method].set(lines)
        for call in self.listeners:
            call(self)

    def alive(self) -> None:
        self.heard_at, self.standing_stream, self.lived = self.clock(), True, True
        self.sent_to, self.hops, self.pleads = -1, 0, False

    def sent_on(self, address: str) -> None:
        """Another assigner is to be asked next. After some hops in a row whoever is next is asked to take it all the
        same."""
        self.hops += 1
        host, _, port = address.rpartition(":")
        at = (host.strip("[]"), int(port)) if port.isdigit() else None
        if at is not None and at not in self.addresses and len(self.addresses) < 64:
            self.addresses.append(at)
            self.ways = len(self.addresses)
        if at in self.addresses and self.hops <= HOPS:
            self.way = self.sent_to = self.addresses.index(at)
        else:
            self.pleads = True
            self.way = (self.way + 1) % self.ways

    def run(self) -> None:
        """Keep a stream until `stop`."""
        failed = 0
        while not self.stopped:
            self.sessions += 1
            begun = self.clock()
            self.lived = False
            hop = silent = False
            try:
                self.watch(True)
                self.session()
                self.trouble = "closed"
            except RedirectedError as told:
                self.trouble, hop = f"sent on to {told.args[0]}", True
                self.sent_on(told.args[0])
            except Exception as trouble:  # whatever it is, what is held is used and the stream dialled again
                self.trouble, silent = f"{recorded_name(trouble)}: {trouble}", isinstance(trouble, self.silences)
            self.standing_stream = False
            self.hang_up()
            self.watch(False)
            if hop:
                failed = max(0, self.hops - 1)
                self.sleep(0.002)
                if not failed:
                    continue
            else:
                self.turn(silent)
                failed = 1 if self.clock() - begun > 5 else failed + 1
            if not self.stopped:
                self.sleep(0.02 + self.wait(failed))

    @staticmethod
    def wait(failed: int) -> float:
        """Seconds before the next try after so many that failed."""
        state = RetryCallState(None, None, (), {})
        state.attempt_number = min(failed, 10)
        return wait_random_exponential(multiplier=0.1, max=2.0)(state)

    def turn(self, silent: bool) -> None:
        """The same assigner again after a stream that stood, else the next one; in a shared fleet also after one that
        fell silent, for the others know more. Where it was sent to that one, the next is asked to take it all the
        same."""
        if not self.lived or silent and self.judge.accepted_token:
            self.pleads = self.pleads or self.way == self.sent_to
            self.way = (self.way + 1) % self.ways

    def session(self) -> None:
        """One stream, until it ends. Calls `alive` while it stands and `lay` at changes."""
        raise NotImplementedError

    def hang_up(self) -> None:
        """End the stream that there is, if any."""
