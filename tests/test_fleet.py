"""A shared fleet: packets under a key, three assigners on loopback sockets, takeovers simulated."""

import os
import socket as plain
from pathlib import Path
from random import Random

import gevent
import pytest
import structlog
import zmq.green as zmq
from click.testing import CliRunner
from gevent import socket
from service_rig import wait_for

from hollyridge.chp import codec as clone
from hollyridge.cli.main import main
from hollyridge.client import ChpGateway, SaspGateway
from hollyridge.lab.checks import ownership
from hollyridge.lab.experiments import takeover
from hollyridge.lab.stand_ins.live import free_port, free_ports
from hollyridge.membership.messages import ClaimedProxies, GossipMessage, Join, MemberFacts, Ping
from hollyridge.membership.rendezvous import preferred_owner
from hollyridge.peers.codec import HEAD, MOST, PacketGuard, PeerError
from hollyridge.sasp import ownership_extension
from hollyridge.sasp.client import LoadBalancerClient, MemberRegistrar, RefusedError
from hollyridge.sasp.codec import Member
from hollyridge.service import Service
from hollyridge.settings import assigner
from hollyridge.settings.ini import FaultsError

EXAMPLES = Path(__file__).parent.parent / "examples"
KEY = bytes(range(32))
METHODS = ["read-chapter", "unlock-chapter", "redeem-code"]


# Packets.


def acquainted():
    a, b = (PacketGuard(KEY, name, Random(name).randbytes) for name in "ab")
    for one, other in ((a, b), (b, a)):
        other.open(one.open(other.open(one.seal(Join(()))).answer).answer)
    return a, b


def test_a_packet_is_heard_once_and_only_by_who_has_the_key():
    a, b = acquainted()
    raw = a.seal(Ping(1, "b", (GossipMessage("a", 0, 3, MemberFacts("127.0.0.1:1", "r")),)))
    assert b.open(raw).message.updates[0].facts.address == "127.0.0.1:1"
    with pytest.raises(PeerError, match="come before"):
        b.open(raw)
    stranger = PacketGuard(bytes(32), "c", os.urandom)
    for guard, packet in ((stranger, a.seal(Join(()))), (b, stranger.seal(Join(())))):
        with pytest.raises(PeerError):
            guard.open(packet)
    with pytest.raises(PeerError):
        a.open(a.seal(Join(())))  # its own, come back
    with pytest.raises(ValueError):
        PacketGuard(b"short", "a", os.urandom)


def test_what_was_recorded_of_an_older_run_is_not_heard():
    a, b = acquainted()
    old = [a.seal(ClaimedProxies((("gw", 7),), True)) for _ in range(3)]
    b.open(old[0])
    later = PacketGuard(KEY, "b", Random("b2").randbytes)  # b starts again and has seen nothing
    for raw in old:
        opened = later.open(raw)
        assert opened.message is None and opened.answer
    assert later.counts["opened"] == 0


@pytest.mark.parametrize(
    "spoil",
    [
        lambda raw: raw[:-1],
        lambda raw: raw[: HEAD.size],
        lambda raw: b"",
        lambda raw: b"HRP9" + raw[4:],
        lambda raw: raw[:30] + bytes([raw[30] ^ 1]) + raw[31:],
        lambda raw: raw + b"x" * MOST,
        lambda raw: raw[:20] + b"\xff" * 8 + raw[28:],
    ],
)
def test_spoilt_packets_are_refused(spoil):
    a, b = acquainted()
    with pytest.raises(PeerError):
        b.open(spoil(a.seal(Ping(1, "b", ()))))
    assert b.open(a.seal(Ping(2, "b", ()))).message


def test_packets_with_other_things_inside():
    a, b = acquainted()
    for inside in (b"", b"\x93\x63\xa1a\x90", b"\x93\x02\xa1a\x93\x01\x02\x03", b"\x93\x02\xa1b\x93\x01\xa1b\x90"):
        a.number += 1
        head = HEAD.pack(b"HRP1", a.run, a.number)
        with pytest.raises(PeerError):
            b.open(head + a.box.encrypt(a.nonce(a.number), inside, head))


# Three assigners on sockets.


