"""A whole assigner on loopback sockets in this process, and clients that behave well or badly."""

import gzip
import http.client
import json
import socket as plain
import time
from pathlib import Path

import gevent
import pytest
import structlog
from gevent import socket

from hollyridge.otlp.sender import Figure, post, request_of
from hollyridge.sasp import codec
from hollyridge.sasp.client import (
    Client,
    ConnectionLostError,
    HeldWeights,
    LoadBalancerClient,
    MemberRegistrar,
    RefusedError,
)
from hollyridge.sasp.codec import Code, Group, Member, MembersOf, Told
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
        self.engine, self.front = self.service.engine, self.service.front
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


ALL = {g: {1, 2, 3, 4} for g in GROUPS}


def test_a_pushed_balancer_holds_the_table_and_loses_drained_tasks(rig):
    r = rig()
    agent, gw = r.agent(), r.balancer()
    held, book = r.holds(gw)
    assert held == ALL
    agent.quiesce([r.members()[0]])
    held, book = r.holds(gw, book, 0.5)
    assert held == {g: {2, 3, 4} for g in GROUPS}
    agent.deregister([r.members()[1]])
    assert r.holds(gw, book, 0.5)[0] == {g: {3, 4} for g in GROUPS}
    other = r.balancer("gw-2", zone=2)  # who joins later gets none of them
    assert r.holds(other)[0] == {g: {3, 4} for g in GROUPS}


def test_a_member_that_speaks_for_itself_and_vanishes(rig):
    r = rig(roster__hold_own_s=0.3)
    r.agent()
    gw = r.balancer()
    own = r.open(MemberRegistrar, "shelf", source="127.1.0.50")
    own.register([Member.at("127.1.0.50", 7, "me run=1 up=100")])
    held, book = r.holds(gw, seconds=0.6)
    assert all(50 in some for some in held.values())
    own.close()
    assert r.holds(gw, book, 1.0)[0] == ALL


def test_an_agent_that_comes_back_keeps_its_list(rig):
    r = rig(roster__hold_agent_s=1)
    agent, gw = r.agent(), r.balancer()
    book = r.holds(gw, seconds=0.5)[1]
    agent.close()
    gevent.sleep(0.4)
    r.agent()
    held, _ = r.holds(gw, book, 1.2)
    assert held == ALL and r.engine.endpoint_source.returns == 4 and not r.engine.endpoint_source.restarts


def test_one_that_asks_once_gets_a_table_and_is_let_go(rig):
    r = rig()
    r.agent()
    gw = r.open(LoadBalancerClient, "gw-1", source="127.1.0.200")
    reply = gw.weights(GROUPS)
    assert reply.interval == 1 and {len(row.weights) for row in reply.groups} == {4}
    assert len(r.front.by_proxy) == 1
    with pytest.raises(ConnectionLostError):
        gw._read(4)
    assert not r.front.by_proxy and not r.engine.servers


def test_one_that_goes_on_asking_stays_and_sees_a_drain(rig):
    r = rig(promises__drain_grace_s=3)
    agent = r.agent()
    gw = r.open(LoadBalancerClient, "gw-1", source="127.1.0.200")
    gw.weights(GROUPS)
    agent.quiesce([r.members()[0]])
    gevent.sleep(1.0)
    (row, *_) = gw.weights(GROUPS).groups
    assert {w.member.host: w.weight > 0 for w in row.weights if w.flags & Told.QUIESCE}.get("127.1.0.1") is not True
    gevent.sleep(1.5)
    assert gw.weights(GROUPS).code == Code.OK and len(r.engine.servers) == 1
    with pytest.raises(RefusedError):
        for _ in range(30):
            gw.weights(GROUPS)
    assert r.front.counts["asked_too_often"] == 1


def test_one_that_reads_nothing_harms_nobody(rig):
    r = rig(sasp__send_buffer_bytes=4096, proxies__tasks_most=400, channel__messages_most=200)
    agent = r.agent(tasks=4)
    slow, quick = r.open(LoadBalancerClient, "slow", source="127.1.0.201"), r.balancer("quick", zone=2)
    slow.sock.setsockopt(plain.SOL_SOCKET, plain.SO_RCVBUF, 2048)
    slow.start(GROUPS)
    book = r.holds(quick, seconds=0.4)[1]
    crowd = [Member.at(f"127.3.1.{k}", 9000, "run=a up=100") for k in range(1, 200)]
    for _ in range(8):
        agent.register(crowd)
        book = r.holds(quick, book, 0.25)[1]
        agent.deregister(crowd)
        held, book = r.holds(quick, book, 0.25)
    for _ in range(20):  # the quick one sees it all
        held, book = (held, book) if held == ALL else r.holds(quick, book, 0.25)
    assert held == ALL
    assert wait_for(lambda: "slow" not in r.engine.proxy_indices.index) and "quick" in r.engine.proxy_indices.index


