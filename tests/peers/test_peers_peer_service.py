"""Three assigners on loopback sockets: takeover, draining, lapsed leases and the operators' command."""

import gevent
from assigner_fleet import wait_for
from click.testing import CliRunner

from hollyridge.cli.main import main
from hollyridge.client import ChpGateway, SaspGateway
from hollyridge.sasp.codec import Member


def test_each_proxy_has_one_owner_and_another_soon_after_it_died(three):
    three.wait_until_joined()
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
    assert all(g.fencing.accepted_token for g in gateways.values())
    three.start(dead)  # and under the same name it gets its own back, in steps
    assert wait_for(lambda: three.owned_once(gateways) and {u: three.owners(u)[0] for u in gateways} == before, 12)
    assert wait_for(lambda: not any(s.peers.status()["disagreements"] for s in three.services))


def test_a_drained_assigner_hands_over_all_and_leaves(three):
    three.wait_until_joined()
    uids = [f"gw-{k}" for k in range(6)]
    gateways = [three.gateway((ChpGateway, SaspGateway)[k % 2], uid) for k, uid in enumerate(uids)]
    assert wait_for(lambda: three.owned_once(uids) and all(g.table_for("redeem-code") for g in gateways))
    busy = max(range(3), key=[three.owners(uid)[0] for uid in uids].count)
    three.services[busy].peers.drain()
    assert wait_for(lambda: three.owned_once(uids) and not three.services[busy].peers.lease_manager.held, 8)
    assert three.services[busy].peers.status()["drains"]


def test_commands_stop_when_a_paused_assigner_has_lost_its_leases(three):
    three.wait_until_joined()
    one = three.gateway(ChpGateway, "gw-1")
    assert wait_for(lambda: three.owned_once(["gw-1"]) and one.table_for("read-chapter"))
    service = three.services[three.owners("gw-1")[0]]
    fleet, agent = service.peers, three.agents[three.owners("gw-1")[0]]
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


def test_operators_see_owners_and_drain_an_assigner(three):
    three.wait_until_joined()
    three.gateway(SaspGateway, "gw-7")
    assert wait_for(lambda: three.owned_once(["gw-7"]))
    addresses = [f"http://127.0.0.1:{ports[1]}" for ports in three.ports]
    result = gevent.get_hub().threadpool.apply(CliRunner().invoke, (main, ["fleet", *addresses]))
    assert result.exit_code == 0, result.output
    assert "gw-7" in result.output
    assert "a0" in result.output
    assert "disagree" not in result.output
    busy = three.owners("gw-7")[0]
    result = gevent.get_hub().threadpool.apply(CliRunner().invoke, (main, ["fleet", addresses[busy], "--drain"]))
    assert result.exit_code == 0
    assert wait_for(lambda: three.owners("gw-7") not in ([], [busy]), 8)
    result = gevent.get_hub().threadpool.apply(CliRunner().invoke, (main, ["fleet", "http://127.0.0.1:9", "--json"]))
    assert result.exit_code == 1