class Three:
    def __init__(self, folder, count=3):
        self.folder, self.count = folder, count
        (folder / "fleet.key").write_text(KEY.hex())
        self.ports = [(free_port(), free_port(), free_ports(3), free_port(plain.SOCK_DGRAM)) for _ in range(count)]
        self.seeds = ", ".join(f"127.0.0.1:{ports[3]}" for ports in self.ports)
        self.services, self.jobs, self.clients, self.agents = [None] * count, [None] * count, [], {}
        for number in range(count):
            self.start(number)

    def start(self, number):
        sasp, otlp, pub, udp = self.ports[number]
        quick = {
            ("sasp", "listen"): f"127.0.0.1:{sasp}",
            ("otlp", "listen"): f"127.0.0.1:{otlp}",
            ("clone", "listen"): f"127.0.0.1:{pub}",
            ("clone", "beat_ms"): "200",
            ("assigner", "name"): f"a{number}",
            ("assigner", "report_period_s"): "0.2",
            ("assigner", "assigners"): str(self.count),
            ("roster", "settle_s"): "0.1",
            ("peers", "listen"): f"127.0.0.1:{udp}",
            ("peers", "seeds"): self.seeds,
            ("peers", "key"): str(self.folder / "fleet.key"),
            ("peers", "round_trip_ms"): "10",
            ("peers", "lease_s"): "1.5",
            ("peers", "settle_s"): "0.5",
        }
        service = self.services[number] = Service(
            assigner.load(EXAMPLES / "loopback.ini", quick), structlog.get_logger()
        )
        service.start()
        self.jobs[number] = gevent.spawn(service.run)
        agent = self.agents[number] = MemberRegistrar(("127.0.0.1", sasp), "shelf", connect=socket.create_connection)
        agent.register([Member.at(f"127.{1 + k % 3}.0.{k + 1}", 9000, f"t{k} run=a up=100") for k in range(4)])

    def kill(self, number):
        """Without a word to anybody."""
        service, self.services[number] = self.services[number], None
        service.fleet.leave = lambda: None
        service.fleet.stopped = True
        service.stop()
        self.jobs[number].join(2)

    def gateway(self, kind, uid, zone=1, **how):
        at = {ChpGateway: 2, SaspGateway: 0}[kind]
        addresses = [("127.0.0.1", ports[at]) for ports in self.ports]
        link = dict(source=f"127.{zone}.0.200", **({"zmq": zmq} if at else {"connect": socket.create_connection}))
        one = kind(addresses, uid, METHODS, how=link, sleep=gevent.sleep, **how)
        one.job = gevent.spawn(one.run)
        self.clients.append(one)
        return one

    def owners(self, uid):
        return [
            k
            for k, service in enumerate(self.services)
            if service is not None and uid in service.fleet.lease_manager.held
        ]

    def owned_once(self, uids):
        return all(len(self.owners(uid)) == 1 for uid in uids)

    def meet(self):
        assert wait_for(lambda: all(len(s.fleet.swim.alive()) == self.count - 1 for s in self.services))

    def stop(self):
        for one in self.clients:
            one.stop()
        gevent.sleep(0.1)
        gevent.killall([one.job for one in self.clients])
        for agent in self.agents.values():
            agent.close()
        for service, job in zip(self.services, self.jobs):
            if service is not None:
                service.stop()
                job.join(2)


@pytest.fixture
def three(tmp_path):
    fleet = Three(tmp_path)
    yield fleet
    fleet.stop()


def test_each_proxy_has_one_owner_and_another_soon_after_it_died(three):
    three.meet()
    gateways = {f"gw-{k}": three.gateway((ChpGateway, SaspGateway)[k % 2], f"gw-{k}", 1 + k % 3) for k in range(8)}
    assert wait_for(lambda: all(g.table_for("read-chapter") for g in gateways.values()))
    assert three.owned_once(gateways)
    before = {uid: three.owners(uid)[0] for uid in gateways}
    held = {uid: dict(g.table_for("read-chapter")) for uid, g in gateways.items()}
    dead = max(range(3), key=list(before.values()).count)
    three.kill(dead)
    assert all(dict(g.table_for("read-chapter")) == held[uid] for uid, g in gateways.items())
    assert wait_for(lambda: three.owned_once(gateways), 8)
    assert {uid for uid, k in before.items() if k != dead} == {
        uid for uid, k in before.items() if three.owners(uid) == [k]
    }  # nobody else moved
    assert all(g.judge.accepted_token for g in gateways.values())
    three.start(dead)  # and under the same name it gets its own back, in steps
    assert wait_for(lambda: three.owned_once(gateways) and {u: three.owners(u)[0] for u in gateways} == before, 12)
    assert wait_for(lambda: not any(s.fleet.status()["disagreements"] for s in three.services))


