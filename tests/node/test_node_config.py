"""Reading the platform's configuration: values, and the message for each fault."""

import json

import pytest
from stand_ins import CONFIG_DOCUMENT, METHOD_NAMES, SETTINGS, list_page, server

from hollyridge.node.config import ConfigError, parse_config

INVALID = [
    (b"", "cannot be read"),
    (b"{", "cannot be read"),
    (b"[]", "cannot be read"),
    (b"{}", "name"),
    ({"listen": "nowhere"}, "listen is not"),
    ({"discovery": 5}, "discovery"),
    ({"seed": "xyz"}, "seed is not"),
    ({"limits": {"sockets": 3}}, "sockets"),
    ({"known": list_page(1, [server("a", state="up")])}, "known: endpoint a has an unknown state: up"),
    ({"settings": {}}, "profiles.count"),
    ({"settings": {**SETTINGS, "rules": {}}}, "the settings lack rules.drain_grace\nthe settings lack rules.cold_from"),
    ({"settings": {**SETTINGS, "zones": []}}, "the settings need one or more distinct names in zones"),
    (
        {"settings": {**SETTINGS, "family_info": {**SETTINGS["family_info"], "agents": 0}}},
        "the settings need a number from 1 to 65535 in family_info.agents",
    ),
    ({"settings": {**SETTINGS, "family_info": {**SETTINGS["family_info"], "pick": "best"}}}, "family_info.pick has no"),
]


@pytest.mark.parametrize(("change", "fault"), INVALID)
def test_every_fault_of_a_configuration_is_named(change, fault):
    raw = change if isinstance(change, bytes) else json.dumps({**CONFIG_DOCUMENT, **change}).encode()
    with pytest.raises(ConfigError) as caught:
        parse_config(raw)
    assert fault in str(caught.value)


def test_settings_are_read_with_units_and_names_of_the_platform():
    config = parse_config(json.dumps(CONFIG_DOCUMENT).encode())
    assert config.assigner_config.drain_grace_us == 3_000_000
    assert config.assigner_config.load_metric_names == ("util", "queue")
    assert config.protocol_names.methods == tuple(METHOD_NAMES)
    assert config.protocol_names.proxy_count == 400
    assert config.min_decision_interval_s == 0.005


def test_one_error_holds_all_faults():
    raw = json.dumps({**CONFIG_DOCUMENT, "listen": "nowhere", "seed": "xyz"}).encode()
    with pytest.raises(ConfigError) as caught:
        parse_config(raw)
    assert caught.value.faults == ["listen is not an IP address with a port: nowhere", "seed is not hexadecimal: xyz"]
    assert str(caught.value) == "\n".join(caught.value.faults)


@pytest.mark.parametrize(
    ("setting", "interval_s"), [(0.02, 0.02), (7, 0.1), (0, 0.0005), ("soon", 0.005), ("nan", 0.0005)]
)
def test_the_interval_between_decisions_is_limited_to_its_bounds(setting, interval_s):
    raw = json.dumps({**CONFIG_DOCUMENT, "settings": {**SETTINGS, "round": setting}}).encode()
    assert parse_config(raw).min_decision_interval_s == interval_s
