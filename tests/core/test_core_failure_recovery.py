"""Failures of the decision module within a minute are counted, and too many of them end the engine."""

import pytest
import structlog

from hollyridge.core.failure_recovery import MAX_FAILURES, DecisionModuleError, FailureRecovery

SECOND = 1_000_000


def record_failure(recovery, now_us):
    recovery.record(structlog.get_logger(), now_us, 7, KeyError("a fault"), [(now_us, "an event")])


def test_a_failure_is_logged_with_its_events():
    with structlog.testing.capture_logs() as lines:
        record_failure(FailureRecovery(), 5)
    assert lines[0]["event"] == "decision_module_failed"
    assert lines[0]["events"] == ["(5, 'an event')"]
    assert lines[0]["error"] == "KeyError: 'a fault'"
    assert lines[0]["version"] == 7


def test_too_many_failures_within_a_minute_raise():
    recovery = FailureRecovery()
    for second in range(MAX_FAILURES):
        record_failure(recovery, second * SECOND)
    with pytest.raises(DecisionModuleError, match="4 times within 60 s, last at decision 7"):
        record_failure(recovery, 59 * SECOND)


def test_failures_far_apart_never_raise():
    recovery = FailureRecovery()
    for number in range(20):
        record_failure(recovery, number * 21 * SECOND)
