"""Comparisons, hunts and sweeps."""

import msgspec
from click.testing import CliRunner
from lab_helpers import SMALL, play_day

from hollyridge.cli.main import main
from hollyridge.lab import scenario
from hollyridge.lab.experiments import experiment, hunt


def test_an_interrupted_experiment_goes_on(tmp_path):
    keep = tmp_path / "kept.jsonl"
    words = ["lab", "compare", "even", "module", "--days", str(SMALL), "--seeds", "2", "--keep", str(keep), "--json"]
    first = CliRunner().invoke(main, words)
    assert first.exit_code == 0, first.output
    rows = keep.read_bytes().splitlines()
    assert len(rows) == 4
    keep.write_bytes(b"\n".join(rows[:3]) + b"\n" + rows[3][:20])  # the fourth was cut off
    again = CliRunner().invoke(main, words)
    told = [msgspec.json.decode(line) for run in (first, again) for line in run.stdout.splitlines()[-1:]]
    assert told[0]["gap"] == told[1]["gap"]
    assert told[0]["gap"]["pairs"] == 2
    assert len(experiment.read(keep)) >= 4


def test_gaps():
    assert not experiment.gap_of([0.1, -0.1] * 10).clear
    assert experiment.gap_of([0.1] * 12)[1:4] == (0.1, 0.1, 0.1)
    assert experiment.gap_of([]).pairs == 0


def test_a_hunt_finds_a_broken_rule_and_cuts_it_down(tmp_path):
    loaded = scenario.load(SMALL)
    seed, worst, found = hunt.hunt(loaded, range(1, 9), "deaf", max_faults=4)
    broken = {v.rule for v in found.verdicts if not v.kept}
    assert 3 in broken
    less, cut = hunt.cut_down(seed, worst, found, "deaf")
    assert len(less.faults) <= 2
    assert broken <= {v.rule for v in cut.verdicts if not v.kept}
    path = tmp_path / "found.ini"
    hunt.write(path, seed, less, cut)
    again = play_day(path, "deaf", seed)
    assert broken <= {v.rule for v in again.verdicts if not v.kept}
    assert all(v.kept for v in play_day(path, "", seed).verdicts)


def test_a_sweep_tells_what_grows(tmp_path):
    words = ["lab", "sweep", str(SMALL), "--sizes", "1,2", "--assigners", "1,2", "--out", str(tmp_path), "--json"]
    ran = CliRunner().invoke(main, words)
    assert ran.exit_code == 0, ran.output
    rows = msgspec.json.decode(ran.stdout.splitlines()[-1])["rows"]
    assert [(row["tasks"], row["proxies"], row["assigners"]) for row in rows] == [
        (6, 4, 1),
        (12, 8, 1),
        (6, 4, 2),
        (12, 8, 2),
    ]
    assert rows[1]["lines"] > 2 * rows[0]["lines"]
    assert all(row["broken"] == 0 and row["cpu_per_s"] > 0 for row in rows)
    assert (tmp_path / "index.html").read_text().count("data:image/png") == 5
    assert CliRunner().invoke(main, ["lab", "sweep", str(SMALL), "--sizes", "x"]).exit_code == 2
