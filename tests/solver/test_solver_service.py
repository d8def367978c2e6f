"""The solver on the command line, in a simulated day and in the service."""

import os
import subprocess
import sys

import gevent
import msgspec
from click.testing import CliRunner
from service_rig import wait_for
from solver_cases import SOLVE

from hollyridge.cli.main import main
from hollyridge.decisions.estimates import PeriodLoad
from hollyridge.interface import TaskState
from hollyridge.lab import scenario
from hollyridge.lab.day import Day
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment


def test_plans_are_the_same_in_any_process():
    results = set()
    for seed in ("0", "1", "99"):
        command = [sys.executable, "-m", "hollyridge.cli.main", "solve", str(SOLVE / "cold-fleet.ini"), "--json"]
        completed = subprocess.run(command, env={**os.environ, "PYTHONHASHSEED": seed}, capture_output=True, check=True)
        result = msgspec.json.decode(completed.stdout)
        result.pop("took_s")
        results.add(msgspec.json.encode(result))
    assert len(results) == 1


def test_solve_reads_the_fleet_page_of_an_assigner(rig):
    r = rig()
    agent, _ = r.agent(), r.balancer()
    address = f"http://127.0.0.1:{r.service.metrics_server.server.server_port}"
    runner = CliRunner()
    thread = gevent.get_hub().threadpool
    empty = thread.apply(runner.invoke, (main, ["solve", address]))
    assert empty.exit_code == 1
    assert "no description yet" in empty.output
    assert wait_for(lambda: len(r.engine.assigner.endpoints.state) == 4)
    module = r.engine.assigner
    for i in range(4):
        module.estimates.capacity[i], module.estimates.answered[i], module.estimates.busy_periods[i] = 20.0, 20.0, 1.0
    module.estimates.offered_load = {0: {0: PeriodLoad(10.0, 0)}}
    agent.quiesce([r.members()[0]])
    # The page shows the state after the last decision.
    assert wait_for(lambda: TaskState.DRAINING in module.endpoints.state)
    result = thread.apply(runner.invoke, (main, ["solve", address, "--json"]))
    assert result.exit_code == 0, result.output
    rows = msgspec.json.decode(result.stdout.strip().splitlines()[-1])["tables"]
    _first, *others = (f"{m.host}-{m.port}" for m in r.members())
    assert {row["tasks"] for row in rows} == set(others)  # the first is draining


def test_all_faults_of_a_file_are_printed(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text(
        "[solve]\nbusy = 2\n[method a]\nwork = 0\n[zone z]\ndemand = 1, 2\n[tasks t]\nzone = y\nrate = x\n"
        "[tasks u]\nzone = y\nrate = 1\n[held q]\nt = 1\n[nothing]\n"
    )
    result = CliRunner().invoke(main, ["solve", str(path)])
    assert result.exit_code == 2
    for location in (
        "[solve] busy",
        "[method a] work",
        "[zone z] demand",
        "[tasks t] rate",
        "[tasks u] zone",
        "[held q]",
        "[nothing]",
    ):
        assert location in result.output


def test_a_simulated_day_with_the_solver_keeps_all_rules_and_is_repeatable(tmp_path):
    text = (SOLVE.parent / "lab" / "small.ini").read_text()
    path = tmp_path / "solver.ini"
    path.write_text(text.replace("../loopback.ini", str(SOLVE.parent / "loopback.ini")) + "\n[set solver]\non = yes\n")
    loaded = scenario.load(path)
    recordings = []
    for _ in range(2):
        environment = SimulatedEnvironment(loaded, "", 3)
        outcome = Day(loaded, environment, 3).play()
        assert all(v.kept for v in outcome.verdicts)
        solver = environment.status[-1]["solver"]
        assert solver["proposed"] > 5
        assert solver["late"] == solver["nonsense"] == 0
        recordings.append(msgspec.json.encode(environment.record.rows))
    assert recordings[0] == recordings[1]


def test_the_solver_runs_off_the_hub_in_the_service(rig):
    r = rig(solver__on=True)
    r.agent()
    r.balancer()
    assert wait_for(lambda: r.service.status()["solver"]["asked"] >= 1, 5)
    status = r.service.status()["solver"]
    assert status["unknown"] + status["proposed"] + status["too_little"] >= 1
