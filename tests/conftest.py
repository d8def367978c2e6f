"""Fixtures shared by the tests of several packages, and the tests that a run passes over because of a known fault."""

from pathlib import Path

from service_rig import rig  # noqa: F401 - a fixture is found by its name

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_red_tests():
    """Return the tests that KNOWN-RED.txt lists by their node ids; none if there is no such file."""
    if not KNOWN_RED.exists():
        return []
    entries = (line.split("|")[0].strip() for line in KNOWN_RED.read_text().splitlines() if not line.startswith("#"))
    return [entry for entry in entries if "::" in entry]


def pytest_collection_modifyitems(config, items):
    """Pass over the listed tests, unless the command line names them."""
    passed_over = set(known_red_tests()) - set(config.args)
    deselected = [item for item in items if item.nodeid in passed_over]
    items[:] = [item for item in items if item.nodeid not in passed_over]
    config.hook.pytest_deselected(items=deselected)
    config.known_red_passed_over = [item.nodeid for item in deselected]


def pytest_terminal_summary(terminalreporter, config):
    """Print the tests that were passed over."""
    for name in getattr(config, "known_red_passed_over", ()):
        terminalreporter.write_line(f"passed over, listed in KNOWN-RED.txt: {name}")
