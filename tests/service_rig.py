"""A complete assigner on loopback sockets in this process, with clients of its protocols, for several test packages.

The fixture `rig` closes all clients and services at the end of a test, so that tests need not do so.
"""

import http.client
import time
from pathlib import Path

import gevent
import pytest
import structlog
from gevent import socket

from hollyridge.otlp.sender import MetricPoint, build_export_request, post
from hollyridge.sasp.client import HeldWeights, LoadBalancerClient, MemberRegistrar
from hollyridge.sasp.codec import Member
from hollyridge.service import Service
from hollyridge.settings import assigner

LOOPBACK = Path(__file__).parent.parent / "examples" / "loopback.ini"
GROUPS = ("read-chapter", "unlock-chapter", "redeem-code")


class Rig:
    """A running assigner with short intervals, and factories of its clients."""

    def __init__(self, **overrides):
        settings = {
            ("sasp", "listen"): "127.0.0.1:0",
            ("otlp", "listen"): "127.0.0.1:0",
            ("log", "status_every_s"): "0",
            ("roster", "settle_s"): "0.1",
            ("assigner", "report_period_s"): "0.2",
            ("promises", "drain_grace_s"): "1.5",
        }
        settings.update({tuple(key.split("__")): str(value) for key, value in overrides.items()})
        self.service = Service(assigner.load(LOOPBACK, settings), structlog.get_logger())
        self.sasp, self.otlp = self.service.start()
        self.engine, self.protocol_server = self.service.engine, self.service.sasp_server
        self.job = gevent.spawn(self.service.run)
        self.clients = []

    def open(self, client_class, *arguments, **options):
        client = client_class(
            ("127.0.0.1", self.sasp), *arguments, timeout=3, **{"connect": socket.create_connection, **options}
        )
        self.clients.append(client)
        return client

    def agent(self, tasks=4, settle=True):
        agent = self.open(MemberRegistrar, "shelf")
        agent.register(self.members(tasks))
        if settle:
            gevent.sleep(0.3)
        return agent

    def members(self, tasks=4):
        return [Member.at(f"127.{1 + k % 3}.0.{k + 1}", 9000, f"t{k} run=a up=100") for k in range(tasks)]

    def balancer(self, uid="gw-1", zone=1, push=True, **options):
        client = self.open(LoadBalancerClient, uid, source=f"127.{zone}.0.200", **options)
        client.start(GROUPS, push)
        return client

    def raw(self):
        sock = socket.create_connection(("127.0.0.1", self.sasp), timeout=5)
        self.clients.append(sock)
        return sock

    def held_after(self, client, held=None, seconds=1.0):
        """Return the host numbers by group that a push client holds after this time, and its held weights."""
        held = held or HeldWeights()
        deadline = time.monotonic() + seconds
        while (remaining_s := deadline - time.monotonic()) > 0:
            pushed = client.receive(timeout=remaining_s)
            if pushed:
                held.handle_message(pushed[1].groups)
        return {g: {int(m.host.split(".")[3]) for m in held.lines(g)} for g in GROUPS}, held

    def report(self, figures, source="gw-1", packed=True):
        connection = http.client.HTTPConnection("127.0.0.1", self.otlp, timeout=5)
        connection._create_connection = socket.create_connection  # the service runs in greenlets of this process
        try:
            return post(connection, build_export_request(source, figures), packed)
        finally:
            connection.close()

    def http(self, method, path, body=b"", **headers):
        connection = http.client.HTTPConnection("127.0.0.1", self.otlp, timeout=5)
        connection._create_connection = socket.create_connection
        try:
            connection.request(method, path, body, {k.replace("_", "-"): v for k, v in headers.items()})
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()


@pytest.fixture
def rig():
    rigs = []

    def build(**overrides):
        rigs.append(Rig(**overrides))
        return rigs[-1]

    yield build
    for started_rig in rigs:
        for client in started_rig.clients:
            client.close()
        started_rig.service.stop()
        started_rig.job.join(2)
        assert started_rig.job.successful()


def wait_for(condition, seconds=5.0):
    for _ in range(round(seconds / 0.02)):
        if condition():
            return True
        gevent.sleep(0.02)
    return False


def attempts_point(assigner_rig, value=10.0, start_s=0.0, end=1.0, **labels):
    attributes = {"proxy": "gw-1", "zone": "abdali", "task": "127.1.0.1:9000", "method": "read-chapter", **labels}
    base_ns = 1_700_000_000_000_000_000
    return MetricPoint(
        "hollyridge.tries", value, attributes, base_ns + round(end * 1e9), base_ns + round(start_s * 1e9)
    )
