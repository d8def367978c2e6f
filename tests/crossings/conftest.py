"""Fixtures that start the servers and processes of the tests, and stop them afterwards."""

import pytest
from crossing_helpers import LIST
from in_process import ServerRig
from stand_ins import DiscoveryServer, NodeProcess


@pytest.fixture
def rig():
    rig = ServerRig()
    yield rig
    rig.server.stop()


@pytest.fixture
def start_node(tmp_path):
    """Return a function that starts discovery and an assigner; both are stopped after the test."""
    started = []

    def start(**options):
        discovery = DiscoveryServer(LIST)
        assigner = NodeProcess(tmp_path, discovery.address, **options)
        started.append((assigner, discovery))
        return assigner, discovery

    yield start
    for assigner, discovery in started:
        if assigner.process.poll() is None:
            assigner.process.kill()
            assigner.process.wait(10)
        discovery.stop()
