"""The example scenarios of the laboratory load."""

import pytest
from lab_helpers import ROOT

from hollyridge.lab import scenario


@pytest.mark.parametrize("path", sorted((ROOT / "examples" / "lab").glob("*.ini")))
def test_example_scenarios_load_and_have_faults(path):
    assert scenario.load(path).faults
