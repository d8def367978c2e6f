"""Faults in settings and scenarios are reported by section and key, all at once."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from hollyridge.cli.main import main
from hollyridge.interface import Admission
from hollyridge.lab import scenario
from hollyridge.settings import assigner
from hollyridge.settings.ini import FaultsError

EXAMPLES = Path(__file__).parent.parent / "examples"
LOOPBACK = (EXAMPLES / "loopback.ini").read_text()

FAULTS = [
    # (old and new text in the example, start of each fault in order)
    (("seed = 7", "seed = seven"), ["[assigner] seed: Input should be a valid integer"]),
    (("name = loopback", "nome = loopback"), ["[assigner] nome: no such key"]),
    (("cold_from = 0.2", "cold_from = 2"), ["[promises] cold_from: Input should be less than or equal to 1"]),
    (("pick = p2c", "pick = best"), ["[proxies] pick: Input should be 'p2c', 'rotate' or 'random'"]),
    (("khalda = 127.2.0.0/16", "khalda = 127.2.0.1/16"), ["[zones] khalda: 127.2.0.1/16 has host bits set"]),
    (
        ("listen = 127.0.0.1:3860", "listen = nowhere"),
        ["[sasp] listen: Value error, address:port expected, found 'nowhere'"],
    ),
    (("listen = 127.0.0.1:3860", "listen = 127.0.0.1:4318"), ["[otlp] listen: the same as [sasp] listen"]),
    (("soft_deadline_ms = 800", "soft_deadline_ms = 8000"), ["[method unlock-chapter] soft_deadline_ms: above"]),
    (("window_ms = 2000\n", ""), ["[method unlock-chapter] window_ms: 0, but tokened methods need"]),
    (("deadline_ms = 2000", ""), ["[method unlock-chapter] deadline_ms: missing"]),
    (("drain_grace_s = 3", "drain_grace_s = 1\n[chanel]\na = 1"), ["[chanel]: no such section"]),
    (("most_waiting = 6000", "most_waiting = 6000\nworst_transit_s = 4"), ["[channel] worst_transit_s: not below"]),
    (("[assigner]", "no section"), ["File contains no section headers"]),
    (("seed = 7", "seed = x\nname = y"), ["option 'name' in section 'assigner' already exists"]),
]


@pytest.mark.parametrize(("change", "faults"), FAULTS, ids=[row[1][0][:40] for row in FAULTS])
def test_faults_are_reported_by_section_and_key(tmp_path, change, faults):
    assert change[0] in LOOPBACK
    path = tmp_path / "a.ini"
    path.write_text(LOOPBACK.replace(*change, 1))
    with pytest.raises(FaultsError) as caught:
        assigner.load(path)
    assert len(caught.value.faults) == len(faults)
    assert all(expected in found for expected, found in zip(faults, caught.value.faults))
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 2
    assert faults[0] in result.output


def test_all_faults_are_reported_at_once(tmp_path):
    path = tmp_path / "a.ini"
    path.write_text("[assigner]\nseed = x\n[log]\nlevel = loud\n[method m]\nsoft_deadline_ms = 1\n")
    with pytest.raises(FaultsError) as caught:
        assigner.load(path)
    keys = {fault.split(":")[0] for fault in caught.value.faults}
    assert keys == {"[assigner] seed", "[log] level", "[method m] deadline_ms", "[zones]"}


@pytest.mark.parametrize("raw", [b"\xff\xfe[a]", b"[a]\n" + b"x" * (1 << 20), None])
def test_invalid_and_missing_files_are_rejected(tmp_path, raw):
    path = tmp_path / "a.ini"
    if raw is not None:
        path.write_bytes(raw)
    with pytest.raises(FaultsError):
        assigner.load(path)


def test_the_decision_module_is_configured_for_a_server_without_admission_levels():
    settings = assigner.load(EXAMPLES / "loopback.ini")
    config = settings.assigner_config()
    assert config.admission == Admission.NOT_SUPPORTED
    assert config.zones == 3
    assert config.lines_per_s == 1000
    assert config.max_waiting_lines == 2000
    assert config.message_overhead_lines == 1
    shared = assigner.load(EXAMPLES / "loopback.ini", {(f"method {m}", "group"): "all" for m in settings.methods})
    assert shared.assigner_config().lines_per_s == 3000
    assert shared.groups() == {"all": 0}


SCENARIOS = [
    (
        "[day]\nsettings = loopback.ini\nlength_s = 10\n[load]\nwork_ms = 1\nshares = 1, 1, 1\n",
        "[load] work_ms: 3 figures wanted",
    ),
    (
        "[day]\nsettings = loopback.ini\nlength_s = 10\n[load]\nwork_ms = 1, 1, 1\nshares = 1, 1, 1\n"
        "[trouble a]\nkind = plague\nat_s = 1\n",
        "[trouble a] kind: Input should be",
    ),
    (
        "[day]\nsettings = loopback.ini\nlength_s = 10\n[load]\nwork_ms = 1, 1, 1\nshares = 1, 1, 1\n"
        "[trouble a]\nkind = zone_lost\nat_s = 11\nzone = atlantis\n",
        "[trouble a] zone: no such zone",
    ),
    ("[day]\nsettings = gone.ini\nlength_s = 10\n", "gone.ini"),
]


@pytest.mark.parametrize(("text", "fault"), SCENARIOS)
def test_faults_in_scenarios_are_reported(tmp_path, text, fault):
    (tmp_path / "loopback.ini").write_text(LOOPBACK)
    (tmp_path / "s.ini").write_text(text)
    with pytest.raises(FaultsError) as caught:
        scenario.load(tmp_path / "s.ini")
    assert fault in str(caught.value)


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*-day.ini")))
def test_example_scenarios_are_valid(path):
    assert scenario.load(path).faults
