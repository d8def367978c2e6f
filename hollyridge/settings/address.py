"""Addresses as settings write them. Imported by the node too: standard library only."""

from __future__ import annotations

import ipaddress


def split(listen: str) -> tuple[str, int]:
    """Host and port; ValueError if it is not `address:port`.

    >>> split("127.0.0.1:3860"), split("[::1]:0")
    (('127.0.0.1', 3860), ('::1', 0))
    """
    host, _, port = listen.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        if not 0 <= int(port) <= 65535:
            raise ValueError
    except ValueError:
        raise ValueError("address:port is wanted") from None
    return host, int(port)
