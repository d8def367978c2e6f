"""The log line of a decision names the cause of each change."""

import structlog

from hollyridge import interface as api
from hollyridge.core.decision_log import MAX_CHANGES_PER_CAUSE, DecisionLog, DecisionSummary

CLOSED, COLD, WARM = 1, 2, 3
LOG = DecisionLog(is_closed=lambda task: task == CLOSED, is_warming_up=lambda now_us, task: task == COLD)


def logged_lines(commands, refused=()):
    with structlog.testing.capture_logs() as lines:
        LOG.write(structlog.get_logger(), 0, commands, DecisionSummary(7, 2, 12.4, dict(refused)))
    return lines


def test_each_change_is_logged_under_its_cause():
    commands = [
        api.SetWeight(0.0, CLOSED, 4),
        api.SetWeight(0.5, COLD, 4),
        api.SetWeight(1.23456, WARM, 4),
        api.SetWeight(0.0, WARM, 4),
        api.BindTable(9, 4, 0),
        api.SetAdmission(4, 1, 0.5, 0),
    ]
    (line,) = logged_lines(commands)
    assert line["event"] == "decision_published"
    assert (line["version"], line["messages"], line["waiting"]) == (7, 2, 12)
    assert (line["drain"], line["slow_start"]) == ([(4, CLOSED, 0.0)], [(4, COLD, 0.5)])
    assert (line["weight_control"], line["spillover"]) == ([(4, WARM, 1.2346)], [(4, WARM, 0.0)])
    assert (line["bindings"], line["admission"]) == ([(9, 4)], [(4, 1, 0.5)])


def test_a_decision_that_changes_nothing_is_not_logged():
    assert logged_lines([api.RequestAck(1, False)]) == []


def test_refused_commands_are_logged():
    (line,) = logged_lines([], {"proxy has left": 1})
    assert line["refused"] == {"proxy has left": 1}


def test_the_changes_of_one_cause_are_bounded():
    (line,) = logged_lines([api.SetWeight(1.0, WARM, table) for table in range(100)])
    assert len(line["weight_control"]) == MAX_CHANGES_PER_CAUSE
