"""Takeover, draining, expired leases and the operators' command, with three assigners on loopback sockets."""

import gevent
from assigner_fleet import wait_for
from click.testing import CliRunner

from hollyridge.cli.main import main
from hollyridge.client import ChpGateway, SaspGateway
from hollyridge.sasp.codec import Member


def test_each_proxy_has_one_owner_and_soon_another_if_that_fails(fleet):
    fleet.wait_until_joined()
    gateways = {f"gw-{k}": fleet.gateway((ChpGateway, SaspGateway)[k % 2], f"gw-{k}", 1 + k % 3) for k in range(8)}
    assert wait_for(lambda: all(gateway.table_for("read-chapter") for gateway in gateways.values()))
    assert fleet.owned_once(gateways)
    before = {uid: fleet.owners(uid)[0] for uid in gateways}
    tables = {uid: dict(gateway.table_for("read-chapter")) for uid, gateway in gateways.items()}
    failed = max(range(3), key=list(before.values()).count)
    fleet.kill(failed)
    assert all(dict(gateway.table_for("read-chapter")) == tables[uid] for uid, gateway in gateways.items())
    assert wait_for(lambda: fleet.owned_once(gateways), 8)
    assert {uid for uid, k in before.items() if k != failed} == {
        uid for uid, k in before.items() if fleet.owners(uid) == [k]
    }  # no other proxy has moved
    assert all(gateway.fencing.accepted_token for gateway in gateways.values())
    fleet.start(failed)  # after a restart under the same name its proxies return in steps
    assert wait_for(
        lambda: fleet.owned_once(gateways) and {uid: fleet.owners(uid)[0] for uid in gateways} == before, 12
    )
    assert wait_for(lambda: not any(s.peers.status()["disagreements"] for s in fleet.services))


def test_a_draining_assigner_hands_over_all_its_proxies(fleet):
    fleet.wait_until_joined()
    uids = [f"gw-{k}" for k in range(6)]
    gateways = [fleet.gateway((ChpGateway, SaspGateway)[k % 2], uid) for k, uid in enumerate(uids)]
    assert wait_for(lambda: fleet.owned_once(uids) and all(gateway.table_for("redeem-code") for gateway in gateways))
    busy = max(range(3), key=[fleet.owners(uid)[0] for uid in uids].count)
    fleet.services[busy].peers.drain()
    assert wait_for(lambda: fleet.owned_once(uids) and not fleet.services[busy].peers.lease_manager.held, 8)
    assert fleet.services[busy].peers.status()["drains"]


def test_commands_stop_when_a_paused_assigner_has_lost_its_leases(fleet):
    fleet.wait_until_joined()
    gateway = fleet.gateway(ChpGateway, "gw-1")
    assert wait_for(lambda: fleet.owned_once(["gw-1"]) and gateway.table_for("read-chapter"))
    service = fleet.services[fleet.owners("gw-1")[0]]
    peers, agent = service.peers, fleet.agents[fleet.owners("gw-1")[0]]
    peers.stopped, peers.acknowledge_token = (
        True,
        lambda uid, fencing_token: None,
    )  # the assigner has just resumed and has not processed any event yet
    before = dict(gateway.table_for("read-chapter"))
    peers.lease_manager.held["gw-1"].renewed_at_us -= 10_000_000
    agent.deregister([Member.at("127.1.0.1", 9000)])
    assert wait_for(lambda: service.engine.counts["withheld"])
    gevent.sleep(0.3)
    assert dict(gateway.table_for("read-chapter")) == before
    peers.tick(service.loop.clock())
    assert (
        fleet.owners("gw-1") == [] or peers.lease_manager.held["gw-1"].renewed_at_us > service.loop.clock() - 1_000_000
    )
    assert wait_for(lambda: fleet.owned_once(["gw-1"]) and gateway.state.value == "fresh", 8)


def test_the_fleet_command_shows_owners_and_drains_an_assigner(fleet):
    fleet.wait_until_joined()
    fleet.gateway(SaspGateway, "gw-7")
    assert wait_for(lambda: fleet.owned_once(["gw-7"]))
    addresses = [f"http://127.0.0.1:{ports[1]}" for ports in fleet.ports]
    result = gevent.get_hub().threadpool.apply(CliRunner().invoke, (main, ["fleet", *addresses]))
    assert result.exit_code == 0, result.output
    assert "gw-7" in result.output
    assert "a0" in result.output
    assert "disagree" not in result.output
    busy = fleet.owners("gw-7")[0]
    result = gevent.get_hub().threadpool.apply(CliRunner().invoke, (main, ["fleet", addresses[busy], "--drain"]))
    assert result.exit_code == 0
    assert wait_for(lambda: fleet.owners("gw-7") not in ([], [busy]), 8)
    result = gevent.get_hub().threadpool.apply(CliRunner().invoke, (main, ["fleet", "http://127.0.0.1:9", "--json"]))
    assert result.exit_code == 1
