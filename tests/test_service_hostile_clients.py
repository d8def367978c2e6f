"""The process `hollyridge serve` while clients flood it, or leave requests unfinished or connections idle."""

import gzip
import http.client
import socket
import time

import pytest
from hostile_clients import Flood, ServeProcess, send_unfinished

from hollyridge.otlp.sender import MetricPoint, build_export_request
from hollyridge.sasp.client import HeldWeights, LoadBalancerClient, MemberRegistrar
from hollyridge.sasp.codec import GetWeights, Member, SetBalancer, encode
from hollyridge.sasp.framing import HEADER, HEADER_TYPE, VERSION

GROUPS = ("read-chapter", "unlock-chapter", "redeem-code")
MEMBERS = [Member.at(f"127.{1 + k % 3}.0.{k + 1}", 9000, f"t{k} run=a up=100") for k in range(6)]
DRAIN_GRACE_S = 3.0  # of examples/loopback.ini
MEMORY_LIMIT_MB = 192  # the limit that the platform sets for an assigner
ATTACKER = "127.0.0.9"
REPORT_HEAD = b"POST /v1/metrics HTTP/1.1\r\nContent-Type: application/x-protobuf\r\nContent-Length: %d\r\n\r\n"


@pytest.fixture
def serve(tmp_path):
    started = []

    def start(**options):
        started.append(ServeProcess(tmp_path, **options))
        return started[-1]

    yield start
    for process in started:
        process.stop()


def report(task):
    labels = {"proxy": "gw-1", "zone": "abdali", "task": task, "method": "read-chapter"}
    point = MetricPoint("hollyridge.tries", 1.0, labels, 2_000_000_000, 1_000_000_000)
    body = build_export_request("source", [point]).SerializeToString()
    return REPORT_HEAD % len(body) + body


def reports_on_new_tasks(chunk):
    return b"".join(report(f"127.9.{chunk}.{number}:{1 + chunk}") for number in range(1, 200))


def new_uids(chunk):
    return b"".join(encode(number, SetBalancer(f"gw-{chunk}-{number}", 127, 0)) for number in range(200))


STREAM_FLOODS = {
    "pages": ("otlp", [b"GET /status HTTP/1.1\r\n\r\n" * 500]),
    "empty reports": ("otlp", [(REPORT_HEAD % 0) * 1000]),
    "reports": ("otlp", [report("127.1.0.1:9000") * 300]),
    "reports on new tasks": ("otlp", [reports_on_new_tasks(chunk) for chunk in range(200)]),
    "invalid reports": ("otlp", [(REPORT_HEAD % 3 + b"\xff\xff\xff") * 1000]),
    "requests for weights": ("sasp", [encode(5, GetWeights(())) * 500]),
    "new load balancers": ("sasp", [new_uids(chunk) for chunk in range(200)]),
}


class Drains:
    """Members whose removal a load balancer has to be told within the grace."""

    def __init__(self, serve_process):
        self.agent = MemberRegistrar(("127.0.0.1", serve_process.ports["sasp"]), "shelf")
        self.agent.register(MEMBERS)
        time.sleep(0.6)
        self.balancer = LoadBalancerClient(
            ("127.0.0.1", serve_process.ports["sasp"]), "gw-1", source="127.1.0.200", timeout=10
        )
        self.balancer.start(GROUPS, True)
        self.held = HeldWeights()
        self.wait_for(MEMBERS, 5.0)

    def wait_for(self, members, seconds):
        """Wait until the load balancer holds these members; fail after this time."""
        deadline_s = time.monotonic() + seconds
        while {member.host for member in self.held.lines(GROUPS[0])} != {member.host for member in members}:
            _, message = self.balancer.receive(timeout=max(0.001, deadline_s - time.monotonic()))
            self.held.handle_message(message.groups)

    def check(self, times):
        """Drain members one after the other."""
        for number in range(times):
            told_s = time.monotonic()
            self.agent.deregister([MEMBERS[number]])
            self.wait_for(MEMBERS[number + 1 :], told_s + DRAIN_GRACE_S - time.monotonic())


@pytest.mark.parametrize(("protocol", "chunks"), STREAM_FLOODS.values(), ids=STREAM_FLOODS)
def test_drains_keep_their_grace_while_one_client_floods_serve(serve, tmp_path, protocol, chunks):
    # Guards against requests sent ahead on one connection that keep all other connections from being served.
    process = serve()
    drains = Drains(process)
    flood = Flood(tmp_path, process.ports[protocol], chunks)
    time.sleep(0.5)
    drains.check(3)
    process.get_status(DRAIN_GRACE_S)
    flood.stop()
    assert process.memory.peak_mb < MEMORY_LIMIT_MB


