"""Fixture with three assigners on loopback sockets."""

import pytest
from assigner_fleet import AssignerFleet


@pytest.fixture
def fleet(tmp_path):
    assigners = AssignerFleet(tmp_path)
    yield assigners
    assigners.stop()
