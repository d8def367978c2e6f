"""Assigners that share a fleet, on loopback sockets."""

import socket as plain
from pathlib import Path

import gevent
import structlog
import zmq.green as zmq
from gevent import socket
from service_rig import wait_for

from hollyridge.client import ChpGateway, SaspGateway
from hollyridge.lab.stand_ins.ports import free_port, free_ports
from hollyridge.sasp.client import MemberRegistrar
from hollyridge.sasp.codec import Member
from hollyridge.service import Service
from hollyridge.settings import assigner

EXAMPLES = Path(__file__).parents[2] / "examples"
KEY = bytes(range(32))
METHODS = ["read-chapter", "unlock-chapter", "redeem-code"]
CHP_PORTS = 3  # consecutive ports of the CHP server of one assigner


def draw_ports(count):
    """Return the SASP, OTLP, first CHP and UDP port of each assigner, without overlaps between TCP ports.

    `free_port` and `free_ports` do not hold the ports that they find, so that two draws may find the same port. All
    ports are then drawn again.
    """
    while True:
        ports = [(free_port(), free_port(), free_ports(CHP_PORTS), free_port(plain.SOCK_DGRAM)) for _ in range(count)]
        tcp_ports = [port for sasp, otlp, chp, _ in ports for port in (sasp, otlp, *range(chp, chp + CHP_PORTS))]
        if len(set(tcp_ports)) == len(tcp_ports):
            return ports


class AssignerFleet:
    """A fleet shared by several assigners on loopback sockets, with their agents and clients."""

    def __init__(self, folder, count=3):
        self.folder = folder
        self.count = count
        (folder / "fleet.key").write_text(KEY.hex())
        self.ports = draw_ports(count)
        self.seeds = ", ".join(f"127.0.0.1:{ports[3]}" for ports in self.ports)
        self.services = [None] * count
        self.jobs = [None] * count
        self.clients = []
        self.agents = {}
        for number in range(count):
            self.start(number)

    def start(self, number):
        sasp, otlp, chp, peers = self.ports[number]
        overrides = {
            ("sasp", "listen"): f"127.0.0.1:{sasp}",
            ("otlp", "listen"): f"127.0.0.1:{otlp}",
            ("clone", "listen"): f"127.0.0.1:{chp}",
            ("clone", "beat_ms"): "200",
            ("assigner", "name"): f"a{number}",
            ("assigner", "report_period_s"): "0.2",
            ("assigner", "assigners"): str(self.count),
            ("roster", "settle_s"): "0.1",
            ("peers", "listen"): f"127.0.0.1:{peers}",
            ("peers", "seeds"): self.seeds,
            ("peers", "key"): str(self.folder / "fleet.key"),
            ("peers", "round_trip_ms"): "10",
            ("peers", "lease_s"): "1.5",
            ("peers", "settle_s"): "0.5",
        }
        service = self.services[number] = Service(
            assigner.load(EXAMPLES / "loopback.ini", overrides), structlog.get_logger()
        )
        service.start()
        self.jobs[number] = gevent.spawn(service.run)
        agent = self.agents[number] = MemberRegistrar(("127.0.0.1", sasp), "shelf", connect=socket.create_connection)
        agent.register([Member.at(f"127.{1 + k % 3}.0.{k + 1}", 9000, f"t{k} run=a up=100") for k in range(4)])

    def kill(self, number):
        """Stop an assigner without an announcement to its peers."""
        service = self.services[number]
        self.services[number] = None
        service.peers.leave = lambda: None
        service.peers.stopped = True
        service.stop()
        self.jobs[number].join(2)

    def gateway(self, gateway_class, uid, zone=1, **options):
        port_index = {ChpGateway: 2, SaspGateway: 0}[gateway_class]
        addresses = [("127.0.0.1", ports[port_index]) for ports in self.ports]
        connection_options = dict(
            source=f"127.{zone}.0.200", **({"zmq": zmq} if port_index else {"connect": socket.create_connection})
        )
        client = gateway_class(
            addresses, uid, METHODS, client_options=connection_options, sleep=gevent.sleep, **options
        )
        client.job = gevent.spawn(client.run)
        self.clients.append(client)
        return client

    def owners(self, uid):
        return [
            k
            for k, service in enumerate(self.services)
            if service is not None and uid in service.peers.lease_manager.held
        ]

    def owned_once(self, uids):
        return all(len(self.owners(uid)) == 1 for uid in uids)

    def wait_until_joined(self):
        assert wait_for(
            lambda: all(len(service.peers.swim.alive_members()) == self.count - 1 for service in self.services)
        )

    def stop(self):
        for client in self.clients:
            client.stop()
        gevent.sleep(0.1)
        gevent.killall([client.job for client in self.clients])
        for agent in self.agents.values():
            agent.close()
        for service, job in zip(self.services, self.jobs):
            if service is not None:
                service.stop()
                job.join(2)
