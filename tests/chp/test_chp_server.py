"""Tests of the CHP server and its client library on real sockets."""

import gevent
import pytest
import zmq.green as zmq
from chp_rig import hosts, open_gateway, start_chp_rig
from service_rig import GROUPS, wait_for

from hollyridge.chp import codec
from hollyridge.client import GatewayState, SaspGateway
from hollyridge.sasp.codec import Member


def test_sasp_and_chp_gateways_hold_the_same_tables_and_see_a_drain(rig):
    started_rig = start_chp_rig(rig)
    agent, chp_gateway = started_rig.agent(), open_gateway(started_rig)
    sasp_gateway = SaspGateway(
        ("127.0.0.1", started_rig.sasp),
        "gw-s",
        list(GROUPS),
        sleep=gevent.sleep,
        receive_s=0.2,
        client_options=dict(source="127.1.0.78", connect=gevent.socket.create_connection),
    )
    sasp_gateway.job, sasp_gateway.close = gevent.spawn(sasp_gateway.run), sasp_gateway.stop
    started_rig.clients.append(sasp_gateway)
    assert wait_for(lambda: hosts(sasp_gateway) == hosts(chp_gateway) == {1, 2, 3, 4})
    for gateway in (sasp_gateway, chp_gateway):
        assert gateway.state == GatewayState.FRESH
        assert gateway.pick("read-chapter") in gateway.table_for("read-chapter")
    shares = [
        {t: w / max(g.table_for("redeem-code").values()) for t, w in g.table_for("redeem-code").items()}
        for g in (sasp_gateway, chp_gateway)
    ]
    assert shares[0] == pytest.approx(shares[1], abs=1e-3)
    held = chp_gateway.table_for("read-chapter")
    agent.quiesce([started_rig.members()[0]])
    assert wait_for(lambda: hosts(sasp_gateway) == hosts(chp_gateway) == {2, 3, 4}, 1.0)
    assert len(held) == 4  # a reader that is picking a task keeps its table unchanged


def test_admission_is_acknowledged_and_a_silent_proxy_is_cut(rig):
    started_rig = start_chp_rig(rig)
    started_rig.agent()
    gateway = open_gateway(started_rig)
    assert wait_for(lambda: hosts(gateway))
    acknowledged = []
    acknowledge = started_rig.engine.acknowledge
    started_rig.engine.acknowledge = lambda now, proxy, mark, delay: (
        acknowledged.append(mark),
        acknowledge(now, proxy, mark, delay),
    )
    from hollyridge import interface as api

    started_rig.engine.apply_commands(started_rig.engine.decision_number, started_rig.service.loop.clock(), [])
    started_rig.engine.decision_number += 1
    now = started_rig.service.loop.clock()
    started_rig.engine.apply_commands(now, now, [api.SetAdmission(0, 0, 0.5, 1), api.RequestAck(77, False)])
    started_rig.service.loop.wake()
    assert wait_for(lambda: gateway.level_for("redeem-code") == (0.5, 1), 2)
    assert wait_for(lambda: 77 in acknowledged, 2)
    gateway.stop()
    assert wait_for(lambda: not started_rig.engine.servers, 4)
    assert started_rig.clone.counts["cut"] == 1


def test_an_ejected_task_is_in_no_table_until_it_returns(rig):
    from hollyridge import interface as api

    started_rig = start_chp_rig(rig)
    started_rig.agent()
    gateway = open_gateway(started_rig)
    assert wait_for(lambda: hosts(gateway) == {1, 2, 3, 4})
    for ejected, expected in ((True, {2, 3, 4}), (False, {1, 2, 3, 4})):
        started_rig.engine.decision_number += 1
        now = started_rig.service.loop.clock()
        started_rig.engine.apply_commands(now, now, [api.SetEjected(0, ejected)])
        started_rig.service.loop.wake()
        assert wait_for(lambda expected=expected: hosts(gateway) == expected, 2)
    late = open_gateway(started_rig, "late")
    assert wait_for(lambda: hosts(late) == {1, 2, 3, 4})


def test_an_assigner_that_restarts_with_smaller_numbers_is_followed(rig):
    started_rig = start_chp_rig(rig)
    started_rig.agent()
    gateway = open_gateway(started_rig)
    assert wait_for(lambda: hosts(gateway) == {1, 2, 3, 4})
    port = started_rig.clone.config.port
    started_rig.service.stop()
    started_rig.job.join(2)
    assert wait_for(lambda: gateway.state == GatewayState.STALE, 2)
    assert hosts(gateway) == {1, 2, 3, 4}
    gevent.sleep(1)
    assert hosts(gateway) == {1, 2, 3, 4}
    assert 1 < gateway.age < 5
    restarted = rig(clone__listen=f"127.0.0.1:{port}", clone__beat_ms=100)
    restarted.agent(tasks=2)
    assert wait_for(lambda: hosts(gateway) == {1, 2}, 8)
    assert gateway.state == GatewayState.FRESH
    assert gateway.client.replicas[gateway.client.home].head.seq < 50


