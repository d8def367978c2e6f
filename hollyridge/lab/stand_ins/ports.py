"""Free ports on loopback for live environments."""

from __future__ import annotations

import socket
from contextlib import ExitStack

from hollyridge.lab.environment import DayError

ATTEMPTS = 100


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that was free just now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_ports(count: int) -> int:
    """The first of so many free ports in a row.

    Raises:
        DayError: None were found.
    """
    for _ in range(ATTEMPTS):
        first = free_port()
        if _are_free(range(first, first + count)):
            return first
    raise DayError("no free ports in a row")


def _are_free(ports: range) -> bool:
    with ExitStack() as probes:
        for port in ports:
            probe = probes.enter_context(socket.socket())
            try:
                probe.bind(("127.0.0.1", port))
            except (OSError, OverflowError):  # taken, or above the last port
                return False
    return True
