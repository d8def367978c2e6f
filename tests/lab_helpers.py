"""Scenarios and helpers shared by the tests of the laboratory."""

from pathlib import Path

from hollyridge.lab import scenario
from hollyridge.lab.day import Day
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment

ROOT = Path(__file__).resolve().parents[1]
SMALL = ROOT / "examples" / "small-day.ini"
THREE = ROOT / "examples" / "lab" / "three.ini"
SECOND = 1_000_000


def play_day(path=SMALL, policy="", seed=3, ties=None):
    """Play a simulated day and return its outcome."""
    loaded = scenario.load(path)
    return Day(loaded, SimulatedEnvironment(loaded, policy, seed, ties), seed).play()
