"""Recorder without a file, and the pages of recordings and comparisons."""

from pathlib import Path

import msgspec
from click.testing import CliRunner
from lab_helpers import SMALL

from hollyridge.cli.main import main
from hollyridge.lab import scenario
from hollyridge.lab.day import Day
from hollyridge.lab.reports.record import Recorder
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment


def test_a_recorder_without_a_file_keeps_rows():
    record = Recorder(None, lambda: 7)
    record("x", a=1)
    assert record.rows == [{"k": "x", "t": 7, "a": 1}]


def test_pages_of_recordings_and_comparisons(tmp_path):
    record, kept = tmp_path / "day.jsonl", tmp_path / "kept.jsonl"
    loaded = scenario.load(SMALL)
    Day(loaded, SimulatedEnvironment(loaded, "", 3, None, str(record)), 3).play()
    rows = [
        {
            "variant": variant,
            "script": "s",
            "seed": seed,
            "served": 0.9,
            "worst_10s": 0.8,
            "lines": 10,
            "messages": 5,
            "decisions_sent": 3,
            "tries": 9,
            "broken": 0,
        }
        for variant in ("a", "b")
        for seed in (1, 2)
    ]
    kept.write_bytes(b"\n".join(map(msgspec.json.encode, rows)))
    for source, images in ((record, 7), (kept, 4)):
        result = CliRunner().invoke(main, ["lab", "report", str(source), "--out", str(tmp_path / source.stem)])
        assert result.exit_code == 0, result.output
        assert Path(result.output.strip()).read_text().count("data:image/png") == images
    (tmp_path / "empty.jsonl").write_text("nothing\n")
    assert CliRunner().invoke(main, ["lab", "report", str(tmp_path / "empty.jsonl")]).exit_code == 2
