"""Simulated days are reproducible, are checked by the rules, and give similar results as live days."""

import os
import subprocess
import sys

import msgspec
import pytest
from lab_helpers import ROOT, SMALL, THREE, play_day

from hollyridge.lab import scenario
from hollyridge.lab.day import Day
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment


def test_recordings_are_equal_in_any_process(tmp_path):
    recordings = []
    for seed in ("0", "1", "4711"):
        path = tmp_path / f"{seed}.jsonl"
        arguments = [sys.executable, "-m", "hollyridge.cli.main", "lab", "run", str(SMALL), "--record", str(path)]
        subprocess.run(arguments, env={**os.environ, "PYTHONHASHSEED": seed}, check=True, capture_output=True)
        recordings.append(path.read_bytes())
    assert recordings[0] == recordings[1] == recordings[2]
    assert recordings[0].count(b"\n") > 2000


def test_order_of_simultaneous_calls_has_no_significant_effect():
    """Another order draws other delays, so it has the effect of another seed: rules are kept, service is similar."""
    served = []
    for ties in (None, 1, 2, 3):
        result = play_day(ties=ties)
        assert all(v.kept for v in result.verdicts)
        served.append(result.figures["served"])
    assert max(served) - min(served) < 0.12


@pytest.mark.parametrize(("policy", "rule"), [("bare", 1), ("deaf", 3), ("chatty", 5)])
def test_policies_that_break_a_rule_are_detected_in_simulated_days(policy, rule):
    broken = {v.rule for v in play_day(policy=policy).verdicts if not v.kept}
    assert rule in broken


def test_only_the_bold_policy_overloads_a_cold_task():
    path = ROOT / "tests" / "days" / "unforgiving.ini"
    for policy, kept in (("", True), ("bold", False)):
        assert play_day(path, policy).verdicts[3].kept == kept


def test_live_and_simulated_days_give_similar_results():
    arguments = [sys.executable, "-m", "hollyridge.cli.main", "lab", "run", str(SMALL), "--live", "--json"]
    live = msgspec.json.decode(subprocess.run(arguments, check=True, capture_output=True, timeout=120).stdout)
    # A simulated day sends 39 to 53 messages, depending on the seed, a live one 64 to 68.
    simulated = [play_day(seed=seed).figures for seed in range(1, 7)]
    assert live["served"] == pytest.approx(sum(row["served"] for row in simulated) / len(simulated), abs=0.1)
    assert live["messages"] == pytest.approx(sum(row["messages"] for row in simulated) / len(simulated), rel=0.6)
    assert live["broken"] == 0


def test_drain_and_recovery_times_of_a_day():
    figures = play_day().figures
    assert figures["drains"]["closings"] == 3
    assert 0 <= figures["drains"]["median_s"] <= figures["drains"]["worst_s"] < 3
    assert set(figures["recovered_s"]) == {"release", "streams", "hang"}
    slow = play_day(policy="deaf").figures
    assert slow["drains"]["worst_s"] > figures["drains"]["worst_s"]


def test_three_assigners_with_both_protocols_keep_the_rules():
    """Each proxy is connected to one assigner at a time.

    Rules are checked against the knowledge of each assigner, tables are compared between the protocols.
    """
    loaded = scenario.load(THREE)
    environment = SimulatedEnvironment(loaded, "", 5)
    result = Day(loaded, environment, 5).play()
    assert all(v.kept for v in result.verdicts), result.verdicts
    assert result.parity[0] > 200, result.parity
    assert result.parity[1] == 0, result.parity
    rows = environment.record.rows
    assigners = {row["who"]: set() for row in rows if row["k"] == "stream"}
    for row in rows:
        if row["k"] == "stream" and row["up"]:
            assigners[row["who"]].add(row["assigner"])
    assert set().union(*assigners.values()) == {0, 1, 2}
    assert any(len(connected) > 1 for connected in assigners.values())
    assert {row["assigner"] for row in rows if row["k"] == "state"} == {0, 1, 2}


