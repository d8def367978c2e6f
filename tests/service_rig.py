"""A whole assigner on loopback sockets in this process, with clients of its protocols: for tests of several packages.

A test module imports the fixture `rig` by name, and closes nothing itself: what a rig opened ends with the test.
"""

import http.client
import time
from pathlib import Path

import gevent
import pytest
import structlog
from gevent import socket

from hollyridge.otlp.sender import Figure, post, request_of
from hollyridge.sasp.client import HeldWeights, LoadBalancerClient, MemberRegistrar
from hollyridge.sasp.codec import Member
from hollyridge.service import Service
from hollyridge.settings import assigner

LOOPBACK = Path(__file__).parent.parent / "examples" / "loopback.ini"
GROUPS = ("read-chapter", "unlock-chapter", "redeem-code")


class Rig:
    def __init__(self, **overrides):
        quick = {
            ("sasp", "listen"): "127.0.0.1:0",
            ("otlp", "listen"): "127.0.0.1:0",
            ("log", "status_every_s"): "0",
            ("roster", "settle_s"): "0.1",
            ("assigner", "report_period_s"): "0.2",
            ("promises", "drain_grace_s"): "1.5",
        }
        quick.update({tuple(key.split("__")): str(value) for key, value in overrides.items()})
        self.service = Service(assigner.load(LOOPBACK, quick), structlog.get_logger())
        self.sasp, self.otlp = self.service.start()
        self.engine, self.front = self.service.engine, self.service.sasp_server
        self.job = gevent.spawn(self.service.run)
        self.clients = []

    def open(self, kind, *words, **how):
        client = kind(("127.0.0.1", self.sasp), *words, timeout=3, **{"connect": socket.create_connection, **how})
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

    def balancer(self, uid="gw-1", zone=1, push=True, **how):
        client = self.open(LoadBalancerClient, uid, source=f"127.{zone}.0.200", **how)
        client.start(GROUPS, push)
        return client

    def raw(self):
        sock = socket.create_connection(("127.0.0.1", self.sasp), timeout=5)
        self.clients.append(sock)
        return sock

    def holds(self, client, held=None, seconds=1.0):
        """What a push client holds after this long, host numbers by group."""
        held = held or HeldWeights()
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            pushed = client.receive(timeout=left)
            if pushed:
                held.take(pushed[1].groups)
        return {g: {int(m.host.split(".")[3]) for m in held.lines(g)} for g in GROUPS}, held

    def report(self, figures, source="gw-1", packed=True):
        connection = http.client.HTTPConnection("127.0.0.1", self.otlp, timeout=5)
        connection._create_connection = socket.create_connection  # greenlets share this process with the service
        try:
            return post(connection, request_of(source, figures), packed)
        finally:
            connection.close()

    def http(self, method, path, body=b"", **headers):
        connection = http.client.HTTPConnection("127.0.0.1", self.otlp, timeout=5)
        connection._create_connection = socket.create_connection
        try:
            connection.request(method, path, body, {k.replace("_", "-"): v for k, v in headers.items()})
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()


@pytest.fixture
def rig():
    rigs = []

    def build(**overrides):
        rigs.append(Rig(**overrides))
        return rigs[-1]

    yield build
    for one in rigs:
        for client in one.clients:
            client.close()
        one.service.stop()
        one.job.join(2)
        assert one.job.successful()


def wait_for(what, seconds=5.0):
    for _ in range(round(seconds / 0.02)):
        if what():
            return True
        gevent.sleep(0.02)
    return False


def tries(r, value=10.0, begun=0.0, end=1.0, **words):
    place = {"proxy": "gw-1", "zone": "abdali", "task": "127.1.0.1:9000", "method": "read-chapter", **words}
    stamp = 1_700_000_000_000_000_000
    return Figure("hollyridge.tries", value, place, stamp + round(end * 1e9), stamp + round(begun * 1e9))
