"""What was learnt, kept on disk and told again: whole or not at all, and believed the less the older it is."""

import math
from pathlib import Path

import gevent
import pytest
from helpers import SECOND, START, entry, roster
from loaded_assigner import report_second, started_assigner
from test_service import rig, wait_for  # noqa: F401

from hollyridge import interface as api
from hollyridge.decisions.assigner import Assigner
from hollyridge.lab import scenario
from hollyridge.lab.day import Day
from hollyridge.lab.virtual import VirtualStage
from hollyridge.store import learned_estimates, state_file
from hollyridge.store.state_file import SavedState, StateFileError, TaskEstimate

EXAMPLES = Path(__file__).parent.parent / "examples"
ROWS = [TaskEstimate("127.1.0.1:9000", 20.0, 5.0, 1.2, 0.9), TaskEstimate("127.1.0.2:9000", 40.0, 5.0, 0.8, 1.1)]
WHOLE = state_file.pack(SavedState("f", 1000, ROWS, 0.6))


def test_a_file_cut_off_at_any_byte_is_refused_and_the_whole_one_read():
    assert state_file.unpack(WHOLE).rows == ROWS
    for size in range(len(WHOLE)):
        with pytest.raises(StateFileError):
            state_file.unpack(WHOLE[:size])


def test_a_file_with_any_byte_turned_over_is_refused():
    for at in range(len(WHOLE)):
        with pytest.raises(StateFileError):
            state_file.unpack(WHOLE[:at] + bytes([WHOLE[at] ^ 0x55]) + WHOLE[at + 1 :])


def test_layouts_older_and_newer():
    body = state_file._ENCODER.encode({"fleet": "f", "saved": 7, "rows": [["a:1", 2.0, 1.0]], "colour": "red"})
    raw = state_file.HEAD.pack(state_file.MAGIC, len(body), state_file.xxh64_intdigest(body)) + body
    old = state_file.unpack(raw)  # members that came later have their defaults, unknown ones are passed over
    assert old.price == 0.0 and old.rows == [TaskEstimate("a:1", 2.0, 1.0, 1.0, 1.0)]
    with pytest.raises(StateFileError, match="layout 9"):
        state_file.unpack(state_file.pack(SavedState("f", 7, [], 0.0, 9)))


def test_a_write_that_fails_leaves_the_former_file(tmp_path):
    path = tmp_path / "kept.state"
    state_file.write(path, WHOLE)
    (tmp_path / "kept.state.new").mkdir()
    with pytest.raises(OSError):
        state_file.write(path, b"other")
    assert state_file.read(path) == WHOLE
    path.write_bytes(b"x" * (state_file.MOST + 1))
    with pytest.raises(StateFileError, match="over"):
        state_file.read(path)


INDEX = {"127.1.0.1:9000": 0, "127.1.0.2:9000": 1}.get


@pytest.mark.parametrize(
    "state, now, rows, age_s",
    [
        (SavedState("f", 1000, ROWS, 0.6), 3000, 2, 2),
        (SavedState("other", 1000, ROWS, 0.6), 3000, 0, 0),  # another fleet's
        (SavedState("f", 9000, ROWS, 0.6), 3000, 2, 86_400),  # from the future: a clock was set back
        (SavedState("f", 1000, [*ROWS, TaskEstimate("gone:1", 1.0, 1.0)], 0.6), 3000, 2, 2),
        (SavedState("f", 1000, [ROWS[0], TaskEstimate("127.1.0.2:9000", math.nan, 1.0)], 0.6), 3000, 1, 2),
        (SavedState("f", 1000, [TaskEstimate("127.1.0.1:9000", 5.0, 1.0, 900.0)], 0.6), 3000, 0, 0),
    ],
)
def test_what_is_believed_of_ones_own_last_run(state, now, rows, age_s):
    told = learned_estimates.recalled(state, "f", now, INDEX)
    assert (len(told.event.estimates), told.event.age_us) == (rows, age_s * SECOND) if rows else told.event is None


