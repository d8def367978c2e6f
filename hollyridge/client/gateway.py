"""What both client libraries are to their user.

A gateway keeps the tables of one proxy. `run` keeps a session with an assigner, connects again after growing, jittered
waits, and goes on until `stop`; call it in a thread or greenlet of its own, or let `start` do so. All else may be
called from anywhere: tables are replaced whole, so a reader in the middle of a pick keeps the one it has.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from enum import Enum
from random import Random
from types import MappingProxyType
from typing import NamedTuple

from tenacity import RetryCallState, wait_random_exponential

from hollyridge.client.picking import Picker
from hollyridge.client.recorded_names import recorded_name
from hollyridge.errors import HollyridgeError
from hollyridge.membership.fencing import FencingChecker

NO_LINES: Mapping[str, float] = MappingProxyType({})
MAX_HOPS = 3  # redirects followed in a row; assigners that are cut off may each name the other
MAX_ADDRESSES = 64  # that are learnt from redirects
LONG_SESSION_S = 5.0  # after a longer one the waits begin anew
REDIRECT_SLEEP_S = 0.002
MIN_RETRY_SLEEP_S = 0.02
BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0
MAX_BACKOFF_ATTEMPTS = 10  # more do not lengthen the wait
REQUESTS_PER_S_BITS = 16  # room for that many requests a second in numbers taken from the time of day


class GatewayState(Enum):
    """FRESH: a session stands. STALE: none does, what is held is used. CUT_OFF: so for `cut_off_after` and more."""

    FRESH = "fresh"
    STALE = "stale"
    CUT_OFF = "cut off"


def several(address: tuple[str, int] | list[tuple[str, int]]) -> list[tuple[str, int]]:
    """One address or several, as a list.

    >>> several(("127.0.0.1", 80)), several([("127.0.0.1", 80), ("127.0.0.1", 81)])
    ([('127.0.0.1', 80)], [('127.0.0.1', 80), ('127.0.0.1', 81)])
    """
    return [address] if isinstance(address[0], str) else [tuple(each) for each in address]


class RedirectedError(HollyridgeError):
    """Another assigner should be asked, at `address` (`host:port`); empty: whichever answers."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.address = address


class SessionEnd(NamedTuple):
    """How a session ended: by a redirect, or because the other side was silent; else neither."""

    redirected: bool = False
    silent: bool = False