def test_a_drained_assigner_hands_over_all_and_leaves(three):
    three.meet()
    uids = [f"gw-{k}" for k in range(6)]
    gateways = [three.gateway((ChpGateway, SaspGateway)[k % 2], uid) for k, uid in enumerate(uids)]
    assert wait_for(lambda: three.owned_once(uids) and all(g.table_for("redeem-code") for g in gateways))
    busy = max(range(3), key=[three.owners(uid)[0] for uid in uids].count)
    three.services[busy].fleet.drain()
    assert wait_for(lambda: three.owned_once(uids) and not three.services[busy].fleet.lease_manager.held, 8)
    assert three.services[busy].fleet.status()["drains"]


def test_clients_that_know_no_owners_are_taken_by_whoever_they_ask(three):
    three.meet()
    old = LoadBalancerClient(
        ("127.0.0.1", three.ports[1][0]), "old-sasp", source="127.1.0.200", connect=socket.create_connection
    )
    old.start(METHODS)
    got = old.receive(3)
    assert got and all(group.name != ownership_extension.GROUP_NAME for group, _ in got[1].groups)
    dealer = zmq.Context.instance().socket(zmq.DEALER)
    dealer.identity, dealer.linger = b"\x01" + os.urandom(12), 0
    dealer.connect(f"tcp://127.1.0.201:0;127.0.0.1:{three.ports[2][2]}")
    dealer.send_multipart(clone.encode(clone.Icanhaz("/proxy/old-clone/")))
    assert wait_for(lambda: three.owners("old-clone") == [2])
    assert three.owners("old-sasp") == [1] and three.services[2].fleet.lease_manager.fencing_token("old-clone") == 0
    dealer.close()
    old.close()


def test_a_new_client_and_an_assigner_that_shares_nothing(tmp_path):
    """The question's group is refused, and what comes then has no number: it is obeyed by who never had one."""
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
    one = SaspGateway(
        ("127.0.0.1", ports[0]),
        "gw",
        METHODS,
        sleep=gevent.sleep,
        how=dict(source="127.1.0.9", connect=socket.create_connection),
    )
    two = ChpGateway(("127.0.0.1", ports[2]), "gx", METHODS, sleep=gevent.sleep, how=dict(source="127.1.0.9", zmq=zmq))
    jobs = [gevent.spawn(g.run) for g in (one, two)]
    assert wait_for(lambda: one.table_for("read-chapter") and two.table_for("read-chapter"))
    assert one.judge.accepted_token == two.judge.accepted_token == 0
    for g in (one, two):
        g.stop()
    gevent.sleep(0.1)
    gevent.killall(jobs)
    agent.close()
    service.stop()
    job.join(2)


def test_orders_stop_when_an_assigner_slept_through_its_leases(three):
    three.meet()
    one = three.gateway(ChpGateway, "gw-1")
    assert wait_for(lambda: three.owned_once(["gw-1"]) and one.table_for("read-chapter"))
    service = three.services[three.owners("gw-1")[0]]
    fleet, agent = service.fleet, three.agents[three.owners("gw-1")[0]]
    fleet.stopped, fleet.acknowledge_token = (
        True,
        lambda uid, asked: None,
    )  # it has just woken and looked at nothing yet
    before = dict(one.table_for("read-chapter"))
    fleet.lease_manager.held["gw-1"].renewed_at_us -= 10_000_000
    agent.deregister([Member.at("127.1.0.1", 9000)])
    assert wait_for(lambda: service.engine.counts["withheld"])
    gevent.sleep(0.3)
    assert dict(one.table_for("read-chapter")) == before
    fleet.tick(service.loop.clock())
    assert (
        three.owners("gw-1") == [] or fleet.lease_manager.held["gw-1"].renewed_at_us > service.loop.clock() - 1_000_000
    )
    assert wait_for(lambda: three.owned_once(["gw-1"]) and one.state.value == "fresh", 8)


def test_sasp_says_who_should_be_asked(three):
    three.meet()
    uid = next(f"q-{k}" for k in range(99) if owner_of(three, f"q-{k}") == 2)
    asking = LoadBalancerClient(
        ("127.0.0.1", three.ports[0][0]), uid, source="127.1.0.200", connect=socket.create_connection
    )
    with pytest.raises(RefusedError):
        asking.start(METHODS, number=5)
    told = ownership_extension.read_reply(asking.pushed[0][1].groups)
    assert told == ownership_extension.Redirected(f"127.0.0.1:{three.ports[2][0]}")
    asking.close()
    pleading = LoadBalancerClient(
        ("127.0.0.1", three.ports[0][0]), uid, source="127.1.0.200", connect=socket.create_connection
    )
    pleading.start(METHODS, number=6, insist=True)
    first = pleading.receive(3)[1].groups
    assert ownership_extension.read_reply(first).fence == 6 and any(row.group.name in METHODS for row in first)
    assert not any(w.weight for row in first if row.group.name == ownership_extension.GROUP_NAME for w in row.weights)
    pleading.close()


