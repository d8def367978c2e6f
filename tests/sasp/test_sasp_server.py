"""Tests of the SASP server on loopback sockets, with well-behaved and misbehaving clients."""

import socket as plain
import time

import gevent
import pytest
from gevent import socket
from service_rig import GROUPS, wait_for

from hollyridge.sasp import codec
from hollyridge.sasp.client import Client, ConnectionLostError, LoadBalancerClient, MemberRegistrar, RefusedError
from hollyridge.sasp.codec import Code, Group, Member, MembersOf, WeightFlags

ALL = {g: {1, 2, 3, 4} for g in GROUPS}


def test_a_pushed_balancer_holds_the_table_and_loses_drained_tasks(rig):
    started_rig = rig()
    agent, gw = started_rig.agent(), started_rig.balancer()
    held, tables = started_rig.held_after(gw)
    assert held == ALL
    agent.quiesce([started_rig.members()[0]])
    held, tables = started_rig.held_after(gw, tables, 0.5)
    assert held == {g: {2, 3, 4} for g in GROUPS}
    agent.deregister([started_rig.members()[1]])
    assert started_rig.held_after(gw, tables, 0.5)[0] == {g: {3, 4} for g in GROUPS}
    other = started_rig.balancer("gw-2", zone=2)  # a load balancer that joins later gets none of the removed tasks
    assert started_rig.held_after(other)[0] == {g: {3, 4} for g in GROUPS}


def test_a_member_that_registers_itself_and_vanishes_is_removed(rig):
    started_rig = rig(roster__hold_own_s=0.3)
    started_rig.agent()
    gw = started_rig.balancer()
    registrar = started_rig.open(MemberRegistrar, "shelf", source="127.1.0.50")
    registrar.register([Member.at("127.1.0.50", 7, "me run=1 up=100")])
    held, tables = started_rig.held_after(gw, seconds=0.6)
    assert all(50 in hosts for hosts in held.values())
    registrar.close()
    assert started_rig.held_after(gw, tables, 1.0)[0] == ALL


def test_an_agent_that_reconnects_keeps_its_list(rig):
    started_rig = rig(roster__hold_agent_s=1)
    agent, gw = started_rig.agent(), started_rig.balancer()
    tables = started_rig.held_after(gw, seconds=0.5)[1]
    agent.close()
    gevent.sleep(0.4)
    started_rig.agent()
    held, _ = started_rig.held_after(gw, tables, 1.2)
    assert held == ALL
    assert started_rig.engine.endpoint_source.reconnections == 4
    assert not started_rig.engine.endpoint_source.restarts


def test_a_balancer_that_polls_once_gets_a_table_and_is_closed(rig):
    started_rig = rig()
    started_rig.agent()
    gw = started_rig.open(LoadBalancerClient, "gw-1", source="127.1.0.200")
    reply = gw.weights(GROUPS)
    assert reply.interval == 1
    assert {len(row.weights) for row in reply.groups} == {4}
    assert len(started_rig.protocol_server.by_proxy) == 1
    with pytest.raises(ConnectionLostError):
        gw._read(4)
    assert not started_rig.protocol_server.by_proxy
    assert not started_rig.engine.servers


def test_a_balancer_that_keeps_polling_stays_and_sees_a_drain(rig):
    started_rig = rig(promises__drain_grace_s=3)
    agent = started_rig.agent()
    gw = started_rig.open(LoadBalancerClient, "gw-1", source="127.1.0.200")
    gw.weights(GROUPS)
    agent.quiesce([started_rig.members()[0]])
    gevent.sleep(1.0)
    (row, *_) = gw.weights(GROUPS).groups
    assert {w.member.host: w.weight > 0 for w in row.weights if w.flags & WeightFlags.QUIESCE}.get(
        "127.1.0.1"
    ) is not True
    gevent.sleep(1.5)
    assert gw.weights(GROUPS).code == Code.OK
    assert len(started_rig.engine.servers) == 1
    with pytest.raises(RefusedError):
        for _ in range(30):
            gw.weights(GROUPS)
    assert started_rig.protocol_server.counts["asked_too_often"] == 1


