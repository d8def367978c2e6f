"""One assigner of the bench: what its settings and its records are turned into."""

import pytest
from bench_wire import SETTINGS_TEXT

from hollyridge.benchlink.instance import INVALID_DURATION_US, AssignerInstance
from hollyridge.benchlink.wire import EventCode, WireError


def test_settings_that_cannot_be_used_are_a_fault_of_the_wire():
    with pytest.raises(WireError, match=r"the settings lack profiles\.count"):
        AssignerInstance(9, b"zones=a\n")


@pytest.mark.parametrize("seconds", [-1.0, float("nan"), 1e12])
def test_a_time_that_is_no_sensible_figure_is_marked(seconds):
    event = AssignerInstance(9, SETTINGS_TEXT).event_decoders[EventCode.RECEIPT]((41, 3, seconds))
    assert event.apply_time_us == INVALID_DURATION_US
