"""The platform's protocol server with real connections on loopback."""

from itertools import pairwise

import gevent
from gevent import socket as green
from helpers import START
from in_process import ServerRig
from stand_ins import message

from hollyridge.core.input_turns import MAX_MESSAGES_PER_TURN
from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.interface import OfferedLoad, TrafficReport
from hollyridge.resp.codec import FrameReader


def test_a_slow_reader_gets_the_newest_state_only():
    rig = ServerRig(tasks=900)
    sock = rig.proxy(3, buffer=4096)
    proxy = rig.engine.proxy_indices.index[3]
    store, connection = rig.engine.update_builder.store, rig.server.by_proxy[proxy]
    for version in range(1, 400):
        value = store.put(version, 0, {task: 1.0 + version / 1000 for task in range(900)})
        bindings = ((0, 0b11),) if version == 1 else ()
        rig.server.write(proxy, ProxyUpdate(proxy, version, START, bindings, ((0, value),), (), version))
        assert len(connection.unsent) < 64 << 10
    assert rig.server.counts["merged"] > 300
    reader, weights, mark = FrameReader(), {}, 0
    with gevent.Timeout(5):
        while mark != 399:
            for parts in reader.feed(sock.recv(65536)):
                fields = dict(zip(parts[1::2], parts[2::2]))
                weights.update(pair.split(b":") for pair in fields[b"lines"].split(b","))
                mark = int(fields[b"ticket"])
    assert len(weights) == 900
    assert set(weights.values()) == {b"1.399"}
    rig.server.stop()


def test_a_proxy_stays_joined_when_its_replaced_connection_ends_late():
    rig = ServerRig()
    first = rig.proxy(3)
    second = rig.proxy(3)
    assert first.recv(100) == b""  # the newer connection replaced it
    rig.wait_until(lambda: len(rig.server.streams) == 1)
    assert len(rig.engine.servers) == 1
    second.close()
    rig.wait_until(lambda: not rig.engine.servers)
    rig.server.stop()


def test_reports_of_a_recently_removed_task_are_accepted():
    rig = ServerRig()
    rig.send_list(2, ["s-0"])
    collector = green.create_connection(("127.0.0.1", rig.port))
    collector.sendall(message("telemetry", locality="sahab"))
    for name in ("s-5", "s-99"):
        collector.sendall(
            message("upstream_stats", locality="sahab", endpoint=name, total=4, errors=0, rtt=90, interval=1000)
        )
    rig.wait_until(lambda: rig.server.counts["messages_in"] == 3)
    assert rig.server.counts["spoilt"] == 1  # s-99 was never listed
    assert [event.task for event in rig.events(TrafficReport)] == [5]
    rig.server.stop()


def test_a_stopped_server_leaves_no_greenlets_or_connections():
    rig = ServerRig()
    sweeper = rig.server.sweeper
    rig.proxy(3)
    rig.server.stop()
    rig.wait_until(lambda: sweeper.dead and not rig.server.streams)


def test_a_busy_connection_lets_timers_fire_after_each_turn():
    # Guards against one connection that delays all timers and sockets of the process by thousands of its messages.
    rig = ServerRig()
    sock = rig.proxy(3)
    counts = rig.server.counts
    sock.sendall(message("hb") * 5000)
    handled = [counts["messages_in"]]
    with gevent.Timeout(20):
        while counts["messages_in"] < 5001:
            gevent.sleep(0.001)
            handled.append(counts["messages_in"])
    # Timers that are due together fire in one iteration of the event loop, so two turns may follow each other.
    assert max(later - earlier for earlier, later in pairwise(handled)) <= 3 * MAX_MESSAGES_PER_TURN
    rig.server.stop()


def test_a_proxy_keeps_its_newer_connection_if_the_joining_on_an_older_one_is_handled_later():
    # Guards against a joining that runs again for a proxy that has come back on another connection meanwhile.
    rig = ServerRig()
    older = green.create_connection(("127.0.0.1", rig.port))
    older.sendall(
        message("hb") * (3 * MAX_MESSAGES_PER_TURN) + message("attach", node=3, locality="khalda", w=5, cold=1)
    )
    rig.wait_until(lambda: rig.server.counts["messages_in"] >= MAX_MESSAGES_PER_TURN)
    newer = rig.proxy(3)
    rig.wait_until(lambda: rig.server.counts["messages_in"] >= 3 * MAX_MESSAGES_PER_TURN + 2)
    rig.wait_until(lambda: len(rig.server.streams) == 1)
    assert rig.engine.counts["joins"] == 1
    newer.sendall(message("hb"))
    with gevent.Timeout(5):
        assert b"hb_ok" in newer.recv(100)
    rig.server.stop()


def test_reports_of_a_proxy_that_has_left_are_not_handled_once_its_turn_has_ended():
    # Guards against reports that are handled long after their sender has closed its connection. All bytes fit into the
    # receive buffer: the end of a connection shows only once the peer's system has sent it.
    rig = ServerRig()
    leaving = green.create_connection(("127.0.0.1", rig.port))
    report = message("client_stats", node=3, route="read-chapter", total=20, errors=0, interval=400.0)
    leaving.sendall(message("attach", node=3, locality="khalda", w=5, cold=1) + report * 300)
    leaving.close()
    rig.wait_until(lambda: rig.server.counts["connections"] == 1 and not rig.server.streams)
    assert len(rig.events(OfferedLoad)) < MAX_MESSAGES_PER_TURN
    assert not rig.engine.servers
    rig.server.stop()
