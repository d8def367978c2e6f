"""State machine that decides when to connect to discovery and when a watch counts as lost. No I/O, no clock.

Exactly one watch should be open at any time. Discovery sends heartbeats on it even if nothing changes, so a watch
without data for `SILENCE_TIMEOUT` is lost, whatever the state of its TCP connection. A watch is also lost if its
current line does not end, or its first list does not arrive, within `MAX_PROPAGATION_HEARTBEATS`, because by then every
change has been announced to all watchers. Failed attempts are retried with exponential backoff and jitter, because
discovery is shared and handles requests one by one: clients that all reconnect at once would keep it overloaded. The
delay before a retry is limited by the drain grace, since a change of the list has to reach the proxies within it even
if discovery was down until shortly before the change counted as told.
"""

from __future__ import annotations

from enum import Enum
from random import Random

from hollyridge.discovery.timing import MAX_PROPAGATION_HEARTBEATS

# All times below are in heartbeat intervals.
SILENCE_TIMEOUT = 1.5  # without any data on an open watch
RESPONSE_TIMEOUT = 1.5  # for a response, including the requests that discovery handles before this one
CONNECT_TIMEOUT = 0.5  # for the TCP connection, if no shorter one follows from the drain grace
MIN_BACKOFF = 0.1  # before the first retry, doubled for each further one
MAX_BACKOFF = 1.0
MAX_BACKOFF_DOUBLINGS = 16  # keeps the power finite; the backoff reaches its maximum long before

# A backoff is multiplied by a factor drawn from [MIN_JITTER, MAX_JITTER).
MIN_JITTER = 0.5
MAX_JITTER = 1.5


class ConnectionPhase(Enum):
    """State of the connection to discovery."""

    IDLE = 0  # no connection until the next attempt
    CONNECTING = 1  # being opened, or the first list has not arrived
    WATCHING = 2  # the first list has arrived


class WatchInput(Enum):
    """Input events of the state machine."""

    TICK = 0  # time has passed
    CONNECT_STARTED = 1
    DATA_RECEIVED = 2  # any bytes
    EVENT_RECEIVED = 3  # a list or a change, or a heartbeat after the first list
    CONNECTION_CLOSED = 4  # by either side, or an attempt failed
    ADDRESS_CHANGED = 5  # the configuration names another address of discovery


class WatchAction(Enum):
    """Action that the caller has to take after an input event."""

    NONE = 0
    CONNECT = 1
    DISCONNECT = 2  # close the connection, then report CONNECTION_CLOSED


