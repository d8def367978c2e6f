from pathlib import Path
from random import Random

import pytest

from hollyridge.errors import HollyridgeError
from hollyridge.lab import scenario
from hollyridge.lab.experiments import experiment, hunt, takeover
from hollyridge.lab.experiments.errors import VariantError
from hollyridge.lab.experiments.fault_draw import with_faults
from hollyridge.lab.experiments.paired_gap import PairedGap
from hollyridge.lab.experiments.variants import Checkouts, Variant

ROOT = Path(__file__).resolve().parents[2]


def figures(faults):
    return {
        name: (fault.at_s, fault.for_s, fault.part, fault.size, fault.extra, fault.how)
        for name, fault in faults.items()
    }


def test_a_seed_of_the_hunt_always_draws_the_same_faults():
    assert figures(hunt.draw(Random(7), 60.0, 5)) == {
        "false_loads-0": (3.12, 21.96, 0.119, 0.254, 2.41, "zero"),
        "proxies_stalled-1": (2.65, 15.37, 0.342, 0.454, 2.849, "apart"),
        "vanish-2": (42.69, 14.46, 0.137, 1.0, 1.0, ""),
    }


def test_a_seed_of_takeovers_always_draws_the_same_faults():
    assert figures(takeover.draw(Random(7), 60.0)) == {"assigner_stalled-0": (14.27, 1.53, 0.611, 2.753, 4.748, "")}


@pytest.mark.parametrize("seed", range(20))
def test_every_day_of_takeovers_has_one_hard_fault_and_no_zone_without_assigner(seed):
    kinds = [fault.kind for fault in takeover.draw(Random(seed), 60.0).values()]
    assert kinds[0] in takeover.HARD_KINDS
    assert "zone_cut" not in kinds[1:] or kinds[0] == "peers_cut"
    assert not (kinds[0] == "peers_cut" and set(kinds) & set(takeover.ASSIGNER_KINDS))


def test_a_scenario_with_other_faults_keeps_the_rest_and_does_not_change_the_original():
    original = scenario.load(ROOT / "examples" / "lab" / "small.ini")
    before = dict(original.faults)
    changed = with_faults(original, {})
    assert changed.faults == {}
    assert (changed.day, changed.fleet, changed.load) == (original.day, original.fleet, original.load)
    assert original.faults == before != {}


@pytest.mark.parametrize(("name", "arguments"), [("module", []), ("commit:HEAD~1", []), ("even", ["--policy", "even"])])
def test_a_variant_selects_its_decision_module(name, arguments):
    assert Variant(name).arguments() == arguments


def test_a_settings_variant_passes_the_absolute_path_of_the_file(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    assert Variant("other.ini").arguments() == ["--settings", str(tmp_path / "other.ini")]


def test_a_commit_that_does_not_exist_is_rejected_by_name():
    checkouts = Checkouts(experiment.REPOSITORY)
    with pytest.raises(
        VariantError, match=r"^variant commit:no-such-revision: .* no commit no-such-revision in "
    ) as caught:
        checkouts.of(Variant("commit:no-such-revision"))
    assert isinstance(caught.value, HollyridgeError)
    assert isinstance(caught.value, ValueError)


def test_variants_other_than_commits_run_from_the_current_tree():
    assert Checkouts(experiment.REPOSITORY).of(Variant("even")) is None


@pytest.mark.parametrize(
    ("gap", "clear"),
    [
        (PairedGap(8, 0.1, 0.05, 0.15, 8, 0, 0.0078), True),
        (PairedGap(8, -0.1, -0.15, -0.05, 0, 8, 0.0078), True),
        (PairedGap(7, 0.1, 0.05, 0.15, 7, 0, 0.0078), False),
        (PairedGap(8, 0.1, -0.05, 0.15, 8, 0, 0.0078), False),
        (PairedGap(8, 0.1, 0.05, 0.15, 7, 1, 0.01), False),
    ],
)
def test_a_gap_is_clear_only_by_number_of_pairs_interval_and_sign_test(gap, clear):
    assert gap.clear == clear


def test_a_truncated_line_of_kept_results_is_terminated_once(tmp_path):
    path = tmp_path / "kept.jsonl"
    path.write_bytes(b'{"seed":1}\n{"se')
    experiment.end_cut_line(path)
    experiment.end_cut_line(path)
    experiment.append(path, {"seed": 2})
    assert path.read_bytes() == b'{"seed":1}\n{"se\n{"seed":2}\n'
    assert experiment.read(path) == [{"seed": 1}, {"seed": 2}]


def test_a_missing_file_holds_no_results(tmp_path):
    experiment.end_cut_line(tmp_path / "none")
    assert experiment.read(tmp_path / "none") == []
    assert not (tmp_path / "none").exists()
