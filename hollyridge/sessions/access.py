"""Access control: which principal may act as which proxy, register which members and report for which zone.

Without keys every client may do everything. With keys but no principals in the settings, every holder of a key signed
by the authority may. Once the settings name principals, only these have access, even after the last of them has been
removed. A removed principal loses its rights at the next check, also on open streams.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from fnmatch import fnmatchcase
from typing import NamedTuple


class Principal(NamedTuple):
    """A holder of keys, with its rights.

    Attributes:
        name: Common name of its TLS certificate.
        curve_key: CURVE public key (Z85), or empty.
        uid_patterns: Shell patterns for the names of the proxies that it may act as.
        networks: Networks in which it may register members.
        zones: Names of the zones that it may report for.
    """

    name: str
    curve_key: str
    uid_patterns: tuple[str, ...]
    networks: tuple[ipaddress.IPv4Network | ipaddress.IPv6Network, ...]
    zones: tuple[str, ...]


class AccessControl:
    """Access checks, each of which returns an empty string or the reason of the denial.

    >>> network = ipaddress.ip_network("127.1.0.0/16")
    >>> gate, agent = Principal("gate", "", ("gw-*",), (), ("abdali",)), Principal("agent", "", (), (network,), ())
    >>> access = AccessControl(True, [gate, agent])
    >>> access.check_proxy_name("gate", "gw-7"), access.check_proxy_name("gate", "other")
    ('', 'gate may not go by that name')
    >>> access.check_member_address("agent", "127.1.0.9"), access.check_member_address("agent", "127.2.0.9")
    ('', 'agent may not register that address')
    >>> access.check_zone("gate", "abdali"), access.check_zone("nobody", "abdali")
    ('', 'nobody is not known')

    Args:
        keys_required: Whether the servers require keys.
        principals: The principals with their rights.

    Attributes:
        unrestricted: Whether every client may do everything.
        principal_by_curve_key: Names of principals by CURVE public key.
    """

    def __init__(self, keys_required: bool, principals: Iterable[Principal]) -> None:
        self.unrestricted = True
        self.replace(principals)
        self.unrestricted = self.unrestricted or not keys_required

    def replace(self, principals: Iterable[Principal]) -> None:
        """Replace the principals. Access that was once restricted to principals stays restricted."""
        self.principals = {principal.name: principal for principal in principals}
        self.unrestricted = self.unrestricted and not self.principals
        self.principal_by_curve_key = {
            principal.curve_key: principal.name for principal in self.principals.values() if principal.curve_key
        }

    def is_curve_key_known(self, key: str) -> bool:
        """Return whether a client with this CURVE public key (Z85) may connect."""
        return self.unrestricted or key in self.principal_by_curve_key

    def check_known(self, name: str) -> str:
        """Check that a name is the name of a principal."""
        return "" if self.unrestricted or name in self.principals else f"{name or 'a stranger'} is not known"

    def check_proxy_name(self, name: str, uid: str) -> str:
        """Check that a principal may act as the proxy `uid`."""
        denial = self.check_known(name)
        if self.unrestricted or denial:
            return denial
        allowed = any(fnmatchcase(uid, pattern) for pattern in self.principals[name].uid_patterns)
        return "" if allowed else f"{name} may not go by that name"

    def check_member_address(self, name: str, host: str) -> str:
        """Check that a principal may register a member at the IP address `host`."""
        denial = self.check_known(name)
        if self.unrestricted or denial:
            return denial
        address = ipaddress.ip_address(host)
        networks = self.principals[name].networks
        allowed = any(address.version == network.version and address in network for network in networks)
        return "" if allowed else f"{name} may not register that address"

    def check_zone(self, name: str, zone: str) -> str:
        """Check that a principal may report for a zone."""
        denial = self.check_known(name)
        if self.unrestricted or denial:
            return denial
        return "" if zone in self.principals[name].zones else f"{name} may not report for that zone"
