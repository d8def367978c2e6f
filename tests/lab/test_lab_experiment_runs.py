"""Runs of comparisons, hunts and sweeps."""

import msgspec
from click.testing import CliRunner
from lab_helpers import SMALL, play_day

from hollyridge.cli.main import main
from hollyridge.lab import scenario
from hollyridge.lab.experiments import experiment, hunt


def test_an_interrupted_comparison_is_continued(tmp_path):
    kept = tmp_path / "kept.jsonl"
    args = ["lab", "compare", "even", "module", "--days", str(SMALL), "--seeds", "2", "--keep", str(kept), "--json"]
    first = CliRunner().invoke(main, args)
    assert first.exit_code == 0, first.output
    rows = kept.read_bytes().splitlines()
    assert len(rows) == 4
    kept.write_bytes(b"\n".join(rows[:3]) + b"\n" + rows[3][:20])  # the fourth line is truncated
    again = CliRunner().invoke(main, args)
    results = [msgspec.json.decode(line) for run in (first, again) for line in run.stdout.splitlines()[-1:]]
    assert results[0]["gap"] == results[1]["gap"]
    assert results[0]["gap"]["pairs"] == 2
    assert len(experiment.read(kept)) >= 4


def test_gaps_are_clear_only_if_one_variant_is_better():
    assert not experiment.gap_of([0.1, -0.1] * 10).clear
    assert experiment.gap_of([0.1] * 12)[1:4] == (0.1, 0.1, 0.1)
    assert experiment.gap_of([]).pairs == 0


def test_a_hunt_finds_a_broken_rule_and_reduces_the_day(tmp_path):
    loaded = scenario.load(SMALL)
    seed, worst_scenario, outcome = hunt.hunt(loaded, range(1, 9), "deaf", max_faults=4)
    broken = {verdict.rule for verdict in outcome.verdicts if not verdict.kept}
    assert 3 in broken
    reduced, reduced_outcome = hunt.cut_down(seed, worst_scenario, outcome, "deaf")
    assert len(reduced.faults) <= 2
    assert broken <= {verdict.rule for verdict in reduced_outcome.verdicts if not verdict.kept}
    path = tmp_path / "found.ini"
    hunt.write(path, seed, reduced, reduced_outcome)
    again = play_day(path, "deaf", seed)
    assert broken <= {verdict.rule for verdict in again.verdicts if not verdict.kept}
    assert all(verdict.kept for verdict in play_day(path, "", seed).verdicts)


def test_a_sweep_reports_each_size_and_growing_cost(tmp_path):
    args = ["lab", "sweep", str(SMALL), "--sizes", "1,2", "--assigners", "1,2", "--out", str(tmp_path), "--json"]
    result = CliRunner().invoke(main, args)
    assert result.exit_code == 0, result.output
    rows = msgspec.json.decode(result.stdout.splitlines()[-1])["rows"]
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
