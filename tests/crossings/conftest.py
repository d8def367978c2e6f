"""What the tests of crossing events start, and end again."""

import pytest
from crossing_helpers import LIST
from in_process import ServerRig
from stand_ins import Discovery, NodeProcess


@pytest.fixture
def rig():
    rig = ServerRig()
    yield rig
    rig.server.stop()


@pytest.fixture
def start_node(tmp_path):
    """Starts an assigner; whatever was started is ended."""
    started = []

    def start(**more):
        discovery = Discovery(LIST)
        assigner = NodeProcess(tmp_path, discovery.address, **more)
        started.append((assigner, discovery))
        return assigner, discovery

    yield start
    for assigner, discovery in started:
        if assigner.process.poll() is None:
            assigner.process.kill()
            assigner.process.wait(10)
        discovery.stop()
