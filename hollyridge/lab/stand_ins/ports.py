"""Search for free ports on loopback, for live environments."""

from __future__ import annotations

import socket
from contextlib import ExitStack

from hollyridge.lab.environment import DayError

ATTEMPTS = 100


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that was free at the time of the call."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_ports(count: int) -> int:
    """Return the first of `count` consecutive free ports.

    Raises:
        DayError: No such ports were found.
    """
    for _ in range(ATTEMPTS):
        first = free_port()
        if _are_free(range(first, first + count)):
            return first
    raise DayError(f"{count} consecutive free ports on 127.0.0.1 were not found in {ATTEMPTS} attempts")


def _are_free(ports: range) -> bool:
    with ExitStack() as probes:
        for port in ports:
            probe = probes.enter_context(socket.socket())
            try:
                probe.bind(("127.0.0.1", port))
            except (OSError, OverflowError):  # in use, or above the highest port number
                return False
    return True