def test_what_a_peer_lends_can_not_be_far_from_what_one_knows():
    own = [api.LearnedEstimate(k, does, 3.0, 1.0, 1.0) for k, does in enumerate((10.0, 12.0, 14.0))]
    lies = [("127.1.0.1:9000", 1e8, 1e8, 1.0, 1.0), ("127.1.0.2:9000", 1e-8, 9.0, 4.0, 100.0), ("x", 1.0, 1.0, 1, 1)]
    told = learned_estimates.lent(lies, 1e9, 0, INDEX, own)
    assert [(r.capacity, r.busy_periods, r.efficiency, r.weight_ratio) for r in told.event.estimates] == [
        (24.0, 1.0, 1.0, 1.0),
        (6.0, 1.0, 1.0, 1.0),
    ]
    assert told.event.push_price == 0.0 and told.left_out == {"not listed": 1}
    assert learned_estimates.lent(lies, 0.0, 0, INDEX, []).event is None


def taught():
    """A module that has learnt that one of four tasks does half as much."""
    module, now = started_assigner(), START
    for _ in range(10):
        now += SECOND
        events = [api.TrafficReport(0, i, 10 if i == 3 else 20, 0, 100_000, SECOND, (0.6, 0.0)) for i in range(4)]
        module.decide(now, [*events, *(api.OfferedLoad(35, SECOND, p, 0, 0) for p in range(2))])
    return module


def test_recalled_sizes_stand_at_once_and_the_less_the_older_they_are():
    rows, price = taught().learnt()
    assert len(rows) == 4 and rows[3].capacity < 0.6 * rows[0].capacity
    found = {}
    for age_s in (0, 30, 3600):
        module, now = started_assigner(), START + SECOND
        module.decide(now, [api.EstimatesRestored(tuple(rows), 2.0, age_s * SECOND)])
        assert module.gate.price >= 2.0 - 1e-9  # an old price can only hold pushes back
        report_second(module, now + SECOND, load=0.5)
        found[age_s] = module.est.does[3] / module.est.does[0]
    assert found[0] < found[30] < found[3600] and found[0] < 0.75 and found[3600] > 0.9


def test_what_is_known_better_stays_and_what_is_closed_or_cold_is_not_told():
    module, now = taught(), START + 20 * SECOND
    before = list(module.est.busy)
    told = api.EstimatesRestored(
        (api.LearnedEstimate(0, 900.0, 0.5, 4.0, 9.0), api.LearnedEstimate(99, 900.0, 10.0, 4.0, 9.0)), 0.0, 0
    )
    module.decide(now, [told])
    assert module.est.busy == before and module.solver.skill[0] < 2
    module.decide(now, [roster([entry(1, state=api.TaskState.GONE), entry(2, started_at=now)], api.UpdateKind.DELTA)])
    module.decide(
        now, [api.EstimatesRestored(tuple(api.LearnedEstimate(i, 900.0, 10.0, 4.0, 9.0) for i in (1, 2)), 0.0, 0)]
    )
    assert module.est.busy[2] == 0.0 and module.solver.skill[1] < 2


def test_an_assigner_keeps_what_it_learnt_and_tells_it_after_a_restart(rig, tmp_path):  # noqa: F811
    path = tmp_path / "kept.state"
    one = rig(kept__file=str(path), kept__every_s=0.2)
    one.agent()
    assert wait_for(lambda: len(one.engine.assigner.roster.state) == 4)
    for i in range(4):
        one.engine.assigner.est.served[i], one.engine.assigner.est.busy[i] = 30.0 - i, 1.0
    assert wait_for(path.exists)
    gevent.sleep(0.3)
    two = rig(kept__file=str(path), kept__every_s=60)
    two.agent()
    assert wait_for(lambda: any(two.engine.assigner.est.busy))
    assert two.service.status()["kept"]["recalled"] == 4
    three = rig(kept__file=str(tmp_path / "spoilt"), kept__every_s=60)
    (tmp_path / "spoilt").write_bytes(WHOLE[:-3])
    three.agent()
    gevent.sleep(0.3)
    assert three.service.status()["kept"]["recalled"] == 0 and three.job.dead is False


def test_a_day_with_restarts_keeps_state_and_is_the_same_again(tmp_path):
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
    loaded, told = scenario.load(path), []
    for _ in range(2):
        stage = VirtualStage(loaded, "", 3)
        outcome = Day(loaded, stage, 3).play()
        assert all(v.kept for v in outcome.verdicts) and stage.status[-1]["kept"]["recalled"] > 0
        told.append(stage.record.rows)
    assert told[0] == told[1] and isinstance(stage.seats[0].service.engine.assigner, Assigner)
