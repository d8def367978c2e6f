"""A started `run` process with stand-ins of the platform around it, through its life and against bad input."""

import json
import signal
import socket
import subprocess
import sys
import time

import pytest
from stand_ins import CLASSES, ROOT, SETTINGS, ZONES, Assigner, Discovery, Peer, message, page, server, wait_for

from hollyridge.node.config import ConfigError, read_terms

TASKS = [f"s-{k}" for k in range(6)]
LIST = page(7, [server(name, k % 2) for k, name in enumerate(TASKS)])


@pytest.fixture
def house(tmp_path):
    discovery = Discovery(LIST)
    assigner = Assigner(tmp_path, discovery.address, known=page(6, [server("s-0"), server("s-old")])).ready()
    yield assigner, discovery
    if assigner.process.poll() is None:
        assigner.process.kill()
    discovery.stop()


def report(collector, name, zone=0, util=0.4, rtt=90.0, total=40, errors=0):
    collector.say(
        "upstream_stats",
        locality=ZONES[zone],
        endpoint=name,
        total=total,
        errors=errors,
        rtt=rtt,
        interval=400.0,
        metrics=f"util:{util},queue:1",
    )


def test_a_life(house):
    assigner, discovery = house
    proxies = [Peer(assigner.port, node, node % 2) for node in range(4)]
    for proxy in proxies:
        proxy.holds(TASKS)
        assert proxy.marks
    collector = Peer(assigner.port)
    collector.say("telemetry", locality=ZONES[0])
    before = dict(proxies[0].table)
    for _ in range(12):  # one task answers three times as slowly as the rest
        for name in TASKS:
            report(collector, name, rtt=900.0 if name == "s-0" else 90.0, util=0.9 if name == "s-0" else 0.4)
        for proxy in proxies:
            proxy.say("client_stats", node=proxy.node, route=CLASSES[0], total=20, errors=0, interval=400.0)
            proxy.hear()
        time.sleep(0.3)
    wait_for(lambda: proxies[0].hear() and proxies[0].table["s-0"] < before["s-0"] * 0.9)
    assert collector.hear() == []  # nothing is ever written to a collector
    discovery.say(page(8, [server("s-3", 1, "terminating")], full=False))
    for proxy in proxies:
        proxy.holds(set(TASKS) - {"s-3"}, 2.5)
    late = Peer(assigner.port, 9)
    late.holds(set(TASKS) - {"s-3"})
    # A newer stream of a proxy replaces the older; the late end of the old one ends nothing.
    newer = Peer(assigner.port, 9)
    newer.holds(set(TASKS) - {"s-3"})
    late.sock.close()
    other = Discovery(page(9, [server("s-4", 0, "terminating")], full=False))
    assigner.write("{")
    assigner.signal(signal.SIGHUP)
    assigner.says("configuration not taken")
    assigner.write(json.dumps({**assigner.document, "discovery": other.address}))
    assigner.signal(signal.SIGHUP)
    for proxy in (*proxies, newer):
        proxy.holds(set(TASKS) - {"s-3", "s-4"}, 2.5)
    assert other.asked[0][1].endswith("index=8")
    code, took = assigner.stop()
    assert code == 0 and took < 0.7
    other.stop()


def test_discovery_down_serves_what_was_known(tmp_path):
    discovery = Discovery(LIST)
    discovery.mood = "refuse"
    assigner = Assigner(tmp_path, discovery.address, known=page(6, [server("s-0"), server("s-old", 1)])).ready()
    proxy = Peer(assigner.port, 1)
    proxy.holds({"s-0", "s-old"})
    time.sleep(2)
    calls = [at for at, _ in discovery.asked]
    assert 2 <= len(calls) <= 8  # asked again, never in a storm
    discovery.mood = "ok"
    proxy.holds(TASKS)
    discovery.nonsense = b'{"version":99,"full":true,"servers":7}'
    with discovery.lock:
        for sock in discovery.open:
            sock.shutdown(socket.SHUT_RDWR)
    assigner.says("Expected `array`")
    proxy.hear()
    assert set(proxy.table) == set(TASKS)
    assert assigner.stop()[0] == 0
    discovery.stop()


REFUSED = {
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "bytes": b"\x16\x03\x01\x02\x00",
    "announced too long": b"*1\r\n$99999999\r\n",
    "over 1 MiB": b"*1\r\n$1048600\r\n",
    "an unknown kind": message("hello", x=1),
    "an order": message("assign", lines="s-1:1"),
    "a report first": message(
        "upstream_stats", locality=ZONES[0], endpoint="s-1", total=1, errors=0, rtt=1, interval=1000
    ),
    "no such proxy": message("attach", node=400, locality=ZONES[0], w=1, cold=1),
    "no such zone": message("attach", node=4, locality="mars", w=1, cold=1),
    "no such collector": message("telemetry", locality="mars"),
    "nothing": b"",
    "half a message": b"*3\r\n$2\r\nhb",
    "hb": message("hb"),
}


