"""Learned estimates are saved on disk and restored after a restart. Older ones have less influence."""

from pathlib import Path

import gevent
from helpers import SECOND, START, endpoint_list_update, make_endpoint
from loaded_assigner import report_second, started_assigner
from service_rig import wait_for

from hollyridge import interface as api
from hollyridge.decisions.assigner import Assigner
from hollyridge.lab import scenario
from hollyridge.lab.day import Day
from hollyridge.lab.stand_ins.virtual import SimulatedEnvironment
from hollyridge.store import state_file
from hollyridge.store.state_file import SavedState, TaskEstimate

EXAMPLES = Path(__file__).parents[2] / "examples"
ROWS = [TaskEstimate("127.1.0.1:9000", 20.0, 5.0, 1.2, 0.9), TaskEstimate("127.1.0.2:9000", 40.0, 5.0, 0.8, 1.1)]
WHOLE = state_file.pack(SavedState("f", 1000, ROWS, 0.6))


def trained_assigner():
    """Return a decision module that has learned that one of four tasks has half the capacity of the others."""
    module, now = started_assigner(), START
    for _ in range(10):
        now += SECOND
        events = [api.TrafficReport(0, i, 10 if i == 3 else 20, 0, 100_000, SECOND, (0.6, 0.0)) for i in range(4)]
        module.decide(now, [*events, *(api.OfferedLoad(35, SECOND, p, 0, 0) for p in range(2))])
    return module


def test_restored_estimates_apply_at_once_and_older_ones_have_less_influence():
    rows, _price = trained_assigner().learned_estimates()
    assert len(rows) == 4
    assert rows[3].capacity < 0.6 * rows[0].capacity
    capacity_ratio_by_age = {}
    for age_s in (0, 30, 3600):
        module, now = started_assigner(), START + SECOND
        module.decide(now, [api.EstimatesRestored(tuple(rows), 2.0, age_s * SECOND)])
        assert module.push_gate.push_price >= 2.0 - 1e-9  # an old price can only delay pushes
        report_second(module, now + SECOND, load=0.5)
        capacity_ratio_by_age[age_s] = module.estimates.capacity[3] / module.estimates.capacity[0]
    assert capacity_ratio_by_age[0] < capacity_ratio_by_age[30] < capacity_ratio_by_age[3600]
    assert capacity_ratio_by_age[0] < 0.75
    assert capacity_ratio_by_age[3600] > 0.9


def test_restored_estimates_change_neither_better_known_nor_closed_or_cold_tasks():
    module, now = trained_assigner(), START + 20 * SECOND
    before = list(module.estimates.busy_periods)
    restored = api.EstimatesRestored(
        (api.LearnedEstimate(0, 900.0, 0.5, 4.0, 9.0), api.LearnedEstimate(99, 900.0, 10.0, 4.0, 9.0)), 0.0, 0
    )
    module.decide(now, [restored])
    assert module.estimates.busy_periods == before
    assert module.weights.efficiency[0] < 2
    module.decide(
        now,
        [
            endpoint_list_update(
                [make_endpoint(1, state=api.TaskState.GONE), make_endpoint(2, started_at=now)], api.UpdateKind.DELTA
            )
        ],
    )
    module.decide(
        now, [api.EstimatesRestored(tuple(api.LearnedEstimate(i, 900.0, 10.0, 4.0, 9.0) for i in (1, 2)), 0.0, 0)]
    )
    assert module.estimates.busy_periods[2] == 0.0
    assert module.weights.efficiency[1] < 2


def test_an_assigner_restores_its_estimates_after_a_restart_and_survives_a_damaged_file(rig, tmp_path):
    path = tmp_path / "kept.state"
    first = rig(kept__file=str(path), kept__every_s=0.2)
    first.agent()
    assert wait_for(lambda: len(first.engine.assigner.endpoints.state) == 4)
    for i in range(4):
        first.engine.assigner.estimates.answered[i], first.engine.assigner.estimates.busy_periods[i] = 30.0 - i, 1.0
    assert wait_for(path.exists)
    gevent.sleep(0.3)
    second = rig(kept__file=str(path), kept__every_s=60)
    second.agent()
    assert wait_for(lambda: any(second.engine.assigner.estimates.busy_periods))
    assert second.service.status()["kept"]["recalled"] == 4
    damaged = rig(kept__file=str(tmp_path / "damaged"), kept__every_s=60)
    (tmp_path / "damaged").write_bytes(WHOLE[:-3])
    damaged.agent()
    gevent.sleep(0.3)
    assert damaged.service.status()["kept"]["recalled"] == 0
    assert damaged.job.dead is False


def test_a_simulated_day_with_restarts_keeps_its_state_and_repeats_exactly(tmp_path):
    text = (EXAMPLES / "lab" / "small.ini").read_text()
    path = tmp_path / "kept.ini"
    path.write_text(
        text.replace("../loopback.ini", str(EXAMPLES / "loopback.ini"))
        + f"""
[set kept]
file = {tmp_path}/x.state
every_s = 1
[trouble again]
kind = assigner_killed
at_s = 8
for_s = 1
"""
    )
    loaded, recordings = scenario.load(path), []
    for _ in range(2):
        environment = SimulatedEnvironment(loaded, "", 3)
        outcome = Day(loaded, environment, 3).play()
        assert all(v.kept for v in outcome.verdicts)
        assert environment.status[-1]["kept"]["recalled"] > 0
        recordings.append(environment.record.rows)
    assert recordings[0] == recordings[1]
    assert isinstance(environment.processes[0].service.engine.assigner, Assigner)