def test_a_balancer_that_reads_nothing_does_not_delay_others(rig):
    started_rig = rig(sasp__send_buffer_bytes=4096, proxies__tasks_most=400, channel__messages_most=200)
    agent = started_rig.agent(tasks=4)
    slow, quick = (
        started_rig.open(LoadBalancerClient, "slow", source="127.1.0.201"),
        started_rig.balancer("quick", zone=2),
    )
    slow.sock.setsockopt(plain.SOL_SOCKET, plain.SO_RCVBUF, 2048)
    slow.start(GROUPS)
    tables = started_rig.held_after(quick, seconds=0.4)[1]
    many_members = [Member.at(f"127.3.1.{k}", 9000, "run=a up=100") for k in range(1, 200)]
    for _ in range(8):
        agent.register(many_members)
        tables = started_rig.held_after(quick, tables, 0.25)[1]
        agent.deregister(many_members)
        held, tables = started_rig.held_after(quick, tables, 0.25)
    for _ in range(20):  # the reading balancer receives every change
        held, tables = (held, tables) if held == ALL else started_rig.held_after(quick, tables, 0.25)
    assert held == ALL
    assert wait_for(lambda: "slow" not in started_rig.engine.proxy_indices.index)
    assert "quick" in started_rig.engine.proxy_indices.index


def test_quiesce_between_a_computed_and_a_sent_table(rig):
    started_rig = rig(channel__lines_per_s=15, channel__most_waiting=2000, channel__worst_transit_s=1)
    agent, gw = started_rig.agent(), started_rig.balancer()  # the channel takes a second to send the table
    assert wait_for(lambda: started_rig.engine.queue.waiting_lines, 0.9)
    agent.quiesce([started_rig.members()[0]])
    first = gw.receive(5)[1]
    entries = [w for row in first.groups for w in row.weights]
    closed = [w for w in entries if w.member.host == "127.1.0.1"]  # usually the message has no entry for it
    assert len(entries) > len(closed)
    assert all(w.weight == 0 and w.flags & WeightFlags.QUIESCE for w in closed)


MALFORMED = [
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"\0" * 64,
    codec.encode(1, codec.SendWeights(())),
    codec.encode(1, codec.GetWeights(()))[:5] + b"\x7f\xff\xff\xff" + b"x" * 100,
]


@pytest.mark.parametrize("raw", MALFORMED)
def test_a_malformed_frame_closes_its_own_connection_only(rig, raw):
    started_rig = rig()
    started_rig.agent()
    gw, bad = started_rig.balancer(), started_rig.raw()
    bad.sendall(raw)
    assert bad.recv(100) == b""
    assert started_rig.held_after(gw)[0] == ALL
    assert started_rig.protocol_server.counts["bad_frames"] == 1


def test_connections_end_after_half_a_frame_silence_or_slow_bytes(rig):
    started_rig = rig(sasp__frame_s=0.5, sasp__hello_s=0.5)
    half, silent, slow = started_rig.raw(), started_rig.raw(), started_rig.raw()
    half.sendall(MALFORMED[2][:10])
    started = time.monotonic()
    frame = codec.encode(1, codec.SetBalancer("x" * 60, 0, 0))
    with pytest.raises(OSError):
        for byte in frame:
            slow.sendall(bytes((byte,)))
            gevent.sleep(0.05)
        raise (
            OSError("the server kept reading the slow frame")
            if not started_rig.protocol_server.counts["closed"]
            else OSError
        )
    assert half.recv(10) == b""
    assert silent.recv(10) == b""
    assert time.monotonic() - started < 6
    assert not started_rig.protocol_server.streams


BAD_REQUESTS = [
    # (client class, request, return code of the reply)
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
    ),  # an address in no zone
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


@pytest.mark.parametrize(("client_class", "message", "code"), BAD_REQUESTS)
def test_invalid_requests_get_their_return_code(rig, client_class, message, code):
    started_rig = rig()
    started_rig.agent()
    client = started_rig.open(client_class, source="127.1.0.200")
    assert client.call(message).code == code
    assert len(started_rig.engine.endpoint_source.entries) == 4