@pytest.mark.parametrize(("policy", "rule"), [("bare", 1), ("deaf", 3), ("chatty", 5)])
def test_policies_that_break_a_rule_are_detected_with_three_assigners(policy, rule):
    loaded = scenario.load(THREE, fronts=("sasp",))
    result = Day(loaded, SimulatedEnvironment(loaded, policy, 5), 5).play()
    assert rule in {v.rule for v in result.verdicts if not v.kept}


def test_chp_days_are_equal_byte_for_byte_and_lose_no_session():
    recordings = []
    for _ in range(2):
        loaded = scenario.load(SMALL, fronts=("clone",))
        environment = SimulatedEnvironment(loaded, "", 3)
        assert all(v.kept for v in Day(loaded, environment, 3).play().verdicts)
        recordings.append([msgspec.json.encode(row) for row in environment.record.rows])
        status = environment.status[-1]["clone"]
        assert status["readers"] == 4
        assert status["bad"] == status["unreachable"] == 0
    assert recordings[0] == recordings[1]


def test_number_of_attempts_agrees_with_theory():
    """Compare the attempts per RPC with theory.

    If a fraction p of the attempts fails immediately and each client retries up to r times, an RPC takes
    (1 - p^(r+1)) / (1 - p) attempts on average.
    """
    failing, retries = 0.5, 2
    loaded = scenario.load(SMALL)
    light_load = loaded.load.model_copy(update={"client_retries": retries, "work_ms": [5.0, 5.0, 5.0]})
    errors = scenario.FaultSection(kind="errors", at_s=0, for_s=16, part=1.0, size=failing)
    methods = [m.model_copy(update={"repeats": "idempotent"}) for m in loaded.config.methods.values()]
    loaded.config.methods.update(zip(list(loaded.config.methods), methods))
    day = scenario.Scenario(
        loaded.path,
        loaded.day,
        loaded.fleet,
        light_load,
        loaded.net,
        {"errors": errors},
        loaded.overrides,
        loaded.config,
    )
    figures = [Day(day, SimulatedEnvironment(day, "even", seed), seed).play().figures for seed in range(1, 9)]
    attempts_per_rpc = sum(row["tries"] for row in figures) / sum(row["rpcs"] for row in figures)
    assert attempts_per_rpc == pytest.approx((1 - failing ** (retries + 1)) / (1 - failing), rel=0.03)


def test_retries_prolong_an_overload_and_admission_levels_shorten_it(tmp_path):
    """Retries keep tasks overloaded after a surge has ended; admission levels, which only CHP has, end this sooner."""
    path = tmp_path / "jam.ini"
    path.write_text(f"""[day]
settings = {ROOT / "examples" / "loopback.ini"}
length_s = 24
[fleet]
tasks = 6
proxies = 4
[load]
rpcs_per_s = 70
work_ms = 100, 150, 100
shares = 0.64, 0.23, 0.13
client_retries = 6
[trouble jam]
kind = surge
at_s = 4
for_s = 4
size = 3
""")
    after, before = [], []
    for fronts in (("sasp",), ("clone",)):
        loaded = scenario.load(path, fronts=fronts)
        timeline = dict(Day(loaded, SimulatedEnvironment(loaded, "", 2), 2).play().figures["timeline"])
        after.append(sum(timeline[s] for s in range(10, 14)) / 4)
        before.append(timeline[2])
    assert min(before) > 0.8
    assert after[0] < 0.6
    assert after[1] > after[0]


def test_chp_days_with_slow_messages_end(tmp_path):
    """Guard against a simulated reader that polls forever because its remaining time is less than a clock tick."""
    path = tmp_path / "slow.ini"
    path.write_text(
        SMALL.read_text().replace("loopback.ini", str(ROOT / "examples" / "loopback.ini"))
        + "\n[net]\norders_ms = 250\n"
    )
    loaded = scenario.load(path, fronts=("clone",))
    result = Day(loaded, SimulatedEnvironment(loaded, "", 2), 2).play()
    assert all(v.kept for v in result.verdicts)
