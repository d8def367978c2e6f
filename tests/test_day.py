"""Short days on real sockets, several at once: the rules are kept, and whoever breaks one is caught."""

import json
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SMALL, UNFORGIVING = ROOT / "examples" / "small-day.ini", ROOT / "tests" / "days" / "unforgiving.ini"
RECKLESS = ROOT / "tests" / "days" / "reckless.ini"
DAYS = {
    # name: script, policy, the rule that is broken (0: none)
    "kept": (SMALL, "", 0),
    "kept where nothing else protects the cold": (UNFORGIVING, "", 0),
    "a table emptied": (SMALL, "bare", 1),
    "non-idempotent RPCs tried again": (RECKLESS, "", 2),
    "lines never taken out": (SMALL, "deaf", 3),
    "all to a cold task": (UNFORGIVING, "bold", 4),
    "ten messages a second": (SMALL, "chatty", 5),
}


@pytest.fixture(scope="module")
def days():
    """All of them start at once: they mostly wait."""
    running = {}
    for name, (script, policy, _) in DAYS.items():
        words = [sys.executable, "-m", "hollyridge.cli.main", "day", str(script), "--json"]
        running[name] = subprocess.Popen(words + ["--policy", policy] * bool(policy), stdout=subprocess.PIPE,
                                         stderr=subprocess.PIPE)
    yield running
    for process in running.values():
        process.kill()
        process.wait()


@pytest.mark.parametrize("name", DAYS)
def test_day(days, name):
    out, err = days[name].communicate(timeout=120)
    broken = DAYS[name][2]
    assert days[name].returncode == (1 if broken else 0), err.decode()[-2000:]
    told = json.loads(out)
    found = {row["rule"] for row in told["rules"] if not row["kept"]}
    assert broken in found if broken else not found
    assert told["rpcs"] > 100 and told["messages"] > 0


def test_a_day_that_is_ended_takes_its_processes_with_it(tmp_path):
    words = [sys.executable, "-m", "hollyridge.cli.main", "day", str(SMALL), "--report", str(tmp_path)]
    process = subprocess.Popen(words, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE)
    for _ in range(100):
        if (tmp_path / "day.jsonl").exists() and (tmp_path / "assigner-1.log").exists():
            break
        time.sleep(0.1)
    time.sleep(3)
    process.terminate()
    assert process.wait(timeout=20) == 2 and b"ended by a signal" in process.stderr.read()
    lines = [path.read_bytes() for path in Path("/proc").glob("[0-9]*/cmdline") if path.exists()]
    assert not [line for line in lines if str(tmp_path).encode() in line]
