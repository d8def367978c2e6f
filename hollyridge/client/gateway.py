"""Common interface and session handling of the gateways of both protocols.

A gateway holds the tables of one proxy. `run` maintains a session with an assigner and reconnects after growing,
jittered delays, until `stop` is called. Call it in a thread or greenlet of its own, or use `start`. All other methods
may be called from any thread: tables are replaced as a whole, so a pick in progress keeps using the previous table.
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

EMPTY_TABLE: Mapping[str, float] = MappingProxyType({})
MAX_REDIRECTS = 3  # redirects followed in a row; partitioned assigners may redirect to each other
MAX_ADDRESSES = 64  # limit on the addresses, including those learned from redirects
LONG_SESSION_S = 5.0  # a longer session resets the retry delay
REDIRECT_SLEEP_S = 0.002
MIN_RETRY_SLEEP_S = 0.02
BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0
MAX_BACKOFF_ATTEMPTS = 10  # further failures do not lengthen the delay
REQUESTS_PER_S_BITS = 16  # bits for the requests of one second in request numbers derived from the time of day


class GatewayState(Enum):
    """Freshness of a gateway's tables.

    Attributes:
        FRESH: A session is active.
        STALE: No session is active, and the tables received last are used.
        CUT_OFF: No session has been active for `cut_off_after` seconds, and the tables received last are used.
    """

    FRESH = "fresh"
    STALE = "stale"
    CUT_OFF = "cut off"


def address_list(address: tuple[str, int] | list[tuple[str, int]]) -> list[tuple[str, int]]:
    """Return a single address or several addresses as a list.

    >>> address_list(("127.0.0.1", 80)), address_list([("127.0.0.1", 80), ("127.0.0.1", 81)])
    ([('127.0.0.1', 80)], [('127.0.0.1', 80), ('127.0.0.1', 81)])
    """
    return [address] if isinstance(address[0], str) else [tuple(each) for each in address]


class RedirectedError(HollyridgeError):
    """The assigner redirects to another one.

    Attributes:
        address: Address (`host:port`) of the other assigner; empty for any assigner.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.address = address


class SessionEnd(NamedTuple):
    """The cause of the end of a session: a redirect, a timeout, or neither."""

    redirected: bool = False
    timed_out: bool = False


