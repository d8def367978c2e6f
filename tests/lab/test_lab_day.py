"""Short days on real sockets, played concurrently: the service keeps the rules, and broken rules are detected."""

import base64
import json
import subprocess
import sys
import time
from pathlib import Path

import pytest

from hollyridge.lab.checks.parity import compare
from hollyridge.lab.reports.record import parts_of, read_all

ROOT = Path(__file__).resolve().parents[2]
SMALL, UNFORGIVING = ROOT / "examples" / "small-day.ini", ROOT / "tests" / "days" / "unforgiving.ini"
RECKLESS = ROOT / "tests" / "days" / "reckless.ini"
TAKEOVER = ROOT / "tests" / "days" / "takeover.ini"
DAYS = {
    # name: scenario, policy, number of the rule that is broken (0 for none)
    "kept": (SMALL, "", 0),
    "kept where nothing else protects the cold": (UNFORGIVING, "", 0),
    "a table emptied": (SMALL, "bare", 1),
    "non-idempotent RPCs tried again": (RECKLESS, "", 2),
    "lines never taken out": (SMALL, "deaf", 3),
    "all to a cold task": (UNFORGIVING, "bold", 4),
    "ten messages a second": (SMALL, "chatty", 5),
    "an assigner of three dies": (TAKEOVER, "", 0),
}


@pytest.fixture(scope="module")
def days():
    """Start all days concurrently, because they mostly wait."""
    running = {}
    for name, (path, policy, _) in DAYS.items():
        arguments = [sys.executable, "-m", "hollyridge.cli.main", "day", str(path), "--json"]
        running[name] = subprocess.Popen(
            arguments + ["--policy", policy] * bool(policy), stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
    yield running
    for process in running.values():
        process.kill()
        process.wait()


@pytest.mark.parametrize("name", DAYS)
def test_day_keeps_the_rules_or_reports_the_broken_one(days, name):
    stdout, stderr = days[name].communicate(timeout=120)
    broken = DAYS[name][2]
    assert days[name].returncode == (1 if broken else 0), stderr.decode()[-2000:]
    report = json.loads(stdout)
    broken_rules = {row["rule"] for row in report["rules"] if not row["kept"]}
    assert broken in broken_rules if broken else not broken_rules
    assert report["rpcs"] > 100
    assert report["messages"] > 0
    if name == "an assigner of three dies":
        ownership = report["ownership"]
        assert ownership["orphaned"] > 0 == ownership["doubly_ordered"]
        assert ownership["orphaned_max_s"] < 10
        assert ownership["moves"] > 0


def test_both_protocols_deliver_equal_tables_and_a_difference_is_detected(tmp_path):
    arguments = [sys.executable, "-m", "hollyridge.cli.main", "day", str(SMALL), "--fronts", "sasp,clone"]
    completed = subprocess.run([*arguments, "--report", str(tmp_path)], capture_output=True, timeout=120)
    assert completed.returncode == 0, completed.stderr.decode()[-2000:]
    *_, parity, rules = completed.stdout.decode().splitlines()
    assert parity.startswith("parity: ")
    assert parity.endswith(" tables compared, 0 differ")
    assert rules == "rules: 5 kept, 0 broken"
    rows = read_all(tmp_path)
    compared, differ, _ = compare(rows)
    assert compared > 10
    assert not differ
    for row in rows:  # simulates a client library that misreads every weight of one task
        if row["k"] == "told":
            parts = parts_of(row)
            if b"/line/127.1.0.14:" in parts[0] and parts[-1]:
                parts[-1] = b'{"w":9.0,"v":1}'
                row["parts"] = [base64.b64encode(part).decode() for part in parts]
    assert compare(rows)[1] > 3


def test_a_terminated_day_leaves_no_process_behind(tmp_path):
    arguments = [sys.executable, "-m", "hollyridge.cli.main", "day", str(SMALL), "--report", str(tmp_path)]
    process = subprocess.Popen(arguments, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE)
    for _ in range(100):
        if (tmp_path / "day.jsonl").exists() and (tmp_path / "assigner-0-1.log").exists():
            break
        time.sleep(0.1)
    time.sleep(3)
    process.terminate()
    assert process.wait(timeout=20) == 2
    assert b"ended by a signal" in process.stderr.read()
    command_lines = [path.read_bytes() for path in Path("/proc").glob("[0-9]*/cmdline") if path.exists()]
    assert not [command_line for command_line in command_lines if str(tmp_path).encode() in command_line]