class Gateway:
    """Keeps the tables of the proxy `uid`. `methods` are named in the order of the assigner's settings.

    Attributes:
        tables: Weight by `host:port`, by method.
        levels: Admission and retries, by method.
        fencing: Whose orders the proxy obeys, where assigners share a fleet.
        addresses: Assigners that may be asked; `assigner_index` is the one whose turn it is, of `assigner_count`.
        insists: Whether the next session insists on being taken in.
        session_stands: Whether a session stands.
        session_stood: Whether this session has stood at any time.
        last_alive: When a session was last known to stand, None if never.
        end_reason: Why the last session ended.
        sessions: How many were begun.
        watch: Called with True when a session begins, and with False when it has ended.
    """

    silences: tuple[type[Exception], ...] = ()  # errors that mean that the other side has stopped or can't be reached

    def __init__(  # noqa: PLR0913, PLR0917 - a library's public constructor, used with keywords
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
        """Make a gateway without a session.

        Args:
            uid: Name of the proxy.
            methods: Names of the methods.
            standing: Weight by task, used until a table is received.
            pick: How `pick` chooses (see `Picker`).
            rng: Source of chance.
            cut_off_after: Seconds without a session until the state is CUT_OFF.
            sleep: Sleeps so many seconds.
            clock: Tells the time in seconds.
            numbers_from: Where the numbers of its requests for an owner begin, above those of its last run; by default
                from the time of day.
        """
        self.uid = uid
        self.methods = methods
        self.sleep = sleep
        self.clock = clock
        self.cut_off_after = cut_off_after
        self.rng = rng or Random()
        self.fencing = FencingChecker(int(time.time()) << REQUESTS_PER_S_BITS if numbers_from is None else numbers_from)
        self.addresses: list[tuple[str, int]] = []
        self.assigner_count = 1
        self.assigner_index = 0
        self.redirected_to = -1  # index of the assigner that the last redirect named
        self.hops = 0
        self.insists = False
        self.tables: dict[str, Mapping[str, float]] = {
            method: MappingProxyType(dict(standing or {})) for method in methods
        }
        self.levels: dict[str, tuple[float, int]] = {}
        self.pickers = {method: Picker(pick, self.rng) for method in methods}
        for method, picker in self.pickers.items():
            picker.set(self.tables[method])
        self.listeners: list[Callable[[Gateway], None]] = []
        self.last_alive: float | None = None
        self.session_stands = False
        self.session_stood = False
        self.stopped = False
        self.end_reason = ""
        self.sessions = 0
        self.watch: Callable[[bool], None] = lambda begins: None

    # For the user.

    def table_for(self, method: str) -> Mapping[str, float]:
        """Weight by `host:port`: what is held, however old, and never half a change."""
        return self.tables.get(method, NO_LINES)

    def pick(
        self, method: str, out: Callable[[str], int] = lambda task: 0, avoid: frozenset | set = frozenset()
    ) -> str | None:
        """A task for one RPC, None without any. `out(task)`: RPCs in flight; `avoid`: tasks not to take if possible."""
        return self.pickers[method].choose(out, avoid)

    def level_for(self, method: str) -> tuple[float, int]:
        """The fraction of RPCs to admit, and how to retry.

        Retries: 0 none, 1 one if it is certain that the attempt never ran, 2 one after any failure, 3 two of these.
        """
        return self.levels.get(method, (1.0, 0))

    def on_change(self, call: Callable[[Gateway], None]) -> None:
        """Call this after each change, from the gateway's own thread."""
        self.listeners.append(call)

    @property
    def state(self) -> GatewayState:
        """Whether what is held is up to date."""
        if self.session_stands:
            return GatewayState.FRESH
        return GatewayState.STALE if self.age < self.cut_off_after else GatewayState.CUT_OFF

    @property
    def age(self) -> float:
        """Seconds since a session was last known to stand; infinite if none ever was."""
        return float("inf") if self.last_alive is None else self.clock() - self.last_alive

    def start(self) -> None:
        """Run in a thread of its own."""
        threading.Thread(target=self.run, daemon=True, name=f"gateway {self.uid}").start()

    def stop(self) -> None:
        """End the session and `run`."""
        self.stopped = True
        self.hang_up()

    # For the protocols.

    def session(self) -> None:
        """One session, until it ends. Calls `alive` while it stands and `replace_tables` at changes."""
        raise NotImplementedError

    def hang_up(self) -> None:
        """End the session that stands, if any."""

    def replace_tables(
        self, tables: Mapping[str, Mapping[str, float]], levels: Mapping[str, tuple[float, int]]
    ) -> None:
        """Go by these from now on; methods that are not named keep their tables."""
        replaced = {method: MappingProxyType(dict(lines)) for method, lines in tables.items() if method in self.pickers}
        self.tables = {**self.tables, **replaced}
        self.levels = dict(levels)
        for method, lines in replaced.items():
            self.pickers[method].set(lines)
        for call in self.listeners:
            call(self)

    def alive(self) -> None:
        """The session stands."""
        self.last_alive = self.clock()
        self.session_stands = True
        self.session_stood = True
        self.redirected_to = -1
        self.hops = 0
        self.insists = False

    # Sessions one after the other.

    def run(self) -> None:
        """Keep a session until `stop`."""
        failed = 0
        while not self.stopped:
            began = self.clock()
            end = self._run_session()
            if end.redirected:
                failed = max(0, self.hops - 1)
                self.sleep(REDIRECT_SLEEP_S)
                if not failed:
                    continue
            else:
                self._choose_assigner(end.silent)
                failed = 1 if self.clock() - began > LONG_SESSION_S else failed + 1
            if not self.stopped:
                self.sleep(MIN_RETRY_SLEEP_S + self.wait(failed))

    def _run_session(self) -> SessionEnd:
        self.sessions += 1
        self.session_stood = False
        end = SessionEnd()
        try:
            self.watch(True)
            self.session()
            self.end_reason = "closed"
        except RedirectedError as redirect:
            end = SessionEnd(redirected=True)
            self.end_reason = f"sent on to {redirect.address}"
            self._follow_redirect(redirect.address)
        except Exception as error:  # boundary of the user's process: what is held is used, and it connects again
            end = SessionEnd(silent=isinstance(error, self.silences))
            self.end_reason = f"{recorded_name(error)}: {error}"
        self.session_stands = False
        self.hang_up()
        self.watch(False)
        return end

    @staticmethod
    def wait(failed: int) -> float:
        """Seconds before the next session after so many that failed: random, growing."""
        state = RetryCallState(None, None, (), {})
        state.attempt_number = min(failed, MAX_BACKOFF_ATTEMPTS)
        return wait_random_exponential(multiplier=BACKOFF_S, max=MAX_BACKOFF_S)(state)

    def _follow_redirect(self, address: str) -> None:
        """Another assigner is asked next. After several redirects in a row, the next in turn has to take it in."""
        self.hops += 1
        host, _, port = address.rpartition(":")
        target = (host.strip("[]"), int(port)) if port.isdigit() else None
        if target is not None and target not in self.addresses and len(self.addresses) < MAX_ADDRESSES:
            self.addresses.append(target)
            self.assigner_count = len(self.addresses)
        if target in self.addresses and self.hops <= MAX_HOPS:
            self.assigner_index = self.redirected_to = self.addresses.index(target)
        else:
            self.insists = True
            self.assigner_index = (self.assigner_index + 1) % self.assigner_count

    def _choose_assigner(self, silent: bool) -> None:
        """Choose whom to ask after a session that was not redirected.

        It is the same assigner after a session that stood, else the next; in a shared fleet also the next after one
        that fell silent, for the others know more. Where a redirect had named the silent one, the next has to take it
        in.
        """
        if not self.session_stood or (silent and self.fencing.accepted_token):
            self.insists = self.insists or self.assigner_index == self.redirected_to
            self.assigner_index = (self.assigner_index + 1) % self.assigner_count
