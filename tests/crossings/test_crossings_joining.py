"""Crossings of joins with floods of connections, invalid input and a shortage of file descriptors."""

import gc
import os

import gevent
from crossing_helpers import ATTACH_FIELDS, attach_message, received_updates
from gevent import socket as green
from helpers import method
from in_process import ServerRig
from stand_ins import message

from hollyridge import interface as api
from hollyridge.discovery.endpoint_list import EndpointListReceived
from hollyridge.discovery.schema import ListedEndpoint, WatchEvent

INVALID_INPUT = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"*1\r\n$99999999\r\n",
    b"*2\r\n$2\r\nhb\r\n",
    b"",
    message("assign", lines="s-1:1"),
    message("attach", node=400, **ATTACH_FIELDS),
    message("telemetry", locality="mars"),
    b"*3\r\n$6\r\nattach\r\n$4\r\nno",
]


def test_a_proxy_that_sends_its_first_message_slowly_can_join_during_a_flood_of_connections():
    rig = ServerRig(descriptors=24 + 20)
    slow = green.create_connection(("127.0.0.1", rig.port))
    slow.sendall(attach_message(9)[:11])
    rig.wait_until(lambda: rig.server.pending.waiting and not rig.server.pending.silent)
    flood = [green.create_connection(("127.0.0.1", rig.port)) for _ in range(60)]
    rig.wait_until(lambda: rig.server.counts["connections"] == 61)
    slow.sendall(attach_message(9)[11:])
    rig.wait_until(lambda: 9 in rig.engine.proxy_indices.index)
    rig.wait_until(lambda: len(rig.server.streams) <= 20)
    assert rig.server.counts["overdue"] >= 40
    assert len(rig.server.by_proxy) == 1
    for sock in flood:
        sock.close()
    rig.wait_until(lambda: len(rig.server.streams) == 1)
    rig.server.stop()


def test_unused_descriptors_are_available_to_connections_that_are_joining():
    """Reserving descriptors for all 150 proxies of the fleet would leave room for 8 pending connections.

    The 20 connections of this test would then evict each other.
    """
    rig = ServerRig(descriptors=24 + 60)
    slow = [green.create_connection(("127.0.0.1", rig.port)) for _ in range(20)]
    for node, sock in enumerate(slow):
        sock.sendall(attach_message(node)[:11])
    rig.wait_until(lambda: len(rig.server.pending.waiting) == 20 and not rig.server.pending.silent)
    for node, sock in enumerate(slow):
        sock.sendall(attach_message(node)[11:])
    rig.wait_until(lambda: len(rig.server.by_proxy) == 20)
    assert rig.server.counts["overdue"] == 0
    rig.server.stop()


def test_proxies_beyond_the_descriptor_limit_are_rejected_without_harm_to_others():
    rig = ServerRig(descriptors=24 + 16)
    socks = []
    for node in range(16):
        socks.append(rig.proxy(node))
    late = green.create_connection(("127.0.0.1", rig.port))
    late.sendall(attach_message(20))
    assert late.recv(100).startswith(b"*3\r\n$6\r\nreject")
    assert late.recv(100) == b""
    rig.wait_until(lambda: len(rig.server.streams) == 16)
    socks[0].close()
    rig.wait_until(lambda: len(rig.server.streams) == 15)
    rig.proxy(20)
    assert len(rig.server.by_proxy) == 16
    rig.server.stop()


def test_invalid_input_in_any_pieces_leaks_no_descriptor_greenlet_or_index():
    rig = ServerRig()
    good = rig.proxy(1)

    def open_resources():
        """Return the descriptors, each as number and target, and the unfinished greenlets.

        Resources of earlier tests may be collected meanwhile, so only additions are leaks of this test.
        """
        gc.collect()
        descriptors = set()
        for number in os.listdir("/proc/self/fd"):
            try:
                descriptors.add((number, os.readlink(f"/proc/self/fd/{number}")))
            except OSError:  # the descriptor of the listing itself is closed already
                pass
        return descriptors, {item for item in gc.get_objects() if isinstance(item, gevent.Greenlet) and not item.dead}

    before = None
    for _ in range(3):
        for raw in INVALID_INPUT:
            for split in (1, 5, len(raw)):
                sock = green.create_connection(("127.0.0.1", rig.port))
                for piece in filter(None, (raw[:split], raw[split:])):
                    try:
                        sock.sendall(piece)
                    except OSError:
                        break
                    gevent.sleep(0)
                sock.close()
        rig.wait_until(lambda: len(rig.server.streams) == 1)
        before = before or open_resources()
    # The last connections may still be closing.
    rig.wait_until(lambda: not any(new - old for new, old in zip(open_resources(), before)))
    assert not rig.server.pending.waiting
    assert not rig.server.pending.silent
    assert len(rig.engine.proxy_indices) == 1
    rig.advance(1)
    assert received_updates(good)
    rig.server.stop()


def test_a_collector_keeps_its_newer_connections_when_an_older_one_ends(rig):
    def collector():
        sock = green.create_connection(("127.0.0.1", rig.port))
        before = rig.server.counts["messages_in"]
        sock.sendall(message("telemetry", locality="khalda"))
        rig.wait_until(lambda: rig.server.counts["messages_in"] == before + 1)
        rig.now += 1
        return sock

    socks = [collector() for _ in range(3)]
    assert socks[0].recv(10) == b""  # closed as the one that was silent longest
    rig.wait_until(lambda: len(rig.server.streams) == 2)
    report = message("upstream_stats", locality="khalda", endpoint="s-1", total=4, errors=0, rtt=9, interval=1000)
    for sock in socks[1:]:
        sock.sendall(report)
    rig.wait_until(lambda: len(rig.events(api.TrafficReport)) == 2)
    socks[1].close()
    rig.wait_until(lambda: len(rig.server.collectors[0]) == 1)
    socks[2].sendall(report)
    rig.wait_until(lambda: len(rig.events(api.TrafficReport)) == 3)


def test_a_proxy_that_joins_while_its_zone_drains_is_sent_an_empty_table():
    """Guards against a proxy that keeps sending to the draining tasks of its old table (review, case 1)."""
    rig = ServerRig(methods=(method(same_zone_only=True), method()))
    draining = [ListedEndpoint(f"s-{k}", 0, 0, api.TaskState.DRAINING, 1.0, 0.0) for k in (0, 2, 4)]
    rig.engine.update_endpoints(rig.now, EndpointListReceived(WatchEvent(2, False, tuple(draining)), False))
    rig.advance(0.1)
    sock = rig.proxy(9)
    rig.advance(1.0)
    whole = {update.get(b"classes"): update for update in received_updates(sock) if b"whole" in update}
    assert b"lines" not in whole[b"read-chapter"]
    assert b"s-1:" in whole[b"redeem-code"][b"lines"]
    sock.close()
    rig.server.stop()