def wait_for(what, seconds=5.0):
    for _ in range(round(seconds / 0.02)):
        if what():
            return True
        gevent.sleep(0.02)
    return False


def test_quiesce_between_a_computed_and_a_sent_table(rig):
    r = rig(channel__lines_per_s=15, channel__most_waiting=2000, channel__worst_transit_s=1)
    agent, gw = r.agent(), r.balancer()  # its table takes a second to leave
    assert wait_for(lambda: r.engine.queue.waiting_lines, 0.9)
    agent.quiesce([r.members()[0]])
    first = gw.receive(5)[1]
    told = [w for row in first.groups for w in row.weights]
    closed = [w for w in told if w.member.host == "127.1.0.1"]  # mostly it is not told of at all
    assert len(told) > len(closed) and all(w.weight == 0 and w.flags & Told.QUIESCE for w in closed)


NONSENSE = [
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"\0" * 64,
    codec.encode(1, codec.SendWeights(())),
    codec.encode(1, codec.GetWeights(()))[:5] + b"\x7f\xff\xff\xff" + b"x" * 100,
]


@pytest.mark.parametrize("raw", NONSENSE)
def test_nonsense_closes_its_own_stream_only(rig, raw):
    r = rig()
    r.agent()
    gw, bad = r.balancer(), r.raw()
    bad.sendall(raw)
    assert bad.recv(100) == b""
    assert r.holds(gw)[0] == ALL and r.front.counts["bad_frames"] == 1


def test_half_a_frame_and_dripping_bytes(rig):
    r = rig(sasp__frame_s=0.5, sasp__hello_s=0.5)
    half, silent, dripping = r.raw(), r.raw(), r.raw()
    half.sendall(NONSENSE[2][:10])
    begun = time.monotonic()
    frame = codec.encode(1, codec.SetBalancer("x" * 60, 0, 0))
    with pytest.raises(OSError):
        for byte in frame:
            dripping.sendall(bytes((byte,)))
            gevent.sleep(0.05)
        raise OSError("it was read on and on") if not r.front.counts["closed"] else OSError
    assert half.recv(10) == b"" and silent.recv(10) == b""
    assert time.monotonic() - begun < 6 and not r.front.streams


BAD_REQUESTS = [
    # who asks, what, the code that answers it
    (Client, codec.Register(True, (MembersOf(Group("gw", "no-such-group"), ()),)), Code.INVALID_GROUP),
    (Client, codec.Register(True, (MembersOf(Group("gw", "x" * 100), ()),)), Code.GROUP_NAME_SIZE),
    (Client, codec.SetBalancer("", 0, 0), Code.UID_SIZE),
    (Client, codec.SetBalancer("shelf", 0, 0), Code.NOT_FROM_YOU),
    (
        Client,
        codec.Register(False, (MembersOf(Group("gw-9", "tasks"), (Member.at("127.1.0.9", 1),)),)),
        Code.NOT_CONTACTED_YET,
    ),
    (
        Client,
        codec.Register(False, (MembersOf(Group("shelf", "other"), (Member.at("127.1.0.9", 1),)),)),
        Code.INVALID_GROUP,
    ),
    (
        Client,
        codec.Register(False, (MembersOf(Group("shelf", "tasks"), (Member.at("10.0.0.1", 1),)),)),
        Code.NOT_FROM_YOU,
    ),  # no zone holds it
    (
        Client,
        codec.Register(False, (MembersOf(Group("shelf", "tasks"), (Member.at("127.1.0.9", 1),) * 2),)),
        Code.DUPLICATE_MEMBER,
    ),
    (
        Client,
        codec.Deregister(False, 0, (MembersOf(Group("shelf", "tasks"), (Member.at("127.1.0.9", 1),)),)),
        Code.NOT_REGISTERED,
    ),
    (
        Client,
        codec.Register(True, (MembersOf(Group("gw", "read-chapter"), (Member.at("127.1.0.9", 1),)),)),
        Code.NOT_FROM_YOU,
    ),
]


@pytest.mark.parametrize("kind, message, code", BAD_REQUESTS)
def test_bad_requests_get_their_code(rig, kind, message, code):
    r = rig()
    r.agent()
    client = r.open(kind, source="127.1.0.200")
    assert client.call(message).code == code
    assert len(r.engine.endpoint_source.entries) == 4


def test_another_groups_message_and_a_second_stream_of_one_name(rig):
    r = rig()
    agent, first = r.agent(), r.balancer()
    with pytest.raises(RefusedError) as refused:
        first.weights(())
        first.ask(codec.GetWeights((Group("gw-2", "read-chapter"),)))
    assert refused.value.code == Code.UNKNOWN_BALANCER
    second = r.balancer()  # the same name on a newer stream
    assert r.holds(second)[0] == ALL
    with pytest.raises(ConnectionLostError):
        while first.receive(1):
            pass
    assert len(r.engine.servers) == 1
    other = r.open(MemberRegistrar, "shelf")
    with pytest.raises(RefusedError):
        other.deregister([r.members()[0]])  # it is the agent's
    agent.deregister([r.members()[0]])


