"""The assigner's configuration, read from the settings text of the bench's wire."""

import pytest
from bench_wire import SETTINGS_TEXT

from hollyridge.platform_settings.assigner_config import read_assigner_config
from hollyridge.platform_settings.settings_reader import SettingsError


def test_values_are_read_by_path_with_times_in_microseconds():
    config = read_assigner_config(SETTINGS_TEXT)
    assert (config.zones, config.report_period_us, config.subscribe, config.methods[1].idempotency_window_us) == (
        3,
        10**6,
        True,
        2 * 10**6,
    )


@pytest.mark.parametrize("path", ["rules.fall", "family_info.period", "profiles.1.slo"])
def test_a_missing_setting_is_named(path):
    lines = [line for line in SETTINGS_TEXT.splitlines() if not line.startswith(path.encode() + b"=")]
    with pytest.raises(SettingsError, match=path):
        read_assigner_config(b"\n".join(lines))


def test_a_value_that_is_not_a_number_is_named():
    with pytest.raises(SettingsError, match=r"rules\.fall"):
        read_assigner_config(SETTINGS_TEXT.replace(b"rules.fall=2.0", b"rules.fall=nan"))


def test_one_error_lists_all_faults_in_the_order_of_reading():
    with pytest.raises(SettingsError) as caught:
        read_assigner_config(b"profiles.count=1\nprofiles.0.repeat=often\ndiscovery=subscribe\n")
    assert caught.value.faults[:3] == [
        "the settings lack profiles.0.deadline",
        "the settings lack profiles.0.slo",
        "the setting profiles.0.repeat has no valid value (expected one of repeatable, by_key, once): often",
    ]
    assert str(caught.value) == "; ".join(caught.value.faults)
