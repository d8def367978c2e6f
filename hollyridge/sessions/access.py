"""Who may be which proxy, register which members, and report for which zone: one small table.

Without keys everyone may everything. With keys and no bearers in the settings, whoever holds a key that the
authority signed may; once bearers are named, taking out the last of them lets in nobody. A bearer that is taken out
loses what it has at the next look, streams included.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from fnmatch import fnmatchcase
from typing import NamedTuple


class Principal(NamedTuple):
    """`name` is that of its certificate, `curve` its public key for pub-sub (empty: none). `uids` are patterns."""

    name: str
    curve: str
    uids: tuple[str, ...]
    networks: tuple[ipaddress.IPv4Network | ipaddress.IPv6Network, ...]
    zones: tuple[str, ...]


class AccessControl:
    """Each question is answered with an empty text, or with why not.

    >>> net = ipaddress.ip_network("127.1.0.0/16")
    >>> gate, agent = Principal("gate", "", ("gw-*",), (), ("abdali",)), Principal("agent", "", (), (net,), ())
    >>> access = AccessControl(True, [gate, agent])
    >>> access.may_be("gate", "gw-7"), access.may_be("gate", "other")
    ('', 'gate may not go by that name')
    >>> access.may_register("agent", "127.1.0.9"), access.may_register("agent", "127.2.0.9")
    ('', 'agent may not register that address')
    >>> access.may_report("gate", "abdali"), access.may_report("nobody", "abdali")
    ('', 'nobody is not known')
    """

    def __init__(self, keyed: bool, bearers: Iterable[Principal]) -> None:
        self.anyone = True
        self.replace(bearers)
        self.anyone = self.anyone or not keyed

    def replace(self, bearers: Iterable[Principal]) -> None:
        """Another table from now on."""
        self.bearers = {bearer.name: bearer for bearer in bearers}
        self.anyone = self.anyone and not self.bearers
        self.by_curve = {bearer.curve: bearer.name for bearer in self.bearers.values() if bearer.curve}

    @property
    def open(self) -> bool:
        return self.anyone

    def curve_known(self, key: str) -> bool:
        return self.open or key in self.by_curve

    def known(self, who: str) -> str:
        return "" if self.open or who in self.bearers else f"{who or 'a stranger'} is not known"

    def may_be(self, who: str, uid: str) -> str:
        if self.open or self.known(who):
            return self.known(who)
        fits = any(fnmatchcase(uid, pattern) for pattern in self.bearers[who].uids)
        return "" if fits else f"{who} may not go by that name"

    def may_register(self, who: str, host: str) -> str:
        if self.open or self.known(who):
            return self.known(who)
        ip = ipaddress.ip_address(host)
        fits = any(ip.version == net.version and ip in net for net in self.bearers[who].networks)
        return "" if fits else f"{who} may not register that address"

    def may_report(self, who: str, zone: str) -> str:
        if self.open or self.known(who):
            return self.known(who)
        return "" if zone in self.bearers[who].zones else f"{who} may not report for that zone"
