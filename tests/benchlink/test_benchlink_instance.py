"""One assigner of the bench: conversion of its settings and its records."""

import pytest
from bench_wire import SETTINGS_TEXT

from hollyridge.benchlink.instance import INVALID_DURATION_US, AssignerInstance
from hollyridge.benchlink.wire import EventCode, WireError


def test_invalid_settings_raise_a_wire_error():
    with pytest.raises(WireError, match=r"the settings lack profiles\.count"):
        AssignerInstance(9, b"zones=a\n")


@pytest.mark.parametrize("seconds", [-1.0, float("nan"), 1e12])
def test_an_invalid_duration_is_marked(seconds):
    event = AssignerInstance(9, SETTINGS_TEXT).event_decoders[EventCode.RECEIPT]((41, 3, seconds))
    assert event.apply_time_us == INVALID_DURATION_US