def test_another_uid_is_refused_and_a_newer_connection_of_one_uid_takes_over(rig):
    started_rig = rig()
    agent, first = started_rig.agent(), started_rig.balancer()
    with pytest.raises(RefusedError) as refused:
        first.weights(())
        first.call_checked(codec.GetWeights((Group("gw-2", "read-chapter"),)))
    assert refused.value.code == Code.UNKNOWN_BALANCER
    second = started_rig.balancer()  # the same UID on a newer stream
    assert started_rig.held_after(second)[0] == ALL
    with pytest.raises(ConnectionLostError):
        while first.receive(1):
            pass
    assert len(started_rig.engine.servers) == 1
    other = started_rig.open(MemberRegistrar, "shelf")
    with pytest.raises(RefusedError):
        other.deregister([started_rig.members()[0]])  # the agent registered this member
    agent.deregister([started_rig.members()[0]])


def test_a_storm_of_connects_leaves_other_balancers_their_tables(rig):
    started_rig = rig(sasp__connections_most=300, sasp__connects_per_s=400)
    started_rig.agent()
    gw = started_rig.balancer()
    attempts = []
    for _ in range(1000):
        attempts.append(gevent.spawn(socket.create_connection, ("127.0.0.1", started_rig.sasp), 2, ("127.9.0.1", 0)))
    held, _ = started_rig.held_after(gw, seconds=1.5)
    assert held == ALL
    assert started_rig.protocol_server.counts["refused"] > 300
    assert len(started_rig.protocol_server.streams) <= 300
    for attempt in attempts:
        if attempt.successful():
            attempt.value.close()
    gevent.sleep(0.2)
    assert started_rig.held_after(started_rig.balancer("gw-2", zone=2))[0] == ALL


def test_a_step_of_the_wall_clock_has_no_effect(rig, monkeypatch):
    started_rig = rig()
    started_rig.agent()
    gw = started_rig.balancer()
    started_rig.held_after(gw)
    real, real_ns = time.time, time.time_ns
    before = dict(started_rig.engine.counts)
    for hours in (1, -1):
        monkeypatch.setattr(time, "time", lambda hours=hours: real() + 3600 * hours)
        monkeypatch.setattr(time, "time_ns", lambda hours=hours: real_ns() + 3600 * 10**9 * hours)
        assert gw.receive(0.7) is None
    assert started_rig.engine.counts["messages"] == before["messages"]
    assert len(started_rig.engine.servers) == 1


def test_requests_of_an_agent_that_has_left_are_not_handled_afterwards(rig):
    # Guards against a registration that waits for its turn, takes members from the agent's newer connection, and ends.
    started_rig = rig(roster__hold_agent_s=0.5)
    members = MembersOf(Group("shelf", "members"), tuple(started_rig.members()))
    group = started_rig.open(MemberRegistrar, "shelf").group
    leaving = started_rig.raw()
    leaving.sendall(codec.encode(1, codec.Register(False, (members._replace(group=group),))) * 200)
    assert wait_for(lambda: started_rig.protocol_server.counts["frames_in"] >= 100)
    leaving.close()
    started_rig.agent()
    gw = started_rig.balancer()
    held, _ = started_rig.held_after(gw, seconds=3.5)
    assert held == ALL
    assert started_rig.protocol_server.counts["frames_in"] < 200


def test_members_whose_index_was_reused_are_forgotten(rig):
    # Guards against memory that grows with every address that ever registered.
    started_rig = rig(proxies__tasks_most=2)
    agent = started_rig.open(MemberRegistrar, "shelf")
    for number in range(50):
        member = Member.at("127.1.0.1", 9000 + number, f"t run={number} up=100")
        agent.register([member])
        agent.deregister([member])
        started_rig.engine.task_indices.released = {
            name: released._replace(until_us=0) for name, released in started_rig.engine.task_indices.released.items()
        }
    requests = started_rig.protocol_server.member_requests
    assert len(requests.registered_by_balancer) <= len(requests.by_task) <= 4
