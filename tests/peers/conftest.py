"""The fixture of assigners on sockets."""

import pytest
from assigner_fleet import AssignerFleet


@pytest.fixture
def three(tmp_path):
    fleet = AssignerFleet(tmp_path)
    yield fleet
    fleet.stop()