def test_strangers_are_shown_out_and_take_nothing_from_others(house):
    assigner, _ = house
    proxy = Peer(assigner.port, 1)
    proxy.holds(TASKS)
    strangers = {}
    for why, raw in REFUSED.items():
        strangers[why] = Peer(assigner.port)
        strangers[why].sock.sendall(raw)
    crowd = [socket.create_connection(("127.0.0.1", assigner.port)) for _ in range(300)]
    endless = Peer(assigner.port)
    begun = time.monotonic()
    late = Peer(assigner.port, 2)  # has room and is served
    late.holds(TASKS)
    for why, stranger in strangers.items():
        assert stranger.closed(3 - (time.monotonic() - begun)), why
    try:
        for _ in range(200):
            endless.sock.sendall(b"*2\r\n$2\r\nhb\r\n$9\r\nx")
    except OSError:
        pass
    assert endless.closed(1)
    assert proxy.hear() is not None and late.hear() is not None
    assert wait_for(lambda: all(not one.recv(1000).startswith(b"-") for one in crowd))


def test_a_spoilt_message_is_passed_over_and_an_unreadable_one_ends_its_stream_only(house):
    assigner, discovery = house
    good, bad = Peer(assigner.port, 1), Peer(assigner.port, 2)
    for proxy in (good, bad):
        proxy.holds(TASKS)
    bad.say("client_stats", node=2, route="nothing", total=1, errors=0, interval=400)
    bad.say("client_stats", node=1, route=CLASSES[0], total=1, errors=0, interval=400)
    bad.say("done", node=2, nonce=70000, latency=1)
    bad.say("hb")
    assert wait_for(lambda: [b"hb_ok"] in (bad.hear() or []))
    bad.sock.sendall(b"not RESP at all")
    assert bad.closed(2)
    discovery.say(page(8, [server("s-1", 1, "terminating")], full=False))
    good.holds(set(TASKS) - {"s-1"})


FAULTY = [
    (b"", "cannot be read"),
    (b"{", "cannot be read"),
    (b"[]", "cannot be read"),
    (b"{}", "name"),
    ({"listen": "nowhere"}, "listen is not"),
    ({"discovery": 5}, "discovery"),
    ({"seed": "xyz"}, "seed is not"),
    ({"limits": {"sockets": 3}}, "sockets"),
    ({"known": page(1, [server("a", state="up")])}, "known: a has no known"),
    ({"settings": {}}, "profiles.count"),
    ({"settings": {**SETTINGS, "rules": {}}}, "the settings lack rules.drain_grace\nthe settings lack rules.cold_from"),
    ({"settings": {**SETTINGS, "zones": []}}, "no sensible zones"),
    ({"settings": {**SETTINGS, "family_info": {**SETTINGS["family_info"], "agents": 0}}}, "family_info.agents"),
    ({"settings": {**SETTINGS, "family_info": {**SETTINGS["family_info"], "pick": "best"}}}, "family_info.pick has no"),
]
GOOD = {"name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f", "settings": SETTINGS}


@pytest.mark.parametrize("change, fault", FAULTY)
def test_every_fault_of_a_configuration_is_named(change, fault):
    raw = change if isinstance(change, bytes) else json.dumps({**GOOD, **change}).encode()
    with pytest.raises(ConfigError) as caught:
        read_terms(raw)
    assert fault in str(caught.value)


def test_settings_read_as_the_wire_has_them():
    terms = read_terms(json.dumps(GOOD).encode())
    assert terms.config.drain_grace_us == 3_000_000 and terms.config.load_metric_names == ("util", "queue")
    assert terms.names.methods == tuple(CLASSES) and terms.names.proxy_count == 400 and terms.round_s == 0.005


@pytest.mark.parametrize("path", ["", "/nowhere/config.json"])
def test_no_configuration_ends_with_2(path):
    done = subprocess.run(
        [sys.executable, "-m", "hollyridge.node"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={"BALANCER_CONFIG": path, "PATH": ""},
        timeout=30,
    )
    assert done.returncode == 2 and "hollyridge: " in done.stderr


def test_what_run_starts_imports_nothing_that_is_switched_off():
    code = (
        "import sys, hollyridge.node.application;"
        "print([name for name in ('zmq', 'numpy', 'highspy', 'matplotlib', 'pydantic', 'cryptography') "
        "if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert done.stdout.strip() == "[]"
