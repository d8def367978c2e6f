"""Access control without keys, with keys and by principal, and the replacement of principals."""

import ipaddress

import pytest

from hollyridge.sessions.access import AccessControl, Principal

GATE = Principal("gate", "gate-key", ("gw-*", "edge"), (), ("abdali",))
AGENT = Principal("agent", "", (), (ipaddress.ip_network("127.1.0.0/16"), ipaddress.ip_network("::1/128")), ())


@pytest.mark.parametrize("access", [AccessControl(False, ()), AccessControl(True, ()), AccessControl(False, [GATE])])
def test_without_keys_or_without_principals_every_client_may_do_everything(access):
    assert access.unrestricted
    assert access.is_curve_key_known("any-key")
    assert access.check_known("anyone") == access.check_proxy_name("anyone", "gw-1") == ""
    assert access.check_member_address("anyone", "10.0.0.1") == access.check_zone("anyone", "khalda") == ""


@pytest.mark.parametrize(
    ("name", "uid", "denial"),
    [
        ("gate", "gw-7", ""),
        ("gate", "edge", ""),
        ("gate", "edge-2", "gate may not go by that name"),
        ("agent", "gw-7", "agent may not go by that name"),
        ("other", "gw-7", "other is not known"),
        ("", "gw-7", "a stranger is not known"),
    ],
)
def test_a_principal_acts_as_the_proxies_of_its_patterns(name, uid, denial):
    assert AccessControl(True, [GATE, AGENT]).check_proxy_name(name, uid) == denial


@pytest.mark.parametrize(
    ("name", "host", "denial"),
    [
        ("agent", "127.1.3.4", ""),
        ("agent", "::1", ""),
        ("agent", "127.2.0.1", "agent may not register that address"),
        ("agent", "::2", "agent may not register that address"),
        ("gate", "127.1.3.4", "gate may not register that address"),
        ("other", "127.1.3.4", "other is not known"),
    ],
)
def test_a_principal_registers_members_within_its_networks(name, host, denial):
    assert AccessControl(True, [GATE, AGENT]).check_member_address(name, host) == denial


@pytest.mark.parametrize(
    ("name", "zone", "denial"),
    [
        ("gate", "abdali", ""),
        ("gate", "khalda", "gate may not report for that zone"),
        ("other", "abdali", "other is not known"),
    ],
)
def test_a_principal_reports_for_its_zones(name, zone, denial):
    assert AccessControl(True, [GATE, AGENT]).check_zone(name, zone) == denial


def test_only_curve_keys_of_principals_are_known():
    access = AccessControl(True, [GATE, AGENT])
    assert access.is_curve_key_known("gate-key")
    assert not access.is_curve_key_known("other-key")
    assert not access.is_curve_key_known("")
    assert access.principal_by_curve_key == {"gate-key": "gate"}


def test_removing_the_last_principal_denies_all_access():
    access = AccessControl(True, [GATE])
    access.replace([])
    assert not access.unrestricted
    assert access.check_known("gate") == "gate is not known"
    assert not access.is_curve_key_known("gate-key")


def test_adding_the_first_principal_denies_access_to_others():
    access = AccessControl(True, ())
    access.replace([GATE])
    assert not access.unrestricted
    assert access.check_known("gate") == ""
    assert access.check_known("other") == "other is not known"
