"""Short days on real sockets, several at once: the rules are kept, and whoever breaks one is caught."""

import json
import subprocess
import sys
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