SUBSCRIBER_FLOODS = {
    "acks": (b"PUSH", [b"/proxy/x/ack", bytes(8), b"u" * 16, b"", b"{}"]),
    "requests": (b"DEALER", [b"ICANHAZ?", b"/unknown/"]),
}


@pytest.mark.parametrize(("socket_type", "parts"), SUBSCRIBER_FLOODS.values(), ids=SUBSCRIBER_FLOODS)
def test_drains_keep_their_grace_while_a_subscriber_floods_serve(serve, tmp_path, socket_type, parts):
    # Guards against a pub-sub socket that is read without a pause as long as messages wait in its queue.
    process = serve()
    drains = Drains(process)
    port = process.collector_port if socket_type == b"PUSH" else process.ports["clone"]
    flood = Flood(tmp_path, port, [parts], socket_type, "zmq")
    time.sleep(1.0)
    drains.check(3)
    process.get_status(DRAIN_GRACE_S)
    flood.stop()


def unfinished_frame():
    return HEADER.pack(HEADER_TYPE, HEADER.size, VERSION, 1 << 18, 1) + b"x" * 250_000


LONG_HEAD = b"GET /status HTTP/1.1\r\n" + b"".join(b"a%d: %b\r\n" % (k, b"y" * 65_000) for k in range(98))
UNFINISHED = {
    "bodies": ("otlp", 300, REPORT_HEAD % (1 << 20) + bytes(1_000_000)),
    "long heads": ("otlp", 100, LONG_HEAD),
    "heads of many short fields": ("otlp", 600, b"GET / HTTP/1.1\r\n" + b"".join(b"a%d: 1\r\n" % k for k in range(99))),
    "SASP frames": ("sasp", 600, unfinished_frame()),
}


@pytest.mark.parametrize(("protocol", "count", "data"), UNFINISHED.values(), ids=UNFINISHED)
def test_unfinished_requests_stay_within_the_memory_limit_of_serve(serve, protocol, count, data):
    # Guards against a process that is killed because hundreds of clients stop within large requests.
    process = serve()
    address = ("127.0.0.1", process.ports[protocol])
    sockets = [
        socket.create_connection(address, timeout=10, source_address=(f"127.0.1.{1 + number % 50}", 0))
        for number in range(count)
    ]
    send_unfinished(sockets, data)
    process.get_status(2.0)
    assert process.memory.peak_mb < MEMORY_LIMIT_MB


def test_idle_connections_make_room_for_newer_ones(serve):
    # Guards against idle clients that occupy all connections, so that no other client is ever served.
    process = serve()
    address = ("127.0.0.1", process.ports["otlp"])
    idle = [socket.create_connection(address, timeout=10, source_address=(ATTACKER, 0)) for _ in range(1100)]
    process.get_status(2.0)
    assert process.get_status(2.0)
    for sock in idle:
        sock.close()


def test_a_small_compressed_report_of_very_many_entries_does_not_delay_others(serve):
    # Guards against reports of 20 KB that decode to millions of entries, of which many are decoded at once.
    process = serve()
    body = gzip.compress(b"\x0a\x00" * 4_000_000)
    head = REPORT_HEAD.replace(b"\r\n\r\n", b"\r\nContent-Encoding: gzip\r\n\r\n") % len(body)
    sockets = [socket.create_connection(("127.0.0.1", process.ports["otlp"]), timeout=20) for _ in range(6)]
    send_unfinished(sockets, head + body)
    process.get_status(DRAIN_GRACE_S)
    assert all(sock.recv(12) == b"HTTP/1.1 413" for sock in sockets)


def test_status_pages_are_served_while_datagrams_flood_the_peer_address(serve, tmp_path):
    # Guards against a peer address that is read without a pause as long as datagrams arrive.
    process = serve(peers=True)
    flood = Flood(tmp_path, process.ports["peers"], [b"x" * 100], kind="udp")
    time.sleep(1.0)
    for _ in range(3):
        process.get_status(DRAIN_GRACE_S)
    flood.stop()


def test_reports_on_tasks_with_very_long_names_leave_nothing_behind(serve):
    # Guards against a cache of names that holds as many megabytes as a client likes.
    process = serve()
    connection = http.client.HTTPConnection("127.0.0.1", process.ports["otlp"], timeout=10)
    for number in range(200):
        body = report("127.1.0.1:" + " " * 900_000 + str(1 + number)).partition(b"\r\n\r\n")[2]
        connection.request("POST", "/v1/metrics", body, {"Content-Type": "application/x-protobuf"})
        assert connection.getresponse().read()
    connection.close()
    assert process.memory.peak_mb < MEMORY_LIMIT_MB
