"""Clients of a shared fleet, with and without numbered requests, and forwarding in SASP."""

import os

import gevent
import pytest
import structlog
import zmq.green as zmq
from assigner_fleet import EXAMPLES, METHODS, wait_for
from gevent import socket

from hollyridge.chp import codec as chp
from hollyridge.client import ChpGateway, SaspGateway
from hollyridge.lab.stand_ins.ports import free_port, free_ports
from hollyridge.membership.rendezvous import preferred_owner
from hollyridge.sasp import ownership_extension
from hollyridge.sasp.client import LoadBalancerClient, MemberRegistrar, RefusedError
from hollyridge.sasp.codec import Member
from hollyridge.service import Service
from hollyridge.settings import assigner


def test_clients_without_tokens_are_served_by_any_assigner(fleet):
    fleet.wait_until_joined()
    old_client = LoadBalancerClient(
        ("127.0.0.1", fleet.ports[1][0]), "old-sasp", source="127.1.0.200", connect=socket.create_connection
    )
    old_client.start(METHODS)
    received = old_client.receive(3)
    assert received
    assert all(group.name != ownership_extension.GROUP_NAME for group, _ in received[1].groups)
    dealer = zmq.Context.instance().socket(zmq.DEALER)
    dealer.identity, dealer.linger = b"\x01" + os.urandom(12), 0
    dealer.connect(f"tcp://127.1.0.201:0;127.0.0.1:{fleet.ports[2][2]}")
    dealer.send_multipart(chp.encode(chp.Icanhaz("/proxy/old-clone/")))
    assert wait_for(lambda: fleet.owners("old-clone") == [2])
    assert fleet.owners("old-sasp") == [1]
    assert fleet.services[2].peers.lease_manager.fencing_token("old-clone") == 0
    dealer.close()
    old_client.close()


def test_clients_with_tokens_are_served_by_an_assigner_that_shares_no_fleet(tmp_path):
    """The assigner refuses the group of the request and sends no tokens; clients without a token must accept that."""
    ports = free_port(), free_port(), free_ports(3)
    service = Service(
        assigner.load(
            EXAMPLES / "loopback.ini",
            {
                ("sasp", "listen"): f"127.0.0.1:{ports[0]}",
                ("otlp", "listen"): f"127.0.0.1:{ports[1]}",
                ("clone", "listen"): f"127.0.0.1:{ports[2]}",
                ("roster", "settle_s"): "0.1",
            },
        ),
        structlog.get_logger(),
    )
    service.start()
    job = gevent.spawn(service.run)
    agent = MemberRegistrar(("127.0.0.1", ports[0]), "shelf", connect=socket.create_connection)
    agent.register([Member.at("127.1.0.1", 9000, "t run=a up=100")])
    sasp_client = SaspGateway(
        ("127.0.0.1", ports[0]),
        "gw",
        METHODS,
        sleep=gevent.sleep,
        client_options=dict(source="127.1.0.9", connect=socket.create_connection),
    )
    chp_client = ChpGateway(
        ("127.0.0.1", ports[2]), "gx", METHODS, sleep=gevent.sleep, client_options=dict(source="127.1.0.9", zmq=zmq)
    )
    jobs = [gevent.spawn(gateway.run) for gateway in (sasp_client, chp_client)]
    assert wait_for(lambda: sasp_client.table_for("read-chapter") and chp_client.table_for("read-chapter"))
    assert sasp_client.fencing.accepted_token == chp_client.fencing.accepted_token == 0
    for gateway in (sasp_client, chp_client):
        gateway.stop()
    gevent.sleep(0.1)
    gevent.killall(jobs)
    agent.close()
    service.stop()
    job.join(2)


def test_sasp_forwards_to_the_owner_and_serves_a_fallback_request(fleet):
    fleet.wait_until_joined()
    uid = next(f"q-{k}" for k in range(99) if preferred_number(fleet, f"q-{k}") == 2)
    forwarded = LoadBalancerClient(
        ("127.0.0.1", fleet.ports[0][0]), uid, source="127.1.0.200", connect=socket.create_connection
    )
    with pytest.raises(RefusedError):
        forwarded.start(METHODS, number=5)
    redirected = ownership_extension.read_reply(forwarded.pushed[0][1].groups)
    assert redirected == ownership_extension.Redirected(f"127.0.0.1:{fleet.ports[2][0]}")
    forwarded.close()
    fallback = LoadBalancerClient(
        ("127.0.0.1", fleet.ports[0][0]), uid, source="127.1.0.200", connect=socket.create_connection
    )
    fallback.start(METHODS, number=6, insist=True)
    first = fallback.receive(3)[1].groups
    assert ownership_extension.read_reply(first).fence == 6
    assert any(row.group.name in METHODS for row in first)
    assert not any(
        entry.weight for row in first if row.group.name == ownership_extension.GROUP_NAME for entry in row.weights
    )
    fallback.close()


def preferred_number(fleet, uid):
    return int(preferred_owner(uid, "abdali", fleet.services[0].peers.lease_manager.members)[1:])


@pytest.mark.parametrize("name", [".owner/0/0", ".owner/x/0", ".owner/5/2", ".owner/5", f".owner/{10**20}/0"])
def test_invalid_lease_requests_are_ignored(name):
    assert ownership_extension.read_request(name) is None
