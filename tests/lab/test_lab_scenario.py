"""The examples are scenarios."""

import pytest
from lab_helpers import ROOT

from hollyridge.lab import scenario


@pytest.mark.parametrize("path", sorted((ROOT / "examples" / "lab").glob("*.ini")))
def test_lab_examples_are_fine(path):
    assert scenario.load(path).faults