def owner_of(three, uid):
    return int(preferred_owner(uid, "abdali", three.services[0].fleet.lease_manager.members)[1:])


@pytest.mark.parametrize("name", [".owner/0/0", ".owner/x/0", ".owner/5/2", ".owner/5", f".owner/{10**20}/0"])
def test_questions_that_are_none(name):
    assert ownership_extension.read_request(name) is None


def test_operators_see_who_owns_what(three):
    three.meet()
    three.gateway(SaspGateway, "gw-7")
    assert wait_for(lambda: three.owned_once(["gw-7"]))
    addresses = [f"http://127.0.0.1:{ports[1]}" for ports in three.ports]
    told = gevent.get_hub().threadpool.apply(CliRunner().invoke, (main, ["fleet", *addresses]))
    assert told.exit_code == 0, told.output
    assert "gw-7" in told.output and "a0" in told.output and "disagree" not in told.output
    busy = three.owners("gw-7")[0]
    told = gevent.get_hub().threadpool.apply(CliRunner().invoke, (main, ["fleet", addresses[busy], "--drain"]))
    assert told.exit_code == 0 and wait_for(lambda: three.owners("gw-7") not in ([], [busy]), 8)
    told = gevent.get_hub().threadpool.apply(CliRunner().invoke, (main, ["fleet", "http://127.0.0.1:9", "--json"]))
    assert told.exit_code == 1


FAULTY = [
    ({"listen": "nowhere"}, "listen: address:port"),
    ({"seeds": "127.0.0.1:1"}, "listen: missing"),
    ({"listen": "127.0.0.1:5", "key": "none"}, "key: No such file"),
    ({"listen": "127.0.0.1:5", "key": "short"}, "key: 32 bytes"),
    ({"listen": "127.0.0.1:5", "key": "good", "zone": "x"}, "zone: no such zone"),
    ({"listen": "127.0.0.1:5", "key": "good", "lease_s": "30"}, "lease_s: above"),
    ({"listen": "127.0.0.1:5", "key": "good", "round_trip_ms": "500"}, "round_trip_ms: three probes"),
]


@pytest.mark.parametrize("rows, says", FAULTY)
def test_faulty_settings_are_named(tmp_path, rows, says):
    (tmp_path / "short").write_text("00ff")
    (tmp_path / "good").write_text(KEY.hex())
    rows = {key: str(tmp_path / value) if key == "key" else value for key, value in rows.items()}
    with pytest.raises(FaultsError) as caught:
        assigner.load(EXAMPLES / "loopback.ini", {("peers", key): value for key, value in rows.items()})
    assert any(fault.startswith("[peers] ") and says in fault for fault in caught.value.faults), caught.value.faults


# Takeovers, simulated.


def test_struck_assigners_leave_nobody_alone_for_long_nor_ordered_by_two():
    found = [
        takeover.play(str(EXAMPLES / "fleet" / "takeover.ini"), seed, front)
        for seed, front in ((1, "clone"), (2, "sasp"), (5, "sasp"))
    ]
    told = takeover.summary(found)
    assert told["orphaned"] > 0 and told["doubly_ordered"] == told["rules_broken"] == 0
    assert told["orphaned_max_s"] < 5
    again = takeover.play(str(EXAMPLES / "fleet" / "takeover.ini"), 1, "clone")
    assert again == found[0]


def test_orders_by_two_are_seen():
    rows = [
        {"k": "applied", "proxy": "gw", "assigner": a, "asked": n}
        for a, n in ((0, 5), (0, 5), (1, 6), (0, 5), (1, 6), (2, 6), (0, 7))
    ]
    assert ownership.doubles(rows) == 2
    rows = [
        {"k": "claims", "t": t * 500_000, "assigner": a, "uids": uids}
        for t, a, uids in ((0, 0, ["x", "y"]), (0, 1, ["z"]), (1, 1, ["x"]), (2, 0, ["x"]), (4, 0, []))
    ]
    assert ownership.believed(rows) == 0.5