class Gateway:
    """Base class of gateways, which hold the tables of one proxy.

    Attributes:
        tables: Weight by `host:port`, by method.
        levels: Fraction of RPCs to admit and retry mode, by method.
        fencing: Acceptance of messages by their fencing tokens, for assigners that share a fleet.
        addresses: Host and port of the known assigners.
        assigner_count: Number of known assigners.
        assigner_index: Index of the assigner for the current or next session.
        insists: Whether the next session insists on being accepted even if the assigner is not the preferred owner.
        session_active: Whether a session is active.
        session_was_active: Whether the current or last session has been active at any time.
        last_active: Time at which a session was last known to be active, None if none ever was.
        end_reason: Reason for the end of the last session.
        sessions: Number of sessions started.
        on_session_change: Function that is called with True when a session begins and with False when it has ended.
    """

    timeout_errors: tuple[type[Exception], ...] = ()  # errors raised when the assigner has failed or can't be reached

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
        """Create a gateway without a session.

        Args:
            uid: Name of the proxy.
            methods: Names of the methods, in the order of the assigner's settings.
            standing: Weight by task (`host:port`), used until a table is received.
            pick: Strategy of the method `pick` (see `Picker`).
            rng: Random number generator.
            cut_off_after: Time without a session after which the state is CUT_OFF, in seconds.
            sleep: Function that sleeps for the given number of seconds.
            clock: Function that returns a monotonic time in seconds.
            numbers_from: Number before the first ownership request, not below the numbers of the proxy's previous run.
                The default is derived from the time of day.
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
        self.redirected_to = -1  # index of the assigner to which the last redirect led
        self.redirect_count = 0  # redirects in a row
        self.insists = False
        self.tables: dict[str, Mapping[str, float]] = {
            method: MappingProxyType(dict(standing or {})) for method in methods
        }
        self.levels: dict[str, tuple[float, int]] = {}
        self.pickers = {method: Picker(pick, self.rng) for method in methods}
        for method, picker in self.pickers.items():
            picker.set(self.tables[method])
        self.listeners: list[Callable[[Gateway], None]] = []
        self.last_active: float | None = None
        self.session_active = False
        self.session_was_active = False
        self.stopped = False
        self.end_reason = ""
        self.sessions = 0
        self.on_session_change: Callable[[bool], None] = lambda begins: None

    # Interface for users.

    def table_for(self, method: str) -> Mapping[str, float]:
        """Return the current table of a method (weight by `host:port`), of whatever age, always complete."""
        return self.tables.get(method, EMPTY_TABLE)

    def pick(
        self, method: str, in_flight: Callable[[str], int] = lambda task: 0, avoid: frozenset | set = frozenset()
    ) -> str | None:
        """Return a task for one RPC, None if the table is empty.

        Args:
            method: Name of the method.
            in_flight: Function that returns the number of RPCs in flight to a task.
            avoid: Tasks to be picked only if the table has no others.
        """
        return self.pickers[method].choose(in_flight, avoid)

    def level_for(self, method: str) -> tuple[float, int]:
        """Return the fraction of RPCs to admit and the retry mode of a method.

        Retry modes: 0 for no retry, 1 for one retry if the attempt has certainly not been executed, 2 for one retry
        after any failure, 3 for two retries after any failure.
        """
        return self.levels.get(method, (1.0, 0))

    def on_change(self, listener: Callable[[Gateway], None]) -> None:
        """Register a function that is called after each change of the tables, in the gateway's own thread."""
        self.listeners.append(listener)

    @property
    def state(self) -> GatewayState:
        """Return the freshness of the tables."""
        if self.session_active:
            return GatewayState.FRESH
        return GatewayState.STALE if self.age < self.cut_off_after else GatewayState.CUT_OFF

    @property
    def age(self) -> float:
        """Return the time since a session was last known to be active, in seconds; infinite if none ever was."""
        return float("inf") if self.last_active is None else self.clock() - self.last_active

    def start(self) -> None:
        """Start `run` in a thread of its own."""
        threading.Thread(target=self.run, daemon=True, name=f"gateway {self.uid}").start()

    def stop(self) -> None:
        """End the session and let `run` return."""
        self.stopped = True
        self.disconnect()

    # Interface for protocols.

    def session(self) -> None:
        """Run one session until it ends.

        Implementations call `record_activity` while the session is active and `replace_tables` after changes.
        """
        raise NotImplementedError

    def disconnect(self) -> None:
        """End the current session, if any."""

    def replace_tables(
        self, tables: Mapping[str, Mapping[str, float]], levels: Mapping[str, tuple[float, int]]
    ) -> None:
        """Replace all levels and the given tables; methods without a new table keep their previous one."""
        replaced = {method: MappingProxyType(dict(lines)) for method, lines in tables.items() if method in self.pickers}
        self.tables = {**self.tables, **replaced}
        self.levels = dict(levels)
        for method, lines in replaced.items():
            self.pickers[method].set(lines)
        for listener in self.listeners:
            listener(self)

    def record_activity(self) -> None:
        """Record that the session is active now."""
        self.last_active = self.clock()
        self.session_active = True
        self.session_was_active = True
        self.redirected_to = -1
        self.redirect_count = 0
        self.insists = False

    # Sequence of sessions.

    def run(self) -> None:
        """Maintain a session until `stop` is called."""
        failed = 0
        while not self.stopped:
            began = self.clock()
            end = self._run_session()
            if end.redirected:
                failed = max(0, self.redirect_count - 1)
                self.sleep(REDIRECT_SLEEP_S)
                if not failed:
                    continue
            else:
                self._choose_assigner(end.timed_out)
                failed = 1 if self.clock() - began > LONG_SESSION_S else failed + 1
            if not self.stopped:
                self.sleep(MIN_RETRY_SLEEP_S + self.retry_delay_s(failed))

    def _run_session(self) -> SessionEnd:
        self.sessions += 1
        self.session_was_active = False
        end = SessionEnd()
        try:
            self.on_session_change(True)
            self.session()
            self.end_reason = "closed"
        except RedirectedError as redirect:
            end = SessionEnd(redirected=True)
            self.end_reason = f"sent on to {redirect.address}"
            self._follow_redirect(redirect.address)
        except Exception as error:  # no error may reach the user's process: it keeps the tables, and `run` reconnects
            end = SessionEnd(timed_out=isinstance(error, self.timeout_errors))
            self.end_reason = f"{recorded_name(error)}: {error}"
        self.session_active = False
        self.disconnect()
        self.on_session_change(False)
        return end

    @staticmethod
    def retry_delay_s(failed: int) -> float:
        """Return the random delay before the next session, in seconds, which grows with the number of failed ones."""
        state = RetryCallState(None, None, (), {})
        state.attempt_number = min(failed, MAX_BACKOFF_ATTEMPTS)
        return wait_random_exponential(multiplier=BACKOFF_S, max=MAX_BACKOFF_S)(state)

    def _follow_redirect(self, address: str) -> None:
        """Select the assigner to which a redirect leads for the next session.

        After too many redirects in a row, or if the address is not usable, select the next assigner in the list and
        insist on being accepted by it.
        """
        self.redirect_count += 1
        host, _, port = address.rpartition(":")
        target = (host.strip("[]"), int(port)) if port.isdigit() else None
        if target is not None and target not in self.addresses and len(self.addresses) < MAX_ADDRESSES:
            self.addresses.append(target)
            self.assigner_count = len(self.addresses)
        if target in self.addresses and self.redirect_count <= MAX_REDIRECTS:
            self.assigner_index = self.redirected_to = self.addresses.index(target)
        else:
            self.insists = True
            self.assigner_index = (self.assigner_index + 1) % self.assigner_count

    def _choose_assigner(self, timed_out: bool) -> None:
        """Choose the assigner for the session after one that ended without a redirect.

        This is the same assigner if the session was active at any time, otherwise the next one. In a shared fleet it is
        also the next one after a timeout, because the other assigners know more about the state of the fleet. If a
        redirect had led to the assigner that is given up, the next session insists on being accepted.
        """
        if not self.session_was_active or (timed_out and self.fencing.accepted_token):
            self.insists = self.insists or self.assigner_index == self.redirected_to
            self.assigner_index = (self.assigner_index + 1) % self.assigner_count