def test_a_storm_of_connects(rig):
    r = rig(sasp__connections_most=300, sasp__connects_per_s=400)
    r.agent()
    gw = r.balancer()
    storm = []
    for _ in range(1000):
        storm.append(gevent.spawn(socket.create_connection, ("127.0.0.1", r.sasp), 2, ("127.9.0.1", 0)))
    held, _ = r.holds(gw, seconds=1.5)
    assert held == ALL and r.front.counts["refused"] > 300 and len(r.front.streams) <= 300
    for one in storm:
        if one.successful():
            one.value.close()
    gevent.sleep(0.2)
    assert r.holds(r.balancer("gw-2", zone=2))[0] == ALL


def test_the_wall_clock_steps_by_an_hour(rig, monkeypatch):
    r = rig()
    r.agent()
    gw = r.balancer()
    r.holds(gw)
    real, real_ns = time.time, time.time_ns
    before = dict(r.engine.counts)
    for hours in (1, -1):
        monkeypatch.setattr(time, "time", lambda hours=hours: real() + 3600 * hours)
        monkeypatch.setattr(time, "time_ns", lambda hours=hours: real_ns() + 3600 * 10**9 * hours)
        assert gw.receive(0.7) is None
    assert r.engine.counts["messages"] == before["messages"] and len(r.engine.servers) == 1


def tries(r, value=10.0, begun=0.0, end=1.0, **words):
    place = {"proxy": "gw-1", "zone": "abdali", "task": "127.1.0.1:9000", "method": "read-chapter", **words}
    stamp = 1_700_000_000_000_000_000
    return Figure("hollyridge.tries", value, place, stamp + round(end * 1e9), stamp + round(begun * 1e9))


REPORTS = [
    # figures, how many are rejected, tries counted
    (lambda r: [tries(r)], 0, 10),
    (lambda r: [tries(r, zone="nowhere"), tries(r)], 1, 10),
    (lambda r: [tries(r, task="127.1.0.77:9000"), tries(r, task="no address")], 2, 0),
    (lambda r: [tries(r, method="no-such")], 1, 0),
    (lambda r: [tries(r, value=float("nan")), tries(r, value=-3.0), tries(r, end=0.0)], 3, 0),
    (lambda r: [tries(r)._replace(name="something.else"), tries(r)], 1, 10),
    (lambda r: [tries(r)._replace(start_ns=None)], 1, 0),
]


@pytest.mark.parametrize("figures, rejected, counted", REPORTS)
@pytest.mark.parametrize("packed", [True, False])
def test_reports(rig, figures, rejected, counted, packed):
    r = rig(assigner__report_period_s=30)
    r.agent()
    for _turn in range(2):  # said again after a lost answer: a success, counted once
        status, answer = r.report(figures(r), packed=packed)
        assert status == 200 and answer.partial_success.rejected_data_points == rejected
        assert bool(answer.partial_success.error_message) == bool(rejected)
    assert sum(e.attempts for e in r.engine.reports.collect(0) if hasattr(e, "attempts")) == counted


def test_bad_http(rig):
    r = rig(otlp__body_most_bytes=20000, otlp__body_s=0.5)
    kind, bomb = "application/x-protobuf", gzip.compress(b"\0" * 10_000_000)
    cases = [
        ("POST", "/v1/metrics", b"\xff\xff\xff", dict(Content_Type=kind), 400),
        ("POST", "/v1/metrics", b"{", dict(Content_Type="application/json"), 400),
        ("POST", "/v1/metrics", b"", dict(Content_Type="text/plain"), 415),
        ("POST", "/v1/traces", b"", dict(Content_Type=kind), 404),
        ("GET", "/v1/metrics", b"", {}, 405),
        ("POST", "/v1/metrics", b"x" * 20001, dict(Content_Type=kind), 413),
        ("POST", "/v1/metrics", bomb, dict(Content_Type=kind, Content_Encoding="gzip"), 413),
        ("POST", "/v1/metrics", b"no gzip", dict(Content_Type=kind, Content_Encoding="gzip"), 400),
        ("POST", "/v1/metrics", b"x", dict(Content_Type=kind, Content_Length="100"), 408),
    ]
    for method, path, body, headers, status in cases:
        assert r.http(method, path, body, **headers)[0] == status, (method, path, headers)
    assert r.http("POST", "/v1/metrics", b"{}", Content_Type="application/json")[0] == 200
    assert json.loads(r.http("GET", "/status")[1])["otlp"]["bad"] == len(cases)


def test_too_fast_a_sender_is_told_to_come_back(rig):
    r = rig(otlp__points_per_s=10, assigner__report_period_s=30)
    r.agent()
    seen = [r.report([tries(r, begun=k, end=k + 1) for k in range(at, at + 15)])[0] for at in range(0, 90, 15)]
    assert seen[:2] == [200, 200] and 429 in seen
