"""Timing of discovery: figures of the platform's protocol, and the longest delay before a watch is opened again."""

from __future__ import annotations

HEARTBEAT_INTERVAL_US = 2_000_000  # interval between the empty lines that discovery sends on a watch without changes
MAX_PROPAGATION_HEARTBEATS = 3.0  # heartbeat intervals within which every change reaches every watcher (6 s)
MAX_PROPAGATION_US = round(MAX_PROPAGATION_HEARTBEATS * HEARTBEAT_INTERVAL_US)
MIN_RETRY_DELAY_LIMIT_US = 300_000  # the limit on the delay never falls below this, so as not to overload discovery
REMOVAL_DELAY_FRACTION = 0.25  # part of the drain grace by which the decisions may delay a removal behind a long queue


def max_retry_delay_us(drain_grace_us: int, max_transit_us: int) -> int:
    """Return the longest delay before a watch is opened again that leaves time to keep the drain grace.

    A change counts as told `MAX_PROPAGATION_US` after it was made, even if discovery was down until then. The first
    call after that has to come early enough for the removal to be sent, and to arrive, within the drain grace.

    >>> max_retry_delay_us(3_000_000, 500_000), max_retry_delay_us(1_000_000, 800_000)
    (1750000, 300000)

    Args:
        drain_grace_us: Time for which a draining task may still get requests, in microseconds.
        max_transit_us: Longest transit time of a message to a proxy, in microseconds.
    """
    time_left_us = round(drain_grace_us * (1 - REMOVAL_DELAY_FRACTION)) - max_transit_us
    return max(MIN_RETRY_DELAY_LIMIT_US, time_left_us)
