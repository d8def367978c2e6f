"""The node process with stand-ins of the platform: normal operation, reloads, stopping and invalid input."""

import json
import signal
import socket
import subprocess
import sys
import time

import pytest
from stand_ins import (
    METHOD_NAMES,
    ROOT,
    ZONES,
    DiscoveryServer,
    NodeProcess,
    RespClient,
    list_page,
    message,
    server,
    wait_for,
)

TASKS = [f"s-{k}" for k in range(6)]
LIST = list_page(7, [server(name, k % 2) for k, name in enumerate(TASKS)])


@pytest.fixture
def node(tmp_path):
    discovery = DiscoveryServer(LIST)
    assigner = NodeProcess(
        tmp_path, discovery.address, known=list_page(6, [server("s-0"), server("s-old")])
    ).wait_until_ready()
    yield assigner, discovery
    if assigner.process.poll() is None:
        assigner.process.kill()
    discovery.stop()


def report(collector, name, zone=0, util=0.4, rtt=90.0, total=40, errors=0):
    collector.send(
        "upstream_stats",
        locality=ZONES[zone],
        endpoint=name,
        total=total,
        errors=errors,
        rtt=rtt,
        interval=400.0,
        metrics=f"util:{util},queue:1",
    )


def test_a_node_serves_applies_list_changes_reloads_and_stops(node):
    assigner, discovery = node
    proxies = [RespClient(assigner.port, node, node % 2) for node in range(4)]
    for proxy in proxies:
        proxy.wait_for_table(TASKS)
        assert proxy.marks
    collector = RespClient(assigner.port)
    collector.send("telemetry", locality=ZONES[0])
    before = dict(proxies[0].table)
    for _ in range(12):  # s-0 has ten times the latency of the others
        for name in TASKS:
            report(collector, name, rtt=900.0 if name == "s-0" else 90.0, util=0.9 if name == "s-0" else 0.4)
        for proxy in proxies:
            proxy.send("client_stats", node=proxy.node, route=METHOD_NAMES[0], total=20, errors=0, interval=400.0)
            proxy.receive()
        time.sleep(0.3)
    wait_for(lambda: proxies[0].receive() and proxies[0].table["s-0"] < before["s-0"] * 0.9)
    assert collector.receive() == []  # nothing is ever written to a collector
    discovery.publish(list_page(8, [server("s-3", 1, "terminating")], full=False))
    for proxy in proxies:
        proxy.wait_for_table(set(TASKS) - {"s-3"}, 2.5)
    late = RespClient(assigner.port, 9)
    late.wait_for_table(set(TASKS) - {"s-3"})
    # A newer connection of a proxy replaces the older one, whose late end changes nothing.
    newer = RespClient(assigner.port, 9)
    newer.wait_for_table(set(TASKS) - {"s-3"})
    late.sock.close()
    other = DiscoveryServer(list_page(9, [server("s-4", 0, "terminating")], full=False))
    assigner.write("{")
    assigner.signal(signal.SIGHUP)
    assigner.wait_for_log("configuration_rejected")
    assigner.write(json.dumps({**assigner.document, "discovery": other.address}))
    assigner.signal(signal.SIGHUP)
    for proxy in (*proxies, newer):
        proxy.wait_for_table(set(TASKS) - {"s-3", "s-4"}, 2.5)
    assert other.requests[0][1].endswith("index=8")
    code, duration_s = assigner.stop()
    assert code == 0
    assert duration_s < 0.7
    other.stop()


