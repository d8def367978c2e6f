"""The state machine of the watch: when it connects to discovery and when a watch counts as lost."""

from random import Random

import pytest
from helpers import SECOND

from hollyridge.discovery.timing import max_retry_delay_us
from hollyridge.discovery.watch_state import ConnectionPhase, WatchAction, WatchInput, WatchState


def test_failed_attempts_are_retried_with_growing_backoff():
    state, now, pauses = WatchState(2 * SECOND, Random(5), 3 * SECOND), 0, []
    for _ in range(12):
        assert state.handle(now, WatchInput.TICK) is WatchAction.CONNECT
        state.handle(now, WatchInput.CONNECT_STARTED)
        state.handle(now, WatchInput.CONNECTION_CLOSED)
        assert state.handle(now, WatchInput.TICK) is WatchAction.NONE
        pauses.append(state.next_at_us - now)
        now = state.next_at_us
    assert all(1 * SECOND <= pause <= 3 * SECOND for pause in pauses[5:])
    assert max(pauses[:1]) <= 0.3 * SECOND
    assert len(set(pauses)) == len(pauses)


@pytest.mark.parametrize("grace_us", [1_500_000, 2_000_000, 3_000_000, 3_500_000])
def test_after_an_outage_of_discovery_the_next_call_leaves_time_to_keep_the_drain_grace(grace_us):
    # Guards against drains that reach the proxies too late because the watch still waits when discovery is back.
    max_transit_us, outage_us = 800_000, 6 * SECOND
    for seed in range(200):
        state, now = WatchState(2 * SECOND, Random(seed), max_retry_delay_us(grace_us, max_transit_us)), 0
        while now < outage_us:
            state.handle(now, WatchInput.CONNECT_STARTED)
            state.handle(now, WatchInput.CONNECTION_CLOSED)
            now = state.next_at_us
        assert now + max_transit_us <= outage_us + grace_us


def test_attempts_that_never_connect_end_before_the_longest_retry_delay():
    # Guards against the same lateness where a partition lets each attempt wait for its timeout.
    state = WatchState(2 * SECOND, Random(5), max_retry_delay_us(1_500_000, 800_000))
    assert state.connect_timeout_us <= 325_000
    assert WatchState(2 * SECOND, Random(5), 3 * SECOND).connect_timeout_us == SECOND


def test_a_silent_watch_is_closed_and_a_new_address_is_tried_at_once():
    state = WatchState(2 * SECOND, Random(5), 3 * SECOND)
    state.handle(0, WatchInput.CONNECT_STARTED)
    for second in range(1, 20):
        state.handle(second * SECOND, WatchInput.EVENT_RECEIVED)
        assert state.handle(second * SECOND + 1, WatchInput.TICK) is WatchAction.NONE
    assert state.handle(22 * SECOND, WatchInput.TICK) is WatchAction.DISCONNECT
    state.handle(22 * SECOND, WatchInput.CONNECTION_CLOSED)
    assert state.handle(22 * SECOND, WatchInput.ADDRESS_CHANGED) is WatchAction.CONNECT
    state.handle(22 * SECOND, WatchInput.CONNECT_STARTED)
    assert state.handle(22 * SECOND, WatchInput.ADDRESS_CHANGED) is WatchAction.DISCONNECT


def test_a_connection_closed_after_a_change_of_address_is_not_a_failure():
    state = WatchState(2 * SECOND, Random(5), 3 * SECOND)
    state.handle(0, WatchInput.CONNECT_STARTED)
    assert state.handle(SECOND, WatchInput.ADDRESS_CHANGED) is WatchAction.DISCONNECT
    state.handle(SECOND + 7, WatchInput.CONNECTION_CLOSED)
    assert state.failures == 0
    assert state.handle(SECOND + 7, WatchInput.TICK) is WatchAction.CONNECT
    state.handle(SECOND + 7, WatchInput.CONNECT_STARTED)
    state.handle(SECOND + 9, WatchInput.CONNECTION_CLOSED)
    assert state.failures == 1
    assert state.handle(SECOND + 9, WatchInput.TICK) is WatchAction.NONE


def test_the_phase_follows_the_connection():
    state = WatchState(2 * SECOND, Random(5), 3 * SECOND)
    assert state.phase is ConnectionPhase.IDLE
    state.handle(0, WatchInput.CONNECT_STARTED)
    assert state.phase is ConnectionPhase.CONNECTING
    assert state.connected
    assert not state.watching
    state.handle(1, WatchInput.EVENT_RECEIVED)
    assert state.phase is ConnectionPhase.WATCHING
    assert state.connected
    assert state.watching
    state.handle(2, WatchInput.CONNECTION_CLOSED)
    assert state.phase is ConnectionPhase.IDLE
    assert not state.connected


def test_bytes_without_an_event_keep_a_connection_open_only_for_the_propagation_time():
    state, now = WatchState(2 * SECOND, Random(5), 3 * SECOND), 0
    state.handle(now, WatchInput.CONNECT_STARTED)
    while state.handle(now, WatchInput.TICK) is WatchAction.NONE:
        now += SECOND
        state.handle(now, WatchInput.DATA_RECEIVED)
    assert now == 6 * SECOND
