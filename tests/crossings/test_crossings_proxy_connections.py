"""Crossing events of an older and a newer connection of one proxy; docs/crossings.md lists them."""

import contextlib

import pytest
from crossing_helpers import received_updates
from stand_ins import message

from hollyridge import interface as api
from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.resp.codec import encode


def test_an_ack_half_sent_on_the_older_connection_is_ignored_once_a_newer_one_has_joined(rig):
    older = rig.proxy(3)
    rig.advance(1)
    (mark,) = {int(fields[b"ticket"]) for fields in received_updates(older) if b"ticket" in fields}
    raw = message("done", node=3, nonce=mark, latency=5)
    older.sendall(raw[:-4])
    rig.wait_until(lambda: rig.server.by_proxy[0].last_received_us == rig.now)
    newer = rig.proxy(3)
    with contextlib.suppress(OSError):
        older.sendall(raw[-4:])
    rig.wait_until(lambda: len(rig.server.streams) == 1)
    assert not rig.events(api.Ack)
    kinds = [type(event) for _, event in rig.engine.pending_events if type(event) in (api.ProxyJoined, api.ProxyLeft)]
    assert kinds == [api.ProxyLeft, api.ProxyJoined]
    newer.close()


def test_an_update_queued_for_the_older_connection_is_never_written_on_the_newer(rig):
    older = rig.proxy(3)
    rig.engine.run(rig.now)  # queues a complete table
    assert len(rig.engine.queue.queue) == 1
    newer = rig.proxy(3)
    assert not rig.engine.queue.queue
    assert received_updates(older) is None
    rig.advance(2)
    first = received_updates(newer)[0]
    assert first[b"whole"] == b"1"
    assert len(first[b"lines"].split(b",")) == 6


def test_an_ack_for_a_mark_of_an_earlier_connection_is_not_counted_for_this_one(rig):
    """An earlier process may have used the same numbers for its marks, so an ack counts only for a sent mark."""
    sock = rig.proxy(3)
    rig.engine.run(rig.now)
    sock.sendall(message("done", node=3, nonce=1, latency=5) + message("hb"))
    rig.wait_until(lambda: rig.server.counts["messages_in"] == 3)
    assert not rig.events(api.Ack)
    assert rig.server.counts["stray_receipts"] == 1
    rig.advance(1)
    assert any(fields.get(b"ticket") == b"1" for fields in received_updates(sock))
    sock.sendall(message("done", node=3, nonce=1, latency=5) * 2 + message("hb"))  # only the first of the two counts
    rig.wait_until(lambda: rig.server.counts["messages_in"] == 6)
    assert len(rig.events(api.Ack)) == 1


@pytest.mark.parametrize("first", ["older", "newer"])
def test_two_connections_of_one_proxy_can_end_in_either_order(rig, first):
    older, newer = rig.proxy(3), rig.proxy(3)
    for sock in (older, newer) if first == "older" else (newer, older):
        sock.close()
    rig.wait_until(lambda: not rig.server.streams)
    assert not rig.engine.servers
    assert not rig.server.by_proxy
    assert not rig.engine.proxy_details
    again = rig.proxy(3)
    rig.advance(2)
    assert received_updates(again)[0][b"whole"] == b"1"


def test_pending_output_of_the_older_connection_never_reaches_the_newer(rig):
    """One update is half written and another pending: neither is sent on, and their marks are not acknowledged."""
    older = rig.proxy(3, buffer=4096)
    connection = rig.server.by_proxy[0]
    value = rig.engine.update_builder.store.put(1, 0, {task: 1.0 + task for task in range(6)})
    connection.unsent = b"*2\r\n$6\r\nassign"
    rig.server.write(0, ProxyUpdate(0, 1, rig.now, ((0, 3),), ((0, value),), (), 77))
    assert connection.pending_update is not None
    assert 77 not in connection.unacknowledged_marks
    newer = rig.proxy(3)
    rig.wait_until(lambda: len(rig.server.streams) == 1)
    assert connection.pending_update is None
    assert not connection.unsent
    newer.sendall(message("done", node=3, nonce=77, latency=5) + encode([b"hb"]))
    rig.wait_until(lambda: rig.server.counts["messages_in"] == 4)
    assert not rig.events(api.Ack)
    older.close()
