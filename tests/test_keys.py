"""Fronts closed to strangers: TLS with client certificates, CURVE, who may what; keys replaced while running."""

import http.client
import ssl

import gevent
import pytest
import trustme
from chp_rig import clone_rig, hosts, open_gateway
from gevent import socket
from gevent import ssl as green_ssl
from service_rig import GROUPS, LOOPBACK, tries, wait_for
from zmq import auth

from hollyridge.keys.curve import client_keys
from hollyridge.otlp.sender import post, request_of
from hollyridge.sasp.client import ConnectionLostError, LoadBalancerClient, MemberRegistrar, RefusedError
from hollyridge.sasp.codec import Member
from hollyridge.settings import assigner
from hollyridge.settings.ini import FaultsError


class Keys:
    """An authority, the service's files, and a certificate and CURVE pair for each bearer."""

    def __init__(self, folder):
        self.folder, self.authority = folder, trustme.CA()
        self.authority.cert_pem.write_to_path(folder / "clients.pem")
        self.service()
        self.curve("pubsub")
        self.bearers = {name: self.curve(name) for name in ("gate", "agent", "stranger")}

    def service(self):
        issued = self.authority.issue_cert("localhost")
        issued.cert_chain_pems[0].write_to_path(self.folder / "service.pem")
        issued.private_key_pem.write_to_path(self.folder / "service.key")

    def curve(self, name):
        auth.create_certificates(self.folder, name)
        return auth.load_certificate(str(self.folder / f"{name}.key_secret"))

    def overrides(self, **access):
        z85 = {name: public.decode() for name, (public, _) in self.bearers.items()}
        rows = {
            "keys__tls_certificate": self.folder / "service.pem",
            "keys__tls_key": self.folder / "service.key",
            "keys__tls_clients": self.folder / "clients.pem",
            "keys__curve": self.folder / "pubsub.key_secret",
            "access gate__curve": z85["gate"],
            "access gate__proxies": "gw-*",
            "access gate__reports": "abdali",
            "access agent__curve": z85["agent"],
            "access agent__members": "127.1.0.0/16 127.2.0.0/16 127.3.0.0/16",
        }
        return {**rows, **access}

    def connect(self, name, authority=None):
        context = green_ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.authority.configure_trust(context)
        if name:
            (authority or self.authority).issue_cert(common_name=name).configure_cert(context)

        def connect(address, timeout, **how):
            raw = socket.create_connection(address, timeout=timeout, **how)
            return context.wrap_socket(raw, server_hostname="localhost")

        return connect

    def clone(self, name, server=None):
        public = server or auth.load_certificate(str(self.folder / "pubsub.key_secret"))[0]
        return client_keys(*self.bearers[name], public)


@pytest.fixture
def keys(tmp_path):
    return Keys(tmp_path)


def closed_rig(rig, keys):
    r = clone_rig(rig, **keys.overrides())
    agent = r.open(MemberRegistrar, "shelf", connect=keys.connect("agent"))
    agent.register(r.members())
    gevent.sleep(0.3)
    return r, agent


ALL = {1, 2, 3, 4}


def test_bearers_get_in_by_both_fronts(rig, keys):
    r, agent = closed_rig(rig, keys)
    gate = r.balancer("gw-1", connect=keys.connect("gate"))
    assert r.holds(gate)[0] == {g: ALL for g in GROUPS}
    gateway = open_gateway(r, "gw-2", keys=keys.clone("gate"))
    assert wait_for(lambda: hosts(gateway) == ALL)
    agent.quiesce([r.members()[0]])
    assert wait_for(lambda: hosts(gateway) == ALL - {1}, 2)


def test_strangers_do_not(rig, keys):
    r, _ = closed_rig(rig, keys)
    other = trustme.CA()
    for connect in (keys.connect(""), keys.connect("gate", other), socket.create_connection):
        with pytest.raises((OSError, ConnectionLostError)):
            r.balancer("gw-1", connect=connect)
    for connect, uid in (
        (keys.connect("stranger"), "gw-1"),
        (keys.connect("gate"), "other"),
        (keys.connect("agent"), "gw-1"),
    ):
        with pytest.raises(RefusedError):
            r.balancer(uid, connect=connect)
    far = r.open(MemberRegistrar, "shelf", connect=keys.connect("gate"))
    with pytest.raises(RefusedError):
        far.register([Member.at("127.1.0.9", 1, "run=a")])
    for uid, how in (("gw-1", "stranger"), ("other", "gate")):
        gateway = open_gateway(r, uid, keys=keys.clone(how))
        plain = open_gateway(r, uid)
        gevent.sleep(0.5)
        assert not hosts(gateway)
        assert not hosts(plain)
    assert not r.engine.servers