def test_while_discovery_is_down_the_cached_list_is_served(tmp_path):
    discovery = DiscoveryServer(LIST)
    discovery.mode = "refuse"
    assigner = NodeProcess(
        tmp_path, discovery.address, known=list_page(6, [server("s-0"), server("s-old", 1)])
    ).wait_until_ready()
    proxy = RespClient(assigner.port, 1)
    proxy.wait_for_table({"s-0", "s-old"})
    time.sleep(2)
    calls = [at for at, _ in discovery.requests]
    assert 2 <= len(calls) <= 8  # retried, but with backoff
    discovery.mode = "ok"
    proxy.wait_for_table(TASKS)
    discovery.invalid_page = b'{"version":99,"full":true,"servers":7}'
    with discovery.lock:
        for sock in discovery.open:
            sock.shutdown(socket.SHUT_RDWR)
    assigner.wait_for_log("Expected `array`")
    proxy.receive()
    assert set(proxy.table) == set(TASKS)
    assert assigner.stop()[0] == 0
    discovery.stop()


REJECTED = {
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "binary data": b"\x16\x03\x01\x02\x00",
    "announced length too long": b"*1\r\n$99999999\r\n",
    "over 1 MiB": b"*1\r\n$1048600\r\n",
    "unknown kind": message("hello", x=1),
    "outbound kind": message("assign", lines="s-1:1"),
    "report before joining": message(
        "upstream_stats", locality=ZONES[0], endpoint="s-1", total=1, errors=0, rtt=1, interval=1000
    ),
    "unknown proxy": message("attach", node=400, locality=ZONES[0], w=1, cold=1),
    "unknown zone": message("attach", node=4, locality="mars", w=1, cold=1),
    "unknown zone of a collector": message("telemetry", locality="mars"),
    "no data": b"",
    "incomplete message": b"*3\r\n$2\r\nhb",
    "heartbeat only": message("hb"),
}


def test_connections_that_do_not_join_are_closed_without_harm_to_others(node):
    assigner, _ = node
    proxy = RespClient(assigner.port, 1)
    proxy.wait_for_table(TASKS)
    unjoined = {}
    for case, raw in REJECTED.items():
        unjoined[case] = RespClient(assigner.port)
        unjoined[case].sock.sendall(raw)
    flood = [socket.create_connection(("127.0.0.1", assigner.port)) for _ in range(300)]
    endless = RespClient(assigner.port)
    start = time.monotonic()
    late = RespClient(assigner.port, 2)  # can still join
    late.wait_for_table(TASKS)
    for case, peer in unjoined.items():
        assert peer.closed(3 - (time.monotonic() - start)), case
    try:
        for _ in range(200):
            endless.sock.sendall(b"*2\r\n$2\r\nhb\r\n$9\r\nx")
    except OSError:
        pass
    assert endless.closed(1)
    assert proxy.receive() is not None
    assert late.receive() is not None
    assert wait_for(lambda: all(not client.recv(1000).startswith(b"-") for client in flood))


def test_a_malformed_message_is_skipped_and_invalid_resp_closes_only_its_connection(node):
    assigner, discovery = node
    good, bad = RespClient(assigner.port, 1), RespClient(assigner.port, 2)
    for proxy in (good, bad):
        proxy.wait_for_table(TASKS)
    bad.send("client_stats", node=2, route="nothing", total=1, errors=0, interval=400)
    bad.send("client_stats", node=1, route=METHOD_NAMES[0], total=1, errors=0, interval=400)
    bad.send("done", node=2, nonce=70000, latency=1)
    bad.send("hb")
    assert wait_for(lambda: [b"hb_ok"] in (bad.receive() or []))
    bad.sock.sendall(b"not RESP at all")
    assert bad.closed(2)
    discovery.publish(list_page(8, [server("s-1", 1, "terminating")], full=False))
    good.wait_for_table(set(TASKS) - {"s-1"})


@pytest.mark.parametrize("path", ["", "/nowhere/config.json"])
def test_a_missing_configuration_exits_with_code_2(path):
    process = subprocess.run(
        [sys.executable, "-m", "hollyridge.node"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={"BALANCER_CONFIG": path, "PATH": ""},
        timeout=30,
    )
    assert process.returncode == 2
    assert "hollyridge: " in process.stderr
