"""The node process while clients flood it or leave large messages unfinished."""

import contextlib
import socket
import time

import pytest
from hostile_clients import Flood, PeakMemory, send_unfinished
from stand_ins import (
    METHOD_NAMES,
    SETTINGS,
    ZONES,
    DiscoveryServer,
    NodeProcess,
    RespClient,
    list_page,
    message,
    server,
)

TASKS = [f"s-{k}" for k in range(9)]
LIST = list_page(7, [server(name, k % 2) for k, name in enumerate(TASKS)])
MEMORY_LIMIT_MB = 192  # the limit that the platform sets
DRAIN_GRACE_S = SETTINGS["rules"]["drain_grace"]

PROXY = message("attach", node=100, locality=ZONES[0], w=5.0, cold=1)
COLLECTOR = message("telemetry", locality=ZONES[0])
OFFERED_LOAD = message("client_stats", node=100, route=METHOD_NAMES[0], total=20, errors=0, interval=400.0)
TRAFFIC = message(
    "upstream_stats",
    locality=ZONES[0],
    endpoint="s-1",
    total=40,
    errors=0,
    rtt=90.0,
    interval=400.0,
    metrics="util:0.4",
)


def unknown_endpoints(chunk):
    """Return reports on tasks that were never listed."""
    names = (f"n-{chunk}-{number}" for number in range(200))
    reports = (
        message("upstream_stats", locality=ZONES[0], endpoint=name, total=4, errors=0, rtt=9.0, interval=400.0)
        for name in names
    )
    return b"".join(reports)


FLOODS = {
    "heartbeats of a proxy": (PROXY, [message("hb") * 1000]),
    "heartbeats of a collector": (COLLECTOR, [message("hb") * 1000]),
    "reports of a proxy": (PROXY, [OFFERED_LOAD * 1000]),
    "reports of a collector": (COLLECTOR, [TRAFFIC * 1000]),
    "unknown endpoints": (COLLECTOR, [unknown_endpoints(chunk) for chunk in range(100)]),
    "unknown messages": (PROXY, [message("x") * 1000]),
}


@pytest.fixture
def node(tmp_path):
    discovery = DiscoveryServer(LIST)
    assigner = NodeProcess(tmp_path, discovery.address, known=LIST, sockets=1024).wait_until_ready()
    yield assigner, discovery
    if assigner.process.poll() is None:
        assigner.process.kill()
    discovery.stop()


@pytest.mark.parametrize(("opening", "chunks"), FLOODS.values(), ids=FLOODS)
def test_drains_keep_their_grace_while_one_client_floods(node, tmp_path, opening, chunks):
    # Guards against one busy connection that delays the decisions and all other connections by seconds.
    assigner, discovery = node
    proxies = [RespClient(assigner.port, number, number % 2) for number in range(1, 7)]
    for proxy in proxies:
        proxy.wait_for_table(TASKS)
    memory = PeakMemory(assigner.process)
    flood = Flood(tmp_path, assigner.port, chunks, opening)
    time.sleep(1)
    remaining = set(TASKS)
    for number in range(2):
        remaining.discard(f"s-{number}")
        update = list_page(8 + number, [server(f"s-{number}", number % 2, "terminating")], full=False)
        told_s = time.monotonic()
        discovery.publish(update)
        for proxy in proxies:
            proxy.wait_for_table(remaining, told_s + DRAIN_GRACE_S - time.monotonic())
    flood.stop()
    assert memory.peak_mb < MEMORY_LIMIT_MB
    assert assigner.stop()[0] == 0


@pytest.mark.parametrize("kind", ["proxies", "collectors", "not joined"])
def test_large_unfinished_messages_stay_within_the_memory_limit(node, kind):
    # Guards against a process that is killed because hundreds of joined peers stop within a message of 1 MiB.
    assigner, _ = node
    memory = PeakMemory(assigner.process)
    proxy = RespClient(assigner.port, 0)
    proxy.wait_for_table(TASKS)
    proxy.sock.sendall(OFFERED_LOAD[:-20])
    openings = {
        "proxies": [message("attach", node=number, locality=ZONES[0], w=5.0, cold=1) for number in range(1, 390)],
        "collectors": [COLLECTOR] * 390,
        "not joined": [b""] * 390,
    }
    sockets = []
    for opening in openings[kind]:
        sockets.append(socket.create_connection(("127.0.0.1", assigner.port), timeout=10))
        sockets[-1].sendall(opening)
    time.sleep(1)
    send_unfinished(sockets, b"*3\r\n$12\r\nclient_stats\r\n$4\r\nnode\r\n$1000000\r\n" + b"1" * 900_000)
    late = RespClient(assigner.port, 395)
    late.wait_for_table(TASKS)
    assert proxy.receive() is not None  # its small unfinished message does not count
    assert memory.peak_mb < MEMORY_LIMIT_MB
    assert assigner.stop()[0] == 0


def test_floods_of_hundreds_of_proxies_that_read_nothing_stay_within_the_memory_limit(tmp_path):
    # Guards against decoded messages and unread replies that are held for each of very many connections.
    discovery = DiscoveryServer(LIST)
    settings = {**SETTINGS, "family_info": {**SETTINGS["family_info"], "agents": 900}}
    assigner = NodeProcess(tmp_path, discovery.address, known=LIST, sockets=1024, settings=settings).wait_until_ready()
    memory = PeakMemory(assigner.process)
    sockets = []
    for number in range(800):
        sockets.append(socket.create_connection(("127.0.0.1", assigner.port), timeout=10))
        sockets[-1].sendall(message("attach", node=number, locality=ZONES[0], w=5.0, cold=1))
        sockets[-1].setblocking(False)
    end_s = time.monotonic() + 4
    heartbeats = message("hb") * 2000
    while time.monotonic() < end_s:
        for sock in sockets:
            with contextlib.suppress(OSError):  # its buffer is full
                sock.send(heartbeats)
    assert memory.peak_mb < MEMORY_LIMIT_MB
    assert assigner.process.poll() is None
    assigner.process.kill()
    discovery.stop()
