"""Failures of the decision module within a minute are counted, and one too many ends the engine."""

import pytest
import structlog

from hollyridge.core.failure_recovery import MAX_FAILURES, DecisionModuleError, FailureRecovery

SECOND = 1_000_000


def fail(recovery, now_us):
    recovery.record(structlog.get_logger(), now_us, 7, KeyError("a fault"), [(now_us, "an event")])


def test_a_failure_is_logged_with_its_events():
    with structlog.testing.capture_logs() as lines:
        fail(FailureRecovery(), 5)
    assert lines[0]["event"] == "decision_module_failed"
    assert lines[0]["events"] == ["(5, 'an event')"]
    assert lines[0]["error"] == "KeyError: 'a fault'"
    assert lines[0]["version"] == 7


def test_too_many_failures_within_a_minute_give_up():
    recovery = FailureRecovery()
    for second in range(MAX_FAILURES):
        fail(recovery, second * SECOND)
    with pytest.raises(DecisionModuleError, match="4 times within 60 s, last at decision 7"):
        fail(recovery, 59 * SECOND)


def test_failures_far_apart_never_give_up():
    recovery = FailureRecovery()
    for number in range(20):
        fail(recovery, number * 21 * SECOND)