class WatchState:
    """State machine of the watch.

    >>> state = WatchState(2_000_000, Random(1), max_retry_delay_us=3_000_000)
    >>> state.handle(0, WatchInput.TICK), state.handle(0, WatchInput.CONNECT_STARTED), state.next_at_us
    (<WatchAction.CONNECT: 1>, <WatchAction.NONE: 0>, 3000000)
    >>> state.handle(2_900_000, WatchInput.EVENT_RECEIVED), state.next_at_us, state.handle(5_900_001, WatchInput.TICK)
    (<WatchAction.NONE: 0>, 5900000, <WatchAction.DISCONNECT: 2>)
    >>> state.handle(5_900_002, WatchInput.CONNECTION_CLOSED), 100_000 <= state.next_at_us - 5_900_002 <= 300_000
    (<WatchAction.NONE: 0>, True)

    Args:
        heartbeat_interval_us: Interval between heartbeats of discovery, in microseconds.
        rng: Source of the jitter.
        max_retry_delay_us: Longest delay before a retry, jitter included, in microseconds.

    Attributes:
        failures: Number of attempts that failed in a row.
        next_at_us: Time to connect (IDLE) or time at which the connection counts as lost, in microseconds.
    """

    def __init__(self, heartbeat_interval_us: int, rng: Random, max_retry_delay_us: int) -> None:
        self.heartbeat_interval_us = heartbeat_interval_us
        self.rng = rng
        self.max_backoff_us = min(MAX_BACKOFF * heartbeat_interval_us, max_retry_delay_us / MAX_JITTER)
        self.connect_timeout_us = min(round(CONNECT_TIMEOUT * heartbeat_interval_us), max_retry_delay_us)
        self.phase = ConnectionPhase.IDLE
        self.address_changed = False  # True until the connection to the old address has ended
        self.failures = 0
        self.next_at_us = 0
        self.event_due_us = 0  # time at which the connection counts as lost even if bytes keep arriving
        self.handlers = {
            WatchInput.TICK: self.on_tick,
            WatchInput.CONNECT_STARTED: self.on_connect_started,
            WatchInput.DATA_RECEIVED: self.on_data_received,
            WatchInput.EVENT_RECEIVED: self.on_event_received,
            WatchInput.CONNECTION_CLOSED: self.on_connection_closed,
            WatchInput.ADDRESS_CHANGED: self.on_address_changed,
        }

    @property
    def connected(self) -> bool:
        """Return whether a connection is open or being opened."""
        return self.phase is not ConnectionPhase.IDLE

    @property
    def watching(self) -> bool:
        """Return whether the first list has arrived on the connection."""
        return self.phase is ConnectionPhase.WATCHING

    def handle(self, now_us: int, watch_input: WatchInput) -> WatchAction:
        """Handle one input event and return the action to take."""
        return self.handlers[watch_input](now_us)

    def on_tick(self, now_us: int) -> WatchAction:
        """Return the next action if a deadline has passed."""
        return self.reconnect_action() if now_us >= self.next_at_us else WatchAction.NONE

    def on_connect_started(self, now_us: int) -> WatchAction:
        """Start the timeouts of a connection attempt."""
        self.phase = ConnectionPhase.CONNECTING
        self.next_at_us = self.after(now_us, RESPONSE_TIMEOUT)
        self.event_due_us = self.after(now_us, MAX_PROPAGATION_HEARTBEATS)
        return WatchAction.NONE

    def on_data_received(self, now_us: int) -> WatchAction:
        """Extend the silence timeout, but not past the time at which an event is due."""
        if self.connected:
            alive_until_us = max(self.next_at_us, self.after(now_us, SILENCE_TIMEOUT))
            self.next_at_us = min(alive_until_us, self.event_due_us)
        return WatchAction.NONE

    def on_event_received(self, now_us: int) -> WatchAction:
        """Enter WATCHING, reset the failures and restart the timeouts."""
        if self.connected:
            self.phase = ConnectionPhase.WATCHING
        self.failures = 0
        self.next_at_us = self.after(now_us, SILENCE_TIMEOUT)
        self.event_due_us = self.after(now_us, MAX_PROPAGATION_HEARTBEATS)
        return WatchAction.NONE

    def on_connection_closed(self, now_us: int) -> WatchAction:
        """Schedule the next attempt: at once after a change of address, else after the backoff."""
        self.phase = ConnectionPhase.IDLE
        backoff_us = self.draw_backoff_us()
        if self.address_changed:  # closed by this client, so it does not count as a failure
            self.address_changed = False
            self.failures = 0
            self.next_at_us = now_us
        else:
            self.failures += 1
            self.next_at_us = now_us + backoff_us
        return WatchAction.NONE

    def on_address_changed(self, now_us: int) -> WatchAction:
        """Schedule a connection to the new address at once."""
        self.failures = 0
        self.next_at_us = now_us
        self.address_changed = self.connected
        return self.reconnect_action()

    def reconnect_action(self) -> WatchAction:
        """Return the next action towards a new connection."""
        return WatchAction.DISCONNECT if self.connected else WatchAction.CONNECT

    def draw_backoff_us(self) -> int:
        """Return an exponential backoff with jitter; draws once per closed connection, so that seeded runs repeat."""
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        backoff_us = min(self.max_backoff_us, MIN_BACKOFF * 2**doublings * self.heartbeat_interval_us)
        return round(backoff_us * (MIN_JITTER + (MAX_JITTER - MIN_JITTER) * self.rng.random()))

    def after(self, now_us: int, heartbeats: float) -> int:
        """Return the time that lies this many heartbeat intervals after now."""
        return now_us + round(heartbeats * self.heartbeat_interval_us)
