"""Parsing of addresses in settings.

The node process imports this module too, so it depends only on the standard library.
"""

from __future__ import annotations

import ipaddress

MAX_PORT = 65535


def split_address(listen: str) -> tuple[str, int]:
    """Return host and port; raise ValueError if the text is not `address:port`.

    >>> split_address("127.0.0.1:3860"), split_address("[::1]:0")
    (('127.0.0.1', 3860), ('::1', 0))
    """
    host, _, port = listen.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        number = -1
    if not 0 <= number <= MAX_PORT:
        raise ValueError("address:port expected")
    return host, number