def test_reports_for_ones_own_zone_only(rig, keys):
    r, _ = closed_rig(rig, keys)

    def report(name, figures):
        connection = http.client.HTTPSConnection("localhost", r.otlp, timeout=5)
        connection._create_connection = lambda address, *rest: socket.create_connection(("127.0.0.1", r.otlp))
        context = green_ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        keys.authority.configure_trust(context)
        keys.authority.issue_cert(common_name=name).configure_cert(context)
        connection._context = context
        try:
            status, answer = post(connection, request_of("x", figures))
            return status, answer.partial_success.rejected_data_points
        finally:
            connection.close()

    both = [tries(r), tries(r, zone="khalda")]
    assert report("gate", both) == (200, 1)
    assert report("stranger", both) == (200, 2)
    assert r.service.metrics_server.uncounted["not for this sender"] == 3


def test_keys_replaced_while_running(rig, keys, tmp_path):
    r, agent = closed_rig(rig, keys)
    gate = r.balancer("gw-1", connect=keys.connect("gate"))
    gateway = open_gateway(r, "gw-2", keys=keys.clone("gate"))
    assert wait_for(lambda: hosts(gateway) == ALL)
    keys.service()
    keys.curve("pubsub")
    overrides = {tuple(k.split("__")): str(v) for k, v in keys.overrides().items()}
    listen = {("clone", "listen"): f"127.0.0.1:{r.clone.config.port}"}
    r.service.reload(assigner.load(LOOPBACK, {**overrides, **listen}))
    gevent.sleep(0.5)
    assert gateway.sessions == 1
    assert r.holds(gate, seconds=0.5)[0] == {g: ALL for g in GROUPS}
    fresh = open_gateway(r, "gw-3", keys=keys.clone("gate"))  # meets the new key
    assert wait_for(lambda: hosts(fresh) == ALL)
    assert r.holds(r.balancer("gw-4", connect=keys.connect("gate")))[0] == {g: ALL for g in GROUPS}
    # Faulty files change nothing.
    (tmp_path / "service.pem").write_text("nonsense")
    with pytest.raises(OSError):
        r.service.reload(assigner.load(LOOPBACK, {**overrides, **listen}))
    # A bearer is taken out while its streams stand.
    keys.service()
    for key in [key for key in overrides if key[0] == "access gate"]:
        del overrides[key]
    r.service.reload(assigner.load(LOOPBACK, {**overrides, **listen}))
    with pytest.raises(ConnectionLostError):
        while gate.receive(1):
            pass
    assert wait_for(lambda: not r.engine.servers, 3)
    assert agent.call is not None
    assert len(r.engine.endpoint_source.entries) == 4


KEY_FAULTS = [
    ({("access a", "proxies"): "x"}, "[access a]: needs [keys]"),
    ({("keys", "tls_key"): "k"}, "[keys] tls_certificate, tls_key, tls_clients: all three or none"),
    ({("keys", "curve"): "no-file"}, "[keys]: no file no-file"),
    ({("access a", "members"): "127.1/99"}, "[access a] members"),
    ({("access a", "curve"): "short"}, "[access a] curve"),
]


@pytest.mark.parametrize(("overrides", "fault"), KEY_FAULTS)
def test_faults_in_keys(overrides, fault):
    with pytest.raises(FaultsError) as trouble:
        assigner.load(LOOPBACK, overrides)
    assert fault in str(trouble.value)


def test_a_subscriber_without_keys_is_no_balancer(rig, keys):
    r, _ = closed_rig(rig, keys)
    quiet = socket.create_connection(("127.0.0.1", r.sasp))  # never begins the handshake
    gate = r.open(LoadBalancerClient, "gw-1", source="127.1.0.200", connect=keys.connect("gate"))
    gate.start(GROUPS)
    assert r.holds(gate)[0] == {g: ALL for g in GROUPS}
    quiet.close()
