"""Messages for invalid settings in the section `[peers]`."""

import pytest
from assigner_fleet import EXAMPLES, KEY

from hollyridge.settings import assigner
from hollyridge.settings.ini import FaultsError

INVALID_SETTINGS = [
    ({"listen": "nowhere"}, "listen: address:port"),
    ({"seeds": "127.0.0.1:1"}, "listen: missing"),
    ({"listen": "127.0.0.1:5", "key": "none"}, "key: No such file"),
    ({"listen": "127.0.0.1:5", "key": "short"}, "key: 32 bytes"),
    ({"listen": "127.0.0.1:5", "key": "good", "zone": "x"}, "zone: no such zone"),
    ({"listen": "127.0.0.1:5", "key": "good", "lease_s": "30"}, "lease_s: above"),
    ({"listen": "127.0.0.1:5", "key": "good", "round_trip_ms": "500"}, "round_trip_ms: three probes"),
]


@pytest.mark.parametrize(("settings", "fault"), INVALID_SETTINGS)
def test_invalid_settings_are_named(tmp_path, settings, fault):
    (tmp_path / "short").write_text("00ff")
    (tmp_path / "good").write_text(KEY.hex())
    settings = {key: str(tmp_path / value) if key == "key" else value for key, value in settings.items()}
    with pytest.raises(FaultsError) as caught:
        assigner.load(EXAMPLES / "loopback.ini", {("peers", key): value for key, value in settings.items()})
    assert any(found.startswith("[peers] ") and fault in found for found in caught.value.faults), caught.value.faults