def test_a_subscriber_that_never_reads_is_cut_and_does_not_delay_others(rig):
    started_rig = start_chp_rig(rig, clone__waiting_most=450, proxies__tasks_most=400)
    agent, quick = started_rig.agent(), open_gateway(started_rig, "quick", zone=2)
    stuck = open_gateway(started_rig, "stuck")
    assert wait_for(lambda: hosts(quick) == hosts(stuck) == {1, 2, 3, 4})
    stuck.before_update = lambda lines: gevent.sleep(30)
    many_members = started_rig.members(4) + [
        m._replace(port=p) for m in started_rig.members(4) for p in range(9001, 9030)
    ]
    for _ in range(6):
        agent.register(many_members)
        gevent.sleep(0.4)
        agent.deregister(many_members[4:])
        gevent.sleep(0.4)

    def settled():  # the engine may delay removals briefly to batch them
        newest = {
            started_rig.service.task_name(task) for task in started_rig.engine.update_builder.store.latest(1).lines
        }
        return len(newest) <= 4 and set(quick.table_for("read-chapter")) == newest

    assert wait_for(settled, 8)
    assert wait_for(lambda: "stuck" not in started_rig.clone.sessions.by_uid, 4)
    assert "quick" in started_rig.clone.sessions.by_uid


def test_a_snapshot_larger_than_the_send_queue_arrives_during_changes(rig):
    started_rig = start_chp_rig(rig, clone__waiting_most=101, proxies__tasks_most=100)
    started_rig.engine.endpoint_source.registration_config, started_rig.engine.task_indices.max_indices = (
        started_rig.engine.endpoint_source.registration_config._replace(max_members=1000),
        1000,
    )
    agent = started_rig.agent()
    many_members = [Member.at(f"127.{1 + k % 3}.2.{k // 3}", 9000, "run=a up=100") for k in range(300)]
    agent.register(many_members)
    assert wait_for(lambda: len(started_rig.engine.endpoint_source.entries) == 304)
    gateway = open_gateway(started_rig)
    for k in range(20):
        agent.quiesce([many_members[k]])
        gevent.sleep(0.05)

    def newest():
        lines = started_rig.engine.update_builder.store.latest(0).lines
        return {started_rig.service.task_name(task) for task in lines if not started_rig.engine.is_closed(task)}

    assert wait_for(lambda: len(newest()) > 101 and set(gateway.table_for("read-chapter")) == newest(), 8)


def test_a_drain_arrives_while_a_hundred_join_in_a_second(rig):
    started_rig = start_chp_rig(
        rig, channel__lines_per_s=1500, channel__most_waiting=3000, promises__drain_grace_s=3, clone__beat_ms=500
    )
    agent, first = started_rig.agent(), open_gateway(started_rig)
    assert wait_for(lambda: hosts(first) == {1, 2, 3, 4})
    gateways = [open_gateway(started_rig, f"gw-{k}", zone=1 + k % 3) for k in range(100)]
    gevent.sleep(0.1)
    agent.quiesce([started_rig.members()[0]])
    assert wait_for(lambda: 1 not in hosts(first), 2.0)
    assert wait_for(lambda: all(hosts(g) == {2, 3, 4} for g in gateways), 10)


def test_malformed_messages_are_counted_and_have_no_other_effect(rig):
    started_rig = start_chp_rig(rig)
    started_rig.agent()
    gateway = open_gateway(started_rig)
    context = zmq.Context()
    dealer, push = context.socket(zmq.DEALER), context.socket(zmq.PUSH)
    for offset, sock in ((0, dealer), (2, push)):
        sock.linger = 0
        sock.connect(f"tcp://127.0.0.1:{started_rig.clone.config.port + offset}")
    for parts in (
        [b"ICANHAZ?", b"/"],
        [b"ICANHAZ?", b"/table/0/"],
        [b"what"],
        [b"ICANHAZ?", b"/proxy//"],
        [b"ICANHAZ?", b"/proxy/" + b"x" * 100 + b"/"],
        [b"\xff"] * 5,
    ):
        dealer.send_multipart(parts)
        push.send_multipart(parts)
    push.send_multipart(codec.encode(codec.Kvset("/table/0/line/127.9.9.9:1", b"u" * 16, "", b'{"w":9}')))
    push.send_multipart(codec.encode(codec.Kvset("/proxy/gw-c/ack", b"u" * 16, "", b'{"seqs":{"/table/0/":99}}')))
    assert wait_for(lambda: started_rig.clone.counts["bad"] >= 9, 2)
    assert wait_for(lambda: hosts(gateway) == {1, 2, 3, 4})
    dealer.close()
    push.close()
